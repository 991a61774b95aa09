//! Checks how long a daemon serves calls by an old configuration after a new one was committed, with various delays of
//! its link to the leader.

use clementinefold::{
    clock::Ms,
    lease::{ConfigAge, ConfigFreshness},
    settings::LeaseSettings,
};

/// Limit of the time until a change is in force on all daemons that the leader can reach.
const IN_FORCE_LIMIT: Ms = Ms(2000);
const TIMING: LeaseSettings = LeaseSettings {
    ttl: Ms(3000),
    renew_interval: Ms(500),
    drift: Ms(100),
    election_timeout: Ms(300),
    max_config_lag: Ms(4000),
    max_config_age: Ms(1800),
};
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Ms = Ms(700);
/// Duration of a run.
const RUN_MS: u64 = 30_000;

/// Results of a run.
#[derive(Debug, Default)]
struct Outcome {
    /// Number of ms in which calls were answered.
    answered: u32,
    /// Number of ms in which calls were refused.
    refused: u32,
    /// Longest time after the commit of a change for which calls were still answered without it.
    longest_lag: Ms,
}

/// Answers that have not arrived at the daemon yet: time of arrival, time of sending, configuration.
type InFlight = Vec<(Ms, Ms, u64)>;

/// Runs a daemon for which answers of the leader take `delay(now)` ms, or are lost if that is `None`. A configuration
/// is represented by the number of its change, and is sent over the same link as the answers.
fn run(delay: impl Fn(u64) -> Option<u64>) -> Outcome {
    let mut freshness = ConfigFreshness::default();
    // The daemon has been running for a while.
    freshness.record_answer(Ms::ZERO, 0, 0, Ms::ZERO);
    let (mut renewals, mut configs) = (InFlight::new(), InFlight::new());
    let (mut sent, mut held, mut outcome) = (0, 0, Outcome::default());
    let mut last_arrival = Ms::ZERO;
    for ms in 0..RUN_MS {
        let now = Ms(ms);
        let newest = ms / CHANGE_INTERVAL.0;
        if let Some(delay) = delay(ms) {
            // A link keeps the order of messages.
            let arrival = last_arrival.max(now + Ms(delay));
            if ms % TIMING.renew_interval.0 == 0 {
                renewals.push((arrival, now, newest));
                last_arrival = arrival;
            }
            if sent < newest {
                configs.push((arrival, now, newest));
                (last_arrival, sent) = (arrival, newest);
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
        if !freshness.age(TIMING.max_config_age, TIMING.ttl, now).is_usable() {
            outcome.refused += 1;
            continue;
        }
        outcome.answered += 1;
        if held < newest {
            let missing_since = Ms((held + 1) * CHANGE_INTERVAL.0);
            outcome.longest_lag = outcome.longest_lag.max(now - missing_since);
        }
    }
    outcome
}

#[test]
fn saturation_bounds_lag() {
    // After 5 s the delay grows by half of the elapsed time up to 4 s. At the end it shrinks to zero.
    let growing = |ms: u64| {
        Some(
            (ms.saturating_sub(5000) / 2)
                .min(4000)
                .min(RUN_MS.saturating_sub(ms)),
        )
    };
    let outcome = run(growing);
    assert!(outcome.longest_lag <= IN_FORCE_LIMIT, "{outcome:?}");
    assert!(outcome.refused > 0 && outcome.answered > 5000, "{outcome:?}");
}

#[test]
fn short_delays_refuse_nothing() {
    for delay in [1, 100, 600, 1000] {
        let outcome = run(|_| Some(delay));
        assert_eq!(outcome.refused, 0, "{delay} ms: {outcome:?}");
        assert!(outcome.longest_lag <= IN_FORCE_LIMIT, "{delay} ms: {outcome:?}");
    }
}

#[test]
fn lost_control_refuses_nothing() {
    // All control hosts stop answering at the same time, temporarily or until the end.
    for outage_ms in [1500, 4000, RUN_MS] {
        let outcome = run(|ms| (!(8000..8000 + outage_ms).contains(&ms)).then_some(5));
        assert_eq!(outcome.refused, 0, "{outage_ms} ms: {outcome:?}");
    }
}

#[test]
fn announced_configuration_missing() {
    let mut freshness = ConfigFreshness::default();
    let age = |f: &ConfigFreshness, now| f.age(TIMING.max_config_age, TIMING.ttl, Ms(now));
    assert_eq!(
        age(&freshness, 0),
        ConfigAge::Unconfirmed,
        "no leader has answered"
    );
    freshness.record_answer(Ms(9000), 7, 6, Ms(9005));
    assert_eq!(age(&freshness, 9006), ConfigAge::Unconfirmed, "7 is missing");
    assert!(!freshness.is_confirmed());
    freshness.record_answer(Ms(10_000), 7, 7, Ms(10_005));
    assert_eq!(age(&freshness, 11_800), ConfigAge::Fresh);
    freshness.record_answer(Ms(11_000), 9, 7, Ms(11_005));
    assert_eq!(age(&freshness, 11_801), ConfigAge::Stale, "9 is missing");
    freshness.record_held(8);
    assert_eq!(age(&freshness, 11_801), ConfigAge::Stale, "9 is missing");
    freshness.record_held(9);
    assert_eq!(age(&freshness, 12_800), ConfigAge::Fresh);
    assert_eq!(age(&freshness, 12_801), ConfigAge::Unknown, "no confirmation");
}
