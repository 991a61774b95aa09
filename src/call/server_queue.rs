use {super::Reason, crate::clock::Ms};

/// Share of the latest call in the mean time of a call.
const MEAN_SHARE: f64 = 0.1;
/// Calls that wait for each slot before further ones are refused.
const WAITING_PER_SLOT: usize = 16;

/// What becomes of a call that wants to run on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes a slot now.
    Run,
    /// It waits under this ticket. A call of lower priority may have to give way.
    Wait {
        /// Ticket of the call.
        ticket: u64,
        /// Ticket of the call that gives way.
        shed: Option<u64>,
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
pub struct Turn {
    /// Tickets of calls whose deadline is over. They are dropped.
    pub expired: Vec<u64>,
    /// Ticket of the call that takes the slot.
    pub next: Option<u64>,
}

/// What a call asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// When the caller stops waiting.
    pub deadline: Ms,
    /// True: nothing may run beside the call.
    pub alone: bool,
}

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    demand: Demand,
}

impl Waiting {
    /// Higher priorities come first, then earlier deadlines, then earlier arrivals.
    fn order(&self) -> (u8, Ms, u64) {
        (u8::MAX - self.demand.priority, self.demand.deadline, self.ticket)
    }
}

/// The slots of one backend server and the calls that wait for them.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    slots: usize,
    running: usize,
    /// Sorted by [`Waiting::order`].
    waiting: Vec<Waiting>,
    next_ticket: u64,
    /// True while a call runs that nothing may run beside.
    alone: bool,
    /// Mean time of a call, in ms.
    mean_ms: f64,
}

impl ServerQueue {
    /// Returns a queue in front of `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            alone: false,
            mean_ms: 0.0,
        }
    }

    /// Decides what becomes of a call. A call that cannot be done by its deadline is refused at once.
    pub fn admit(&mut self, now: Ms, demand: Demand) -> Admission {
        let Demand {
            priority, deadline, ..
        } = demand;
        if deadline <= now {
            return self.refuse(Reason::DeadlineTooShort);
        }
        if self.waiting.is_empty() && self.has_room(demand.alone) {
            self.start(demand.alone);
            return Admission::Run;
        }
        let waiting = Waiting {
            ticket: self.next_ticket,
            demand,
        };
        let position = self.position(&waiting);
        if now + self.expected_wait(position) >= deadline {
            return self.refuse(Reason::Overloaded);
        }
        let mut shed = None;
        if self.waiting.len() >= self.slots * WAITING_PER_SLOT {
            let gives_way = self
                .waiting
                .last()
                .is_some_and(|last| last.demand.priority < priority);
            if !gives_way {
                return self.refuse(Reason::Overloaded);
            }
            shed = self.waiting.pop().map(|last| last.ticket);
        }
        self.next_ticket += 1;
        self.waiting.insert(position.min(self.waiting.len()), waiting);
        Admission::Wait {
            ticket: waiting.ticket,
            shed,
        }
    }

    /// Frees the slot of a call that took `took`. `None`: its time says nothing.
    pub fn finish(&mut self, took: Option<Ms>) {
        self.running = self.running.saturating_sub(1);
        self.alone = false;
        if let Some(took) = took {
            self.mean_ms += (took.0 as f64 - self.mean_ms) * MEAN_SHARE;
        }
    }

    /// Drops expired calls and gives a free slot to the call that is next.
    pub fn turn(&mut self, now: Ms) -> Turn {
        let mut turn = Turn::default();
        self.waiting.retain(|waiting| {
            let expired = waiting.demand.deadline <= now;
            if expired {
                turn.expired.push(waiting.ticket);
            }
            !expired
        });
        let first = self.waiting.first().map(|first| first.demand.alone);
        if let Some(alone) = first.filter(|alone| self.has_room(*alone)) {
            turn.next = Some(self.waiting.remove(0).ticket);
            self.start(alone);
        }
        turn
    }

    fn has_room(&self, alone: bool) -> bool {
        if alone {
            self.running == 0
        } else {
            self.running < self.slots && !self.alone
        }
    }

    fn start(&mut self, alone: bool) {
        self.running += 1;
        self.alone = alone;
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

    /// Returns the time until the server has room again.
    pub fn retry_after(&self) -> Ms {
        self.expected_wait(self.waiting.len())
    }

    fn refuse(&self, reason: Reason) -> Admission {
        Admission::Refused(Refusal {
            reason,
            retry_after: self.retry_after(),
        })
    }

    fn position(&self, waiting: &Waiting) -> usize {
        self.waiting
            .partition_point(|other| other.order() < waiting.order())
    }

    /// Returns the time until a call at `position` of the queue has been done.
    fn expected_wait(&self, position: usize) -> Ms {
        let rounds = (position + 1) as f64 / self.slots as f64 + 1.0;
        Ms((rounds * self.mean_ms) as u64)
    }
}
