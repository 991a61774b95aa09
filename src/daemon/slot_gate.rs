use {
    crate::{
        call::{Admission, AdmissionRequest, Reason, Refusal, RefusalShare, ReportedLoad, ServerQueue},
        clock::{Clock, Ms},
        wire::peer::ServerLoad,
    },
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
    },
    tokio::{
        sync::oneshot,
        task::{spawn_local, AbortHandle},
        time::{sleep, timeout},
    },
};

/// Time for which the starts of calls are kept: the span in which the calls of a cold server are limited.
const STARTS_KEPT: Ms = Ms(1000);

/// Channel on which a waiting call gets its slot or its refusal.
type SlotSender = oneshot::Sender<Result<Slot, Refusal>>;

/// Ticket and kind of a waiting call, with the channel on which it gets its slot.
type Waiter = (u64, u64, SlotSender);

/// Limits the calls that run on one backend server to its slots, and to the rate that it names, in the order that its
/// queue decides.
#[derive(Debug)]
pub(super) struct SlotGate {
    clock: Clock,
    queue: RefCell<ServerQueue>,
    waiters: RefCell<Vec<Waiter>>,
    refusals: RefCell<RefusalShare>,
    /// When the calls of the last [`STARTS_KEPT`] have started, ascending.
    starts: RefCell<VecDeque<Ms>>,
    /// Task that waits until the limit of the server lets the next call start.
    timer: RefCell<Option<AbortHandle>>,
}

/// A slot of a backend server, which is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    gate: Rc<SlotGate>,
    kind: u64,
    taken_at: Ms,
    /// Work that the server had done when the slot was taken, by [`ServerQueue::work_done_ms`].
    work_done_ms: f64,
    /// Whether the time of the call counts in the mean time of its kind.
    has_run: Cell<bool>,
}

impl Slot {
    /// Marks the call as run, so that its time counts in the mean time of its kind.
    pub fn mark_ran(&self) {
        self.has_run.set(true);
    }

    /// Returns the number of calls that run on the server now.
    pub fn running(&self) -> usize {
        self.gate.queue.borrow().running()
    }

    /// Returns the load of the server as it is now.
    pub fn load(&self) -> ServerLoad {
        self.gate.load()
    }

    /// Returns the time since the slot was taken.
    pub fn age(&self) -> Ms {
        self.gate.clock.now() - self.taken_at
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let took = self.has_run.get().then(|| now - self.taken_at);
        {
            let mut queue = self.gate.queue.borrow_mut();
            let work_ms = queue.work_done_ms(now) - self.work_done_ms;
            queue.finish_work(self.kind, took, work_ms);
        }
        self.gate.clone().assign_free_slots();
    }
}

/// Removes a waiting call from the queue when dropped, for instance because its caller disconnected.
struct QueueEntry<'a> {
    gate: &'a SlotGate,
    ticket: u64,
}

