use {
    super::{ReservationKind, ReservationState},
    crate::clock::Ms,
    std::net::IpAddr,
};

/// A body of up to this size uses a part of the budget that larger ones leave free, so that ordinary requests are read
/// while large ones wait.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Part of the budget that small bodies in progress get although the rest is held, and twice of which large responses leave
/// free. Without it, heartbeats of servers would wait for callers that do not read.
const SMALL_BODIES_FRACTION: usize = 16;
/// Time for which a reservation waits before anything is refused. Bodies and responses that are in progress usually end
/// within this time.
pub const PRESSURE_TIME: Ms = Ms(300);
/// A body without a new byte for this time is stalled. Senders within their limits pause for less, except while their
/// link is interrupted.
pub const STALL_TIME: Ms = Ms(1000);
/// A response of which nothing was taken for this time is stalled. A socket that is written to on a link of 2 Mbit/s
/// accepts more bytes only after a third of its buffer was sent, which takes up to 2 s.
pub const WRITE_STALL_TIME: Ms = Ms(3000);
/// Age from which the rate of a body that is not stalled is compared with that of others, and time for which a body may
/// wait for others that are not stalled.
const RATE_AGE_MIN: Ms = Ms(2000);

/// One reservation of memory.
#[derive(Clone, Copy, Debug)]
struct Entry {
    id: u64,
    kind: ReservationKind,
    client: Option<IpAddr>,
    state: ReservationState,
    /// Bytes accounted for.
    bytes: usize,
    /// Bytes that the reservation waits for.
    wanted: usize,
    waiting_since: Ms,
    began: Ms,
    progress_at: Ms,
    /// Bytes received or written.
    progress: usize,
    /// Whether the bytes are those of a response, also once it is complete.
    is_response: bool,
    /// Whether the bytes are those of a response for another daemon, also once it is complete.
    is_forwarded: bool,
}

impl Entry {
    /// Returns the bytes that are free after the end of the reservation.
    fn freed_bytes(&self) -> usize {
        match self.kind {
            ReservationKind::Writing => self.wanted,
            ReservationKind::Body
            | ReservationKind::Kept
            | ReservationKind::Response
            | ReservationKind::ForwardedResponse => self.bytes,
        }
    }

    fn is_small(&self) -> bool {
        self.bytes + self.wanted <= SMALL_BYTES
    }

    /// Returns whether the peer does nothing although it could.
    fn is_stalled(&self, now: Ms) -> bool {
        let limit = match self.kind {
            ReservationKind::Body => STALL_TIME,
            ReservationKind::Writing => WRITE_STALL_TIME,
            ReservationKind::Kept | ReservationKind::Response | ReservationKind::ForwardedResponse => {
                return false
            }
        };
        self.state == ReservationState::Held && now - self.progress_at >= limit
    }
}

/// Reservations whose state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Reservations that have got the bytes that they waited for.
    pub granted: Vec<u64>,
    /// Reservations that have to end.
    pub refused: Vec<u64>,
}

/// Decides which reservations get memory from a budget of bytes, which wait and which are refused.
///
/// Load: clients that send many large bodies at once and stop short of their ends, or do not read large responses. While
/// the budget has room, every reservation is granted. Then reservations wait. If that lasts [`PRESSURE_TIME`], reservations
/// that make no progress are refused, those of the client that holds most first, and the oldest of them first; if there
/// are none, a reservation that waits itself, since reservations may wait for each other; if there are none either, the slowest body.
///
/// Large bodies use up to a half of the budget, all bodies up to three quarters, large responses up to seven eighths, and small
/// ones the whole, since a response that is not read was computed in vain. Small bodies in progress get a sixteenth in any case. Those for other daemons use up to a half, since they are held until
/// these have room: daemons that hold responses for each other must have room left to fetch some.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    held: usize,
    /// Bytes held by responses that are being read or are complete.
    response_bytes: usize,
    /// The part of these that belongs to responses for other daemons.
    forwarded_bytes: usize,
    waiting: usize,
    next_id: u64,
    /// Sorted by id.
    entries: Vec<Entry>,
}

