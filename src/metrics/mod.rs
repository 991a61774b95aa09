//! Metrics to a statsd listener.

mod metric;
mod statsd;

pub use {metric::Metric, statsd::Metrics};
