use crate::clock::Ms;

/// Time for which a server that shares its machine works at one pace, in ms. Such phases last about 400 ms.
const PHASE_MS: f64 = 400.0;
/// Time over which the mean pace is taken, in ms. It spans 150 phases, so that a single one hardly changes it.
const MEAN_TIME_MS: f64 = 60_000.0;
/// Largest factor by which the present pace may differ from the mean pace, upwards and downwards. Servers of one service
/// differ in speed by factors of up to 3; a false figure must not do more than a slow machine.
pub const PACE_FACTOR_MAX: f64 = 3.0;

/// The latest pace that a server reported.
#[derive(Clone, Copy, Debug)]
struct LatestPace {
    percent: f64,
    at: Ms,
}

/// The pace of a server's work by its own reports.
///
/// It addresses servers that share their machines with others, so that work takes several times as long for some hundred
/// ms. Only the ratio of the present pace to the mean pace is used: a server that always reports the same figure, true or
/// not, counts as one that reports nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkPace {
    latest: Option<LatestPace>,
    /// Mean of the reported figures over time, in percent.
    mean_percent: f64,
    /// Time that the mean covers, up to [`MEAN_TIME_MS`].
    covered_ms: f64,
}

impl WorkPace {
    /// Records that work takes `percent` of its usual time at `now`.
    pub fn report(&mut self, percent: u32, now: Ms) {
        let percent = f64::from(percent.max(1));
        match self.latest {
            None => self.mean_percent = percent,
            Some(before) => {
                // Nothing is known of the time after the end of a phase, so a rare report counts for one phase only.
                let span_ms = ((now - before.at).0 as f64).min(PHASE_MS);
                let weight = span_ms / (self.covered_ms + span_ms).max(1.0);
                self.mean_percent += (f64::midpoint(before.percent, percent) - self.mean_percent) * weight;
                self.covered_ms = (self.covered_ms + span_ms).min(MEAN_TIME_MS);
            }
        }
        self.latest = Some(LatestPace { percent, at: now });
    }

    /// Returns the time that work takes at `now` as a multiple of the mean time. It is exactly 1 if nothing was reported
    /// within the length of a phase.
    pub fn factor(&self, now: Ms) -> f64 {
        let Some(latest) = self.latest else {
            return 1.0;
        };
        // A phase that began at an unknown time still lasts after some time with a probability that falls linearly.
        let freshness = 1.0 - (now - latest.at).0 as f64 / PHASE_MS;
        if freshness <= 0.0 {
            return 1.0;
        }
        let reported = (latest.percent / self.mean_percent).clamp(1.0 / PACE_FACTOR_MAX, PACE_FACTOR_MAX);
        1.0 + (reported - 1.0) * freshness
    }
}
