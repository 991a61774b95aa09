//! Many entry daemons that find the same cold server, without a network.

use {
    clementinefold::{
        call::{Admission, AdmissionRequest, ServerQueue},
        clock::Ms,
        route::{Balancer, Candidate, Signal, Target},
        wire::peer::ServerLoad,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

const ENTRIES: usize = 30;
const SERVERS: usize = 10;
const SLOTS: usize = 6;
/// Bounds of the run time of a call on a warm server. A cold one works half as fast.
const WORK_MS: std::ops::Range<u64> = 130..400;
const OBJECTIVE_MS: u64 = 800;
const DEADLINE_MS: u64 = 2000;
const TRIES_MAX: usize = 3;
const KIND: u64 = 1;
const PER_S: f64 = 6.5;
/// When server 0 becomes cold, when the entry daemons know that, and when it is warm again.
const COLD_AT: u64 = 10_000;
const KNOWN_AT: u64 = 10_300;
const WARM_AT: u64 = 13_000;
const END: u64 = 16_000;

/// A call that runs or waits: its entry daemon, its arrival and when it was sent to the server.
#[derive(Clone, Copy)]
struct Sent {
    entry: usize,
    arrived: u64,
    sent: u64,
}

struct Server {
    queue: ServerQueue,
    running: Vec<(u64, Sent)>,
    waiting: Vec<(u64, Sent)>,
}

impl Server {
    fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.queue.running() as u32,
            waiting: self.queue.waiting() as u32,
            slots: SLOTS as u32,
            mean_ms: self.queue.slot_time().0 as u32,
            refused_percent: 0,
            pace_percent: 100,
        }
    }
}

/// What was counted at the cold server from [`KNOWN_AT`] to [`WARM_AT`], and for all calls from [`COLD_AT`] on.
#[derive(Debug, Default)]
struct Outcome {
    starts: Vec<u64>,
    refused: usize,
    arrived: usize,
    in_time: usize,
}

fn candidates(is_known: bool) -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        target: Target {
            session: i as u64,
            server: format!("10.0.0.{i}:80"),
        },
        slots: SLOTS as u32,
        peer_address: format!("10.0.0.{i}:90"),
        is_same_domain: true,
        warmup_per_s: (i == 0 && is_known).then_some(PER_S),
    };
    (0..SERVERS).map(candidate).collect()
}

