use crate::clock::Ms;

/// What two readings of the clocks say about the time between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockVerdict {
    /// The process ran as usual.
    Steady,
    /// The host was suspended for this long.
    Suspended(Ms),
    /// The process was not scheduled for this long beyond the usual pause.
    Paused(Ms),
}

/// Finds out from readings of the clocks that the process did not run for a while.
///
/// `CLOCK_BOOTTIME` counts the time that a host is suspended and `CLOCK_MONOTONIC` does not, so that a
/// suspend shows as a jump between both. A process that was stopped, or not scheduled, shows as a gap.
#[derive(Clone, Copy, Debug)]
pub struct SleepDetector {
    pause: Ms,
    margin: Ms,
    last: Option<(Ms, Ms)>,
}

impl SleepDetector {
    /// Returns a detector that is fed every `pause` and reports what exceeds it by more than `margin`.
    pub fn new(pause: Ms, margin: Ms) -> Self {
        Self {
            pause,
            margin,
            last: None,
        }
    }

    /// Takes a reading of the clock that counts suspends and of the one that does not.
    pub fn observe(&mut self, boot: Ms, monotonic: Ms) -> ClockVerdict {
        let Some((last_boot, last_monotonic)) = self.last.replace((boot, monotonic)) else {
            return ClockVerdict::Steady;
        };
        let passed = boot - last_boot;
        let suspended = passed - (monotonic - last_monotonic);
        if suspended > self.margin {
            return ClockVerdict::Suspended(suspended);
        }
        let gap = passed - self.pause;
        if gap > self.margin {
            return ClockVerdict::Paused(gap);
        }
        ClockVerdict::Steady
    }
}
