//! Router for servers that own keys exclusively.
//!
//! The code that makes decisions does no I/O and gets the time and random numbers as arguments, which keeps it
//! deterministic. `link`, `edge`, `daemon` and the control loop and disk thread in `control` do the I/O, and `cli`
//! holds the command lines of the programs. `standin` is an example backend server and `load` a load generator; both
//! are for demonstrations, tests and benchmarks.

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod cli;
pub mod clock;
pub mod consensus;
pub mod control;
pub mod daemon;
pub mod edge;
pub mod event;
pub mod grant;
pub mod key;
pub mod lease;
pub mod link;
pub mod load;
pub mod memory;
pub mod metrics;
pub mod placement;
pub mod route;
pub mod schema;
pub mod settings;
pub mod split;
pub mod standin;
pub mod wire;
