use {
    super::{
        call_times::CallTimes,
        slot_limit::SlotLimit,
        waiting_call::{can_end_in_time, WaitingCall},
        work_pace::PACE_FACTOR_MAX,
        Pace, Reason, ReportedLoad, ServerRate, WorkPace,
    },
    crate::clock::Ms,
};

/// Maximum number of waiting calls per slot. Further ones are refused.
const WAITING_PER_SLOT_MAX: usize = 16;
/// Longest wait of a call that cannot meet its objective, as a share of the time that few calls of its kind exceed.
const LATE_WAIT_SHARE: f64 = 0.5;
/// Number of slots that have to become free while a short call may wait in any case. If it were refused for the wait for
/// a slot, the work of the server that calls would be lost.
const SHORT_WAIT_SLOTS: f64 = 2.0;
/// Wait that a call may have in any case if it can meet its objective, as a share of the time that few calls of its
/// kind exceed. A longer one would make most calls of a kind late whose objective leaves little room for waiting.
const IN_TIME_WAIT_SHARE: f64 = 0.1;
/// A call counts as short compared with another one up to this share of the other's expected time.
const SHORT_CALL_SHARE: f64 = 0.5;
/// Pace of a server from which it counts as slow just now, as a multiple of the mean time of work. Below it, another
/// server would rarely be faster by more than the time that the second try costs.
const SLOW_PACE_MIN: f64 = 1.25;
/// Shortest retry delay for refused callers, in ms.
const RETRY_AFTER_MIN_MS: f64 = 50.0;
/// Share of the retry delay that is added as jitter, so that refused callers do not retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly.
const JITTER_STEP: f64 = 0.618_033_988_75;

/// What is done with a call that asks for a slot of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call takes a slot now.
    Run,
    /// The call waits. Calls of lower priority may be dropped for it.
    Wait {
        /// Ticket of the call.
        ticket: u64,
        /// When the call can no longer end in time if it has not started.
        give_up_at: Ms,
        /// Tickets of the waiting calls that are dropped.
        shed: Vec<u64>,
    },
    /// The call is refused.
    Refused(Refusal),
}

/// The refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the call is refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Ms,
}

/// The calls that leave the queue in one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Tickets of the calls that are dropped since they can no longer end in time.
    pub expired: Vec<u64>,
    /// Ticket of the call that takes a free slot, if any.
    pub next: Option<u64>,
}

/// The properties of a call that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Number that identifies the kind of the call. Calls of a kind take similar times.
    pub kind: u64,
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// When the caller wants the answer.
    pub objective: Ms,
    /// When the caller stops waiting.
    pub deadline: Ms,
    /// Whether no other call may run at the same time.
    pub is_exclusive: bool,
}

/// The slots of one backend server and the calls that wait for them.
///
/// Under overload a call enters the queue only if it, and all calls behind it, can still end when their callers
/// want the answer. All others are refused at once, so that no slot is spent on a call that ends too late, and
/// callers know early that they must retry.
#[derive(Clone, Debug)]
pub struct ServerQueue {
    slot_limit: SlotLimit,
    /// Number of slots as of the latest time that the queue was given.
    slots: usize,
    /// Pace of the server's work by its own reports.
    work_pace: WorkPace,
    /// Pace relative to the mean pace, as of the latest time that the queue was given.
    pace: Pace,
    /// Limit that the server names, if it does.
    rate: Option<ServerRate>,
    running: usize,
    /// Sorted by [`WaitingCall::order`].
    waiting: Vec<WaitingCall>,
    next_ticket: u64,
    /// Whether an exclusive call is running.
    runs_exclusive_call: bool,
    times: CallTimes,
    refusals: u64,
}

