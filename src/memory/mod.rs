//! Budget of the memory that others make a daemon hold.

mod allocator;
mod budget;
mod host_grant;
mod ledger;
mod process_limit;
mod reservation_kind;
mod reserved_buf;

pub use {
    allocator::return_large_blocks,
    budget::{MemoryBudget, Refused, Reservation},
    host_grant::HostGrant,
    ledger::{Ledger, Settled, PRESSURE_TIME, SMALL_BYTES, STALL_TIME, WRITE_STALL_TIME},
    process_limit::{LimitSource, ProcessLimit, MEMORY_MIN_BYTES},
    reservation_kind::{ReservationKind, ReservationState},
    reserved_buf::ReservedBuf,
};
