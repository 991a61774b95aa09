use crate::clock::Ms;

/// Allows a bounded number of log lines in each time window, so that a sender of bad requests cannot fill the
/// log.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Maximum number of lines in one window.
    max_lines: u32,
    window: Ms,
    window_start: Ms,
    allowed: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Returns a limit of `max_lines` lines in each `window`.
    pub fn new(max_lines: u32, window: Ms) -> Self {
        Self {
            max_lines,
            window,
            window_start: Ms::ZERO,
            allowed: 0,
            suppressed: 0,
        }
    }

    /// Decides whether a line may be logged at `now`. Returns the number of lines that were suppressed since the
    /// last allowed one, or `None` if this line must be suppressed too.
    pub fn pass(&mut self, now: Ms) -> Option<u64> {
        if now >= self.window_start + self.window {
            self.window_start = now;
            self.allowed = 0;
        }
        if self.allowed >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.allowed += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Default for RateLimit {
    /// Returns a limit of ten lines in ten seconds.
    fn default() -> Self {
        Self::new(10, Ms(10_000))
    }
}