impl Ledger {
    /// Returns a ledger that grants up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            response_bytes: 0,
            forwarded_bytes: 0,
            waiting: 0,
            next_id: 1,
            entries: Vec::new(),
        }
    }

    /// Returns the size of the budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of reservations that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the first reservation that waits.
    pub fn first_waiting(&self) -> Option<u64> {
        let mut waiting = self
            .entries
            .iter()
            .filter(|e| e.state == ReservationState::Waiting);
        waiting.next().map(|e| e.id)
    }

    /// Opens a reservation without bytes. `client` is the address of the sender or receiver, if it is not a trusted one.
    pub fn open(&mut self, kind: ReservationKind, client: Option<IpAddr>, now: Ms) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.push(Entry {
            id,
            kind,
            client,
            state: ReservationState::Held,
            bytes: 0,
            wanted: 0,
            waiting_since: now,
            began: now,
            progress_at: now,
            progress: 0,
            is_response: matches!(
                kind,
                ReservationKind::Response | ReservationKind::ForwardedResponse
            ),
            is_forwarded: kind == ReservationKind::ForwardedResponse,
        });
        id
    }

    /// Returns the state of a reservation; `Refused` if it does not exist.
    pub fn state(&self, id: u64) -> ReservationState {
        self.position(id)
            .map_or(ReservationState::Refused, |i| self.entries[i].state)
    }

    /// Asks for more bytes for a reservation. Returns its state then. A reservation of kind `Kept` always gets them.
    pub fn request(&mut self, id: u64, bytes: usize, now: Ms) -> ReservationState {
        let Some(i) = self.position(id) else {
            return ReservationState::Refused;
        };
        let entry = &mut self.entries[i];
        if entry.state != ReservationState::Held || bytes == 0 {
            return entry.state;
        }
        entry.wanted = bytes;
        entry.waiting_since = now;
        entry.state = ReservationState::Waiting;
        let entry = *entry;
        self.waiting += 1;
        let is_behind_others = || {
            let mut others = self.entries.iter();
            others.any(|e| {
                e.id != id && e.state == ReservationState::Waiting && class_of(e) == class_of(&entry)
            })
        };
        let may_overtake = entry.kind == ReservationKind::Kept || self.waiting == 1 || !is_behind_others();
        if may_overtake && self.fits(&entry) {
            self.grant(i, now);
        }
        self.entries[i].state
    }

    /// Returns bytes of a reservation to the budget.
    pub fn give_back(&mut self, id: u64, bytes: usize, now: Ms) -> Settled {
        if let Some(i) = self.position(id) {
            let bytes = bytes.min(self.entries[i].bytes);
            self.subtract(i, bytes);
        }
        self.grant_waiting(now)
    }

    /// Records that the peer of a reservation has sent or taken bytes.
    pub fn record_progress(&mut self, id: u64, bytes: usize, now: Ms) {
        if let Some(i) = self.position(id) {
            let entry = &mut self.entries[i];
            entry.progress += bytes;
            entry.progress_at = now;
        }
    }

    /// Sets the bytes that the end of a reservation of kind `Writing` frees.
    pub fn set_freed_bytes(&mut self, id: u64, bytes: usize, now: Ms) {
        if let Some(i) = self.position(id) {
            let entry = &mut self.entries[i];
            entry.wanted = bytes;
            entry.progress_at = now;
        }
    }

    /// Turns a reservation into one of kind `Kept`.
    pub fn keep(&mut self, id: u64) {
        if let Some(i) = self.position(id) {
            self.entries[i].kind = ReservationKind::Kept;
        }
    }

    /// Ends a reservation and returns its bytes to the budget.
    pub fn close(&mut self, id: u64, now: Ms) -> Settled {
        let Some(i) = self.position(id) else {
            return Settled::default();
        };
        self.subtract(i, self.entries[i].bytes);
        if self.entries[i].state == ReservationState::Waiting {
            self.waiting -= 1;
        }
        self.entries.remove(i);
        self.grant_waiting(now)
    }

    /// Grants what fits, and refuses reservations if others have waited for too long.
    pub fn settle(&mut self, now: Ms) -> Settled {
        let mut settled = self.grant_waiting(now);
        let waiting = || {
            self.entries
                .iter()
                .filter(|e| e.state == ReservationState::Waiting)
        };
        let Some(since) = waiting().map(|e| e.waiting_since).min() else {
            return settled;
        };
        if now - since < PRESSURE_TIME {
            return settled;
        }
        let ending = self
            .entries
            .iter()
            .filter(|e| e.state == ReservationState::Refused);
        let ending: usize = ending.map(Entry::freed_bytes).sum();
        let wanted: usize = waiting().map(|e| e.wanted).sum();
        let smallest = waiting().map(|e| e.wanted).min().unwrap_or_default();
        // Stalled reservations are refused for all that wait, others only until one reservation fits.
        let mut missing = wanted.min(self.limit / 4).saturating_sub(ending);
        for id in self.stalled(now) {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(self.refuse(id));
            settled.refused.push(id);
        }
        if settled.refused.is_empty() && ending < smallest.max(1) {
            if let Some(id) = self.longest_waiting(now).or_else(|| self.slowest(now)) {
                self.refuse(id);
                settled.refused.push(id);
            }
        }
        settled
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }

    fn subtract(&mut self, i: usize, bytes: usize) {
        let entry = &mut self.entries[i];
        entry.bytes -= bytes;
        self.held -= bytes;
        if entry.is_response {
            self.response_bytes -= bytes;
        }
        if entry.is_forwarded {
            self.forwarded_bytes -= bytes;
        }
    }

    /// Returns whether the bytes that a reservation wants fit. One request always fits if nothing else is held. So does one
    /// response if no other one is held, apart from those for other daemons, which may wait for this one in turn.
    fn fits(&self, entry: &Entry) -> bool {
        let others = self.held - entry.bytes;
        let (cap, is_alone) = match entry.kind {
            ReservationKind::Kept | ReservationKind::Writing => return true,
            // Small ones are sent on at once: they do not wait for the room of other daemons.
            ReservationKind::ForwardedResponse
                if !entry.is_small() && self.forwarded_bytes + entry.wanted > self.limit / 2 =>
            {
                return self.response_bytes == entry.bytes;
            }
            ReservationKind::Response => (
                self.response_cap(entry),
                self.response_bytes - self.forwarded_bytes == entry.bytes,
            ),
            ReservationKind::ForwardedResponse => {
                (self.response_cap(entry), self.response_bytes == entry.bytes)
            }
            ReservationKind::Body if entry.is_small() => {
                let cap = self.limit / 4 * 3;
                return others == 0 || self.held + entry.wanted <= cap || self.has_small_share(entry);
            }
            ReservationKind::Body => (self.limit / 2, others == 0),
        };
        is_alone || self.held + entry.wanted <= cap
    }

    fn response_cap(&self, entry: &Entry) -> usize {
        match entry.is_small() {
            true => self.limit,
            false => self.limit - 2 * (self.limit / SMALL_BODIES_FRACTION),
        }
    }

    /// Returns whether the bytes that a small body wants fit into the share of small bodies.
    fn has_small_share(&self, entry: &Entry) -> bool {
        let small_bodies = self
            .entries
            .iter()
            .filter(|e| e.kind == ReservationKind::Body && e.is_small());
        let held: usize = small_bodies.map(|e| e.bytes).sum();
        held + entry.wanted <= self.limit / SMALL_BODIES_FRACTION
    }

    fn grant(&mut self, i: usize, now: Ms) {
        let entry = &mut self.entries[i];
        entry.bytes += entry.wanted;
        self.held += entry.wanted;
        if entry.is_response {
            self.response_bytes += entry.wanted;
        }
        if entry.is_forwarded {
            self.forwarded_bytes += entry.wanted;
        }
        entry.wanted = 0;
        // The wait was not the fault of the sender.
        entry.progress_at = now;
        entry.state = ReservationState::Held;
        self.waiting -= 1;
    }

    /// Grants what fits, to responses first, then to the clients that hold least. Within a class, a reservation that does not
    /// fit is not overtaken by later ones.
    fn grant_waiting(&mut self, now: Ms) -> Settled {
        let mut settled = Settled::default();
        if self.waiting == 0 {
            return settled;
        }
        let shares = self.client_bytes();
        let waiting = self
            .entries
            .iter()
            .filter(|e| e.state == ReservationState::Waiting);
        let mut order: Vec<_> = waiting
            .map(|e| (class_of(e), share_of(&shares, e.client), e.waiting_since, e.id))
            .collect();
        order.sort_unstable();
        let mut blocked = None;
        for (class, _, _, id) in order {
            let Some(i) = self.position(id).filter(|_| blocked != Some(class)) else {
                continue;
            };
            if self.fits(&self.entries[i]) {
                self.grant(i, now);
                settled.granted.push(id);
            } else {
                blocked = Some(class);
            }
        }
        settled
    }

    /// Returns the stalled reservations: those of the client that holds most first, and the oldest progress first.
    fn stalled(&self, now: Ms) -> Vec<u64> {
        let shares = self.client_bytes();
        let stalled = self
            .entries
            .iter()
            .filter(|e| e.freed_bytes() > 0 && e.is_stalled(now));
        let mut order: Vec<_> = stalled
            .map(|e| (usize::MAX - share_of(&shares, e.client), e.progress_at, e.id))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., id)| id).collect()
    }

    /// Returns the body that holds most among those that have waited for long, and the oldest of these. While another
    /// large body is being received, it is given the time to end or to stall.
    fn longest_waiting(&self, now: Ms) -> Option<u64> {
        let mut bodies = self.entries.iter().filter(|e| e.kind == ReservationKind::Body);
        let is_received = bodies.any(|e| e.state == ReservationState::Held && !e.is_small());
        let wait_min = if is_received { RATE_AGE_MIN } else { PRESSURE_TIME };
        let waiting = self.entries.iter().filter(|e| {
            e.kind == ReservationKind::Body
                && e.state == ReservationState::Waiting
                && e.bytes > 0
                && now - e.waiting_since >= wait_min
        });
        waiting
            .min_by_key(|e| (usize::MAX - e.bytes, e.began, e.id))
            .map(|e| e.id)
    }

    /// Returns the body with the lowest rate among those that are old enough to compare.
    fn slowest(&self, now: Ms) -> Option<u64> {
        let bodies = self.entries.iter().filter(|e| {
            e.kind == ReservationKind::Body
                && e.state == ReservationState::Held
                && e.bytes > 0
                && now - e.began >= RATE_AGE_MIN
        });
        bodies
            .min_by_key(|e| (e.progress as u64 / (now - e.began).0.max(1), e.id))
            .map(|e| e.id)
    }

    /// Marks a reservation as refused. Returns the bytes that its end frees.
    fn refuse(&mut self, id: u64) -> usize {
        let Some(i) = self.position(id) else { return 0 };
        let entry = &mut self.entries[i];
        if entry.state == ReservationState::Waiting {
            self.waiting -= 1;
        }
        entry.state = ReservationState::Refused;
        entry.freed_bytes()
    }

    /// Returns the bytes that each client holds, sorted by client.
    fn client_bytes(&self) -> Vec<(IpAddr, usize)> {
        let clients = self
            .entries
            .iter()
            .filter_map(|e| Some((e.client?, e.freed_bytes())));
        let mut clients: Vec<_> = clients.collect();
        clients.sort_unstable();
        clients.dedup_by(|next, kept| {
            let is_same = next.0 == kept.0;
            kept.1 += if is_same { next.1 } else { 0 };
            is_same
        });
        clients
    }
}

fn share_of(shares: &[(IpAddr, usize)], client: Option<IpAddr>) -> usize {
    let found = client.and_then(|client| shares.binary_search_by_key(&client, |(c, _)| *c).ok());
    found.map_or(0, |i| shares[i].1)
}

/// Returns the class of a waiting reservation. Lower ones are served first.
fn class_of(entry: &Entry) -> u8 {
    match entry.kind {
        ReservationKind::Kept | ReservationKind::Writing => 0,
        ReservationKind::Response | ReservationKind::ForwardedResponse if entry.is_small() => 1,
        ReservationKind::Response => 2,
        ReservationKind::ForwardedResponse => 3,
        ReservationKind::Body if entry.is_small() => 4,
        ReservationKind::Body => 5,
    }
}
