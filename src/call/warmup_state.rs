use crate::{clock::Ms, schema::Warmup};

/// Time after [`WarmupState::forget_warmth`] in which a heartbeat that states that the server is warm does not count. It
/// may have been sent before the server became cold, and heartbeats arrive up to 1 s late.
const WARM_REPORT_DELAY: Ms = Ms(1000);

/// What the daemon beside a server knows of its warm-up.
///
/// The load that this addresses: a cold server takes a few calls a second from all daemons together and fails above
/// that. Only the daemon beside it sees all of its calls, so it is the one that decides. A server whose state is unknown
/// counts as cold for the warm-up time of its service.
///
/// The record holds times only. The schema may arrive or change after the server, so it is given with each question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupState {
    /// Since when it is unknown whether the server is warm, until a heartbeat tells it.
    unknown_since: Option<Ms>,
    /// When a heartbeat last told how long the server stays cold, and that time.
    reported: Option<(Ms, Ms)>,
    /// Heartbeats before this time do not end the unknown state.
    trusted_from: Ms,
}

impl WarmupState {
    /// Returns the record of a server about which nothing is known at `now`, e.g. of one that was adopted from an earlier
    /// process of the daemon. It is cold until its first heartbeat.
    pub fn unknown(now: Ms) -> Self {
        Self {
            unknown_since: Some(now),
            reported: None,
            trusted_from: Ms::ZERO,
        }
    }

    /// Returns the record of a server whose first heartbeat arrives at `now` and states that it stays cold for `left`.
    pub fn reported(left: Ms, now: Ms) -> Self {
        let mut warmup = Self::unknown(now);
        warmup.record_heartbeat(left, now);
        warmup
    }

    /// Records that a heartbeat arrives at `now` and states that the server stays cold for `left`, or that it is warm if
    /// that is zero. Heartbeats that are out of order must not be recorded.
    pub fn record_heartbeat(&mut self, left: Ms, now: Ms) {
        self.reported = Some((now, left));
        if now >= self.trusted_from {
            self.unknown_since = None;
        }
    }

    /// Makes the state of the server unknown from `now` on, since it may have become cold a short time ago. To be called
    /// once for each server of this daemon when the daemon learns that an evacuation of its failure domain has ended.
    ///
    /// The server then counts as cold for the whole warm-up time, unless a heartbeat that arrives
    /// [`WARM_REPORT_DELAY`] or more after `now` states less.
    pub fn forget_warmth(&mut self, now: Ms) {
        self.unknown_since = Some(now);
        self.trusted_from = now + WARM_REPORT_DELAY;
    }

    /// Returns the time until which the server counts as cold, or zero if its service has no warm-up. No warm-up lasts
    /// longer than that of the service after the event that began it.
    pub fn cold_until(&self, warmup: Option<Warmup>) -> Ms {
        let Some(warmup) = warmup else {
            return Ms::ZERO;
        };
        let unknown_until = self.unknown_since.map_or(Ms::ZERO, |since| since + warmup.time);
        let reported_until = match self.reported {
            Some((_, Ms::ZERO)) | None => Ms::ZERO,
            Some((at, left)) => at + left.min(warmup.time),
        };
        unknown_until.max(reported_until)
    }

    /// Returns whether the server counts as cold at `now`.
    pub fn is_cold(&self, warmup: Option<Warmup>, now: Ms) -> bool {
        now < self.cold_until(warmup)
    }

    /// Returns the earliest time at which the present warm-up may have begun: a heartbeat that states less than the whole
    /// warm-up time tells that the server has been cold for the rest.
    pub fn cold_since(&self, warmup: Warmup) -> Ms {
        let reported_since = match self.reported {
            Some((_, Ms::ZERO)) | None => Ms::MAX,
            Some((at, left)) => at - (warmup.time - left.min(warmup.time)),
        };
        self.unknown_since.unwrap_or(Ms::MAX).min(reported_since)
    }
}
