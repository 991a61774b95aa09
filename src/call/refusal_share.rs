use crate::clock::Ms;

/// Time constant of the exponential decay of the counts, in ms.
const DECAY_TIME_MS: f64 = 1000.0;
/// Number of decayed calls below which the share is not meaningful.
const CALLS_MIN: f64 = 4.0;

/// Share of the calls to a server that its daemon refused recently.
///
/// Daemons report it because the load alone misleads when a link is full: calls that arrive too late are refused,
/// so that the server runs few calls and looks free.
#[derive(Clone, Debug, Default)]
pub struct RefusalShare {
    calls: f64,
    refused: f64,
    updated_at: Ms,
}

impl RefusalShare {
    /// Counts a call.
    pub fn count(&mut self, refused: bool, now: Ms) {
        let factor = self.decay_factor(now);
        self.calls = self.calls * factor + 1.0;
        self.refused = self.refused * factor + f64::from(u8::from(refused));
        self.updated_at = now;
    }

    /// Returns the share in percent, or 0 if there were too few calls recently.
    pub fn percent(&self, now: Ms) -> u32 {
        if self.calls * self.decay_factor(now) < CALLS_MIN {
            return 0;
        }
        (self.refused / self.calls * 100.0) as u32
    }

    /// Returns the factor by which the counts have decayed at `now`.
    fn decay_factor(&self, now: Ms) -> f64 {
        (-((now - self.updated_at).0 as f64) / DECAY_TIME_MS).exp()
    }
}
