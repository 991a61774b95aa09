//! Metrics, which are sent to a statsd listener and served in the Prometheus text format.

mod metric;
mod metric_registry;
mod statsd;

use metric_registry::MetricRegistry;
pub use {metric::Metric, statsd::Metrics};
