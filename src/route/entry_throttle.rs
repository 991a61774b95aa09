use {crate::clock::Ms, rand::Rng};

/// Time constant of the exponential decay of the counts, in ms.
const DECAY_TIME_MS: f64 = 2000.0;
/// Number of calls that are sent to the owner of a key for each call that it accepts. It is above 1 so that the rate
/// rises as soon as the server has free slots, and the server's queue can choose among the calls. A higher factor
/// makes no difference in small clusters, but serves a large cluster of hosts with little processor time worse.
const OWNER_SENT_PER_ACCEPTED: f64 = 2.0;
/// Number of calls that are sent to an undivided service for each call that it accepts. A call is tried at several
/// servers, and may find a free slot only at the last one: see `tests/entry_throttle.rs`.
const SERVICE_SENT_PER_ACCEPTED: f64 = 3.0;
/// Number of calls to a server that end unaccepted before any is held back. In a large cluster each entry daemon sends
/// a server only a few calls in [`DECAY_TIME_MS`], so a higher number would hold back none of them.
const UNTHROTTLED_CALLS: f64 = 1.0;
/// Number of records above which decayed ones are dropped.
const RECORDS_MAX: usize = 512;

/// Decaying counts of the calls of one kind to one server.
#[derive(Clone, Debug)]
struct CallStats {
    server: String,
    kind: String,
    /// Calls that have ended or were held back. Calls in progress tell nothing yet.
    arrived: f64,
    accepted: f64,
    /// The retry delay in the last refusal by the server's daemon.
    retry_after: Ms,
    updated_at: Ms,
}

impl CallStats {
    /// Decays the counts to their values at `now`.
    fn decay(&mut self, now: Ms) {
        let factor = (-((now - self.updated_at).0 as f64) / DECAY_TIME_MS).exp();
        self.arrived *= factor;
        self.accepted *= factor;
        self.updated_at = now;
    }
}

/// Refuses calls at the entry daemon while the server that should take them refuses most of them.
///
/// Without it, all daemons send the calls of a hot key to one daemon, which spends its processor time on refusals
/// until its lease expires and its configuration is out of date. Each call is held back with about the probability
/// with which it would be refused anyway, so that about two calls are sent for each one that is accepted.
///
/// An overloaded undivided service has a similar problem: several servers refuse a call before its caller is
/// refused, and each of these tries sends the whole call over two links.
#[derive(Clone, Debug)]
pub struct EntryThrottle {
    /// Number of calls that are sent for each call that is accepted.
    sent_per_accepted: f64,
    /// Sorted by server and kind.
    records: Vec<CallStats>,
}

impl EntryThrottle {
    /// Returns the throttle for the owners of keys.
    pub fn for_owners() -> Self {
        Self {
            sent_per_accepted: OWNER_SENT_PER_ACCEPTED,
            records: Vec::new(),
        }
    }

    /// Returns the throttle for undivided services.
    pub fn for_services() -> Self {
        Self {
            sent_per_accepted: SERVICE_SENT_PER_ACCEPTED,
            records: Vec::new(),
        }
    }

    /// Decides whether a call may be sent to a server. The end of a call that is sent has to be recorded.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry if the call is held back; zero if no such time is known.
    pub fn admit(&mut self, server: &str, kind: &str, now: Ms, rng: &mut impl Rng) -> Result<(), Ms> {
        let sent_per_accepted = self.sent_per_accepted;
        let stats = self.stats(server, kind, now);
        let surplus = stats.arrived - stats.accepted * sent_per_accepted - UNTHROTTLED_CALLS;
        let hold_back_probability = surplus / (stats.arrived + 1.0);
        if hold_back_probability > 0.0 && rng.random::<f64>() < hold_back_probability {
            // The probability follows the arriving calls, not the sent ones.
            stats.arrived += 1.0;
            return Err(stats.retry_after);
        }
        Ok(())
    }

    /// Records that the server refused a call since it is overloaded, and after which time the caller may retry.
    pub fn record_refused(&mut self, server: &str, kind: &str, retry_after: Ms, now: Ms) {
        let stats = self.stats(server, kind, now);
        stats.arrived += 1.0;
        stats.retry_after = retry_after;
    }

    /// Records that no answer came in time. The call may have waited all the time on a full link to the server's
    /// daemon, whose refusals come too late then.
    pub fn record_late(&mut self, server: &str, kind: &str, now: Ms) {
        self.stats(server, kind, now).arrived += 1.0;
    }

    /// Records that the server accepted a call.
    pub fn record_accepted(&mut self, server: &str, kind: &str, now: Ms) {
        let stats = self.stats(server, kind, now);
        stats.arrived += 1.0;
        stats.accepted += 1.0;
    }

    fn stats(&mut self, server: &str, kind: &str, now: Ms) -> &mut CallStats {
        if self.records.len() > RECORDS_MAX {
            self.records
                .retain(|s| (now - s.updated_at).0 as f64 <= DECAY_TIME_MS * 3.0);
        }
        let key = (server, kind);
        let found = self
            .records
            .binary_search_by(|s| (s.server.as_str(), s.kind.as_str()).cmp(&key));
        let i = found.unwrap_or_else(|i| {
            let new = CallStats {
                server: server.to_owned(),
                kind: kind.to_owned(),
                arrived: 0.0,
                accepted: 0.0,
                retry_after: Ms::ZERO,
                updated_at: now,
            };
            self.records.insert(i, new);
            i
        });
        self.records[i].decay(now);
        &mut self.records[i]
    }
}
