use {super::Reason, crate::clock::Ms};

/// Share of the latest call in the mean time of its kind.
const MEAN_SHARE: f64 = 0.1;
/// Calls that wait for each slot before further ones are refused.
const WAITING_PER_SLOT: usize = 16;
/// Part of the mean time of its kind that a call must have left to be sent to the server. A call with less will
/// mostly not end in time, and its slot is better used by another one.
const LEFT_MIN: f64 = 0.8;
/// Part of its mean time that a call waits for at most if it is late whatever is done.
const LATE_WAIT: f64 = 0.5;
/// Time of a call, as a part of that of another one, up to which it is a short one beside it.
const SHORT: f64 = 0.5;
/// Mean distances from the mean time of a kind that a call is given, so that most calls are done in time.
const LONG_SPREADS: f64 = 2.5;
/// Shortest time after which a refused caller is asked back, in ms.
const RETRY_MIN_MS: f64 = 50.0;
/// Part by which the times of refused callers are spread, so that they do not come back together.
const RETRY_SPREAD: f64 = 0.5;
/// Fraction of the golden ratio: its multiples are spread evenly over any interval.
const SPREAD_STEP: f64 = 0.618_033_988_75;

/// What becomes of a call that wants to run on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes a slot now.
    Run,
    /// It waits under this ticket. A call of lower priority may have to give way.
    Wait {
        /// Ticket of the call.
        ticket: u64,
        /// Tickets of the calls that give way.
        shed: Vec<u64>,
    },
    /// It is refused.
    Refused(Refusal),
}

/// Why a call is refused, and when a resend makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Time after which a resend makes sense.
    pub retry_after: Ms,
}

/// What happens when a slot is free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Tickets of calls that can no longer end in time. They are dropped.
    pub expired: Vec<u64>,
    /// Ticket of the call that takes the slot.
    pub next: Option<u64>,
}

/// What a call asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Stands for the kind of the call. Calls of a kind take similar times.
    pub kind: u64,
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// When the caller wants the answer.
    pub objective: Ms,
    /// When the caller stops waiting.
    pub deadline: Ms,
    /// True: nothing may run beside the call.
    pub is_exclusive: bool,
}

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    demand: AdmissionRequest,
    /// True: it was late already when it came.
    is_late: bool,
    /// When the call should be done.
    limit: Ms,
    /// True: other kinds take much longer.
    is_short: bool,
    /// Expected time of the call, in ms.
    time_ms: f64,
    /// Time that few calls of its kind exceed, in ms.
    long_ms: f64,
}

impl Waiting {
    /// Higher priorities come first, then calls that can still be in time, then short ones, then those that must be
    /// begun earlier, then earlier arrivals.
    fn order(&self) -> (u8, bool, bool, Ms, u64) {
        let begin = self.limit - Ms(self.long_ms as u64);
        let rank = u8::MAX - self.demand.priority;
        (rank, self.is_late, !self.is_short, begin, self.ticket)
    }
}

/// Times of the calls of one kind.
#[derive(Clone, Copy, Debug)]
struct KindTime {
    kind: u64,
    mean_ms: f64,
    /// Mean distance of a time from the mean.
    spread_ms: f64,
}

/// The slots of one backend server and the calls that wait for them.
///
/// It answers a load above what the server can do: a call takes a place only if it, and all that wait behind it, can
/// still be done when their callers want the answer. All others are refused at once, so that no slot is spent on
/// a call that ends too late, and callers learn early that they have to come back.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    slots: usize,
    running: usize,
    /// Sorted by [`Waiting::order`].
    waiting: Vec<Waiting>,
    next_ticket: u64,
    /// True while a call runs that nothing may run beside.
    is_exclusive: bool,
    /// Mean time of a call of any kind, in ms.
    mean_ms: f64,
    /// Sorted by kind.
    kinds: Vec<KindTime>,
    refusals: u64,
}