impl ServerQueue {
    /// Returns a queue for a server with `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slot_limit: SlotLimit::new(slots),
            slots: slots.max(1),
            work_pace: WorkPace::default(),
            pace: Pace::MEAN,
            rate: None,
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            runs_exclusive_call: false,
            times: CallTimes::default(),
            refusals: 0,
        }
    }

    /// Limits the calls to `per_s` a second from `now` on, or ends the limit.
    pub fn set_rate(&mut self, per_s: Option<f64>, now: Ms) {
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| ServerRate::new(per_s, now)),
        }
    }

    /// Counts `calls` that were sent before the limit began against it.
    pub fn charge_rate(&mut self, calls: f64, now: Ms) {
        if let Some(rate) = &mut self.rate {
            rate.charge(calls, now);
        }
    }

    /// Decides whether a call runs, waits or is refused.
    pub fn admit(&mut self, now: Ms, request: AdmissionRequest) -> Admission {
        self.refresh(now);
        let time_ms = self.expected_time_ms(request.kind);
        if request.deadline <= now || !can_end_in_time(now, time_ms, request.deadline) {
            return self.refuse(Reason::DeadlineTooShort, now);
        }
        if self.waiting.is_empty() && self.may_start(request.is_exclusive, now) {
            self.start(request.is_exclusive, now);
            return Admission::Run;
        }
        let waiting = self.waiting_call(now, request);
        let position = self.position(&waiting);
        if !self.fits_in_time(now, position, &waiting) {
            return self.refuse(Reason::Overloaded, now);
        }
        if self.waiting.len() >= self.slots * WAITING_PER_SLOT_MAX {
            let last = self.waiting.last().map(|last| last.request.priority);
            if last.is_none_or(|last| last >= request.priority) {
                return self.refuse(Reason::Overloaded, now);
            }
        }
        self.next_ticket += 1;
        self.waiting.insert(position, waiting);
        Admission::Wait {
            ticket: waiting.ticket,
            give_up_at: waiting.latest_start(),
            shed: self.shed_behind(now, position),
        }
    }

    /// Records the load that the server reports.
    pub fn report_load(&mut self, load: &ReportedLoad, now: Ms) {
        self.work_pace.report(load.work_percent, now);
        self.slot_limit.report(load, self.running, now);
        self.refresh(now);
    }

    /// Brings the pace and the number of slots up to `now`.
    pub fn refresh(&mut self, now: Ms) {
        self.slots = self.slot_limit.slots(now);
        let pace = match self.times.trusts_pace() {
            true => self.work_pace.pace(now),
            false => Pace::MEAN,
        };
        if pace == self.pace {
            return;
        }
        self.pace = pace;
        for waiting in &mut self.waiting {
            waiting.time_ms = self.times.expected_ms(waiting.request.kind, pace);
            waiting.long_ms = self.times.long_ms(waiting.request.kind, pace);
        }
        self.waiting.sort_by_key(WaitingCall::order);
    }

    /// Returns the time that work takes, as a multiple of the mean time.
    pub fn work_done_ms(&self, now: Ms) -> f64 {
        self.work_pace.work_done_ms(now)
    }

    /// Returns the time that work takes in percent of the mean time.
    pub fn pace_percent(&self) -> u32 {
        (self.pace.factor * 100.0).round() as u32
    }

    /// Refuses a call that another server can take if it cannot end by its objective here, but could at the mean pace of
    /// this server. It addresses servers that are slow for some hundred ms, while others of their service are not.
    pub fn refuse_slow(&mut self, now: Ms, request: AdmissionRequest) -> Option<Refusal> {
        self.refresh(now);
        if self.pace.factor < SLOW_PACE_MIN {
            return None;
        }
        let call = self.waiting_call(now, request);
        let position = self.position(&call);
        let may_start = position == 0 && self.may_start(request.is_exclusive, now);
        let ahead_ms: f64 = self.waiting[..position].iter().map(|w| w.time_ms).sum();
        let wait_ms = match may_start {
            true => 0.0,
            false => (ahead_ms + self.mean_ms()) / self.slots as f64,
        };
        let total_ms = wait_ms + call.time_ms;
        let ends_in_time = |ms: f64| now + Ms(ms as u64) <= request.objective;
        let is_refused =
            !ends_in_time(total_ms) && ends_in_time(call.time_ms / (self.pace.factor * PACE_FACTOR_MAX));
        is_refused.then(|| self.refusal(Reason::ServerSlow, now))
    }

    /// Frees the slot of a call of `kind`. `took` is the time that it ran, or `None` if this time is not
    /// representative.
    pub fn finish(&mut self, kind: u64, took: Option<Ms>) {
        self.finish_work(kind, took, took.map_or(0.0, |took| took.0 as f64));
    }

    /// Frees the slot of a call of `kind` that ran at `pace`, as a multiple of the mean time of work.
    pub fn finish_work(&mut self, kind: u64, took: Option<Ms>, work_ms: f64) {
        self.running = self.running.saturating_sub(1);
        self.runs_exclusive_call = false;
        if let Some(took) = took {
            self.times.record(kind, took.0 as f64, work_ms);
        }
    }

    /// Drops the calls that can no longer end in time, and gives a free slot to the first of the others.
    pub fn dequeue(&mut self, now: Ms) -> Dequeued {
        self.refresh(now);
        let mut dequeued = Dequeued::default();
        self.waiting.retain(|w| {
            let is_expired = w.request.deadline <= now || now > w.latest_start();
            if is_expired {
                dequeued.expired.push(w.ticket);
            }
            !is_expired
        });
        let first = self.waiting.first().map(|first| first.request.is_exclusive);
        if let Some(is_exclusive) = first.filter(|is_exclusive| self.may_start(*is_exclusive, now)) {
            dequeued.next = Some(self.waiting.remove(0).ticket);
            self.start(is_exclusive, now);
        }
        dequeued
    }

    /// Returns the time until the limit of the server lets the first waiting call start, or `None` if no call waits for
    /// the limit alone.
    pub fn limit_wait(&self, now: Ms) -> Option<Ms> {
        let first = self.waiting.first()?;
        let wait = self.rate?.wait(0, now);
        (wait > Ms::ZERO && self.has_free_slot(first.request.is_exclusive)).then_some(wait)
    }

    fn may_start(&self, is_exclusive: bool, now: Ms) -> bool {
        self.has_free_slot(is_exclusive) && self.rate_wait(0, now) == Ms::ZERO
    }

    /// Returns the time until the limit lets a call start that has `ahead` others before it.
    fn rate_wait(&self, ahead: usize, now: Ms) -> Ms {
        self.rate.map_or(Ms::ZERO, |rate| rate.wait(ahead, now))
    }

    fn has_free_slot(&self, is_exclusive: bool) -> bool {
        if is_exclusive {
            self.running == 0
        } else {
            self.running < self.slots && !self.runs_exclusive_call
        }
    }

    fn start(&mut self, is_exclusive: bool, now: Ms) {
        self.running += 1;
        self.runs_exclusive_call = is_exclusive;
        if let Some(rate) = &mut self.rate {
            rate.take(now);
        }
    }

    /// Removes a call whose caller no longer waits.
    pub fn forget(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns the number of calls that run or wait.
    pub fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Returns the number of calls that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of slots of the server.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the mean time of calls of all kinds.
    pub fn mean_time(&self) -> Ms {
        Ms(self.mean_ms() as u64)
    }

    /// Returns the time that one slot needs for a call on average at the mean pace of the server: the mean time of calls,
    /// or more if the server names a limit that its slots would exceed.
    pub fn slot_time(&self) -> Ms {
        let limited = self.rate.map_or(Ms::ZERO, |rate| rate.interval());
        Ms(self.times.mean_ms(Pace::MEAN) as u64).max(Ms(limited.0 * self.slots as u64))
    }

    /// Returns the expected time of a call of `kind`, or zero if the kind is unknown.
    pub fn expected_time(&self, kind: u64) -> Ms {
        Ms(self.expected_time_ms(kind) as u64)
    }

    /// Returns the time until all calls that wait now have probably started, with jitter so that refused callers do
    /// not retry at the same time.
    pub fn retry_after(&self, now: Ms) -> Ms {
        let work_ms: f64 = self.waiting.iter().map(|w| w.time_ms).sum();
        let rate_wait_ms = self.rate_wait(self.waiting.len(), now).0 as f64;
        let start_ms = ((work_ms + self.mean_ms()) / self.slots as f64).max(rate_wait_ms);
        let wait = (start_ms + self.mean_ms()).max(RETRY_AFTER_MIN_MS);
        let jitter = (self.refusals as f64 * JITTER_STEP).fract() * RETRY_AFTER_JITTER;
        Ms((wait * (1.0 + jitter)) as u64)
    }

    fn refuse(&mut self, reason: Reason, now: Ms) -> Admission {
        Admission::Refused(self.refusal(reason, now))
    }

    fn refusal(&mut self, reason: Reason, now: Ms) -> Refusal {
        self.refusals += 1;
        Refusal {
            reason,
            retry_after: self.retry_after(now),
        }
    }

    /// Returns a call that arrives now as one that waits.
    fn waiting_call(&self, now: Ms, request: AdmissionRequest) -> WaitingCall {
        let time_ms = self.expected_time_ms(request.kind);
        let long_ms = self.times.long_ms(request.kind, self.pace);
        let is_late = request.objective < now + Ms(time_ms as u64);
        let is_short = time_ms <= self.times.longest_ms(self.pace) * SHORT_CALL_SHARE;
        WaitingCall {
            ticket: self.next_ticket,
            request,
            is_late,
            finish_by: self.finish_by(now, request, long_ms, is_late, is_short),
            is_short,
            time_ms,
            long_ms,
        }
    }

    /// Returns the position of a call that arrives now among those that wait.
    fn position(&self, call: &WaitingCall) -> usize {
        self.waiting.partition_point(|w| w.order() < call.order())
    }

    fn expected_time_ms(&self, kind: u64) -> f64 {
        self.times.expected_ms(kind, self.pace)
    }

    /// Returns the mean time of calls of all kinds in ms.
    fn mean_ms(&self) -> f64 {
        self.times.mean_ms(self.pace)
    }

    /// Returns whether `new` can end in time at `position` without making a call behind it late that has the same
    /// or a higher priority.
    fn fits_in_time(&self, now: Ms, position: usize, new: &WaitingCall) -> bool {
        let ahead_ms: f64 = self.waiting[..position].iter().map(|w| w.time_ms).sum();
        if self.expected_end(now, position, ahead_ms, new) > new.finish_by {
            return false;
        }
        let mut work_ms = ahead_ms + new.time_ms;
        for (ahead, behind) in (position..).zip(&self.waiting[position..]) {
            let was_in_time =
                self.expected_end(now, ahead, work_ms - new.time_ms, behind) <= behind.finish_by;
            let is_lower = behind.request.priority < new.request.priority;
            // A short call may make a long one miss its objective, since other work usually waits for short calls.
            let is_short = new.time_ms <= behind.time_ms * SHORT_CALL_SHARE;
            let finish_by = if is_short {
                behind.request.deadline
            } else {
                behind.finish_by
            };
            if !is_lower && was_in_time && self.expected_end(now, ahead + 1, work_ms, behind) > finish_by {
                return false;
            }
            work_ms += behind.time_ms;
        }
        true
    }

    /// Removes the calls behind `position` that can no longer end in time, and the last one if too many wait.
    /// Returns their tickets.
    fn shed_behind(&mut self, now: Ms, position: usize) -> Vec<u64> {
        let mut shed = Vec::new();
        let mut work_ms: f64 = self.waiting[..=position].iter().map(|w| w.time_ms).sum();
        let mut i = position + 1;
        while i < self.waiting.len() {
            let behind = self.waiting[i];
            if self.expected_end(now, i, work_ms, &behind) > behind.request.deadline {
                shed.push(self.waiting.remove(i).ticket);
            } else {
                work_ms += behind.time_ms;
                i += 1;
            }
        }
        if self.waiting.len() > self.slots * WAITING_PER_SLOT_MAX {
            shed.extend(self.waiting.pop().map(|last| last.ticket));
        }
        shed
    }

    /// Returns the time by which a call should end: its objective, or a short time from now if that is later, but never
    /// after its deadline. `long_ms` is the time that few calls of its kind exceed.
    fn finish_by(
        &self,
        now: Ms,
        request: AdmissionRequest,
        long_ms: f64,
        is_late: bool,
        is_short: bool,
    ) -> Ms {
        let late_wait_ms = long_ms * LATE_WAIT_SHARE;
        let wait_ms = match (is_late, is_short) {
            (_, true) => late_wait_ms.max(self.mean_ms() / self.slots as f64 * SHORT_WAIT_SLOTS),
            (true, false) => late_wait_ms,
            (false, false) => long_ms * IN_TIME_WAIT_SHARE,
        };
        let soon = now + Ms((long_ms + wait_ms) as u64);
        request.objective.max(soon).min(request.deadline)
    }

    /// Returns when `call` is expected to end if `ahead` calls of `work_ms` in total wait before it.
    fn expected_end(&self, now: Ms, ahead: usize, work_ms: f64, call: &WaitingCall) -> Ms {
        let slot_wait_ms = (work_ms + self.mean_ms()) / self.slots as f64;
        let wait_ms = slot_wait_ms.max(self.rate_wait(ahead, now).0 as f64);
        now + Ms((wait_ms + call.long_ms) as u64)
    }
}
