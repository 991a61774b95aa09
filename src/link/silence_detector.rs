use crate::clock::Ms;

/// Time without received bytes after a write after which the peer is sent a ping.
const PING_DELAY: Ms = Ms(400);
/// Time without received bytes after a write after which a link counts as silent at first.
const SILENCE_MIN: Ms = Ms(1000);
/// Longest such time. It grows with each link that was taken for silent and was only slow.
const SILENCE_MAX: Ms = Ms(4000);

/// What to do about a link at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCheck {
    /// The peer has received all that was written, and no request is pending. There is nothing to do before the next
    /// write.
    Answered,
    /// Nothing has to be done before this time.
    Wait(Ms),
    /// A ping has to be sent.
    Ping,
    /// The link carries nothing: the peer has answered neither the frames nor the ping.
    Silent,
}

/// Detects that a link carries nothing any more although its connection is open.
///
/// Every peer answers pings at once, so that received bytes of any kind show that the link works.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    /// When the first frame was written after the last received bytes.
    unanswered_since: Option<Ms>,
    /// When the last ping was sent.
    pinged_at: Option<Ms>,
    /// Time without received bytes after which the link counts as silent.
    limit: Ms,
}

impl SilenceDetector {
    /// Records that a frame is written at `now`. Bytes were last received at `received_at`.
    pub fn record_write(&mut self, received_at: Ms, now: Ms) {
        if self.unanswered_since.is_none_or(|since| since < received_at) {
            self.unanswered_since = Some(now);
        }
    }

    /// Returns what to do at `now`. Bytes were last received at `received_at`, and requests are pending if `has_pending`.
    /// A ping counts as sent once it has been asked for.
    pub fn check(&mut self, received_at: Ms, has_pending: bool, now: Ms) -> LinkCheck {
        let unanswered_since = self.unanswered_since.filter(|since| *since >= received_at);
        let Some(since) = unanswered_since.or(has_pending.then_some(received_at)) else {
            return LinkCheck::Answered;
        };
        if now >= since + self.limit {
            return LinkCheck::Silent;
        }
        if self.pinged_at.is_some_and(|at| at > since) {
            return LinkCheck::Wait(since + self.limit);
        }
        if now >= since + PING_DELAY {
            self.pinged_at = Some(now);
            return LinkCheck::Ping;
        }
        LinkCheck::Wait(since + PING_DELAY)
    }

    /// Records that the link was taken for silent and was only slow.
    pub fn record_slow(&mut self) {
        self.limit = SILENCE_MAX.min(self.limit + self.limit);
    }
}

impl Default for SilenceDetector {
    fn default() -> Self {
        Self {
            unanswered_since: None,
            pinged_at: None,
            limit: SILENCE_MIN,
        }
    }
}
