//! Seeded schedules of a leader, daemons and servers with drifting clocks, late messages and freezes: no key
//! has two holders, and no server runs a call of an owner that was replaced.

mod lease_world;

use {
    lease_world::{LeaseWorld, WorldPlan},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

/// Schedules of each kind in an ordinary run.
const SCHEDULES: u64 = 2500;
/// Variable with another number of schedules, for longer runs.
const SCHEDULES_VARIABLE: &str = "LEASE_SCHEDULES";
/// Largest drift of a clock that the default settings allow for, in parts per thousand.
const ALLOWED_DRIFT: i64 = 50;

/// A seed that quickcheck draws.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn schedules() -> u64 {
    let given = std::env::var(SCHEDULES_VARIABLE).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

/// Runs many schedules and asserts that none breaks an invariant.
fn holds(plan: WorldPlan) {
    // Fixed seeds first, so that every run has the same ones.
    for seed in 0..schedules() {
        let broken = LeaseWorld::run(&plan, seed);
        assert_eq!(broken, None, "seed {seed}");
    }
}

#[test]
fn fenced_servers() {
    holds(WorldPlan::default());
}

#[test]
fn unfenced_servers() {
    holds(WorldPlan {
        checks_fencing: false,
        ..WorldPlan::default()
    });
}

#[test]
fn drifting_clocks() {
    holds(WorldPlan {
        drift: ALLOWED_DRIFT,
        ..WorldPlan::default()
    });
}

#[test]
fn drifting_clocks_unfenced() {
    holds(WorldPlan {
        drift: ALLOWED_DRIFT,
        checks_fencing: false,
    });
}

/// The checker finds the violation that a drift past the margin must cause.
#[test]
fn past_the_margin() {
    let plan = WorldPlan {
        drift: 4 * ALLOWED_DRIFT,
        ..WorldPlan::default()
    };
    let broken = (0..200).find_map(|seed| LeaseWorld::run(&plan, seed));
    assert!(broken.is_some(), "no schedule past the margin was noticed");
}

/// The calm schedule serves: an empty world would hold every invariant.
#[test]
fn schedules_serve() {
    let served: u64 = (0..50)
        .map(|seed| LeaseWorld::served(&WorldPlan::default(), seed))
        .sum();
    assert!(served > 50 * 20, "only {served} calls were served");
}

#[test]
fn drawn_seeds() {
    fn holds(seed: Seed) -> bool {
        LeaseWorld::run(&WorldPlan::default(), seed.0).is_none()
    }
    let gen = Gen::from_size_and_seed(100, 4);
    QuickCheck::new()
        .rng(gen)
        .tests(200)
        .quickcheck(holds as fn(Seed) -> bool);
}
