use {
    super::{Ledger, ReservationKind, ReservationState, Settled},
    crate::clock::{Clock, Ms},
    bytes::Bytes,
    std::{
        fmt,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// Part of a process's memory that its budget covers. The rest is for the process itself, for the copies of a body that
/// a link makes, and for the buffers of 2,000 connections at up to 30 KB each.
const BUDGET_PERCENT: u64 = 50;
/// Interval at which waiting reservations are looked at, if none of them ends before.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// The memory for a request or response was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

/// Budget of the bytes that others make a process hold. Clones share the budget. The default one has no limit; the budget
/// of a process has one.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget(Option<Arc<Shared>>);

struct Shared {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// Wakers of the open reservations, sorted by id.
    wakers: Vec<(u64, Arc<Notify>)>,
    /// The waiting reservation that settles the ledger at intervals.
    ticker: Option<u64>,
    /// Number of reservations that were refused.
    refused: u64,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("inner", &self.inner).finish()
    }
}

impl MemoryBudget {
    /// Returns the budget of a process that may use `memory_bytes`.
    pub fn of_process(memory_bytes: u64, clock: Clock) -> Self {
        let bytes = memory_bytes * BUDGET_PERCENT / 100;
        Self::new(usize::try_from(bytes).unwrap_or(usize::MAX), clock)
    }

    /// Returns a budget of `bytes`.
    pub fn new(bytes: usize, clock: Clock) -> Self {
        let inner = Inner {
            ledger: Ledger::new(bytes),
            wakers: Vec::new(),
            ticker: None,
            refused: 0,
        };
        Self(Some(Arc::new(Shared {
            clock,
            inner: Mutex::new(inner),
        })))
    }

    /// Returns whether the budget has a limit.
    pub fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the size of the budget in bytes, if it is limited.
    pub fn limit(&self) -> Option<usize> {
        self.0.as_ref().map(|shared| shared.lock().ledger.limit())
    }

    /// Returns a copy of bytes that is not accounted for, or the same bytes if the budget is not limited.
    pub fn detach(&self, bytes: &Bytes) -> Bytes {
        match self.is_limited() {
            true => Bytes::copy_from_slice(bytes),
            false => bytes.clone(),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.0.as_ref().map_or(0, |shared| shared.lock().ledger.held())
    }

    /// Returns the number of reservations that were refused so far.
    pub fn refused(&self) -> u64 {
        self.0.as_ref().map_or(0, |shared| shared.lock().refused)
    }

    /// Opens a reservation without bytes. `client` is the address of a caller.
    pub fn reservation(&self, kind: ReservationKind, client: Option<IpAddr>) -> Reservation {
        let open = self.0.as_ref().map(|shared| {
            let wake = Arc::new(Notify::new());
            let now = shared.clock.now();
            let mut inner = shared.lock();
            let id = inner.ledger.open(kind, client, now);
            inner.wakers.push((id, wake.clone()));
            OpenReservation {
                shared: shared.clone(),
                id,
                wake,
            }
        });
        Reservation(open)
    }

    /// Accounts for the bytes of a request that is already held, until the last clone of the returned bytes is dropped.
    ///
    /// # Errors
    /// Returns an error if the budget has no room for them.
    pub fn try_keep(&self, bytes: Bytes) -> Result<Bytes, Refused> {
        if bytes.is_empty() || !self.is_limited() {
            return Ok(bytes);
        }
        Ok(self.try_reserve(bytes.len())?.keep(bytes))
    }

    /// Reserves memory for a request that another daemon sends, without waiting: the requests and answers behind it on
    /// the link would wait as well.
    ///
    /// # Errors
    /// Returns an error if the budget has no room.
    pub fn try_reserve(&self, bytes: usize) -> Result<Reservation, Refused> {
        let reservation = self.reservation(ReservationKind::Body, None);
        match reservation.request(bytes) {
            ReservationState::Held => Ok(reservation),
            ReservationState::Waiting | ReservationState::Refused => Err(Refused),
        }
    }

    /// Accounts for bytes that are already held, until the last clone of the returned bytes is dropped.
    pub fn keep(&self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() || !self.is_limited() {
            return bytes;
        }
        let reservation = self.reservation(ReservationKind::Kept, None);
        reservation.request(bytes.len());
        reservation.keep(bytes)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The ledger stays consistent between its methods, none of which panics halfway.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settle(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let settled = inner.ledger.settle(now);
        inner.wake(&settled);
    }
}

impl Inner {
    fn wake(&mut self, settled: &Settled) {
        self.refused += settled.refused.len() as u64;
        for id in settled.granted.iter().chain(&settled.refused) {
            if let Ok(i) = self.wakers.binary_search_by_key(id, |(id, _)| *id) {
                self.wakers[i].1.notify_one();
            }
        }
    }

    /// Lets another waiting reservation settle the ledger.
    fn pass_ticker(&mut self, from: u64) {
        if self.ticker != Some(from) {
            return;
        }
        self.ticker = None;
        let Some(next) = self.ledger.first_waiting() else {
            return;
        };
        if let Ok(i) = self.wakers.binary_search_by_key(&next, |(id, _)| *id) {
            self.wakers[i].1.notify_one();
        }
    }
}

/// A reservation of memory from a budget. Its bytes return to the budget when it is dropped.
#[derive(Debug)]
pub struct Reservation(Option<OpenReservation>);

#[derive(Debug)]
struct OpenReservation {
    shared: Arc<Shared>,
    id: u64,
    wake: Arc<Notify>,
}

impl Reservation {
    /// Waits until the reservation has `bytes` more.
    ///
    /// # Errors
    /// Returns an error if the reservation was refused.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Refused> {
        let Some(open) = &self.0 else { return Ok(()) };
        let mut state = self.request(bytes);
        while state == ReservationState::Waiting {
            let is_ticker = {
                let mut inner = open.shared.lock();
                *inner.ticker.get_or_insert(open.id) == open.id
            };
            if is_ticker {
                tokio::select! {
                    () = open.wake.notified() => {}
                    () = sleep(SETTLE_INTERVAL) => open.shared.settle(),
                }
            } else {
                open.wake.notified().await;
            }
            state = open.shared.lock().ledger.state(open.id);
        }
        open.shared.lock().pass_ticker(open.id);
        match state {
            ReservationState::Refused => Err(Refused),
            ReservationState::Held | ReservationState::Waiting => Ok(()),
        }
    }

    fn request(&self, bytes: usize) -> ReservationState {
        self.0.as_ref().map_or(ReservationState::Held, |open| {
            let now = open.shared.clock.now();
            open.shared.lock().ledger.request(open.id, bytes, now)
        })
    }

    /// Waits until the reservation is refused.
    pub async fn refused(&self) {
        let Some(open) = &self.0 else {
            return std::future::pending().await;
        };
        while open.shared.lock().ledger.state(open.id) != ReservationState::Refused {
            open.wake.notified().await;
        }
    }

    /// Returns whether the budget of the reservation has a limit.
    pub fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether the reservation waits for bytes.
    pub fn is_waiting(&self) -> bool {
        let state = self
            .0
            .as_ref()
            .map(|open| open.shared.lock().ledger.state(open.id));
        state == Some(ReservationState::Waiting)
    }

    /// Returns bytes to the budget.
    pub fn give_back(&self, bytes: usize) {
        if let Some(open) = &self.0 {
            let mut inner = open.shared.lock();
            let settled = inner.ledger.give_back(open.id, bytes, open.shared.clock.now());
            inner.wake(&settled);
        }
    }

    /// Records that the peer has sent or taken bytes.
    pub fn record_progress(&self, bytes: usize) {
        self.with_ledger(|ledger, id, now| ledger.record_progress(id, bytes, now));
    }

    /// Sets the bytes that the end of a reservation of kind `Writing` frees.
    pub fn set_freed_bytes(&self, bytes: usize) {
        self.with_ledger(|ledger, id, now| ledger.set_freed_bytes(id, bytes, now));
    }

    fn with_ledger(&self, change: impl FnOnce(&mut Ledger, u64, Ms)) {
        if let Some(open) = &self.0 {
            let now = open.shared.clock.now();
            change(&mut open.shared.lock().ledger, open.id, now);
        }
    }

    /// Ties the reservation to `bytes`: it ends once their last clone is dropped, and is no longer refused.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        if self.0.is_none() || bytes.is_empty() {
            return bytes;
        }
        self.with_ledger(|ledger, id, _| ledger.keep(id));
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for OpenReservation {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.lock();
        let settled = inner.ledger.close(self.id, now);
        inner.wake(&settled);
        if let Ok(i) = inner.wakers.binary_search_by_key(&self.id, |(id, _)| *id) {
            inner.wakers.remove(i);
        }
        inner.pass_ticker(self.id);
    }
}

/// Bytes with the reservation that accounts for them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
