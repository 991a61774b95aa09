//! Router for servers that own keys exclusively.
//!
//! Decisions take time and randomness from outside and do no I/O. `link`, `edge`, `daemon` and the duties in
//! `control` carry them out, and `cli` holds the command lines of the programs. `standin` is an
//! example backend server and `load` sends calls, both for demonstrations, tests and benches.

#![forbid(unsafe_code)]
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
pub mod metrics;
pub mod placement;
pub mod route;
pub mod schema;
pub mod settings;
pub mod split;
pub mod standin;
pub mod wire;
