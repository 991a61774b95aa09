use crate::clock::Ms;

/// Lets a bounded number of log lines through in each span of time, so that a sender of bad requests cannot
/// fill the log.
#[derive(Clone, Debug)]
pub struct RateLimit {
    /// Most lines in one span.
    lines: u32,
    span: Ms,
    span_start: Ms,
    passed: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Returns a limit of `lines` lines in each `span`.
    pub fn new(lines: u32, span: Ms) -> Self {
        Self {
            lines,
            span,
            span_start: Ms::ZERO,
            passed: 0,
            suppressed: 0,
        }
    }

    /// Tells if a line may be logged at `now`. It returns the number of lines suppressed since the last one
    /// that passed, or `None` if this one is to be suppressed too.
    pub fn pass(&mut self, now: Ms) -> Option<u64> {
        if now >= self.span_start + self.span {
            self.span_start = now;
            self.passed = 0;
        }
        if self.passed >= self.lines {
            self.suppressed += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Default for RateLimit {
    /// Ten lines in ten seconds.
    fn default() -> Self {
        Self::new(10, Ms(10_000))
    }
}
