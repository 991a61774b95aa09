//! Budget of the memory that others make a daemon hold.

mod budget;
mod held_buf;
mod ledger;

pub use {
    budget::{Hold, MemoryBudget, Refused},
    held_buf::HeldBuf,
    ledger::{
        HoldKind, HoldState, Ledger, Settled, PRESSURE_TIME, SMALL_BYTES, STALL_TIME, WRITE_STALL_TIME,
    },
};
