//! Loads of a large cluster on the choice of servers: many entry daemons, each of which rarely calls the same server.

use {
    clementinefold::{
        call::{Admission, AdmissionRequest, ServerQueue},
        clock::Ms,
        route::{Balancer, Candidate, Signal, Target},
        settings::BalanceSettings,
        wire::peer::ServerLoad,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const SEED: u64 = 3;
const DOMAINS: usize = 5;
const ENTRIES_PER_DOMAIN: usize = 36;
const SERVERS_PER_DOMAIN: usize = 12;
const SLOTS: usize = 9;
/// Mean run time of a call in ms. A server takes 80% to 120% of it.
const WORK_MS: f64 = 280.0;
const OBJECTIVE: Ms = Ms(800);
const DEADLINE: Ms = Ms(3_000);
/// Simulated time. The calls of the first part only fill the servers.
const WARM_UP: Ms = Ms(5_000);
const END: Ms = Ms(35_000);
/// Maximum number of servers that one call is sent to.
const TRIES_MAX: usize = 4;
/// Number that identifies the only kind of call.
const KIND: u64 = 1;

/// The end of a call on a server.
type End = Reverse<(Ms, usize, usize, Ms, Ms)>;

/// A simulated call that waits in the queue of a server.
struct Waiting {
    ticket: u64,
    entry: usize,
    arrived: Ms,
}

struct Server {
    queue: ServerQueue,
    waiting: Vec<Waiting>,
    speed: f64,
}

/// How the calls after the warm-up ended.
#[derive(Debug, Default)]
struct Counts {
    arrived: u32,
    in_time: u32,
    in_other_domain: u32,
}

struct World {
    now: Ms,
    rng: SmallRng,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    ends: BinaryHeap<End>,
    counts: Counts,
}

impl World {
    fn new(settings: BalanceSettings) -> Self {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let servers = (0..DOMAINS * SERVERS_PER_DOMAIN).map(|_| Server {
            queue: ServerQueue::new(SLOTS),
            waiting: Vec::new(),
            speed: rng.random_range(0.8..1.2),
        });
        Self {
            now: Ms(1_000),
            servers: servers.collect(),
            rng,
            balancers: vec![Balancer::new(settings); DOMAINS * ENTRIES_PER_DOMAIN],
            ends: BinaryHeap::new(),
            counts: Counts::default(),
        }
    }

    fn candidates(entry: usize) -> Vec<Candidate> {
        let candidate = |server: usize| Candidate {
            target: Target {
                session: server as u64,
                server: server.to_string(),
            },
            slots: SLOTS as u32,
            peer_address: server.to_string(),
            is_same_domain: server / SERVERS_PER_DOMAIN == entry / ENTRIES_PER_DOMAIN,
            warmup_per_s: None,
        };
        (0..DOMAINS * SERVERS_PER_DOMAIN).map(candidate).collect()
    }

    fn load(&self, server: usize) -> ServerLoad {
        let queue = &self.servers[server].queue;
        ServerLoad {
            running: queue.running() as u32,
            waiting: queue.waiting() as u32,
            slots: queue.slots() as u32,
            mean_ms: queue.mean_time().0 as u32,
            refused_percent: 0,
            pace_percent: 100,
        }
    }

    fn start(&mut self, server: usize, entry: usize, arrived: Ms) {
        let work_ms = WORK_MS * self.servers[server].speed * self.rng.random_range(0.7..1.3);
        let end = (self.now + Ms(work_ms as u64), server, entry, arrived, self.now);
        self.ends.push(Reverse(end));
    }

    /// Sends a call to one server after another until one accepts it.
    fn call(&mut self, entry: usize, candidates: &[Candidate]) {
        let arrived = self.now;
        let is_counted = arrived >= WARM_UP;
        self.counts.arrived += u32::from(is_counted);
        let mut left = candidates.to_vec();
        for _ in 0..TRIES_MAX {
            let i = self.balancers[entry]
                .choose(&left, self.now, &mut self.rng)
                .unwrap();
            let chosen = left.remove(i);
            let server = chosen.target.session as usize;
            self.balancers[entry].record_sent(&chosen.target, self.now);
            let request = AdmissionRequest {
                kind: KIND,
                priority: 5,
                objective: arrived + OBJECTIVE,
                deadline: arrived + DEADLINE,
                is_exclusive: false,
            };
            let admission = self.servers[server].queue.admit(self.now, request);
            match admission {
                Admission::Run => self.start(server, entry, arrived),
                Admission::Wait { ticket, .. } => self.servers[server].waiting.push(Waiting {
                    ticket,
                    entry,
                    arrived,
                }),
                Admission::Refused(_) => {
                    let load = self.load(server);
                    self.balancers[entry].record_load(&chosen.target, &load, self.now);
                    self.balancers[entry].record_end(&chosen.target, Signal::Refused, self.now);
                    continue;
                }
            }
            self.counts.in_other_domain += u32::from(is_counted && !chosen.is_same_domain);
            return;
        }
    }

    /// Ends the calls that end before `until`, and starts those that wait for their slots.
    fn run_until(&mut self, until: Ms) {
        while let Some(Reverse((at, server, entry, arrived, started))) = self.ends.peek().copied() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.now = at;
            self.servers[server].queue.finish(KIND, Some(at - started));
            let is_in_time = at <= arrived + OBJECTIVE && arrived >= WARM_UP;
            self.counts.in_time += u32::from(is_in_time);
            let target = Target {
                session: server as u64,
                server: server.to_string(),
            };
            let load = self.load(server);
            self.balancers[entry].record_load(&target, &load, at);
            self.balancers[entry].record_end(&target, Signal::Answered(at - arrived), at);
            while let Some(ticket) = self.servers[server].queue.dequeue(at).next {
                let waiting = &mut self.servers[server].waiting;
                let i = waiting.iter().position(|w| w.ticket == ticket).unwrap();
                let next = waiting.swap_remove(i);
                self.start(server, next.entry, next.arrived);
            }
        }
        self.now = until;
    }
}

/// Simulates a load with default settings. `share` returns how many calls a domain sends, as a share of what its own
/// servers can run.
fn simulate(share: impl Fn(usize) -> f64) -> Counts {
    simulate_with(BalanceSettings::default(), share)
}

fn simulate_with(settings: BalanceSettings, share: impl Fn(usize) -> f64) -> Counts {
    let mut world = World::new(settings);
    let capacity_per_ms = (SERVERS_PER_DOMAIN * SLOTS) as f64 / WORK_MS;
    let candidates: Vec<_> = (0..DOMAINS)
        .map(|domain| World::candidates(domain * ENTRIES_PER_DOMAIN))
        .collect();
    for (entry, balancer) in world.balancers.iter_mut().enumerate() {
        balancer.learn(&candidates[entry / ENTRIES_PER_DOMAIN], world.now);
    }
    let mut due = [0.0; DOMAINS];
    while world.now < END {
        for domain in 0..DOMAINS {
            due[domain] += share(domain) * capacity_per_ms;
            while due[domain] >= 1.0 {
                due[domain] -= 1.0;
                let entry = domain * ENTRIES_PER_DOMAIN + world.rng.random_range(0..ENTRIES_PER_DOMAIN);
                world.call(entry, &candidates[domain]);
            }
        }
        let next = world.now + Ms(1);
        world.run_until(next);
    }
    world.run_until(END + DEADLINE);
    world.counts
}

#[test]
fn calm_calls_stay() {
    let counts = simulate(|_| 0.5);
    assert!(counts.in_time * 100 >= counts.arrived * 99, "{counts:?}");
    assert!(counts.in_other_domain * 10 <= counts.arrived, "{counts:?}");
}

#[test]
fn full_domain_spills_over() {
    // One domain sends half as much again as its servers can run, the others a quarter.
    let counts = simulate(|domain| if domain == 0 { 1.5 } else { 0.25 });
    assert!(counts.in_time * 100 >= counts.arrived * 98, "{counts:?}");
}

/// Guards against a setting for the cost of other failure domains that has no effect: calls of busy domains then cross
/// between domains as if that were cheap.
#[test]
fn dear_distance() {
    let share = |_| 0.9;
    let cheap = simulate(share);
    let dear = simulate_with(
        BalanceSettings {
            other_domain_percent: 1000,
            ..BalanceSettings::default()
        },
        share,
    );
    assert!(
        dear.in_other_domain * 2 <= cheap.in_other_domain,
        "{dear:?}, {cheap:?}"
    );
    assert!(dear.in_time * 100 >= dear.arrived * 97, "{dear:?}, {cheap:?}");
}
