use {
    super::daemon_cx::DaemonCx,
    crate::{call::Reason, clock::Ms, schema::Route},
    tokio::{
        sync::{Semaphore, SemaphorePermit},
        time::timeout,
    },
};

/// Memory that one response of a route with `large_answers` is expected to take while it is read and passed on. Such
/// responses have 90 to 540 KB, and a link makes one copy.
const ANSWER_BYTES: usize = 1024 * 1024;

/// Limits the calls of routes with `large_answers` that are in progress.
///
/// Load: many large responses at once, to callers and over links that take seconds for each. Without a limit, a daemon
/// makes servers compute more responses than it has memory for, and the servers cut off those that it does not read.
/// Calls beyond the limit wait until their deadline. The response is accounted for in the budget of memory from its
/// arrival on, so that a caller that reads slowly does not delay other calls.
#[derive(Debug, Default)]
pub(super) struct LargeAnswers {
    /// Calls that entered here.
    entry: Option<Semaphore>,
    /// Calls that other daemons forwarded to the servers of this daemon. They have a limit of their own, since daemons
    /// that wait for each other's limit would otherwise block each other.
    forwarded: Option<Semaphore>,
}

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOrigin {
    Caller,
    Peer,
}

impl LargeAnswers {
    /// Returns the limits for a budget of memory, each for a quarter of it, or none.
    pub fn new(budget_bytes: Option<usize>) -> Self {
        let limit = || budget_bytes.map(|bytes| Semaphore::new((bytes / 4 / ANSWER_BYTES).max(1)));
        Self {
            entry: limit(),
            forwarded: limit(),
        }
    }

    /// Waits until a call of `route` may begin, at most for `time_left`.
    ///
    /// # Errors
    /// Returns the reason if the time is over. The call has not been run.
    pub async fn admit(
        &self,
        route: Option<&Route>,
        origin: CallOrigin,
        time_left: Ms,
    ) -> Result<Option<SemaphorePermit<'_>>, Reason> {
        let limit = match origin {
            CallOrigin::Caller => &self.entry,
            CallOrigin::Peer => &self.forwarded,
        };
        let Some(limit) = limit.as_ref().filter(|_| route.is_some_and(|r| r.large_answers)) else {
            return Ok(None);
        };
        match timeout(time_left.as_duration(), limit.acquire()).await {
            Ok(Ok(permit)) => Ok(Some(permit)),
            Ok(Err(_)) | Err(_) => Err(Reason::NoMemory),
        }
    }
}

impl DaemonCx {
    /// Waits until a call of `route` may begin, as [`LargeAnswers::admit`] describes.
    pub(super) async fn admit_large(
        &self,
        route: Option<&Route>,
        origin: CallOrigin,
        deadline: Ms,
    ) -> Result<Option<SemaphorePermit<'_>>, Reason> {
        let time_left = deadline - self.clock.now();
        self.large_answers.admit(route, origin, time_left).await
    }
}
