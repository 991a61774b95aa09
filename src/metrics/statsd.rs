use {
    super::Metric,
    crate::clock::Ms,
    anyhow::{Context, Result},
    cadence::{prelude::*, BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient},
    std::net::{SocketAddr, UdpSocket},
};

/// Metrics that wait for the sending thread before further ones are dropped.
const RING_METRICS: usize = 4096;

/// The metrics of one daemon. docs/METRICS.md lists them.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns metrics that are sent to `address`, or nowhere if there is none.
    ///
    /// # Errors
    /// No socket could be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink("clementinefold", NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0)).context("opening a socket for metrics")?;
                socket
                    .set_nonblocking(true)
                    .context("opening a socket for metrics")?;
                let sink = BufferedUdpMetricSink::from(address, socket).context("metrics sink")?;
                let sink = QueuingMetricSink::with_capacity(sink, RING_METRICS);
                StatsdClient::from_sink("clementinefold", sink)
            }
        };
        Ok(Self { client })
    }

    /// Counts a call by its outcome and records the time that it took.
    pub fn call(&self, outcome: &str, took: Ms) {
        let _ = self
            .client
            .count_with_tags(Metric::Calls.name(), 1)
            .with_tag("outcome", outcome)
            .try_send();
        let _ = self.client.time(Metric::CallMs.name(), took.0);
    }

    /// Records whether the lease of this daemon holds.
    pub fn lease(&self, holds: bool) {
        let _ = self.client.gauge(Metric::Lease.name(), u64::from(holds));
    }

    /// Records the number of ranges that this daemon serves.
    pub fn ranges(&self, count: u64) {
        let _ = self.client.gauge(Metric::Ranges.name(), count);
    }
}
