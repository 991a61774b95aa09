//! Metrics to a statsd listener.

mod statsd;

pub use statsd::Metrics;
