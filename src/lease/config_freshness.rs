use crate::clock::Ms;

/// Round trip to the leader from which the link counts as slow. A silence after it is put down to the link; a silence
/// without it, to the loss of the leader or of the way to it.
const SLOW: Ms = Ms(400);
/// Renewals that are remembered until the configuration that they named has come.
const OPEN_MAX: usize = 16;

/// What can be said of the age of a daemon's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAge {
    /// Nothing that was committed longer ago than the limit is missing.
    Fresh,
    /// A configuration that was committed longer ago may be missing, and the leader is in reach.
    Stale,
    /// Nobody tells: the leader is lost, or the way to it is cut. The daemon goes on with what it has.
    Unknown,
}

/// How old the configuration of a daemon may be, by what the leader answered to renewals.
///
/// The load that it answers is a full link: answers that tell of a new configuration wait in the same queue as the
/// configuration itself, so only their absence shows that the daemon lags.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    /// Sending of the newest renewal whose answer named no configuration that was missing.
    proved_at: Ms,
    /// Sending of renewals with the configuration that their answers named, which is missing; ascending.
    open: Vec<(Ms, u64)>,
    answered_at: Ms,
    round_trip: Ms,
}

impl ConfigFreshness {
    /// Takes an answer at `now` to the renewal of `sent_at`. The leader's newest configuration had the log index `newest`
    /// then; the daemon has the one of `held`.
    pub fn record_answer(&mut self, sent_at: Ms, newest: u64, held: u64, now: Ms) {
        self.answered_at = now;
        self.round_trip = now - sent_at;
        self.open.push((sent_at, newest));
        if self.open.len() > OPEN_MAX {
            self.open.remove(0);
        }
        self.record_held(held);
    }

    /// Notes that the daemon has the configuration of log index `held`.
    pub fn record_held(&mut self, held: u64) {
        for (sent_at, newest) in &self.open {
            if *newest <= held {
                self.proved_at = self.proved_at.max(*sent_at);
            }
        }
        self.open.retain(|(_, newest)| *newest > held);
    }

    /// Tells at `now` if a configuration that was committed longer ago than `limit` may be missing. `silence` is the time
    /// without any answer after which the way to the leader counts as cut.
    pub fn age(&self, limit: Ms, silence: Ms, now: Ms) -> ConfigAge {
        if now <= self.proved_at + limit {
            return ConfigAge::Fresh;
        }
        let is_slow = self.round_trip >= SLOW && now <= self.answered_at + silence;
        match !self.open.is_empty() || is_slow {
            true => ConfigAge::Stale,
            false => ConfigAge::Unknown,
        }
    }

    /// Tells if the leader named a configuration longer ago than `patience` that is still missing.
    pub fn lacks_announced(&self, patience: Ms, now: Ms) -> bool {
        self.open
            .first()
            .is_some_and(|(sent_at, _)| *sent_at + patience < now)
    }

    /// Returns the time since the newest proof.
    pub fn since_confirmation(&self, now: Ms) -> Ms {
        now - self.proved_at
    }

    /// Returns the time that the newest answer took.
    pub fn round_trip(&self) -> Ms {
        self.round_trip
    }
}
