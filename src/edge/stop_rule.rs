use std::time::Duration;

/// Time after the stop during which connections of callers are still served. Each response from then on closes its connection.
const CALLER_GRACE: Duration = Duration::from_millis(1000);
/// The same for other connections. It lets the I/O loop see requests that have arrived.
const DELIVERY_GRACE: Duration = Duration::from_millis(10);

/// How a connection ends at a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopRule {
    /// It is served for a while, and its peer has time to close it as well.
    AfterGrace,
    /// It ends as soon as no request is in progress and its peer has received all answers.
    OnceDelivered,
}

impl StopRule {
    /// Returns the time for which requests are still read.
    pub fn grace(self) -> Duration {
        match self {
            Self::AfterGrace => CALLER_GRACE,
            Self::OnceDelivered => DELIVERY_GRACE,
        }
    }
}
