use {
    super::{Metric, MetricRegistry},
    crate::clock::Ms,
    anyhow::{Context, Result},
    cadence::{prelude::*, BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient},
    std::net::{SocketAddr, UdpSocket},
};

/// Maximum number of metrics that wait for the sending thread. Further metrics are dropped.
const QUEUED_METRICS_MAX: usize = 4096;

/// Records the metrics of one daemon. docs/METRICS.md lists them.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    registry: MetricRegistry,
}

impl Metrics {
    /// Returns metrics that are sent to `address`, if there is one, and kept for [`Self::text`].
    ///
    /// # Errors
    /// Returns an error if no socket could be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink("clementinefold", NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0)).context("opening a socket for metrics")?;
                socket
                    .set_nonblocking(true)
                    .context("opening a socket for metrics")?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).context("creating the metrics sink")?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUED_METRICS_MAX);
                StatsdClient::from_sink("clementinefold", sink)
            }
        };
        Ok(Self {
            client,
            registry: MetricRegistry::new().context("registering the metrics")?,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }

    /// Counts a call by its outcome and records its duration.
    pub fn call(&self, outcome: &str, duration: Ms) {
        self.count(Metric::Calls, &[outcome]);
        self.time(Metric::CallMs, &[], duration);
    }

    /// Increments a counter. `tags` are the values of the tags of `metric`, in the same order.
    pub fn count(&self, metric: Metric, tags: &[&str]) {
        let mut builder = self.client.count_with_tags(metric.name(), 1);
        for (name, value) in metric.tags().iter().zip(tags) {
            builder = builder.with_tag(name, value);
        }
        // A daemon never waits for the listener, so a metric that cannot be sent is lost.
        let _ = builder.try_send();
        self.registry.count(metric, tags);
    }

    /// Records a duration in a timer. `tags` are as in [`Self::count`].
    pub fn time(&self, metric: Metric, tags: &[&str], duration: Ms) {
        let mut builder = self.client.time_with_tags(metric.name(), duration.0);
        for (name, value) in metric.tags().iter().zip(tags) {
            builder = builder.with_tag(name, value);
        }
        let _ = builder.try_send();
        self.registry.time(metric, tags, duration);
    }

    /// Sets the value of a gauge. `tags` are as in [`Self::count`].
    pub fn gauge(&self, metric: Metric, tags: &[&str], value: u64) {
        let mut builder = self.client.gauge_with_tags(metric.name(), value);
        for (name, value) in metric.tags().iter().zip(tags) {
            builder = builder.with_tag(name, value);
        }
        let _ = builder.try_send();
        self.registry.gauge(metric, tags, value);
    }

    /// Records whether the lease of this daemon is valid.
    pub fn lease(&self, is_valid: bool) {
        self.gauge(Metric::Lease, &[], u64::from(is_valid));
    }

    /// Records the number of ranges that are granted to the servers of this daemon.
    pub fn ranges(&self, count: u64) {
        self.gauge(Metric::Ranges, &[], count);
    }
}
