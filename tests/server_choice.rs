//! The choice of a server of an undivided service.

use {
    clementinefold::{
        call::Outcome,
        clock::Ms,
        route::{Balancer, Candidate, Signal, Target},
        wire::peer::ServerLoad,
    },
    rand::{rngs::SmallRng, SeedableRng},
};

const SEED: u64 = 7;

fn candidates(count: u64) -> Vec<Candidate> {
    let candidate = |session| Candidate {
        target: Target {
            session,
            server: format!("10.0.0.{session}:80"),
        },
        slots: 12,
        peer_address: format!("10.0.0.{session}:90"),
        is_same_domain: true,
        warmup_per_s: None,
    };
    (1..=count).map(candidate).collect()
}

/// Sends `calls` calls that stay in flight, and returns how many each server got.
fn distribute(balancer: &mut Balancer, candidates: &[Candidate], calls: u32, now: Ms) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..calls {
        let i = balancer.choose(candidates, now, &mut rng).unwrap();
        balancer.record_sent(&candidates[i].target, now);
        counts[i] += 1;
    }
    counts
}

#[test]
fn no_candidates() {
    let mut rng = SmallRng::seed_from_u64(SEED);
    assert_eq!(Balancer::default().choose(&[], Ms(1), &mut rng), None);
}

#[test]
fn calls_spread_evenly() {
    let counts = distribute(&mut Balancer::default(), &candidates(3), 300, Ms(10_000));
    assert!(counts.iter().all(|n| (90..=110).contains(n)), "{counts:?}");
}

#[test]
fn failing_server_ejected() {
    let candidates = candidates(3);
    let mut balancer = Balancer::default();
    let bad = &candidates[0].target;
    let mut ejected = Vec::new();
    for _ in 0..3 {
        balancer.record_sent(bad, Ms(1));
        ejected.push(balancer.record_end(bad, Signal::Failed(Ms(500)), Ms(1)));
    }
    assert_eq!(ejected, [false, false, true]);
    let counts = distribute(&mut balancer, &candidates, 100, Ms(2));
    assert_eq!(counts[0], 0);
    for (candidate, count) in candidates.iter().zip(counts) {
        for _ in 0..count {
            balancer.record_end(&candidate.target, Signal::None, Ms(3));
        }
    }
    assert!(!balancer.is_ejected(bad, Ms(1001)));
    let calls_after_ejection = distribute(&mut balancer, &candidates, 100, Ms(1001))[0];
    assert!(
        (1..=15).contains(&calls_after_ejection),
        "slow start: {calls_after_ejection}"
    );
    // One more failure ejects the server again, for longer.
    assert!(balancer.record_end(bad, Signal::Failed(Ms(500)), Ms(1001)));
    assert!(balancer.is_ejected(bad, Ms(2900)));
}

#[test]
fn only_server_ejected() {
    let candidates = candidates(1);
    let mut balancer = Balancer::default();
    for _ in 0..3 {
        balancer.record_end(&candidates[0].target, Signal::Failed(Ms(500)), Ms(1));
    }
    assert_eq!(
        distribute(&mut balancer, &candidates, 5, Ms(2)),
        [5],
        "an ejected server is chosen if there is no other"
    );
}

#[test]
fn short_deadlines_not_counted() {
    let candidates = candidates(2);
    let mut balancer = Balancer::default();
    for _ in 0..50 {
        assert!(!balancer.record_end(&candidates[0].target, Signal::Failed(Ms(5)), Ms(1)));
    }
}

#[test]
fn new_server_starts_slowly() {
    let two = candidates(2);
    let mut balancer = Balancer::default();
    balancer.learn(&two, Ms(1));
    distribute(&mut balancer, &two, 2, Ms(1));
    let three = candidates(3);
    balancer.learn(&three, Ms(20_000));
    let counts = distribute(&mut balancer, &three, 90, Ms(20_000));
    assert!(counts[2] < 15, "{counts:?}");
}

/// In a large cluster, a daemon first calls most servers long after it has learnt of them.
#[test]
fn first_call_is_no_slow_start() {
    let candidates = candidates(3);
    let mut balancer = Balancer::default();
    balancer.learn(&candidates, Ms(1));
    distribute(&mut balancer, &candidates[..2], 2, Ms(1));
    let counts = distribute(&mut balancer, &candidates, 90, Ms(20_000));
    assert!(counts[2] >= 25, "{counts:?}");
}

#[test]
fn signal_of_outcome() {
    let took = Ms(9);
    assert_eq!(Signal::of(Outcome::Answered, false, took), Signal::Answered(took));
    assert_eq!(Signal::of(Outcome::Unknown, false, took), Signal::Failed(took));
    assert_eq!(Signal::of(Outcome::NotRun, true, took), Signal::Refused);
    assert_eq!(Signal::of(Outcome::NotRun, false, took), Signal::None);
}

#[test]
fn full_link_avoided() {
    // Large calls fill the link to one host, whose server is free and fast.
    let candidates = candidates(4);
    let mut balancer = Balancer::default();
    let mut now = Ms(10_000);
    let load = |mean_ms| ServerLoad {
        running: if mean_ms == 100 { 1 } else { 11 },
        waiting: 9,
        slots: 12,
        mean_ms,
        refused_percent: 0,
        pace_percent: 100,
    };
    for (candidate, mean_ms) in candidates.iter().zip([100, 180, 180, 180]) {
        balancer.record_load(&candidate.target, &load(mean_ms), now);
    }
    let chosen = |balancer: &mut Balancer, now| distribute(&mut balancer.clone(), &candidates, 4, now)[0];
    assert_eq!(chosen(&mut balancer, now), 4, "the fastest server is chosen");
    for _ in 0..5 {
        balancer.record_delay(&candidates[0].peer_address, Ms(900), now);
        now += Ms(10);
    }
    assert_eq!(chosen(&mut balancer, now), 0, "the link is full");
    now += Ms(4_000);
    for (candidate, mean_ms) in candidates.iter().zip([100, 180, 180, 180]) {
        balancer.record_load(&candidate.target, &load(mean_ms), now);
    }
    assert_eq!(chosen(&mut balancer, now), 4, "the server is tried again");
}

#[test]
fn refusing_server_avoided() {
    // Calls reach one server too late and are refused, so that it runs few calls and looks free.
    let candidates = candidates(4);
    let mut balancer = Balancer::default();
    let now = Ms(10_000);
    for (candidate, (running, refused_percent)) in candidates.iter().zip([(1, 75), (9, 20), (9, 20), (9, 20)])
    {
        let load = ServerLoad {
            running,
            waiting: 0,
            slots: 12,
            mean_ms: 180,
            refused_percent,
            pace_percent: 100,
        };
        balancer.record_load(&candidate.target, &load, now);
    }
    assert_eq!(distribute(&mut balancer.clone(), &candidates, 4, now)[0], 0);
    assert_eq!(
        distribute(&mut balancer, &candidates, 4, now + Ms(4_000))[0],
        1,
        "the server is tried again"
    );
}
