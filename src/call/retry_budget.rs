/// Tokens that each first attempt adds. A retry takes one token.
const TOKENS_PER_CALL: f64 = 0.1;
/// Maximum number of tokens.
const CAPACITY: f64 = 20.0;

/// Token bucket that limits retries to a share of the calls, so that they add little load when every server fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_call: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(TOKENS_PER_CALL, CAPACITY)
    }
}

impl RetryBudget {
    /// Returns a full budget. Each first attempt adds `tokens_per_call` tokens, up to `capacity`.
    pub fn new(tokens_per_call: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            tokens_per_call,
            capacity,
        }
    }

    /// Changes the maximum number of tokens.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds the tokens of a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_call).min(self.capacity);
    }

    /// Returns whether there is a token for a retry.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for a retry. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
