//! Clocks, and times and durations in milliseconds.

mod clock_source;
mod ms;

pub use {clock_source::Clock, ms::Ms};
