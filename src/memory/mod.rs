//! Budget of the memory that others make a daemon hold.

mod budget;
mod ledger;
mod reserved_buf;

pub use {
    budget::{MemoryBudget, Refused, Reservation},
    ledger::{
        Ledger, ReservationKind, ReservationState, Settled, PRESSURE_TIME, SMALL_BYTES, STALL_TIME,
        WRITE_STALL_TIME,
    },
    reserved_buf::ReservedBuf,
};
