use clementinefold::clock::Ms;

/// What a replay measured, after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub calls: usize,
    /// Response times of the answered calls, and the deadline for each call that may have run but was not answered by
    /// then. Refused calls have none.
    pub times: Vec<Ms>,
    pub unanswered: usize,
    pub hedges: usize,
    pub hedges_won: usize,
    /// Slot time of all attempts, and of those that were cancelled.
    pub busy_ms: u64,
    pub cancelled_ms: u64,
    /// Times of all calls, and of all arrivals at servers beyond the first of a call.
    pub call_times: Vec<Ms>,
    pub repeat_times: Vec<Ms>,
}

impl Outcome {
    /// Adds the figures of another replay.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.times.extend(other.times);
        self.unanswered += other.unanswered;
        self.hedges += other.hedges;
        self.hedges_won += other.hedges_won;
        self.busy_ms += other.busy_ms;
        self.cancelled_ms += other.cancelled_ms;
        self.call_times.extend(other.call_times);
        self.repeat_times.extend(other.repeat_times);
    }

    pub fn quantile(&mut self, quantile: f64) -> Ms {
        self.times.sort_unstable();
        let i = (self.times.len() as f64 * quantile) as usize;
        self.times.get(i).copied().unwrap_or_default()
    }

    /// Returns the share of the calls that were answered, in percent.
    pub fn answered_percent(&self) -> f64 {
        (self.times.len() - self.unanswered) as f64 / self.calls as f64 * 100.0
    }

    pub fn hedge_percent(&self) -> f64 {
        self.hedges as f64 / self.calls as f64 * 100.0
    }

    /// Returns the slot time of cancelled attempts, in percent of that of the others.
    pub fn extra_work_percent(&self) -> f64 {
        self.cancelled_ms as f64 / (self.busy_ms - self.cancelled_ms) as f64 * 100.0
    }
}
