use crate::clock::Ms;

/// Round trip to the leader from which the link counts as slow. Missing answers after a slow round trip are
/// attributed to the link. Without one they are attributed to the loss of the leader or of the connection to it.
const SLOW_ROUND_TRIP: Ms = Ms(400);
/// Maximum number of requests that are kept until the configuration that their answers announced has arrived.
const PENDING_MAX: usize = 16;

/// Result of checking the age of a daemon's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAge {
    /// No configuration that was committed longer ago than the limit is missing.
    Fresh,
    /// A configuration that was committed longer ago may be missing, and the leader is reachable.
    Stale,
    /// This process has never had the newest configuration, as far as it knows. It may have any older one.
    Unconfirmed,
    /// The age cannot be determined, since the leader is lost or unreachable. The daemon continues with the
    /// configuration that it has.
    Unknown,
}

impl ConfigAge {
    /// Returns whether calls may be decided by the configuration.
    pub const fn is_usable(self) -> bool {
        match self {
            Self::Fresh | Self::Unknown => true,
            Self::Stale | Self::Unconfirmed => false,
        }
    }
}

/// Determines how old a daemon's configuration may be, from the leader's answers to renewals or to other requests that
/// tell which configuration is the newest.
///
/// It is made for a saturated link. There, the answers that announce a new configuration wait in the same queue as
/// the configuration itself, so that only their absence shows that the daemon lags behind.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    /// Send time of the newest request whose announced configuration the daemon has.
    confirmed_at: Option<Ms>,
    /// Requests whose answers announced a configuration that the daemon does not have yet: the send time and the log
    /// index of that configuration, ascending.
    pending: Vec<(Ms, u64)>,
    /// When the newest answer arrived.
    answered_at: Ms,
    /// Round trip of the newest answer.
    round_trip: Ms,
}

impl ConfigFreshness {
    /// Records an answer that arrived at `now` to the request that was sent at `sent_at`. The answer announces the
    /// configuration with log index `newest`; the daemon has the one with log index `held`.
    pub fn record_answer(&mut self, sent_at: Ms, newest: u64, held: u64, now: Ms) {
        self.answered_at = now;
        self.round_trip = now - sent_at;
        self.pending.push((sent_at, newest));
        if self.pending.len() > PENDING_MAX {
            self.pending.remove(0);
        }
        self.record_held(held);
    }

    /// Records that the daemon has the configuration with log index `held`.
    pub fn record_held(&mut self, held: u64) {
        for (sent_at, newest) in &self.pending {
            if *newest <= held {
                self.confirmed_at = self.confirmed_at.max(Some(*sent_at));
            }
        }
        self.pending.retain(|(_, newest)| *newest > held);
    }

    /// Returns whether a configuration that was committed more than `limit` before `now` may be missing. The leader
    /// counts as unreachable after the time `silence` without any answer.
    pub fn age(&self, limit: Ms, silence: Ms, now: Ms) -> ConfigAge {
        let Some(confirmed_at) = self.confirmed_at else {
            return ConfigAge::Unconfirmed;
        };
        if now <= confirmed_at + limit {
            return ConfigAge::Fresh;
        }
        let is_slow = self.round_trip >= SLOW_ROUND_TRIP && now <= self.answered_at + silence;
        match !self.pending.is_empty() || is_slow {
            true => ConfigAge::Stale,
            false => ConfigAge::Unknown,
        }
    }

    /// Returns whether the daemon has ever had the newest configuration.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns whether a configuration is still missing that the leader announced longer ago than `timeout`.
    pub fn lacks_announced(&self, timeout: Ms, now: Ms) -> bool {
        self.pending
            .first()
            .is_some_and(|(sent_at, _)| *sent_at + timeout < now)
    }

    /// Returns the time since the configuration was last confirmed as the newest one, or `None` if it never was.
    pub fn since_confirmation(&self, now: Ms) -> Option<Ms> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Returns the round trip of the newest answer.
    pub fn round_trip(&self) -> Ms {
        self.round_trip
    }
}
