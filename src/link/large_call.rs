use {
    crate::memory::Reservation,
    bytes::Bytes,
    std::{future::pending, time::Duration},
    tokio::time::sleep,
};

/// Interval at which the progress of a large call is recorded. It is a fraction of the time after which a body counts as
/// stalled.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// A large call that is being received from a peer, and the reservation of the memory for its frame.
///
/// It may be refused until it is complete, as the bodies of callers are: a peer that is frozen halfway would otherwise
/// keep others from the budget.
#[derive(Debug)]
pub(super) struct LargeCall {
    reservation: Reservation,
    received: usize,
}

/// Why the receiver of a large call looks at it.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallCheck {
    /// The progress is to be recorded.
    Progress,
    /// The budget takes the memory back.
    Refused,
}

impl LargeCall {
    pub fn new(reservation: Reservation) -> Self {
        Self {
            reservation,
            received: 0,
        }
    }

    /// Waits until there is a reason to look at a call.
    pub async fn check(call: Option<&Self>) -> CallCheck {
        let Some(call) = call else { return pending().await };
        tokio::select! {
            biased;
            () = call.reservation.refused() => CallCheck::Refused,
            () = sleep(PROGRESS_INTERVAL) => CallCheck::Progress,
        }
    }

    /// Records how many bytes of the call are in the read buffer.
    pub fn record_received(&mut self, buffered: usize) {
        if buffered > self.received {
            self.reservation.record_progress(buffered - self.received);
            self.received = buffered;
        }
    }

    /// Ties the reservation to the body of the complete call.
    pub fn keep(self, body: Bytes) -> Bytes {
        self.reservation.keep(body)
    }
}
