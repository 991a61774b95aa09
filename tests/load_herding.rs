//! Entry daemons that learn at the same time that servers work slowly or fast: how they choose among them.

use {
    clementinefold::{
        clock::Ms,
        route::{Balancer, Candidate, Target},
        wire::peer::ServerLoad,
    },
    rand::{rngs::SmallRng, SeedableRng},
};

const SEED: u64 = 11;
const ENTRIES: usize = 400;
const SERVERS: usize = 4;
const NOW: Ms = Ms(10_000);

fn candidates() -> Vec<Candidate> {
    let candidate = |i: usize| Candidate {
        target: Target {
            session: i as u64,
            server: i.to_string(),
        },
        slots: 6,
        peer_address: i.to_string(),
        is_same_domain: true,
        warmup_per_s: None,
    };
    (0..SERVERS).map(candidate).collect()
}

/// Lets all entry daemons learn the paces of the servers in percent at `NOW`, and each choose one server at `at`. Returns
/// the number of calls for each server.
fn choices(paces: [u32; SERVERS], slots: [u32; SERVERS], at: Ms) -> [usize; SERVERS] {
    let candidates = candidates();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut counts = [0; SERVERS];
    for _ in 0..ENTRIES {
        let mut balancer = Balancer::default();
        for ((candidate, pace_percent), slots) in candidates.iter().zip(paces).zip(slots) {
            let load = ServerLoad {
                running: 2,
                waiting: 0,
                slots,
                mean_ms: 200,
                refused_percent: 0,
                pace_percent,
            };
            balancer.record_load(&candidate.target, &load, NOW);
        }
        counts[balancer.choose(&candidates, at, &mut rng).unwrap()] += 1;
    }
    counts
}

/// Guards against herding on a server that is fast just now: it would be overloaded before any entry daemon learns that
/// the others have chosen it too. No server may get more than its share of what all can do now, and a quarter.
#[test]
fn fast_server_not_crowded() {
    for paces in [[33, 100, 100, 100], [33, 300, 300, 300], [100, 300, 300, 300]] {
        let counts = choices(paces, [6; SERVERS], NOW);
        let rates = paces.map(|percent| 1.0 / f64::from(percent));
        let fair = rates[0] / rates.iter().sum::<f64>();
        let most = ENTRIES as f64 * fair * 1.25;
        assert!(counts[0] as f64 <= most, "{paces:?}: {counts:?}");
    }
}

/// Guards against a slow server that gets as many calls as the others, and against one that gets none.
#[test]
fn slow_server_gets_less() {
    let counts = choices([300, 100, 100, 100], [6; SERVERS], NOW);
    assert!((ENTRIES / 40..=ENTRIES / 6).contains(&counts[0]), "{counts:?}");
    assert!(counts[1..].iter().all(|n| *n <= ENTRIES * 2 / 5), "{counts:?}");
}

/// Guards against a pace that is trusted after the phase that it describes.
#[test]
fn stale_pace_ignored() {
    let counts = choices([300, 100, 100, 100], [6; SERVERS], NOW + Ms(400));
    assert!(counts[0] >= ENTRIES / 5, "{counts:?}");
}

/// Guards against calls for a server that has fewer slots than it announced.
#[test]
fn reported_slots_count() {
    let counts = choices([100; SERVERS], [2, 6, 6, 6], NOW);
    assert_eq!(counts[0], 0, "{counts:?}");
}
