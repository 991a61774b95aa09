/// Retries that one first attempt pays for.
const RATIO: f64 = 0.1;
/// Most retries that are saved up.
const SAVED_MAX: f64 = 20.0;

/// Bounds retries to a share of the calls, so that they add little load when every server fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    saved_max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RATIO, SAVED_MAX)
    }
}

impl RetryBudget {
    /// Returns a full budget: each first attempt pays for `ratio` retries, and up to `saved_max` are saved up.
    pub fn new(ratio: f64, saved_max: f64) -> Self {
        Self {
            tokens: saved_max,
            ratio,
            saved_max,
        }
    }

    /// Changes how many retries are saved up.
    pub fn set_capacity(&mut self, saved_max: f64) {
        self.saved_max = saved_max;
        self.tokens = self.tokens.min(saved_max);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.saved_max);
    }

    /// Takes a retry out of the budget. False: there is none left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
