use crate::clock::Ms;

/// Time after which the shortest transit time is measured anew, so that clocks that drift apart do not count as a delay.
const WINDOW: Ms = Ms(60_000);
/// Age at which a window no longer counts.
const WINDOW_AGE_MAX: Ms = Ms(2 * WINDOW.0);
/// Time after which a caller that has left must no longer have its call sent to a server.
const CANCEL_TIME: Ms = Ms(500);
/// Longest time for which a call is held back, so that a clock that is wrong does not cost a call its whole time.
const HOLD_MAX: Ms = Ms(500);

/// Delay of a call on its way, and what follows from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transit {
    /// Time for which the call was on its way, beyond the shortest transit time of the link.
    pub delay: Ms,
    /// Time for which the call has to be held back.
    pub hold: Ms,
}

/// Measures how long the calls of a link are on their way.
///
/// Load: links that are full, so that calls wait for half a second or longer in the network, where their sender cannot
/// withdraw them, and cancel messages are as late as the calls that they follow. A call that is delayed by more than
/// [`CANCEL_TIME`] is held back for the rest of its delay: the cancel message of a caller that left longer than
/// [`CANCEL_TIME`] before the call arrived is received by then.
///
/// The clocks of two hosts are not related, so that only differences to the shortest transit time are known.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitMeter {
    /// Smallest difference between the two clocks in this window.
    shortest: Option<i128>,
    /// Smallest difference in the window before.
    previous: Option<i128>,
    window_began: Ms,
}

impl TransitMeter {
    /// Records a call that its sender sent at `sent_at` by its own clock and that arrives at `now`.
    pub fn record(&mut self, sent_at: Ms, now: Ms) -> Transit {
        let difference = i128::from(now.0) - i128::from(sent_at.0);
        let age = now - self.window_began;
        if age >= WINDOW {
            // After a long pause, the clocks may have drifted apart by any time.
            self.previous = self.shortest.take().filter(|_| age < WINDOW_AGE_MAX);
            self.window_began = now;
        }
        let shortest = self.shortest.map_or(difference, |s| s.min(difference));
        self.shortest = Some(shortest);
        let usual = self.previous.map_or(shortest, |p| p.min(shortest));
        let delay = Ms(u64::try_from(difference - usual).unwrap_or_default());
        Transit {
            delay,
            hold: (delay - CANCEL_TIME).min(HOLD_MAX),
        }
    }
}
