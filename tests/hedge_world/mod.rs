//! Replays the calls of one undivided service on a simulated clock: entry daemons with their balancers, budgets and
//! hedge policies, and servers with their queues. Links take a fixed time, and everything else is decided by the code of
//! the daemon.

mod outcome;
mod server;

pub use {outcome::Outcome, server::Fault};

use {
    clementinefold::{
        call::{
            after_try, ends_call, reached_server, CallResult, HedgeContext, HedgePolicy,
            Outcome as CallOutcome, Reason, RetryBudget, RoutedContext, RoutedStep,
        },
        clock::Ms,
        route::{Balancer, Candidate, EntryThrottle, Signal, Target},
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    server::{Arrival, Server, SLOTS, WORK_MEAN_MS},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const SERVERS: usize = 10;
pub const ENTRIES: usize = 6;
/// Time of a message between two daemons.
const LINK_TIME: Ms = Ms(1);
const OBJECTIVE: Ms = Ms(600);
const DEADLINE: Ms = Ms(2_000);
const ATTEMPTS: u32 = 2;
const SERVICE: &str = "desk";
const ROUTE: &str = "r-desk";
/// Limits of the retry budget of an entry daemon, as in `src/daemon/route_limits.rs`.
const RETRY_RATIO: f64 = 0.15;
const RETRIES_SAVED_MAX: f64 = 40.0 / (ENTRIES + SERVERS) as f64;
/// Calls before this time only fill the statistics of the daemons.
const WARM_UP: Ms = Ms(10_000);
const END: Ms = Ms(70_000);
const PRIORITY: u8 = 5;
/// Priority of hedged requests, as in `src/daemon/hedged_attempt.rs`.
const HEDGE_PRIORITY: u8 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    /// The attempt reaches its server.
    Arrival(usize),
    /// The attempt can no longer start in time.
    GiveUp(usize),
    /// The run of the attempt ends, with a response or at its deadline.
    RunEnd(usize),
    /// The cancellation of the attempt reaches its server.
    Cancel(usize),
    /// The result of the attempt reaches its entry daemon.
    Reply(usize),
    /// The attempt is late.
    Late(usize),
}

struct Attempt {
    call: usize,
    server: usize,
    is_hedge: bool,
    sent_at: Ms,
    result: Option<CallResult>,
    /// Whether the entry daemon still waits for it.
    is_open: bool,
}

struct Call {
    entry: usize,
    started: Ms,
    sent: u32,
    refusals: u32,
    /// Whether an attempt has reached a server.
    has_run: bool,
    /// Attempts so far. The last two may run at the same time.
    attempts: Vec<usize>,
}

struct Entry {
    balancer: Balancer,
    throttle: EntryThrottle,
    retries: RetryBudget,
    policy: HedgePolicy,
}

pub struct World {
    now: Ms,
    rng: SmallRng,
    percent: u32,
    call_interval_ms: f64,
    next_call_ms: f64,
    events: BinaryHeap<Reverse<(Ms, usize, Event)>>,
    next_event: usize,
    candidates: Vec<Candidate>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    outcome: Outcome,
}

/// Replays a minute of calls at a share `load` of the capacity, with hedged requests for `percent` of the calls.
pub fn replay(fault: Fault, load: f64, percent: u32, seed: u64) -> Outcome {
    let capacity_per_ms: f64 = (0..SERVERS)
        .map(|i| SLOTS as f64 / (WORK_MEAN_MS * fault.mean_pace(i)))
        .sum();
    let candidate = |i: usize| Candidate {
        target: Target {
            session: i as u64,
            server: format!("s{i}"),
        },
        slots: SLOTS as u32,
        peer_address: format!("p{i}"),
        is_same_domain: true,
        warmup_per_s: None,
    };
    let entry = |_| Entry {
        balancer: Balancer::default(),
        throttle: EntryThrottle::for_services(),
        retries: RetryBudget::new(RETRY_RATIO, RETRIES_SAVED_MAX),
        policy: HedgePolicy::new(percent, RETRIES_SAVED_MAX),
    };
    let mut world = World {
        now: Ms(1),
        rng: SmallRng::seed_from_u64(seed),
        percent,
        call_interval_ms: 1.0 / (capacity_per_ms * load),
        next_call_ms: 1.0,
        events: BinaryHeap::new(),
        next_event: 0,
        candidates: (0..SERVERS).map(candidate).collect(),
        servers: (0..SERVERS).map(|i| Server::new(i, fault)).collect(),
        entries: (0..ENTRIES).map(entry).collect(),
        calls: Vec::new(),
        attempts: Vec::new(),
        outcome: Outcome::default(),
    };
    world.schedule(Ms(1), Event::Call);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.outcome
}

impl World {
    fn schedule(&mut self, at: Ms, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call => self.begin_call(),
            Event::Arrival(attempt) => self.arrive(attempt),
            Event::GiveUp(attempt) => {
                let server = self.attempts[attempt].server;
                if self.servers[server].give_up(attempt) {
                    self.reply(attempt, CallResult::failed(Reason::DeadlineTooShort));
                }
            }
            Event::RunEnd(attempt) => self.end_run(attempt),
            Event::Cancel(attempt) => {
                let server = self.attempts[attempt].server;
                let ran = self.servers[server].cancel(attempt, self.now);
                self.outcome.busy_ms += ran.0;
                self.outcome.cancelled_ms += ran.0;
                self.start_waiting(server);
            }
            Event::Reply(attempt) => self.take_reply(attempt),
            Event::Late(attempt) => self.hedge(attempt),
        }
    }

    fn begin_call(&mut self) {
        self.next_call_ms -= self.rng.random::<f64>().max(1e-12).ln() * self.call_interval_ms;
        if self.next_call_ms < END.0 as f64 {
            self.schedule(Ms(self.next_call_ms as u64), Event::Call);
        }
        let call = self.calls.len();
        let entry = self.rng.random_range(0..ENTRIES);
        self.calls.push(Call {
            entry,
            started: self.now,
            sent: 0,
            refusals: 0,
            has_run: false,
            attempts: Vec::new(),
        });
        if self.now >= WARM_UP {
            self.outcome.calls += 1;
        }
        self.outcome.call_times.push(self.now);
        self.entries[entry].retries.earn();
        self.entries[entry].policy.earn();
        self.send_first(call);
    }

    /// Sends the call to a server that was not tried, without a hedged request so far.
    fn send_first(&mut self, call: usize) {
        let others = self.untried(call);
        let (now, rng) = (self.now, &mut self.rng);
        let entry = &mut self.entries[self.calls[call].entry];
        if entry.throttle.admit(SERVICE, ROUTE, now, rng).is_err() {
            return;
        }
        let Some(chosen) = entry.balancer.choose(&others, now, rng) else {
            return;
        };
        let delay = entry.policy.delay(ROUTE, now);
        let attempt = self.send(call, &others[chosen], false);
        if let Some(delay) = delay.filter(|_| self.calls[call].sent + 1 < ATTEMPTS) {
            self.schedule(now + delay, Event::Late(attempt));
        }
    }

    fn untried(&self, call: usize) -> Vec<Candidate> {
        let tried = |i: &usize| {
            let attempts = &self.calls[call].attempts;
            attempts.iter().any(|a| self.attempts[*a].server == *i)
        };
        let left = (0..SERVERS).filter(|i| !tried(i));
        left.map(|i| self.candidates[i].clone()).collect()
    }

    fn send(&mut self, call: usize, to: &Candidate, is_hedge: bool) -> usize {
        let attempt = self.attempts.len();
        let server = to.target.session as usize;
        self.attempts.push(Attempt {
            call,
            server,
            is_hedge,
            sent_at: self.now,
            result: None,
            is_open: true,
        });
        self.calls[call].attempts.push(attempt);
        let entry = &mut self.entries[self.calls[call].entry];
        entry.balancer.record_sent(&to.target, self.now);
        self.schedule(self.now + LINK_TIME, Event::Arrival(attempt));
        attempt
    }

    fn arrive(&mut self, attempt: usize) {
        let Attempt {
            call,
            server,
            is_hedge,
            ..
        } = self.attempts[attempt];
        let started = self.calls[call].started;
        let priority = if is_hedge { HEDGE_PRIORITY } else { PRIORITY };
        let arrival = self.servers[server].arrive(
            attempt,
            priority,
            started + OBJECTIVE,
            started + DEADLINE,
            self.now,
        );
        match arrival {
            Arrival::Runs => self.start_run(attempt),
            Arrival::Waits { give_up_at, shed } => {
                self.schedule(give_up_at, Event::GiveUp(attempt));
                for shed in shed {
                    self.reply(shed, CallResult::failed(Reason::Overloaded));
                }
            }
            Arrival::Refused(reason, retry_after) => {
                let result = CallResult {
                    retry_after,
                    ..CallResult::failed(reason)
                };
                self.reply(attempt, result);
            }
        }
    }

    fn start_run(&mut self, attempt: usize) {
        let Attempt { call, server, .. } = self.attempts[attempt];
        if std::mem::replace(&mut self.calls[call].has_run, true) {
            self.outcome.repeat_times.push(self.now);
        }
        let deadline = self.calls[call].started + DEADLINE;
        let end = self.servers[server].start(attempt, self.now, &mut self.rng);
        self.schedule(end.min(deadline), Event::RunEnd(attempt));
    }

    fn end_run(&mut self, attempt: usize) {
        let Attempt { call, server, .. } = self.attempts[attempt];
        let Some(ran) = self.servers[server].finish(attempt, self.now) else {
            return;
        };
        self.outcome.busy_ms += ran.0;
        let is_late = self.now >= self.calls[call].started + DEADLINE;
        let result = if is_late {
            CallResult::failed(Reason::ServerLate)
        } else {
            CallResult::answered(200, Vec::new(), Default::default())
        };
        self.reply(attempt, result);
        self.start_waiting(server);
    }

    fn start_waiting(&mut self, server: usize) {
        loop {
            let (next, expired) = self.servers[server].next_waiting(self.now);
            for attempt in expired {
                self.reply(attempt, CallResult::failed(Reason::DeadlineTooShort));
            }
            let Some(next) = next else { return };
            self.start_run(next);
        }
    }

    fn reply(&mut self, attempt: usize, result: CallResult) {
        let load = Some(self.servers[self.attempts[attempt].server].load(self.now));
        self.attempts[attempt].result = Some(CallResult { load, ..result });
        self.schedule(self.now + LINK_TIME, Event::Reply(attempt));
    }

    fn take_reply(&mut self, attempt: usize) {
        let Attempt {
            call,
            server,
            is_hedge,
            sent_at,
            is_open,
            ..
        } = self.attempts[attempt];
        if !is_open {
            return;
        }
        let result = self.attempts[attempt]
            .result
            .take()
            .expect("the attempt has a result");
        let (now, took) = (self.now, self.now - sent_at);
        self.attempts[attempt].is_open = false;
        let target = self.candidates[server].target.clone();
        let is_refused = matches!(result.reason, Some(Reason::Overloaded | Reason::ServerFull));
        let entry = &mut self.entries[self.calls[call].entry];
        if let Some(load) = &result.load {
            entry.balancer.record_load(&target, load, now);
        }
        let signal = Signal::of(result.outcome, is_refused, took);
        entry.balancer.record_end(&target, signal, now);
        match is_refused {
            true => entry
                .throttle
                .record_refused(SERVICE, ROUTE, result.retry_after, now),
            false => entry.throttle.record_accepted(SERVICE, ROUTE, now),
        }
        entry.policy.record_attempt(is_refused);
        if !is_hedge && (ends_call(&result) || result.reason == Some(Reason::ServerLate)) {
            entry.policy.record_time(ROUTE, took, now);
        }
        let attempts = self.calls[call].attempts.clone();
        let other = attempts.into_iter().find(|a| self.attempts[*a].is_open);
        if ends_call(&result) {
            return self.answer(call, is_hedge, other);
        }
        match reached_server(&result) {
            true => self.calls[call].sent += 1,
            false => self.calls[call].refusals += 1,
        }
        if other.is_none() {
            self.retry(call, &result);
        }
    }

    fn answer(&mut self, call: usize, is_hedge: bool, other: Option<usize>) {
        let started = self.calls[call].started;
        if started >= WARM_UP {
            self.outcome.times.push(self.now - started);
            self.outcome.hedges_won += usize::from(is_hedge);
        }
        let Some(loser) = other else { return };
        let took = self.now - self.attempts[loser].sent_at;
        self.attempts[loser].is_open = false;
        let target = self.candidates[self.attempts[loser].server].target.clone();
        let entry = &mut self.entries[self.calls[call].entry];
        entry.balancer.record_end(&target, Signal::None, self.now);
        if is_hedge {
            entry.balancer.record_cancelled(&target, took, self.now);
            entry.policy.record_cancelled(ROUTE, took, self.now);
        }
        entry.throttle.record_accepted(SERVICE, ROUTE, self.now);
        self.schedule(self.now + LINK_TIME, Event::Cancel(loser));
    }

    fn retry(&mut self, call: usize, result: &CallResult) {
        let has_other_server = !self.untried(call).is_empty();
        let Call {
            entry,
            started,
            sent,
            refusals,
            ..
        } = self.calls[call];
        let context = RoutedContext {
            now: self.now,
            deadline: started + DEADLINE,
            park_until: started,
            idempotent: true,
            divided_by_key: false,
            sent,
            sent_max: ATTEMPTS,
            refusals,
            has_other_server,
        };
        if after_try(result, context, &mut self.entries[entry].retries) == RoutedStep::Retry {
            return self.send_first(call);
        }
        if result.outcome == CallOutcome::Unknown && started >= WARM_UP {
            self.outcome.times.push(DEADLINE);
            self.outcome.unanswered += 1;
        }
    }

    /// Sends a hedged request for the call of a late attempt, if the policy and the balancer permit it.
    fn hedge(&mut self, attempt: usize) {
        let Attempt { call, is_open, .. } = self.attempts[attempt];
        if !is_open || self.percent == 0 {
            return;
        }
        let others = self.untried(call);
        let (now, rng) = (self.now, &mut self.rng);
        let entry = &mut self.entries[self.calls[call].entry];
        let context = HedgeContext {
            now,
            deadline: self.calls[call].started + DEADLINE,
            idempotent: true,
            divided_by_key: false,
            sent: self.calls[call].sent + 1,
            sent_max: ATTEMPTS,
        };
        if entry.policy.check(ROUTE, context, &entry.retries).is_err() {
            return;
        }
        let within = entry.policy.time_to_win(ROUTE, now);
        let median = entry.policy.median(ROUTE, now);
        let chosen = entry.balancer.choose_hedge(&others, within, median, now, rng);
        let Some(chosen) = chosen else { return };
        if entry.throttle.admit(SERVICE, ROUTE, now, rng).is_err() || !entry.policy.spend(&mut entry.retries)
        {
            return;
        }
        if self.calls[call].started >= WARM_UP {
            self.outcome.hedges += 1;
        }
        self.send(call, &others[chosen], true);
    }
}
