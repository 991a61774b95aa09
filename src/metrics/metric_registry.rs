use {
    super::Metric,
    crate::clock::Ms,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
    },
};

/// Upper bounds of the buckets of latency histograms, in ms.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1500.0, 3000.0, 6000.0, 15_000.0,
];

/// A registered metric of one of the three kinds.
#[derive(Clone, Debug)]
enum Instrument {
    Counter(IntCounterVec),
    Timer(HistogramVec),
    Gauge(IntGaugeVec),
}

/// Holds the current values of all metrics, which are served over HTTP.
#[derive(Debug)]
pub(super) struct MetricRegistry {
    registry: Registry,
    /// In the order of [`Metric::ALL`].
    instruments: Vec<Instrument>,
}

impl MetricRegistry {
    /// Returns a registry in which all metrics are zero.
    ///
    /// # Errors
    /// Returns an error if a metric has a name that the Prometheus text format does not allow.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("clementinefold".into()), None)?;
        let mut instruments = Vec::with_capacity(Metric::ALL.len());
        for metric in Metric::ALL {
            let opts = Opts::new(metric.name(), "see docs/METRICS.md");
            let instrument = match metric.kind() {
                "counter" => Instrument::Counter(IntCounterVec::new(opts, metric.tags())?),
                "timer" => {
                    let opts = HistogramOpts::from(opts).buckets(BUCKETS_MS.to_vec());
                    Instrument::Timer(HistogramVec::new(opts, metric.tags())?)
                }
                _ => Instrument::Gauge(IntGaugeVec::new(opts, metric.tags())?),
            };
            match &instrument {
                Instrument::Counter(counter) => registry.register(Box::new(counter.clone()))?,
                Instrument::Timer(timer) => registry.register(Box::new(timer.clone()))?,
                Instrument::Gauge(gauge) => registry.register(Box::new(gauge.clone()))?,
            }
            instruments.push(instrument);
        }
        Ok(Self {
            registry,
            instruments,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a buffer fails only for metrics that have no values, which are then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }

    pub fn count(&self, metric: Metric, tags: &[&str]) {
        if let Instrument::Counter(counter) = self.instrument(metric) {
            counter.with_label_values(tags).inc();
        }
    }

    pub fn time(&self, metric: Metric, tags: &[&str], duration: Ms) {
        if let Instrument::Timer(timer) = self.instrument(metric) {
            timer.with_label_values(tags).observe(duration.0 as f64);
        }
    }

    pub fn gauge(&self, metric: Metric, tags: &[&str], value: u64) {
        if let Instrument::Gauge(gauge) = self.instrument(metric) {
            gauge
                .with_label_values(tags)
                .set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    fn instrument(&self, metric: Metric) -> &Instrument {
        &self.instruments[metric as usize]
    }
}