impl Drop for QueueEntry<'_> {
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
            starts: RefCell::default(),
            timer: RefCell::default(),
        })
    }

    /// Limits the calls to `per_s` a second from now on, or ends the limit. `charged` calls that started before count
    /// against it.
    pub fn set_rate(self: &Rc<Self>, per_s: Option<f64>, charged: usize) {
        let now = self.clock.now();
        self.queue.borrow_mut().set_rate(per_s, now);
        self.queue.borrow_mut().charge_rate(charged as f64, now);
        if let Some(timer) = self.timer.take() {
            timer.abort();
        }
        self.clone().assign_free_slots();
    }

    /// Returns the number of calls that started at `since` or later, within the last [`STARTS_KEPT`].
    pub fn started_since(&self, since: Ms) -> usize {
        let since = since.max(self.clock.now() - STARTS_KEPT);
        self.starts.borrow().iter().filter(|at| **at >= since).count()
    }

    /// Records the load that the server reports.
    pub fn report_load(self: &Rc<Self>, load: &ReportedLoad) {
        self.queue.borrow_mut().report_load(load, self.clock.now());
        self.clone().assign_free_slots();
    }

    /// Waits for a slot. A call that another server can take is refused at once if this one is too slow for it just now.
    ///
    /// # Errors
    /// Returns the reason why the call is refused. The call has not been sent.
    pub async fn acquire(
        self: &Rc<Self>,
        request: AdmissionRequest,
        has_other_server: bool,
    ) -> Result<Slot, Refusal> {
        // It does not count in the share of refused calls, which entry daemons trust for longer than a server is slow.
        if has_other_server {
            let refusal = self.queue.borrow_mut().refuse_slow(self.clock.now(), request);
            if let Some(refusal) = refusal {
                return Err(refusal);
            }
        }
        let acquired = self.acquire_slot(request).await;
        let now = self.clock.now();
        self.refusals.borrow_mut().count(acquired.is_err(), now);
        acquired
    }

    async fn acquire_slot(self: &Rc<Self>, request: AdmissionRequest) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let admission = self.queue.borrow_mut().admit(now, request);
        let (ticket, give_up_at, shed) = match admission {
            Admission::Run => return Ok(self.new_slot(request.kind)),
            Admission::Refused(refusal) => return Err(refusal),
            Admission::Wait {
                ticket,
                give_up_at,
                shed,
            } => (ticket, give_up_at, shed),
        };
        for shed_ticket in shed {
            self.refuse(shed_ticket, Reason::Overloaded);
        }
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().push((ticket, request.kind, tx));
        let _queue_entry = QueueEntry { gate: self, ticket };
        // A suspect call waits for an idle server, and the server may be idle already.
        self.clone().assign_free_slots();
        // All slots may stay taken for longer than the call can wait. It is refused as soon as this is known, so that its
        // caller hears of it before its deadline.
        match timeout((give_up_at - now).as_duration(), rx).await {
            Ok(Ok(assigned)) => assigned,
            Ok(Err(_)) | Err(_) => Err(self.refusal(Reason::DeadlineTooShort)),
        }
    }

    fn new_slot(self: &Rc<Self>, kind: u64) -> Slot {
        let now = self.clock.now();
        let mut starts = self.starts.borrow_mut();
        while starts.front().is_some_and(|at| *at + STARTS_KEPT < now) {
            starts.pop_front();
        }
        starts.push_back(now);
        Slot {
            gate: self.clone(),
            kind,
            taken_at: now,
            work_done_ms: self.queue.borrow().work_done_ms(now),
            has_run: Cell::new(false),
        }
    }

    /// Assigns the free slots to waiting calls and refuses the calls that can no longer end in time.
    fn assign_free_slots(self: Rc<Self>) {
        loop {
            let dequeued = self.queue.borrow_mut().dequeue(self.clock.now());
            for ticket in dequeued.expired {
                self.refuse(ticket, Reason::DeadlineTooShort);
            }
            let Some(next) = dequeued.next else {
                return self.await_limit();
            };
            let Some((kind, tx)) = self.take_waiter(next) else {
                // Its caller has just disconnected.
                self.queue.borrow_mut().finish(0, None);
                continue;
            };
            // If the caller has disconnected, the slot is dropped here and so is free again.
            let _ = tx.send(Ok(self.new_slot(kind)));
        }
    }

    /// Assigns the free slots again once the limit of the server lets the next call start.
    fn await_limit(self: &Rc<Self>) {
        let wait = self.queue.borrow().limit_wait(self.clock.now());
        let Some(wait) = wait.filter(|_| self.timer.borrow().is_none()) else {
            return;
        };
        let gate = self.clone();
        let task = spawn_local(async move {
            sleep(wait.as_duration()).await;
            gate.timer.take();
            gate.assign_free_slots();
        });
        self.timer.replace(Some(task.abort_handle()));
    }

    fn refuse(&self, ticket: u64, reason: Reason) {
        if let Some((_, tx)) = self.take_waiter(ticket) {
            let _ = tx.send(Err(self.refusal(reason)));
        }
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: self.queue.borrow().retry_after(self.clock.now()),
        }
    }

    /// Returns the expected run time of a call of `kind`.
    pub fn expected_time(&self, kind: u64) -> Ms {
        let mut queue = self.queue.borrow_mut();
        queue.refresh(self.clock.now());
        queue.expected_time(kind)
    }

    /// Returns the load of the server as it is now.
    pub fn load(&self) -> ServerLoad {
        let mut queue = self.queue.borrow_mut();
        queue.refresh(self.clock.now());
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        ServerLoad {
            running: count(queue.running()),
            waiting: count(queue.waiting()),
            slots: count(queue.slots()),
            mean_ms: u32::try_from(queue.slot_time().0).unwrap_or(u32::MAX),
            pace_percent: queue.pace_percent(),
            refused_percent: self.refusals.borrow().percent(self.clock.now()),
        }
    }

    fn take_waiter(&self, ticket: u64) -> Option<(u64, SlotSender)> {
        let mut waiters = self.waiters.borrow_mut();
        let position = waiters.iter().position(|w| w.0 == ticket)?;
        let (_, kind, tx) = waiters.swap_remove(position);
        Some((kind, tx))
    }
}