/// Plays calls at `load` of the capacity. If `is_published`, the entry daemons know that server 0 is cold.
fn play(load: f64, is_published: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mean_work = (WORK_MS.start + WORK_MS.end) as f64 / 2.0;
    let calls_per_ms = load * (SERVERS * SLOTS) as f64 / mean_work;
    let mut balancers = vec![Balancer::default(); ENTRIES];
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|_| Server {
            queue: ServerQueue::new(SLOTS),
            running: Vec::new(),
            waiting: Vec::new(),
        })
        .collect();
    let (warm, cold) = (candidates(false), candidates(true));
    let mut outcome = Outcome::default();
    for ms in 0..END {
        let now = Ms(ms);
        match ms {
            COLD_AT => servers[0].queue.set_rate(Some(PER_S), now),
            WARM_AT => servers[0].queue.set_rate(None, now),
            _ => {}
        }
        let is_known = is_published && (KNOWN_AT..WARM_AT).contains(&ms);
        let candidates = if is_known { &cold } else { &warm };
        let work = |i: usize, rng: &mut SmallRng| {
            let is_slow = i == 0 && (COLD_AT..WARM_AT).contains(&ms);
            rng.random_range(WORK_MS) * if is_slow { 2 } else { 1 }
        };
        for i in 0..SERVERS {
            let ended: Vec<Sent> = servers[i]
                .running
                .iter()
                .filter(|r| r.0 <= ms)
                .map(|r| r.1)
                .collect();
            servers[i].running.retain(|r| r.0 > ms);
            for sent in ended {
                servers[i].queue.finish(KIND, Some(Ms(ms - sent.sent)));
                let (balancer, load) = (&mut balancers[sent.entry], servers[i].load());
                balancer.record_end(&warm[i].target, Signal::Answered(Ms(ms - sent.sent)), now);
                balancer.record_load(&warm[i].target, &load, now);
                outcome.in_time += usize::from(sent.arrived >= COLD_AT && ms <= sent.arrived + OBJECTIVE_MS);
            }
            loop {
                let dequeued = servers[i].queue.dequeue(now);
                for ticket in dequeued.expired {
                    let Some(at) = servers[i].waiting.iter().position(|w| w.0 == ticket) else {
                        continue;
                    };
                    let (_, sent) = servers[i].waiting.swap_remove(at);
                    balancers[sent.entry].record_end(&warm[i].target, Signal::Refused, now);
                    outcome.refused += usize::from(i == 0 && (KNOWN_AT..WARM_AT).contains(&ms));
                }
                let Some(next) = dequeued.next else { break };
                let at = servers[i].waiting.iter().position(|w| w.0 == next).unwrap();
                let (_, sent) = servers[i].waiting.swap_remove(at);
                let end = ms + work(i, &mut rng);
                servers[i].running.push((end, Sent { sent: ms, ..sent }));
                if i == 0 {
                    outcome.starts.push(ms);
                }
            }
        }
        if rng.random::<f64>() >= calls_per_ms {
            continue;
        }
        let entry = rng.random_range(0..ENTRIES);
        outcome.arrived += usize::from(ms >= COLD_AT);
        let mut untried = candidates.clone();
        for _ in 0..TRIES_MAX {
            let chosen = balancers[entry].choose(&untried, now, &mut rng).unwrap();
            let chosen = untried.remove(chosen);
            let i = chosen.target.session as usize;
            balancers[entry].record_sent(&chosen.target, now);
            let request = AdmissionRequest {
                kind: KIND,
                priority: 5,
                objective: Ms(ms + OBJECTIVE_MS),
                deadline: Ms(ms + DEADLINE_MS),
                is_exclusive: false,
            };
            let sent = Sent {
                entry,
                arrived: ms,
                sent: ms,
            };
            match servers[i].queue.admit(now, request) {
                Admission::Run => {
                    let end = ms + work(i, &mut rng);
                    servers[i].running.push((end, sent));
                    if i == 0 {
                        outcome.starts.push(ms);
                    }
                    break;
                }
                Admission::Wait { ticket, .. } => {
                    servers[i].waiting.push((ticket, sent));
                    break;
                }
                Admission::Refused(_) => {
                    let load = servers[i].load();
                    balancers[entry].record_end(&chosen.target, Signal::Refused, now);
                    balancers[entry].record_load(&chosen.target, &load, now);
                    outcome.refused += usize::from(i == 0 && (KNOWN_AT..WARM_AT).contains(&ms));
                }
            }
        }
    }
    outcome
}

/// Guards against entry daemons that all send to the same cold server, which has to refuse most of their calls, and
/// against a cold server that gets nothing.
#[test]
fn cold_server_not_flooded() {
    for load in [0.3, 0.6, 0.8] {
        let mut known = Outcome::default();
        let mut unknown = Outcome::default();
        for seed in 0..5 {
            for (is_published, sum) in [(true, &mut known), (false, &mut unknown)] {
                let outcome = play(load, is_published, seed);
                let cold = |at: &&u64| (COLD_AT..WARM_AT).contains(*at);
                for end in outcome.starts.iter().filter(cold) {
                    let in_second = outcome
                        .starts
                        .iter()
                        .filter(|at| *at <= end && **at + 1000 > *end && cold(at));
                    let count = in_second.count();
                    assert!(
                        count as f64 <= PER_S * 1.5 + 8.0,
                        "{count} calls in a second at load {load}"
                    );
                }
                let in_window = outcome
                    .starts
                    .iter()
                    .filter(|at| (KNOWN_AT..WARM_AT).contains(*at));
                sum.starts.extend(in_window);
                sum.refused += outcome.refused;
                sum.arrived += outcome.arrived;
                sum.in_time += outcome.in_time;
            }
        }
        let show = |o: &Outcome| {
            format!(
                "{} starts, {} refused, {} of {} in time",
                o.starts.len(),
                o.refused,
                o.in_time,
                o.arrived
            )
        };
        println!(
            "load {load}: published: {}; not published: {}",
            show(&known),
            show(&unknown)
        );
    }
}
