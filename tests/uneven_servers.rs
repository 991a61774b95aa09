//! Replays of servers of uneven speed, of which a fifth works 3 times as slowly at any moment, with and without the load
//! that they report. No network; every entry daemon and every server is simulated.

use {
    clementinefold::{
        call::{Admission, AdmissionRequest, ReportedLoad, ServerQueue, REFUSALS_MAX},
        clock::Ms,
        route::{Balancer, Candidate, Signal, Target},
        wire::peer::ServerLoad,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

const ENTRIES: usize = 30;
/// Speeds of the servers in turn. A server of speed 0.5 takes twice as long for a call as one of speed 1.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
const SERVERS: usize = 20;
const SLOTS: usize = 6;
/// Time for which a server works at one pace, in ms.
const PHASE_MS: u64 = 400;
/// Share of the servers that are slow in a phase, and how much longer they take for the same work.
const SLOW_SHARE: f64 = 0.2;
const SLOWNESS: f64 = 3.0;
/// Times of the kinds of calls at speed 1 in ms. A call takes 70% to 130% of that of its kind.
const KIND_TIMES_MS: [f64; 3] = [130.0, 265.0, 400.0];
const OBJECTIVE: Ms = Ms(800);
const DEADLINE: Ms = Ms(2_500);
/// Simulated time. The calls of the first part only make the servers known.
const WARM_UP: Ms = Ms(6_000);
const END: Ms = Ms(26_000);

/// Number of replays for one figure. Their random numbers differ.
const SEEDS: u64 = 8;
/// Calls of 100 that wrong figures may cost.
const WRONG_FIGURES_COST: f64 = 2.0;

/// What the servers report in percent of the usual time, by the factor by which they are slow.
#[derive(Clone, Copy, Debug)]
enum Report {
    Nothing,
    Truth,
    Always(u32),
    /// One of two figures at random.
    Either(u32, u32),
    /// The truth of one phase ago.
    Late,
}

struct Call {
    ticket: u64,
    entry: usize,
    kind: usize,
    arrived: Ms,
    started: Ms,
    /// Work that the server had done when the call started.
    work_done_ms: f64,
    work_left_ms: f64,
}

struct Server {
    queue: ServerQueue,
    speed: f64,
    slowness: f64,
    slowness_before: f64,
    waiting: Vec<Call>,
    running: Vec<Call>,
}

/// How the calls after the warm-up ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    arrived: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Number of times that calls were refused because a server was slow.
    refused_slow: u32,
}

impl Counts {
    fn percent(&self, calls: u32) -> f64 {
        f64::from(calls) * 100.0 / f64::from(self.arrived)
    }
}

struct World {
    now: Ms,
    rng: SmallRng,
    report: Report,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    candidates: Vec<Candidate>,
    counts: Counts,
}

impl World {
    fn new(report: Report, seed: u64) -> Self {
        let server = |i: usize| Server {
            queue: ServerQueue::new(SLOTS),
            speed: SPEEDS[i % SPEEDS.len()],
            slowness: 1.0,
            slowness_before: 1.0,
            waiting: Vec::new(),
            running: Vec::new(),
        };
        let candidate = |i: usize| Candidate {
            target: Target {
                session: i as u64,
                server: i.to_string(),
            },
            slots: SLOTS as u32,
            peer_address: i.to_string(),
            is_same_domain: true,
            warmup_per_s: None,
        };
        Self {
            now: Ms(1_000),
            rng: SmallRng::seed_from_u64(seed),
            report,
            servers: (0..SERVERS).map(server).collect(),
            balancers: vec![Balancer::default(); ENTRIES],
            candidates: (0..SERVERS).map(candidate).collect(),
            counts: Counts::default(),
        }
    }

    fn load(&mut self, server: usize) -> ServerLoad {
        let queue = &mut self.servers[server].queue;
        queue.refresh(self.now);
        ServerLoad {
            running: queue.running() as u32,
            waiting: queue.waiting() as u32,
            slots: queue.slots() as u32,
            mean_ms: queue.slot_time().0 as u32,
            refused_percent: 0,
            pace_percent: queue.pace_percent(),
        }
    }

    fn change_paces(&mut self) {
        for server in &mut self.servers {
            server.slowness_before = server.slowness;
            server.slowness = match self.rng.random_bool(SLOW_SHARE) {
                true => SLOWNESS,
                false => 1.0,
            };
        }
    }

    /// Lets the server report its load with an answer.
    fn report(&mut self, server: usize) {
        let Server {
            slowness,
            slowness_before,
            running,
            ..
        } = &self.servers[server];
        let work_percent = match self.report {
            Report::Nothing => return,
            Report::Truth => (slowness * 100.0) as u32,
            Report::Late => (slowness_before * 100.0) as u32,
            Report::Always(percent) => percent,
            Report::Either(one, other) => match self.rng.random_bool(0.5) {
                true => one,
                false => other,
            },
        };
        let load = ReportedLoad {
            running: running.len() as u32,
            waiting: 0,
            slots: SLOTS as u32,
            work_percent,
        };
        self.servers[server].queue.report_load(&load, self.now);
    }

    fn start(&mut self, server: usize, mut call: Call) {
        let server = &mut self.servers[server];
        call.started = self.now;
        call.work_done_ms = server.queue.work_done_ms(self.now);
        server.running.push(call);
    }

    /// Sends a call to one server after another until one takes it.
    fn arrive(&mut self) {
        let (arrived, entry) = (self.now, self.rng.random_range(0..ENTRIES));
        let kind = self.rng.random_range(0..KIND_TIMES_MS.len());
        let work_left_ms = KIND_TIMES_MS[kind] * self.rng.random_range(0.7..1.3);
        let is_counted = arrived >= WARM_UP;
        self.counts.arrived += u32::from(is_counted);
        let request = AdmissionRequest {
            kind: kind as u64,
            priority: 5,
            objective: arrived + OBJECTIVE,
            deadline: arrived + DEADLINE,
            is_exclusive: false,
        };
        let mut left = self.candidates.clone();
        for refusals in 0..REFUSALS_MAX {
            let i = self.balancers[entry]
                .choose(&left, self.now, &mut self.rng)
                .unwrap();
            let has_other_server = refusals + 1 < REFUSALS_MAX && left.len() > 1;
            let target = left.remove(i).target;
            let server = target.session as usize;
            self.balancers[entry].record_sent(&target, self.now);
            let queue = &mut self.servers[server].queue;
            let is_slow = has_other_server && queue.refuse_slow(self.now, request).is_some();
            let admission = (!is_slow).then(|| queue.admit(self.now, request));
            let mut call = Call {
                ticket: 0,
                entry,
                kind,
                arrived,
                started: arrived,
                work_done_ms: 0.0,
                work_left_ms,
            };
            match admission {
                Some(Admission::Run) => return self.start(server, call),
                Some(Admission::Wait { ticket, shed, .. }) => {
                    call.ticket = ticket;
                    self.servers[server].waiting.push(call);
                    shed.into_iter().for_each(|ticket| self.refuse(server, ticket));
                    return;
                }
                Some(Admission::Refused(_)) | None => {}
            }
            self.counts.refused_slow += u32::from(is_slow && is_counted);
            let load = self.load(server);
            self.balancers[entry].record_load(&target, &load, self.now);
            let signal = if is_slow { Signal::None } else { Signal::Refused };
            self.balancers[entry].record_end(&target, signal, self.now);
        }
        self.counts.refused += u32::from(is_counted);
    }

    fn take_waiting(&mut self, server: usize, ticket: u64) -> Call {
        let waiting = &mut self.servers[server].waiting;
        let i = waiting.iter().position(|w| w.ticket == ticket).unwrap();
        waiting.swap_remove(i)
    }

    fn refuse(&mut self, server: usize, ticket: u64) {
        let call = self.take_waiting(server, ticket);
        self.counts.refused += u32::from(call.arrived >= WARM_UP);
        let target = self.candidates[server].target.clone();
        self.balancers[call.entry].record_end(&target, Signal::Refused, self.now);
    }

    fn end(&mut self, server: usize, call: &Call) {
        self.report(server);
        let queue = &mut self.servers[server].queue;
        let work_ms = queue.work_done_ms(self.now) - call.work_done_ms;
        queue.finish_work(call.kind as u64, Some(self.now - call.started), work_ms);
        if call.arrived >= WARM_UP {
            match self.now <= call.arrived + OBJECTIVE {
                true => self.counts.in_time += 1,
                false => self.counts.late += 1,
            }
        }
        let target = self.candidates[server].target.clone();
        let load = self.load(server);
        let balancer = &mut self.balancers[call.entry];
        balancer.record_load(&target, &load, self.now);
        balancer.record_end(&target, Signal::Answered(self.now - call.arrived), self.now);
    }

    fn assign_free_slots(&mut self, server: usize) {
        loop {
            let dequeued = self.servers[server].queue.dequeue(self.now);
            for ticket in dequeued.expired {
                self.refuse(server, ticket);
            }
            let Some(ticket) = dequeued.next else { return };
            let call = self.take_waiting(server, ticket);
            self.start(server, call);
        }
    }

    /// Lets the servers work for a millisecond.
    fn work(&mut self) {
        for i in 0..SERVERS {
            let server = &mut self.servers[i];
            let done_ms = server.speed / server.slowness;
            let mut ended = Vec::new();
            for call in &mut server.running {
                call.work_left_ms -= done_ms;
            }
            while let Some(at) = server.running.iter().position(|c| c.work_left_ms <= 0.0) {
                ended.push(server.running.swap_remove(at));
            }
            for call in &ended {
                self.end(i, call);
            }
            if !ended.is_empty() {
                self.assign_free_slots(i);
            }
        }
    }
}

/// Returns the number of calls a second that fill all slots.
fn capacity_per_s() -> f64 {
    let speed: f64 = (0..SERVERS).map(|i| SPEEDS[i % SPEEDS.len()]).sum();
    let mean_ms = KIND_TIMES_MS.iter().sum::<f64>() / KIND_TIMES_MS.len() as f64;
    let usual_share = 1.0 - SLOW_SHARE + SLOW_SHARE / SLOWNESS;
    speed * usual_share * SLOTS as f64 * 1000.0 / mean_ms
}

/// Simulates a load of `share` times the capacity.
fn replay(share: f64, report: Report, seed: u64) -> Counts {
    let mut world = World::new(report, seed);
    let candidates = world.candidates.clone();
    for balancer in &mut world.balancers {
        balancer.learn(&candidates, world.now);
    }
    let mut due = 0.0;
    while world.now < END + DEADLINE {
        if world.now.0 % PHASE_MS == 0 {
            world.change_paces();
        }
        if world.now < END {
            due += share * capacity_per_s() / 1000.0;
        }
        while due >= 1.0 {
            due -= 1.0;
            world.arrive();
        }
        world.work();
        world.now += Ms(1);
    }
    world.counts
}

/// Returns the sums over all seeds.
fn replay_all(share: f64, report: Report) -> Counts {
    let mut sums = Counts::default();
    for seed in 1..=SEEDS {
        let counts = replay(share, report, seed);
        sums.arrived += counts.arrived;
        sums.in_time += counts.in_time;
        sums.late += counts.late;
        sums.refused += counts.refused;
        sums.refused_slow += counts.refused_slow;
    }
    println!(
        "{share} {report:?}: in time {:.1}%, late {:.1}%, refused {:.1}%, {:.1} refusals of slow servers for 100 calls",
        sums.percent(sums.in_time),
        sums.percent(sums.late),
        sums.percent(sums.refused),
        sums.percent(sums.refused_slow)
    );
    sums
}

/// Guards against work for servers that are slow just now. At each load, the calls that are not in time must become fewer
/// by a share once the servers report their load: without the change by none.
#[test]
fn reports_make_calls_timely() {
    for (share, less_percent) in [(0.7, 10.0), (1.0, 10.0), (1.5, 1.0)] {
        let (without, with) = (
            replay_all(share, Report::Nothing),
            replay_all(share, Report::Truth),
        );
        let missed = |c: Counts| 100.0 - c.percent(c.in_time);
        let allowed = missed(without) * (1.0 - less_percent / 100.0);
        assert!(missed(with) <= allowed, "{share}: {without:?} {with:?}");
        assert!(with.refused_slow > 0, "{share}: {with:?}");
    }
}

/// Guards against a false figure that costs calls. A constant one changes nothing at all.
#[test]
fn constant_figures_change_nothing() {
    let without = replay(1.0, Report::Nothing, 1);
    for percent in [1, 100, 10_000] {
        let with = replay(1.0, Report::Always(percent), 1);
        assert_eq!(with, without, "{percent}");
    }
}

/// Guards against false figures that jump and figures that are one phase late. They cost at most 2 calls of 100, since they
/// are not used while they do not explain the times of calls.
#[test]
fn wrong_figures_bounded() {
    for share in [0.7, 1.0, 1.5] {
        let without = replay_all(share, Report::Nothing);
        for report in [Report::Late, Report::Either(1, 10_000), Report::Either(100, 300)] {
            let with = replay_all(share, report);
            let lost = without.percent(without.in_time) - with.percent(with.in_time);
            assert!(lost <= WRONG_FIGURES_COST, "{share} {report:?}: {lost}");
        }
    }
}
