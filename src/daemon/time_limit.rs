use {
    super::daemon_cx::DaemonCx,
    crate::{
        call::{CallResult, Reason},
        clock::Ms,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Largest error of a time limit that two daemons and the client of a server have counted down, each in whole milliseconds.
const ROUNDING_MAX: Ms = Ms(5);
/// Step of the clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);

impl DaemonCx {
    /// Waits until `limit` is certainly over if the call has ended since its server was late.
    ///
    /// All times are cut to whole milliseconds, also the one at which the call began, so that the call ends up to
    /// [`ROUNDING_MAX`] early. One that has ended long before its limit is not held up.
    pub(super) async fn await_time_limit(&self, result: &CallResult, limit: Ms) {
        if result.reason.is_some_and(Reason::is_late) && limit <= self.clock.now() + ROUNDING_MAX {
            while self.clock.now() <= limit {
                sleep(CLOCK_STEP).await;
            }
        }
    }
}
