use crate::clock::Ms;

/// Time in which what was counted fades to a third, in ms.
const FADE_MS: f64 = 1000.0;
/// Calls from which a share says something.
const CALLS_MIN: f64 = 4.0;

/// Share of the calls to a server that its daemon refused of late.
///
/// It answers the load of a full link: calls that come too late are refused, so that the server runs few and looks free.
#[derive(Clone, Debug, Default)]
pub struct RefusalShare {
    calls: f64,
    refused: f64,
    at: Ms,
}

impl RefusalShare {
    /// Counts a call.
    pub fn count(&mut self, refused: bool, now: Ms) {
        let part = self.part_left(now);
        self.calls = self.calls * part + 1.0;
        self.refused = self.refused * part + f64::from(u8::from(refused));
        self.at = now;
    }

    /// Returns the share in percent. 0: too few calls came to tell.
    pub fn percent(&self, now: Ms) -> u32 {
        if self.calls * self.part_left(now) < CALLS_MIN {
            return 0;
        }
        (self.refused / self.calls * 100.0) as u32
    }

    fn part_left(&self, now: Ms) -> f64 {
        (-((now - self.at).0 as f64) / FADE_MS).exp()
    }
}
