//! Simulation of a leader, daemons and servers in one thread, with drifting clocks, delayed messages and frozen
//! processes.

mod daemon_actor;
mod leader_actor;
mod server_actor;
mod world;

pub use world::{LeaseWorld, WorldConfig};
