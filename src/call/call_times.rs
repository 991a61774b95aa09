use super::work_pace::PACE_FACTOR_MAX;

/// Weight of the latest call in the exponential moving averages of call times.
const MEAN_WEIGHT: f64 = 0.1;
/// Number of mean deviations above the mean time of its kind that are planned for a call, so that most calls end in
/// time.
const LONG_TIME_DEVIATIONS: f64 = 2.5;

/// A time of calls, measured and in units of usual work, i.e. divided by the pace at which the work was done.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTime {
    measured_ms: f64,
    usual_ms: f64,
}

impl MeanTime {
    fn record(&mut self, took_ms: f64, usual_ms: f64) {
        self.measured_ms = updated_mean(self.measured_ms, took_ms);
        self.usual_ms = updated_mean(self.usual_ms, usual_ms);
    }

    /// Returns the expected time at a pace. However false the reported paces are, it differs from the mean of the
    /// measured times by a factor of [`PACE_FACTOR_MAX`] at most.
    fn at_pace(&self, pace: f64) -> f64 {
        let (min, max) = (
            self.measured_ms / PACE_FACTOR_MAX,
            self.measured_ms * PACE_FACTOR_MAX,
        );
        (self.usual_ms * pace).clamp(min, max)
    }
}

/// Times of the calls of one kind.
#[derive(Clone, Copy, Debug)]
struct KindTime {
    kind: u64,
    mean: MeanTime,
    /// Mean absolute deviation from the mean time, in ms of usual work.
    deviation_ms: f64,
}

/// The times of the calls to one server. All paces are relative to the mean pace of the server.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// Mean time of calls of all kinds.
    mean: MeanTime,
    /// Sorted by kind.
    kinds: Vec<KindTime>,
}

impl CallTimes {
    /// Records that a call of `kind` took `took_ms` at `pace`.
    pub fn record(&mut self, kind: u64, took_ms: f64, pace: f64) {
        let usual_ms = took_ms / pace;
        self.mean.record(took_ms, usual_ms);
        match self.kinds.binary_search_by_key(&kind, |k| k.kind) {
            Ok(i) => {
                let known = &mut self.kinds[i];
                let deviation_ms = (usual_ms - known.mean.usual_ms).abs();
                known.deviation_ms += (deviation_ms - known.deviation_ms) * MEAN_WEIGHT;
                known.mean.record(took_ms, usual_ms);
            }
            Err(i) => {
                let mean = MeanTime {
                    measured_ms: took_ms,
                    usual_ms,
                };
                let new = KindTime {
                    kind,
                    mean,
                    deviation_ms: 0.0,
                };
                self.kinds.insert(i, new);
            }
        }
    }

    /// Returns the mean time of calls of all kinds at a pace, in ms.
    pub fn mean_ms(&self, pace: f64) -> f64 {
        self.mean.at_pace(pace)
    }

    /// Returns the expected time of a call of `kind` at a pace in ms, or zero if the kind is unknown.
    pub fn expected_ms(&self, kind: u64, pace: f64) -> f64 {
        self.kind(kind).map_or(0.0, |k| k.mean.at_pace(pace))
    }

    /// Returns the expected time of the slowest kind at a pace, in ms.
    pub fn longest_ms(&self, pace: f64) -> f64 {
        self.kinds
            .iter()
            .map(|k| k.mean.at_pace(pace))
            .fold(0.0, f64::max)
    }

    /// Returns the time that few calls of `kind` exceed at a pace, in ms.
    pub fn long_ms(&self, kind: u64, pace: f64) -> f64 {
        self.kind(kind).map_or(0.0, |k| {
            k.mean.at_pace(pace) + k.deviation_ms * pace * LONG_TIME_DEVIATIONS
        })
    }

    fn kind(&self, kind: u64) -> Option<&KindTime> {
        let found = self.kinds.binary_search_by_key(&kind, |k| k.kind);
        found.ok().map(|i| &self.kinds[i])
    }
}

/// Returns the exponential moving average after one more value. Zero means that there is no average yet.
fn updated_mean(mean: f64, value: f64) -> f64 {
    if mean == 0.0 {
        value
    } else {
        mean + (value - mean) * MEAN_WEIGHT
    }
}
