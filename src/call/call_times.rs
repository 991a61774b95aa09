use super::work_pace::{Pace, PACE_FACTOR_MAX};

/// Weight of the latest call in the exponential moving averages of call times.
const MEAN_WEIGHT: f64 = 0.1;
/// Number of mean deviations above the mean time of its kind that are planned for a call, so that most calls end in
/// time.
const LONG_TIME_DEVIATIONS: f64 = 2.5;

/// Weight of the latest call in the moving averages of the errors of expected times. Some 50 calls decide whether the
/// reported paces are trusted.
const ERROR_WEIGHT: f64 = 0.02;

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
    fn at_pace(&self, pace: Pace) -> f64 {
        let (min, max) = (
            self.measured_ms / PACE_FACTOR_MAX,
            self.measured_ms * PACE_FACTOR_MAX,
        );
        pace.time_ms(self.usual_ms).clamp(min, max)
    }
}

/// Times of the calls of one kind.
#[derive(Clone, Copy, Debug)]
struct KindTime {
    kind: u64,
    mean: MeanTime,
    /// Mean absolute deviation of the measured times from their mean. It covers the changes of the pace while a call waits
    /// and runs, which the present pace does not tell.
    deviation_ms: f64,
}

/// The times of the calls to one server. All paces are relative to the mean pace of the server.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// Mean time of calls of all kinds.
    mean: MeanTime,
    /// Sorted by kind.
    kinds: Vec<KindTime>,
    /// Mean error of the mean measured time of a kind for the next call, as a share of it.
    measured_error: f64,
    /// Mean error of the mean usual time of a kind for the next call, as a share of it.
    usual_error: f64,
}

impl CallTimes {
    /// Records that a call of `kind` took `took_ms`, in which the server did `usual_ms` of usual work.
    pub fn record(&mut self, kind: u64, took_ms: f64, usual_ms: f64) {
        self.mean.record(took_ms, usual_ms);
        match self.kinds.binary_search_by_key(&kind, |k| k.kind) {
            Ok(i) => {
                let known = &mut self.kinds[i];
                let errors = (
                    relative_error(took_ms, known.mean.measured_ms),
                    relative_error(usual_ms, known.mean.usual_ms),
                );
                self.measured_error += (errors.0 - self.measured_error) * ERROR_WEIGHT;
                self.usual_error += (errors.1 - self.usual_error) * ERROR_WEIGHT;
                let deviation_ms = (took_ms - known.mean.measured_ms).abs();
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

    /// Returns whether the reported paces explain the times of calls at least as well as no pace would. Figures that are
    /// false or late make the times in units of usual work vary more than the measured ones, and are not used then.
    pub fn trusts_pace(&self) -> bool {
        self.usual_error <= self.measured_error
    }

    /// Returns the mean time of calls of all kinds at a pace, in ms.
    pub fn mean_ms(&self, pace: Pace) -> f64 {
        self.at_pace(&self.mean, pace)
    }

    /// Returns the expected time of a call of `kind` at a pace in ms, or zero if the kind is unknown.
    pub fn expected_ms(&self, kind: u64, pace: Pace) -> f64 {
        self.kind(kind).map_or(0.0, |k| self.at_pace(&k.mean, pace))
    }

    /// Returns the expected time of the slowest kind at a pace, in ms.
    pub fn longest_ms(&self, pace: Pace) -> f64 {
        self.kinds
            .iter()
            .map(|k| self.at_pace(&k.mean, pace))
            .fold(0.0, f64::max)
    }

    /// Returns the time that few calls of `kind` exceed at a pace, in ms.
    pub fn long_ms(&self, kind: u64, pace: Pace) -> f64 {
        self.kind(kind).map_or(0.0, |k| {
            self.at_pace(&k.mean, pace) + k.deviation_ms * LONG_TIME_DEVIATIONS
        })
    }

    fn at_pace(&self, mean: &MeanTime, pace: Pace) -> f64 {
        match self.trusts_pace() {
            true => mean.at_pace(pace),
            false => mean.measured_ms,
        }
    }

    fn kind(&self, kind: u64) -> Option<&KindTime> {
        let found = self.kinds.binary_search_by_key(&kind, |k| k.kind);
        found.ok().map(|i| &self.kinds[i])
    }
}

fn relative_error(value: f64, expected: f64) -> f64 {
    (value - expected).abs() / expected.max(1.0)
}

/// Returns the exponential moving average after one more value. Zero means that there is no average yet.
fn updated_mean(mean: f64, value: f64) -> f64 {
    if mean == 0.0 {
        value
    } else {
        mean + (value - mean) * MEAN_WEIGHT
    }
}
