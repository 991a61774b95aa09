use {
    crate::{
        call::{Admission, AdmissionRequest, Reason, Refusal, RefusalShare, ServerQueue},
        clock::{Clock, Ms},
        wire::peer::ServerLoad,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// The way to hand a waiting call its slot.
type Turn = oneshot::Sender<Result<Slot, Refusal>>;

/// Ticket and kind of a waiting call, with the way to hand it its slot.
type Waiter = (u64, u64, Turn);

/// Lets calls through to one backend server as its queue decides.
#[derive(Debug)]
pub(super) struct SlotGate {
    clock: Clock,
    queue: RefCell<ServerQueue>,
    waiters: RefCell<Vec<Waiter>>,
    refusals: RefCell<RefusalShare>,
}

/// A slot of a backend server. It is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    gate: Rc<SlotGate>,
    kind: u64,
    since: Ms,
    /// True if the time of the call tells how long calls take.
    counts: Cell<bool>,
}

impl Slot {
    /// Notes that the call ran, so that its time counts.
    pub fn ran(&self) {
        self.counts.set(true);
    }

    /// Returns the calls that run on the server now.
    pub fn running(&self) -> usize {
        self.gate.queue.borrow().running()
    }

    /// Returns the load of the server as it is now.
    pub fn load(&self) -> ServerLoad {
        self.gate.load()
    }

    /// Returns the time since the slot was taken.
    pub fn age(&self) -> Ms {
        self.gate.clock.now() - self.since
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let took = self.counts.get().then(|| self.age());
        self.gate.queue.borrow_mut().finish(self.kind, took);
        self.gate.clone().give_turns();
    }
}

/// Takes a waiting call out of the queue when its caller goes away.
struct Place<'a> {
    gate: &'a SlotGate,
    ticket: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.queue.borrow_mut().forget(self.ticket);
        self.gate.waiters.borrow_mut().retain(|w| w.0 != self.ticket);
    }
}

impl SlotGate {
    pub fn new(slots: u32, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            queue: RefCell::new(ServerQueue::new(slots as usize)),
            waiters: RefCell::default(),
            refusals: RefCell::default(),
        })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Why the call is refused; it was not sent.
    pub async fn enter(self: &Rc<Self>, demand: AdmissionRequest) -> Result<Slot, Refusal> {
        let entered = self.enter_queue(demand).await;
        let now = self.clock.now();
        self.refusals.borrow_mut().count(entered.is_err(), now);
        entered
    }

    async fn enter_queue(self: &Rc<Self>, demand: AdmissionRequest) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let admission = self.queue.borrow_mut().admit(now, demand);
        let (ticket, shed) = match admission {
            Admission::Run => return Ok(self.slot(demand.kind)),
            Admission::Refused(refusal) => return Err(refusal),
            Admission::Wait { ticket, shed } => (ticket, shed),
        };
        for shed in shed {
            self.refuse(shed, Reason::Overloaded);
        }
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().push((ticket, demand.kind, tx));
        let _place = Place { gate: self, ticket };
        // A suspect call that waits for an idle server must not be overlooked.
        self.clone().give_turns();
        match timeout((demand.deadline - now).as_duration(), rx).await {
            Ok(Ok(turn)) => turn,
            Ok(Err(_)) | Err(_) => Err(self.refusal(Reason::DeadlineTooShort)),
        }
    }

    fn slot(self: &Rc<Self>, kind: u64) -> Slot {
        Slot {
            gate: self.clone(),
            kind,
            since: self.clock.now(),
            counts: Cell::new(false),
        }
    }

    /// Hands out the slots that are free.
    fn give_turns(self: Rc<Self>) {
        loop {
            let turn = self.queue.borrow_mut().dequeue(self.clock.now());
            for ticket in turn.expired {
                self.refuse(ticket, Reason::DeadlineTooShort);
            }
            let Some(next) = turn.next else {
                return;
            };
            let Some((kind, tx)) = self.take_waiter(next) else {
                // Its caller went away just now.
                self.queue.borrow_mut().finish(0, None);
                continue;
            };
            // A slot that cannot be handed over is dropped, and so is free again.
            let _ = tx.send(Ok(self.slot(kind)));
        }
    }

    fn refuse(&self, ticket: u64, reason: Reason) {
        if let Some((_, tx)) = self.take_waiter(ticket) {
            let _ = tx.send(Err(self.refusal(reason)));
        }
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.queue.borrow().retry_after(),
        }
    }

    /// Returns the expected time of a call of `kind`.
    pub fn time_of(&self, kind: u64) -> Ms {
        self.queue.borrow().expected_time(kind)
    }

    /// Returns the load of the server as it is now.
    pub fn load(&self) -> ServerLoad {
        let queue = self.queue.borrow();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        ServerLoad {
            running: count(queue.running()),
            waiting: count(queue.waiting()),
            slots: count(queue.slots()),
            mean_ms: u32::try_from(queue.mean_time().0).unwrap_or(u32::MAX),
            refused_percent: self.refusals.borrow().percent(self.clock.now()),
        }
    }

    fn take_waiter(&self, ticket: u64) -> Option<(u64, Turn)> {
        let mut waiters = self.waiters.borrow_mut();
        let position = waiters.iter().position(|w| w.0 == ticket)?;
        let (_, kind, tx) = waiters.swap_remove(position);
        Some((kind, tx))
    }
}
