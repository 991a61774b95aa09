//! A leader, daemons and servers in one thread, with drifting clocks, late messages and freezes.

mod daemon_actor;
mod leader_actor;
mod server_actor;
mod world;

pub use world::{LeaseWorld, WorldPlan};
