/// Retries that one first attempt pays for.
const RATIO: f64 = 0.1;
/// Most retries that are saved up.
const SAVED_MAX: f64 = 20.0;

/// Bounds retries to a share of the calls, so that they add little load when every server fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RATIO).min(SAVED_MAX);
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
