//! An example backend server for demonstrations, tests and benchmarks.

mod announcer;
mod ownership;
mod report;
mod standin_server;

pub use {
    ownership::{LeasePeriod, Ownership, OwnershipRecord, Refusal},
    standin_server::{run_standin, StandinSettings},
};
