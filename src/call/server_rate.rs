use crate::clock::Ms;

/// Time for which the unused calls of a limit are saved up, in ms. A server that has been idle for a moment may get the
/// calls of that time at once.
const SAVED_MS: f64 = 500.0;
/// Lowest rate at which calls are sent to a server with a limit, in calls a second. Only its answers tell that the limit
/// has ended.
const RATE_MIN_PER_S: f64 = 0.5;
/// Longest time for which calls wait because of earlier ones that are charged, in ms.
const CHARGED_MS_MAX: f64 = 1000.0;
/// Share of a call that counts as a whole one, since saved calls are added up in fractions.
const WHOLE_CALL: f64 = 1.0 - 1e-6;

/// The rate at which a server takes calls, as a token bucket. It never sends more calls in a span of time than the limit
/// allows in that span and the time of the saved ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRate {
    per_ms: f64,
    /// Number of calls that may be sent at once, as of `updated_at`.
    saved: f64,
    updated_at: Ms,
}

impl ServerRate {
    /// Returns a limit of `per_s` calls a second that begins at `now`, with nothing saved.
    pub fn new(per_s: f64, now: Ms) -> Self {
        Self {
            per_ms: per_s.max(RATE_MIN_PER_S) / 1000.0,
            saved: 0.0,
            updated_at: now,
        }
    }

    /// Changes the limit to `per_s` calls a second. What was saved stays, up to the maximum of the new limit.
    pub fn set(&mut self, per_s: f64, now: Ms) {
        let saved = self.saved_at(now);
        *self = Self::new(per_s, now);
        self.saved = saved.min(self.saved_max());
    }

    /// Returns the time until a call may be sent that has `ahead` other calls before it.
    pub fn wait(&self, ahead: usize, now: Ms) -> Ms {
        let missing = ahead as f64 + WHOLE_CALL - self.saved_at(now);
        Ms((missing / self.per_ms).max(0.0).ceil() as u64)
    }

    /// Counts a call that is sent at `now`.
    pub fn take(&mut self, now: Ms) {
        self.saved = (self.saved_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Counts calls of the last second that were sent before the limit began, so that later ones wait for them, up to
    /// 1 s: after that, no second contains them any more.
    pub fn charge(&mut self, calls: f64, now: Ms) {
        self.saved = (self.saved_at(now) - calls).max(-self.per_ms * CHARGED_MS_MAX);
        self.updated_at = now;
    }

    /// Returns the time between two calls.
    pub fn interval(&self) -> Ms {
        Ms((1.0 / self.per_ms) as u64)
    }

    fn saved_at(&self, now: Ms) -> f64 {
        let added = (now - self.updated_at).0 as f64 * self.per_ms;
        (self.saved + added).min(self.saved_max())
    }

    fn saved_max(&self) -> f64 {
        (self.per_ms * SAVED_MS).max(1.0)
    }
}
