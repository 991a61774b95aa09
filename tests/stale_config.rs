//! How long a daemon answers by a configuration after another one was committed, over links with these delays.

use clementinefold::{
    clock::Ms,
    lease::{ConfigAge, ConfigFreshness},
    settings::LeaseSettings,
};

/// Time in which a change is to be in force everywhere in reach.
const IN_FORCE: Ms = Ms(2000);
const TIMING: LeaseSettings = LeaseSettings {
    ttl: Ms(3000),
    renew_interval: Ms(500),
    drift: Ms(100),
    election_timeout: Ms(300),
    max_config_lag: Ms(4000),
    max_config_age: Ms(1800),
};
/// Time between two changes of the configuration.
const CHANGE_EACH: Ms = Ms(700);
const RUN: u64 = 30_000;

/// What a daemon did in a run.
#[derive(Debug, Default)]
struct Outcome {
    answered: u32,
    refused: u32,
    /// Longest time after the commit of a change in which a call was still answered without it.
    longest_lag: Ms,
}

/// Answers on their way to the daemon: arrival, sending of the renewal, configuration.
type OnTheWay = Vec<(Ms, Ms, u64)>;

/// Runs a daemon whose answers from the leader take `delay(now)`; `None`: they never come. A configuration is the number
/// of the change, and comes over the same link as the answers.
fn run(delay: impl Fn(u64) -> Option<u64>) -> Outcome {
    let mut freshness = ConfigFreshness::default();
    let (mut renewals, mut configs) = (OnTheWay::new(), OnTheWay::new());
    let (mut told, mut held, mut outcome) = (0, 0, Outcome::default());
    let mut last_arrival = Ms::ZERO;
    for ms in 0..RUN {
        let now = Ms(ms);
        let newest = ms / CHANGE_EACH.0;
        if let Some(delay) = delay(ms) {
            // A link does not reorder what it carries.
            let arrival = last_arrival.max(now + Ms(delay));
            if ms % TIMING.renew_interval.0 == 0 {
                renewals.push((arrival, now, newest));
                last_arrival = arrival;
            }
            if told < newest {
                configs.push((arrival, now, newest));
                (last_arrival, told) = (arrival, newest);
            }
        }
        while configs.first().is_some_and(|(at, ..)| *at <= now) {
            held = configs.remove(0).2;
            freshness.record_held(held);
        }
        while renewals.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, sent_at, config) = renewals.remove(0);
            freshness.record_answer(sent_at, config, held, now);
        }
        if freshness.age(TIMING.max_config_age, TIMING.ttl, now) == ConfigAge::Stale {
            outcome.refused += 1;
            continue;
        }
        outcome.answered += 1;
        if held < newest {
            let missing_since = Ms((held + 1) * CHANGE_EACH.0);
            outcome.longest_lag = outcome.longest_lag.max(now - missing_since);
        }
    }
    outcome
}

#[test]
fn full_link_never_answers_by_older_configuration() {
    // A queue that grows by a half of the time, holds 4 s, and drains.
    let growing = |ms: u64| {
        Some(
            (ms.saturating_sub(5000) / 2)
                .min(4000)
                .min(RUN.saturating_sub(ms)),
        )
    };
    let outcome = run(growing);
    assert!(outcome.longest_lag <= IN_FORCE, "{outcome:?}");
    assert!(outcome.refused > 0 && outcome.answered > 5000, "{outcome:?}");
}

#[test]
fn short_delays_refuse_nothing() {
    for delay in [1, 100, 600, 1000] {
        let outcome = run(|_| Some(delay));
        assert_eq!(outcome.refused, 0, "{delay} ms: {outcome:?}");
        assert!(outcome.longest_lag <= IN_FORCE, "{delay} ms: {outcome:?}");
    }
}

#[test]
fn lost_control_refuses_nothing() {
    // All control hosts fall silent at once, for a while or for good.
    for silence in [1500, 4000, RUN] {
        let outcome = run(|ms| (!(8000..8000 + silence).contains(&ms)).then_some(5));
        assert_eq!(outcome.refused, 0, "{silence} ms: {outcome:?}");
    }
}

#[test]
fn known_configuration_that_does_not_come() {
    let mut freshness = ConfigFreshness::default();
    let age = |f: &ConfigFreshness, now| f.age(TIMING.max_config_age, TIMING.ttl, Ms(now));
    freshness.record_answer(Ms(10_000), 7, 7, Ms(10_005));
    assert_eq!(age(&freshness, 11_800), ConfigAge::Fresh);
    freshness.record_answer(Ms(11_000), 9, 7, Ms(11_005));
    assert_eq!(age(&freshness, 11_801), ConfigAge::Stale, "9 is missing");
    freshness.record_held(8);
    assert_eq!(age(&freshness, 11_801), ConfigAge::Stale, "9 is missing");
    freshness.record_held(9);
    assert_eq!(age(&freshness, 12_800), ConfigAge::Fresh);
    assert_eq!(age(&freshness, 12_801), ConfigAge::Unknown, "nobody tells");
}
