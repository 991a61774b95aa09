use {super::server_queue::AdmissionRequest, crate::clock::Ms};

/// Share of the mean time of its kind that a call must have left to be sent to the server. With less it would
/// rarely end in time, and the slot is better used for another call.
const TIME_LEFT_SHARE_MIN: f64 = 0.8;

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    pub ticket: u64,
    pub request: AdmissionRequest,
    /// Whether the call could not meet its objective when it arrived.
    pub is_late: bool,
    /// Time by which the call should end.
    pub finish_by: Ms,
    /// Whether another kind takes much longer.
    pub is_short: bool,
    /// Expected time of the call, in ms.
    pub time_ms: f64,
    /// Time that few calls of its kind exceed, in ms: the mean and some deviations.
    pub long_ms: f64,
}

impl WaitingCall {
    /// Returns the sort key. Higher priorities come first, then calls that can meet their objectives, then short
    /// ones, then those that must start earlier, then earlier arrivals.
    pub fn order(&self) -> (u8, bool, bool, Ms, u64) {
        let start_by = self.finish_by - Ms(self.long_ms as u64);
        let rank = u8::MAX - self.request.priority;
        (rank, self.is_late, !self.is_short, start_by, self.ticket)
    }

    /// Returns the latest time at which the call can start and still end in time.
    pub fn latest_start(&self) -> Ms {
        // A call that was late on arrival waits only for a short time.
        let latest_end = if self.is_late {
            self.finish_by
        } else {
            self.request.deadline
        };
        latest_end - least_time(self.time_ms)
    }
}

/// Returns whether a call that starts now has enough time until `deadline` to be sent to the server: at least
/// [`TIME_LEFT_SHARE_MIN`] of its expected time.
pub fn can_end_in_time(now: Ms, time_ms: f64, deadline: Ms) -> bool {
    now + least_time(time_ms) <= deadline
}

/// Returns the time that must be left for a call that is expected to take `time_ms`.
fn least_time(time_ms: f64) -> Ms {
    Ms((time_ms * TIME_LEFT_SHARE_MIN) as u64)
}
