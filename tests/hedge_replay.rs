//! Replays of hedged requests on a simulated clock, at loads from 0.3 to 1.5 of the capacity, with and without them. The
//! rows that the tests print are the table in `docs/design/hedged-requests.md`:
//! `cargo test --test hedge_replay -- --nocapture --test-threads 1`.

mod hedge_world;

use {
    clementinefold::clock::Ms,
    hedge_world::{replay, Fault, Outcome, ENTRIES},
};

const SEEDS: [u64; 3] = [1, 2, 3];
const LOADS: [f64; 4] = [0.3, 0.7, 1.0, 1.5];
/// Share of the calls that may have hedged requests, in percent.
const PERCENT: u32 = 5;
/// Limits for all daemons together: within any window, arrivals at servers beyond the first of a call are at most this
/// share of the calls, and this number for each daemon.
const REPEAT_WINDOW: Ms = Ms(10_000);
const REPEAT_SHARE_MAX: f64 = 0.2;
const REPEATS_PER_DAEMON: usize = 3;

/// The outcomes at one load without and with hedged requests.
struct Pair {
    load: f64,
    without: Outcome,
    with: Outcome,
}

fn replay_all(fault: Fault, load: f64, percent: u32) -> Outcome {
    let mut all = Outcome::default();
    for seed in SEEDS {
        let outcome = replay(fault, load, percent, seed);
        check_repeats(&outcome);
        all.add(outcome);
    }
    all
}

/// Checks that no window has more repeats than all daemons together may cause.
fn check_repeats(outcome: &Outcome) {
    let within = |times: &[Ms], from: Ms| {
        let end = times.partition_point(|at| *at < from + REPEAT_WINDOW);
        end - times.partition_point(|at| *at < from)
    };
    for from in &outcome.repeat_times {
        let (repeats, calls) = (
            within(&outcome.repeat_times, *from),
            within(&outcome.call_times, *from),
        );
        let limit = calls as f64 * REPEAT_SHARE_MAX + (REPEATS_PER_DAEMON * ENTRIES) as f64;
        assert!(
            repeats as f64 <= limit,
            "{repeats} repeats from {from:?}, {calls} calls"
        );
    }
}

/// Replays all loads, prints the table, and checks what holds for every fault.
fn replay_loads(fault: Fault) -> Vec<Pair> {
    let mut pairs: Vec<Pair> = Vec::new();
    for load in LOADS {
        let mut pair = Pair {
            load,
            without: replay_all(fault, load, 0),
            with: replay_all(fault, load, PERCENT),
        };
        for (name, outcome) in [("no", &mut pair.without), ("yes", &mut pair.with)] {
            println!(
                "| {fault:?} | {load} | {name} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
                outcome.quantile(0.5).0,
                outcome.quantile(0.99).0,
                outcome.quantile(0.999).0,
                outcome.answered_percent(),
                outcome.hedge_percent(),
                outcome.hedges_won as f64 / outcome.calls as f64 * 100.0,
                outcome.extra_work_percent(),
            );
        }
        pairs.push(pair);
    }
    for Pair { load, without, with } in &mut pairs {
        assert_eq!(without.hedges, 0);
        assert!(
            with.hedge_percent() <= f64::from(PERCENT),
            "{load}: {}",
            with.hedge_percent()
        );
        if *load < 1.0 {
            let (p99, p99_without) = (with.quantile(0.99).0 as f64, without.quantile(0.99).0 as f64);
            assert!(
                p99 <= p99_without * 1.05,
                "{load}: {p99_without} without, {p99} with"
            );
        } else {
            // Hedged requests must not take the place of calls.
            assert!(with.hedge_percent() <= 1.0, "{load}: {}", with.hedge_percent());
            let (answered, before) = (with.answered_percent(), without.answered_percent());
            assert!(
                answered >= before - 1.5,
                "{load}: {before} without, {answered} with"
            );
        }
    }
    pairs
}

fn p99_share(pair: &mut Pair) -> f64 {
    pair.with.quantile(0.99).0 as f64 / pair.without.quantile(0.99).0 as f64
}

/// Guards against extra work in a healthy service.
#[test]
fn healthy_servers() {
    for pair in replay_loads(Fault::None) {
        assert!(pair.with.hedge_percent() <= 0.5, "{}", pair.load);
    }
}

/// Guards against calls that stay with a server that is slow throughout.
#[test]
fn slow_servers() {
    let mut pairs = replay_loads(Fault::Slow);
    let share = p99_share(&mut pairs[1]);
    assert!(share < 0.97, "{share}");
}

/// Guards against calls that are lost at a server in grey failure.
#[test]
fn grey_failure() {
    let pairs = replay_loads(Fault::Grey);
    for pair in &pairs[..2] {
        let (with, without) = (pair.with.answered_percent(), pair.without.answered_percent());
        assert!(with > without, "{}: {without} without, {with} with", pair.load);
    }
}

/// Guards against calls that wait for a stalled server while others have room.
#[test]
fn stalling_servers() {
    let mut pairs = replay_loads(Fault::Stalling);
    for pair in &mut pairs[..2] {
        let share = p99_share(pair);
        assert!(share <= 0.6, "{}: {share}", pair.load);
    }
}

/// Guards against hedged requests that make noisy servers slower.
#[test]
fn noisy_servers() {
    replay_loads(Fault::Noisy);
}
