//! Which daemon and which server a call goes to.

mod balancer;
mod router;

pub use {
    balancer::{Balancer, Signal, Target},
    router::{candidates, route_by_key, Candidate, Route},
};
