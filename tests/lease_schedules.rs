//! Seeded random schedules of a leader, daemons and servers, with drifting clocks, delayed messages and frozen
//! processes. No key may have two holders, and no server may run a call of an owner that was replaced.

mod lease_world;

use {
    lease_world::{LeaseWorld, WorldConfig},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

/// Number of schedules of each kind by default.
const SCHEDULES: u64 = 2500;
/// Environment variable that sets another number of schedules, for longer runs.
const SCHEDULES_VARIABLE: &str = "LEASE_SCHEDULES";
/// Largest clock drift that the default settings allow for, in parts per thousand.
const ALLOWED_DRIFT: i64 = 50;

/// A seed that quickcheck samples.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn schedules() -> u64 {
    let override_text = std::env::var(SCHEDULES_VARIABLE).ok();
    override_text
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES)
}

/// Runs many schedules and asserts that none violates an invariant.
fn check_schedules(config: WorldConfig) {
    // The seeds are fixed, so that every run has the same ones.
    for seed in 0..schedules() {
        let violation = LeaseWorld::run(&config, seed);
        assert_eq!(violation, None, "seed {seed}");
    }
}

#[test]
fn fenced_servers() {
    check_schedules(WorldConfig::default());
}

#[test]
fn unfenced_servers() {
    check_schedules(WorldConfig {
        checks_fencing: false,
        ..WorldConfig::default()
    });
}

#[test]
fn drifting_clocks() {
    check_schedules(WorldConfig {
        drift: ALLOWED_DRIFT,
        ..WorldConfig::default()
    });
}

#[test]
fn drifting_clocks_unfenced() {
    check_schedules(WorldConfig {
        drift: ALLOWED_DRIFT,
        checks_fencing: false,
    });
}

/// Negative case: the checks detect the violation that a drift beyond the margin causes.
#[test]
fn drift_beyond_margin() {
    let config = WorldConfig {
        drift: 4 * ALLOWED_DRIFT,
        ..WorldConfig::default()
    };
    let violation = (0..200).find_map(|seed| LeaseWorld::run(&config, seed));
    assert!(violation.is_some(), "no violation was detected beyond the margin");
}

/// The schedules serve calls. Without any calls, the invariants would hold trivially.
#[test]
fn calls_are_served() {
    let served: u64 = (0..50)
        .map(|seed| LeaseWorld::served(&WorldConfig::default(), seed))
        .sum();
    assert!(served > 50 * 20, "only {served} calls were served");
}

#[test]
fn random_seeds() {
    fn holds(seed: Seed) -> bool {
        LeaseWorld::run(&WorldConfig::default(), seed.0).is_none()
    }
    let gen = Gen::from_size_and_seed(100, 4);
    QuickCheck::new()
        .rng(gen)
        .tests(200)
        .quickcheck(holds as fn(Seed) -> bool);
}
