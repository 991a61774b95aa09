//! Replays links with various delays through the detector of silent links.

use clementinefold::{
    clock::Ms,
    link::{LinkCheck, SilenceDetector},
};

/// Time within which a silent link has to be found, so that a new link, an election and a new configuration fit into the
/// 3 s after which a disturbance no longer excuses a daemon.
const FOUND_LIMIT: Ms = Ms(1200);
/// Duration of a replay.
const RUN_MS: u64 = 60_000;

/// Results of a replay.
#[derive(Debug, Default)]
struct Outcome {
    pings: u32,
    /// When the link was taken for silent.
    silent_at: Vec<Ms>,
}

/// Replays a link on which a request is written every `interval` ms, and its answer and those to pings take `delay(now)`
/// ms, or are lost if that is `None`. A link keeps the order of messages.
fn replay(interval: u64, delay: impl Fn(u64) -> Option<u64>) -> Outcome {
    let mut detector = SilenceDetector::default();
    let mut outcome = Outcome::default();
    let mut arrivals: Vec<Ms> = Vec::new();
    let (mut received_at, mut taken_for_silent) = (Ms::ZERO, None);
    for ms in 0..RUN_MS {
        let now = Ms(ms);
        if arrivals.first().is_some_and(|at| *at <= now) {
            arrivals.retain(|at| *at > now);
            received_at = now;
            if taken_for_silent.take().is_some() {
                detector.record_slow();
            }
        }
        let mut written = ms % interval == 0;
        match detector.check(received_at, !arrivals.is_empty(), now) {
            LinkCheck::Answered | LinkCheck::Wait(_) => {}
            LinkCheck::Ping => {
                outcome.pings += 1;
                written = true;
            }
            LinkCheck::Silent if taken_for_silent.is_none() => {
                outcome.silent_at.push(now);
                taken_for_silent = Some(now);
            }
            LinkCheck::Silent => {}
        }
        if written {
            detector.record_write(received_at, now);
            let last = arrivals.last().copied().unwrap_or_default();
            arrivals.extend(delay(ms).map(|delay| last.max(now + Ms(delay))));
        }
    }
    outcome
}

#[test]
fn busy_link_gets_no_pings() {
    let outcome = replay(100, |_| Some(20));
    assert_eq!((outcome.pings, outcome.silent_at.len()), (0, 0));
}

/// A watch is answered only after a second if nothing has changed. Meanwhile answers to pings show that the link works.
#[test]
fn held_answers_are_not_silence() {
    let mut detector = SilenceDetector::default();
    detector.record_write(Ms(0), Ms(0));
    assert_eq!(detector.check(Ms(0), true, Ms(400)), LinkCheck::Ping);
    assert_eq!(detector.check(Ms(401), true, Ms(402)), LinkCheck::Wait(Ms(801)));
    assert_eq!(detector.check(Ms(401), true, Ms(801)), LinkCheck::Ping);
    assert_eq!(detector.check(Ms(802), true, Ms(1000)), LinkCheck::Wait(Ms(1202)));
    assert_eq!(detector.check(Ms(1000), false, Ms(1001)), LinkCheck::Answered);
}

/// The answer to a ping may arrive within the same millisecond.
#[test]
fn next_ping_follows_a_fast_answer() {
    let mut detector = SilenceDetector::default();
    detector.record_write(Ms(0), Ms(0));
    assert_eq!(detector.check(Ms(0), true, Ms(400)), LinkCheck::Ping);
    assert_eq!(detector.check(Ms(400), true, Ms(800)), LinkCheck::Ping);
}

/// The link falls silent after the answer to a ping, while a watch is held.
#[test]
fn silence_behind_a_ping_is_found() {
    let mut detector = SilenceDetector::default();
    detector.record_write(Ms(0), Ms(0));
    assert_eq!(detector.check(Ms(0), true, Ms(400)), LinkCheck::Ping);
    assert_eq!(detector.check(Ms(401), true, Ms(801)), LinkCheck::Ping);
    assert_eq!(detector.check(Ms(401), true, Ms(1401)), LinkCheck::Silent);
}

#[test]
fn idle_link_is_not_silent() {
    let mut detector = SilenceDetector::default();
    assert_eq!(detector.check(Ms(0), false, Ms(60_000)), LinkCheck::Answered);
}

#[test]
fn silence_is_found() {
    for silent_from in [5000, 5001, 5250, 5499] {
        for interval in [1, 50, 100, 500] {
            let outcome = replay(interval, |ms| (ms < silent_from).then_some(2));
            let found_at = outcome.silent_at.first().copied();
            let limit = Ms(silent_from + interval) + FOUND_LIMIT;
            assert!(
                found_at.is_some_and(|at| at <= limit),
                "silent from {silent_from}, a request each {interval} ms: {outcome:?}"
            );
        }
    }
}

/// A link that is saturated for longer and longer is replaced a few times at most, since each new link is more load.
#[test]
fn saturated_link_rarely_replaced() {
    let outcome = replay(100, |ms| Some((ms / 20).min(1500)));
    assert_eq!(outcome.silent_at, [], "bytes arrive all the time");
    let outcome = replay(3000, |_| Some(2500));
    assert!(outcome.silent_at.len() <= 2, "{outcome:?}");
}
