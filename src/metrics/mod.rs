//! Metrics to a statsd listener, and as text for those who read them.

mod metric;
mod metric_registry;
mod statsd;

use metric_registry::MetricBoard;
pub use {metric::Metric, statsd::Metrics};
