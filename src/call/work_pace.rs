use crate::clock::Ms;

/// Time for which a server that shares its machine works at one pace, in ms. Such phases last about 400 ms.
const PHASE_MS: f64 = 400.0;
/// Time for which a phase that has lasted longer than expected, or is followed by one of the same pace, is expected to go
/// on, in ms.
const PHASE_LEFT_MIN_MS: f64 = 100.0;
/// Time over which the mean pace is taken, in ms. It spans 150 phases, so that a single one hardly changes it.
const MEAN_TIME_MS: f64 = 60_000.0;
/// Ratio of two reported figures from which they belong to two phases. Figures of one phase vary with the load of the
/// server by less.
const NEW_PHASE_RATIO: f64 = 1.5;
/// Difference of a factor from 1 that is due to rounding, so that a constant figure changes nothing.
const SAME_PACE: f64 = 1e-9;
/// Largest factor by which the present pace may differ from the mean pace, upwards and downwards. Servers of one service
/// differ in speed by factors of up to 3; a false figure must not do more than a slow machine.
pub const PACE_FACTOR_MAX: f64 = 3.0;

/// The latest pace that a server reported.
#[derive(Clone, Copy, Debug)]
struct LatestPace {
    percent: f64,
    at: Ms,
    /// When the first figure of its phase was reported.
    since: Ms,
}

/// How long work takes at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time that work takes, as a multiple of the mean time.
    pub factor: f64,
    /// Time for which the factor is expected to hold, in ms. Afterwards the mean pace is expected.
    pub lasts_ms: f64,
}

impl Pace {
    /// The mean pace.
    pub const MEAN: Self = Self {
        factor: 1.0,
        lasts_ms: 0.0,
    };

    /// Returns the time for work that takes `work_ms` at the mean pace.
    pub fn time_ms(self, work_ms: f64) -> f64 {
        let within_ms = work_ms * self.factor;
        if within_ms <= self.lasts_ms {
            return within_ms;
        }
        work_ms + self.lasts_ms * (1.0 - 1.0 / self.factor)
    }
}

/// The pace of a server's work by its own reports.
///
/// It addresses servers that share their machines with others, so that work takes several times as long for some hundred
/// ms. Only the ratio of the present pace to the mean pace is used: a server that always reports the same figure, true or
/// not, counts as one that reports nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkPace {
    latest: Option<LatestPace>,
    /// Mean work done in a ms, where 1 is a ms of work that takes 1% of its usual time.
    mean_rate: f64,
    /// Time that the mean covers, up to [`MEAN_TIME_MS`].
    covered_ms: f64,
    /// Work done until the latest report beyond that at the mean pace, in ms of work at the mean pace.
    gained_ms: f64,
}

impl WorkPace {
    /// Records that work takes `percent` of its usual time at `now`.
    pub fn report(&mut self, percent: u32, now: Ms) {
        let percent = f64::from(percent.max(1));
        let first = LatestPace {
            percent,
            at: now,
            since: now,
        };
        let Some(before) = self.latest.replace(first) else {
            self.mean_rate = 1.0 / percent;
            return;
        };
        // Nothing is known of the time after the end of a phase, so a rare report counts for one phase only.
        let span_ms = ((now - before.at).0 as f64).min(PHASE_MS);
        let rate = f64::midpoint(1.0 / before.percent, 1.0 / percent);
        let weight = span_ms / (self.covered_ms + span_ms).max(1.0);
        self.mean_rate += (rate - self.mean_rate) * weight;
        self.covered_ms = (self.covered_ms + span_ms).min(MEAN_TIME_MS);
        let gain = f64::midpoint(
            1.0 / self.factor_of(before.percent),
            1.0 / self.factor_of(percent),
        ) - 1.0;
        self.gained_ms += gain * span_ms;
        let ratio = (percent / before.percent).max(before.percent / percent);
        if ratio < NEW_PHASE_RATIO && ((now - before.at).0 as f64) < PHASE_MS {
            self.latest = Some(LatestPace {
                since: before.since,
                ..first
            });
        }
    }

    /// Returns the pace at `now`. It is exactly the mean pace if nothing was reported within the length of a phase.
    pub fn pace(&self, now: Ms) -> Pace {
        let Some(latest) = self.latest else {
            return Pace::MEAN;
        };
        let age = (now - latest.at).0 as f64 / PHASE_MS;
        if age >= 1.0 {
            return Pace::MEAN;
        }
        let factor = self.factor_of(latest.percent);
        if (factor - 1.0).abs() < SAME_PACE {
            return Pace::MEAN;
        }
        let phase_left_ms = PHASE_MS - (now - latest.since).0 as f64;
        Pace {
            factor: 1.0 + (factor - 1.0) * (1.0 - age),
            lasts_ms: phase_left_ms.max(PHASE_LEFT_MIN_MS),
        }
    }

    /// Returns the work done until `now`, in ms of work at the mean pace, from an arbitrary origin.
    pub fn work_done_ms(&self, now: Ms) -> f64 {
        let Some(latest) = self.latest else {
            return now.0 as f64;
        };
        let span_ms = ((now - latest.at).0 as f64).min(PHASE_MS);
        now.0 as f64 + self.gained_ms + (1.0 / self.factor_of(latest.percent) - 1.0) * span_ms
    }

    fn factor_of(&self, percent: f64) -> f64 {
        (percent * self.mean_rate).clamp(1.0 / PACE_FACTOR_MAX, PACE_FACTOR_MAX)
    }
}