impl ServerQueue {
    /// Returns a queue in front of `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            is_exclusive: false,
            mean_ms: 0.0,
            kinds: Vec::new(),
            refusals: 0,
        }
    }

    /// Decides what becomes of a call.
    pub fn admit(&mut self, now: Ms, demand: AdmissionRequest) -> Admission {
        let (time_ms, long_ms) = (self.time_of(demand.kind), self.long_time_of(demand.kind));
        if demand.deadline <= now || !can_end(now, time_ms, demand.deadline) {
            return self.refuse(Reason::DeadlineTooShort);
        }
        if self.waiting.is_empty() && self.has_room(demand.is_exclusive) {
            self.start(demand.is_exclusive);
            return Admission::Run;
        }
        let waiting = Waiting {
            ticket: self.next_ticket,
            demand,
            is_late: demand.objective < now + Ms(time_ms as u64),
            limit: limit(now, demand, long_ms),
            is_short: time_ms <= self.longest() * SHORT,
            time_ms,
            long_ms,
        };
        let position = self.waiting.partition_point(|w| w.order() < waiting.order());
        if !self.fits(now, position, &waiting) {
            return self.refuse(Reason::Overloaded);
        }
        if self.waiting.len() >= self.slots * WAITING_PER_SLOT {
            let last = self.waiting.last().map(|last| last.demand.priority);
            if last.is_none_or(|last| last >= demand.priority) {
                return self.refuse(Reason::Overloaded);
            }
        }
        self.next_ticket += 1;
        self.waiting.insert(position, waiting);
        Admission::Wait {
            ticket: waiting.ticket,
            shed: self.shed(now, position),
        }
    }

    /// Frees the slot of a call of `kind` that took `took`. `None`: its time says nothing.
    pub fn finish(&mut self, kind: u64, took: Option<Ms>) {
        self.running = self.running.saturating_sub(1);
        self.is_exclusive = false;
        let Some(took) = took.map(|took| took.0 as f64) else {
            return;
        };
        self.mean_ms = closer(self.mean_ms, took);
        match self.kinds.binary_search_by_key(&kind, |k| k.kind) {
            Ok(i) => {
                let known = &mut self.kinds[i];
                known.spread_ms += ((took - known.mean_ms).abs() - known.spread_ms) * MEAN_SHARE;
                known.mean_ms = closer(known.mean_ms, took);
            }
            Err(i) => {
                let new = KindTime {
                    kind,
                    mean_ms: took,
                    spread_ms: 0.0,
                };
                self.kinds.insert(i, new);
            }
        }
    }

    /// Drops calls that can no longer end in time and gives a free slot to the call that is next.
    pub fn dequeue(&mut self, now: Ms) -> Dequeued {
        let mut turn = Dequeued::default();
        self.waiting.retain(|w| {
            // A call that was late when it came waits for a short time only.
            let end = if w.is_late { w.limit } else { w.demand.deadline };
            let is_lost = w.demand.deadline <= now || !can_end(now, w.time_ms, end);
            if is_lost {
                turn.expired.push(w.ticket);
            }
            !is_lost
        });
        let first = self.waiting.first().map(|first| first.demand.is_exclusive);
        if let Some(is_exclusive) = first.filter(|is_exclusive| self.has_room(*is_exclusive)) {
            turn.next = Some(self.waiting.remove(0).ticket);
            self.start(is_exclusive);
        }
        turn
    }

    fn has_room(&self, is_exclusive: bool) -> bool {
        if is_exclusive {
            self.running == 0
        } else {
            self.running < self.slots && !self.is_exclusive
        }
    }

    fn start(&mut self, is_exclusive: bool) {
        self.running += 1;
        self.is_exclusive = is_exclusive;
    }

    /// Forgets a call that stopped waiting.
    pub fn forget(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the calls that run or wait.
    pub fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Returns the calls that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the slots of the server.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the mean time of a call.
    pub fn mean_time(&self) -> Ms {
        Ms(self.mean_ms as u64)
    }

    /// Returns the expected time of a call of `kind`.
    pub fn expected_time(&self, kind: u64) -> Ms {
        Ms(self.time_of(kind) as u64)
    }

    /// Returns the time until all that waits now has begun, spread so that refused callers do not come back
    /// together.
    pub fn retry_after(&self) -> Ms {
        let work: f64 = self.waiting.iter().map(|w| w.time_ms).sum();
        let wait = ((work + self.mean_ms) / self.slots as f64 + self.mean_ms).max(RETRY_MIN_MS);
        let spread = (self.refusals as f64 * SPREAD_STEP).fract() * RETRY_SPREAD;
        Ms((wait * (1.0 + spread)) as u64)
    }

    fn refuse(&mut self, reason: Reason) -> Admission {
        self.refusals += 1;
        Admission::Refused(Refusal {
            reason,
            retry_after: self.retry_after(),
        })
    }

    /// Returns the expected time of a call of `kind`. A kind that is not known takes no time.
    fn time_of(&self, kind: u64) -> f64 {
        let found = self.kinds.binary_search_by_key(&kind, |k| k.kind);
        found.map_or(0.0, |i| self.kinds[i].mean_ms)
    }

    /// Returns the expected time of the kind that takes longest.
    fn longest(&self) -> f64 {
        self.kinds.iter().map(|k| k.mean_ms).fold(0.0, f64::max)
    }

    /// Returns the time that few calls of `kind` exceed.
    fn long_time_of(&self, kind: u64) -> f64 {
        let found = self.kinds.binary_search_by_key(&kind, |k| k.kind);
        found.map_or(0.0, |i| {
            self.kinds[i].mean_ms + self.kinds[i].spread_ms * LONG_SPREADS
        })
    }

    /// Tells if `new` can be done by its limit at `position`, without making a call of no lower priority late that
    /// waits behind it.
    fn fits(&self, now: Ms, position: usize, new: &Waiting) -> bool {
        let ahead: f64 = self.waiting[..position].iter().map(|w| w.time_ms).sum();
        if self.end(now, ahead, new) > new.limit {
            return false;
        }
        let mut work = ahead + new.time_ms;
        for behind in &self.waiting[position..] {
            let was_in_time = self.end(now, work - new.time_ms, behind) <= behind.limit;
            let is_lower = behind.demand.priority < new.demand.priority;
            // A short call may make a long one late: work under way elsewhere mostly waits for it.
            let is_short = new.time_ms <= behind.time_ms * SHORT;
            let limit = if is_short {
                behind.demand.deadline
            } else {
                behind.limit
            };
            if !is_lower && was_in_time && self.end(now, work, behind) > limit {
                return false;
            }
            work += behind.time_ms;
        }
        true
    }

    /// Takes out the calls behind `position` that can no longer end in time, and the last one if too many wait.
    fn shed(&mut self, now: Ms, position: usize) -> Vec<u64> {
        let mut shed = Vec::new();
        let mut work: f64 = self.waiting[..=position].iter().map(|w| w.time_ms).sum();
        let mut i = position + 1;
        while i < self.waiting.len() {
            let behind = self.waiting[i];
            if self.end(now, work, &behind) > behind.demand.deadline {
                shed.push(self.waiting.remove(i).ticket);
            } else {
                work += behind.time_ms;
                i += 1;
            }
        }
        if self.waiting.len() > self.slots * WAITING_PER_SLOT {
            shed.extend(self.waiting.pop().map(|last| last.ticket));
        }
        shed
    }

    /// Returns when `call` is done if `work` ms of calls wait before it.
    fn end(&self, now: Ms, work: f64, call: &Waiting) -> Ms {
        let wait = (work + self.mean_ms) / self.slots as f64;
        now + Ms((wait + call.long_ms) as u64)
    }
}

/// Tells if a call that is begun now has a fair chance to end by its deadline.
fn can_end(now: Ms, time_ms: f64, deadline: Ms) -> bool {
    now + Ms((time_ms * LEFT_MIN) as u64) <= deadline
}

/// Returns when a call should be done: as the caller wants, or soon if it is late already.
fn limit(now: Ms, demand: AdmissionRequest, time_ms: f64) -> Ms {
    let soon = now + Ms((time_ms * (1.0 + LATE_WAIT)) as u64);
    demand.objective.max(soon).min(demand.deadline)
}

/// Returns the mean after one more value.
fn closer(mean: f64, value: f64) -> f64 {
    if mean == 0.0 {
        value
    } else {
        mean + (value - mean) * MEAN_SHARE
    }
}
