use {crate::clock::Ms, rand::Rng};

/// Time in which what was seen of a server fades to a third, in ms.
const FADE_MS: f64 = 2000.0;
/// Calls that are sent to the owner of a key for each call that it took. Above 1, so that more calls come as soon as
/// there is room, and the server's own queue can choose among them. Measured with 2 and 4: small sites are served alike,
/// and on a site of 91 hosts, where a processor is a tenth of a core, 2 is better (0.353 against 0.321).
const SENT_TO_OWNER: f64 = 2.0;
/// The same for the servers of an undivided service. A call is tried at several of them, and the room that is left is
/// found at the last ones: `tests/entry_throttle.rs`.
const SENT_TO_SERVICE: f64 = 3.0;
/// Calls that are sent before any is held back.
const FREE_CALLS: f64 = 8.0;
/// Records from which those that have faded are dropped.
const RECORDS_MAX: usize = 512;

/// What became of the calls of one kind to one server of late.
#[derive(Clone, Debug)]
struct Seen {
    server: String,
    kind: String,
    sent: f64,
    taken: f64,
    /// What the server's daemon said last about when to come back.
    retry_after: Ms,
    at: Ms,
}

impl Seen {
    fn fade(&mut self, now: Ms) {
        let part = (-((now - self.at).0 as f64) / FADE_MS).exp();
        self.sent *= part;
        self.taken *= part;
        self.at = now;
    }
}

/// Holds calls back at the entry daemon while the only server that could take them refuses most.
///
/// It answers the load of a hot key: all daemons send its calls to one, whose processor is then spent on refusals,
/// until its lease runs out and its configuration lags. A call is held back with the probability with which it
/// would be refused anyway, so that about two calls are sent for each one that is taken.
/// The same load at a service: each call is refused by several servers before it is refused to its caller, and each of
/// these tries takes the whole call over two links.
#[derive(Clone, Debug)]
pub struct EntryThrottle {
    /// Calls that are sent for each call that was taken.
    sent_for_taken: f64,
    /// Sorted by server and kind.
    seen: Vec<Seen>,
}

impl EntryThrottle {
    /// Returns the throttle for the owners of keys.
    pub fn for_owners() -> Self {
        Self {
            sent_for_taken: SENT_TO_OWNER,
            seen: Vec::new(),
        }
    }

    /// Returns the throttle for undivided services.
    pub fn for_services() -> Self {
        Self {
            sent_for_taken: SENT_TO_SERVICE,
            seen: Vec::new(),
        }
    }

    /// Counts a call to a server and tells if it may be sent.
    ///
    /// # Errors
    /// It is refused here; the time is when it may come back, zero if that is not known.
    pub fn admit(&mut self, server: &str, kind: &str, now: Ms, rng: &mut impl Rng) -> Result<(), Ms> {
        let sent_for_taken = self.sent_for_taken;
        let seen = self.seen(server, kind, now);
        let surplus = seen.sent - seen.taken * sent_for_taken - FREE_CALLS;
        let held_back = surplus / (seen.sent + 1.0);
        // What is held back counts as sent: the share follows the calls that come, not those that go out.
        seen.sent += 1.0;
        if held_back > 0.0 && rng.random::<f64>() < held_back {
            return Err(seen.retry_after);
        }
        Ok(())
    }

    /// Notes that the server refused a call for want of room, and when it asked the caller back.
    pub fn record_refused(&mut self, server: &str, kind: &str, retry_after: Ms, now: Ms) {
        self.seen(server, kind, now).retry_after = retry_after;
    }

    /// Counts a call that the server took.
    pub fn record_accepted(&mut self, server: &str, kind: &str, now: Ms) {
        self.seen(server, kind, now).taken += 1.0;
    }

    fn seen(&mut self, server: &str, kind: &str, now: Ms) -> &mut Seen {
        if self.seen.len() > RECORDS_MAX {
            self.seen.retain(|s| (now - s.at).0 as f64 <= FADE_MS * 3.0);
        }
        let key = (server, kind);
        let found = self
            .seen
            .binary_search_by(|s| (s.server.as_str(), s.kind.as_str()).cmp(&key));
        let i = found.unwrap_or_else(|i| {
            let new = Seen {
                server: server.to_owned(),
                kind: kind.to_owned(),
                sent: 0.0,
                taken: 0.0,
                retry_after: Ms::ZERO,
                at: now,
            };
            self.seen.insert(i, new);
            i
        });
        self.seen[i].fade(now);
        &mut self.seen[i]
    }
}
