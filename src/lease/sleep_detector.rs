use crate::clock::Ms;

/// What two consecutive clock readings show about the time between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockVerdict {
    /// The process ran as usual.
    Steady,
    /// The host was suspended for this long.
    Suspended(Ms),
    /// The process did not run for this long beyond the usual interval.
    Paused(Ms),
}

/// Detects from clock readings that the process did not run for a while.
///
/// `CLOCK_BOOTTIME` includes the time that a host is suspended and `CLOCK_MONOTONIC` does not, so a suspend shows as
/// a difference between the two. If the process was stopped or not scheduled, both clocks show a gap.
#[derive(Clone, Copy, Debug)]
pub struct SleepDetector {
    interval: Ms,
    margin: Ms,
    last: Option<(Ms, Ms)>,
}

impl SleepDetector {
    /// Creates a detector that is given a reading every `interval` and reports gaps that exceed it by more than
    /// `margin`.
    pub fn new(interval: Ms, margin: Ms) -> Self {
        Self {
            interval,
            margin,
            last: None,
        }
    }

    /// Takes a reading of both clocks and compares it with the previous one.
    pub fn observe(&mut self, boot: Ms, monotonic: Ms) -> ClockVerdict {
        let Some((last_boot, last_monotonic)) = self.last.replace((boot, monotonic)) else {
            return ClockVerdict::Steady;
        };
        let passed = boot - last_boot;
        let suspended = passed - (monotonic - last_monotonic);
        if suspended > self.margin {
            return ClockVerdict::Suspended(suspended);
        }
        let gap = passed - self.interval;
        if gap > self.margin {
            return ClockVerdict::Paused(gap);
        }
        ClockVerdict::Steady
    }
}
