use {crate::clock::Ms, hdrhistogram::Histogram};

/// Longest time that is told apart, in ms. It is above every deadline that routes allow in practice; longer times count
/// as this one.
const TIME_MAX_MS: u64 = 120_000;
/// Significant decimal digits of the recorded times. One digit keeps times within 6% and a histogram below 1 KiB.
const DIGITS: u8 = 1;
/// Number of calls after which a window ends. Two windows hold at least this many, so that 5 of 100 calls above a
/// quantile are 25 samples.
const WINDOW_CALLS: u64 = 500;
/// Time after which a window ends, so that the times of a service that has changed are forgotten within a minute even
/// by a daemon with few calls.
const WINDOW_TIME: Ms = Ms(30_000);

/// Distribution of the response times of recent calls, in two windows of bounded size: the current one, and the one
/// before.
#[derive(Clone, Debug)]
pub(super) struct ResponseTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_since: Ms,
}

impl ResponseTimes {
    pub fn new(now: Ms) -> Self {
        let empty =
            Histogram::new_with_bounds(1, TIME_MAX_MS, DIGITS).expect("the bounds are valid constants");
        Self {
            current: empty.clone(),
            previous: empty,
            window_since: now,
        }
    }

    /// Records the time of one call.
    pub fn record(&mut self, took: Ms, now: Ms) {
        self.end_window(now);
        self.current.saturating_record(took.0);
    }

    /// Begins a new window if the current one is full or old, and drops those that are too old.
    fn end_window(&mut self, now: Ms) {
        let age = now - self.window_since;
        if self.current.len() < WINDOW_CALLS && age < WINDOW_TIME {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= Ms(WINDOW_TIME.0 * 2) {
            self.previous.reset();
        }
        self.window_since = now;
    }

    /// Returns the times of both windows.
    pub fn recent(&self) -> RecentTimes {
        let mut all = self.previous.clone();
        all += &self.current;
        RecentTimes(all)
    }
}

/// The response times of the recent calls at one moment.
pub(super) struct RecentTimes(Histogram<u32>);

impl RecentTimes {
    /// Returns the time that a share `quantile` of the calls did not exceed.
    pub fn quantile(&self, quantile: f64) -> Ms {
        Ms(self.0.value_at_quantile(quantile))
    }

    /// Returns the number of calls.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns the number of calls that took longer than `time`.
    pub fn count_above(&self, time: Ms) -> u64 {
        self.0.len() - self.0.count_between(0, time.0)
    }
}
