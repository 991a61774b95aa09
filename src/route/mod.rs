//! Selection of the daemon and the server that take a call.

mod balancer;
mod entry_throttle;
mod first_arrivals;
mod router;
mod server_stats;
mod weighted_round_robin;

pub use {
    balancer::{Balancer, Signal, Target},
    entry_throttle::EntryThrottle,
    first_arrivals::FirstArrivals,
    router::{candidates, is_too_old, route_by_key, Candidate, KeyRoute},
    weighted_round_robin::WeightedRoundRobin,
};
