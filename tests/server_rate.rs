//! A server that names a limit while far more calls come than it allows.

use {
    clementinefold::{
        call::{Admission, AdmissionRequest, Reason, ServerQueue, ServerRate},
        clock::Ms,
    },
    quickcheck::{quickcheck, TestResult},
};

const KIND: u64 = 1;
/// The load of the incident: calls a second to one server, its slots, the time of a call, and when callers want the answer
/// and stop waiting, all in ms.
const CALLS_PER_S: u64 = 57;
const SLOTS: usize = 12;
const CALL_MS: u64 = 120;
const OBJECTIVE_MS: u64 = 400;
const DEADLINE_MS: u64 = 2500;
/// When the server names its limit, when it lifts it, and the end of the load.
const NAMED_MS: u64 = 8000;
const LIFTED_MS: u64 = 20_000;
const END_MS: u64 = 24_000;
const LIMIT_PER_S: f64 = 6.8;
/// Span in which calls are counted.
const SPAN_MS: u64 = 4000;

/// What became of the calls, by the time at which it was decided.
#[derive(Debug, Default)]
struct Outcome {
    starts: Vec<u64>,
    /// Time from the arrival of a call to its refusal.
    refusal_waits: Vec<u64>,
    retry_afters: Vec<Ms>,
    in_time: u64,
}

/// Removes the elements that meet `condition` and returns them.
fn take_where<T: Copy>(list: &mut Vec<T>, condition: impl Fn(&T) -> bool) -> Vec<T> {
    let taken = list.iter().copied().filter(&condition).collect();
    list.retain(|element| !condition(element));
    taken
}

/// Plays the load, with the limit while it is named.
fn play() -> Outcome {
    let mut queue = ServerQueue::new(SLOTS);
    let mut outcome = Outcome::default();
    // Ends of the running calls and tickets of the waiting ones, each with the arrival of its call.
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    for ms in 0..END_MS {
        let now = Ms(ms);
        match ms {
            NAMED_MS => queue.set_rate(Some(LIMIT_PER_S), now),
            LIFTED_MS => queue.set_rate(None, now),
            _ => {}
        }
        for (_, arrived) in take_where(&mut running, |(end, _)| *end == ms) {
            queue.finish(KIND, Some(Ms(CALL_MS)));
            outcome.in_time += u64::from(ms <= arrived + OBJECTIVE_MS);
        }
        if ms * CALLS_PER_S / 1000 != (ms + 1) * CALLS_PER_S / 1000 {
            let request = AdmissionRequest {
                kind: KIND,
                priority: 5,
                objective: Ms(ms + OBJECTIVE_MS),
                deadline: Ms(ms + DEADLINE_MS),
                is_exclusive: false,
            };
            match queue.admit(now, request) {
                Admission::Run => {
                    outcome.starts.push(ms);
                    running.push((ms + CALL_MS, ms));
                }
                Admission::Wait { ticket, shed, .. } => {
                    assert!(shed.is_empty(), "all calls have the same priority");
                    waiting.push((ticket, ms));
                }
                Admission::Refused(refusal) => {
                    assert_eq!(refusal.reason, Reason::Overloaded);
                    outcome.refusal_waits.push(0);
                    outcome.retry_afters.push(refusal.retry_after);
                }
            }
        }
        loop {
            let dequeued = queue.dequeue(now);
            for (_, arrived) in take_where(&mut waiting, |(ticket, _)| dequeued.expired.contains(ticket)) {
                outcome.refusal_waits.push(ms - arrived);
            }
            let Some(next) = dequeued.next else { break };
            for (_, arrived) in take_where(&mut waiting, |(ticket, _)| *ticket == next) {
                outcome.starts.push(ms);
                running.push((ms + CALL_MS, arrived));
            }
        }
    }
    outcome
}

/// Returns the number of starts in the span that ends at `end`.
fn starts_until(starts: &[u64], end: u64) -> usize {
    let in_span = starts.iter().filter(|at| **at <= end && **at + SPAN_MS > end);
    in_span.count()
}

#[test]
fn limit_kept_under_load() {
    let outcome = play();
    let limited = LIMIT_PER_S * SPAN_MS as f64 / 1000.0;
    for end in NAMED_MS + SPAN_MS..LIFTED_MS {
        let starts = starts_until(&outcome.starts, end) as f64;
        assert!(
            starts <= limited + LIMIT_PER_S.max(1.0),
            "{starts} calls in 4 s at {end}"
        );
        assert!(starts >= limited * 0.8, "{starts} calls in 4 s at {end}");
    }
    let before = starts_until(&outcome.starts, NAMED_MS - 1);
    let after = starts_until(&outcome.starts, END_MS - 1);
    assert!(
        after as f64 >= before as f64 * 0.9,
        "{before} calls before the limit, {after} after it"
    );
}

/// A call that is refused learns it when it arrives, and those that are taken are answered when their callers want it.
#[test]
fn refused_at_once() {
    let outcome = play();
    let longest = outcome.refusal_waits.iter().max();
    assert!(
        longest <= Some(&(CALL_MS / 2)),
        "a call waited {longest:?} ms for its refusal"
    );
    let started = outcome.starts.len() as u64;
    assert!(
        outcome.in_time * 10 >= started * 9,
        "{} of {started} in time",
        outcome.in_time
    );
    let interval = Ms((1000.0 / LIMIT_PER_S) as u64);
    assert!(
        outcome.retry_afters.iter().all(|after| *after >= interval),
        "callers come back too early"
    );
}

/// The load that a server reports lets entry daemons expect what its limit allows.
#[test]
fn load_tells_limit() {
    let mut queue = ServerQueue::new(SLOTS);
    queue.finish(KIND, Some(Ms(CALL_MS)));
    assert_eq!(queue.slot_time(), Ms(CALL_MS));
    queue.set_rate(Some(10.0), Ms(0));
    assert_eq!(
        queue.slot_time(),
        Ms(1200),
        "twelve slots together take ten calls a second"
    );
    queue.set_rate(Some(1000.0), Ms(0));
    assert_eq!(queue.slot_time(), Ms(CALL_MS), "the slots are the narrower limit");
}

#[test]
fn waiting_call_starts_by_limit() {
    let mut queue = ServerQueue::new(SLOTS);
    queue.set_rate(Some(4.0), Ms(1000));
    let request = AdmissionRequest {
        kind: KIND,
        priority: 5,
        objective: Ms(3000),
        deadline: Ms(3000),
        is_exclusive: false,
    };
    assert!(matches!(queue.admit(Ms(1000), request), Admission::Wait { .. }));
    assert_eq!(queue.limit_wait(Ms(1000)), Some(Ms(250)));
    assert_eq!(queue.dequeue(Ms(1249)).next, None);
    assert!(queue.dequeue(Ms(1250)).next.is_some());
    assert_eq!(queue.limit_wait(Ms(1250)), None, "no call waits");
}

quickcheck! {
    /// Whatever the limit and its changes, no span gets more calls than the highest limit in it allows, and half a second of
    /// saved ones.
    fn no_span_exceeds_limit(limits: Vec<u8>, gaps: Vec<u8>) -> TestResult {
        if limits.is_empty() || gaps.is_empty() {
            return TestResult::discard();
        }
        let highest = f64::from(*limits.iter().max().unwrap()).max(1.0);
        let mut rate = ServerRate::new(f64::from(limits[0]), Ms(0));
        let (mut now, mut starts) = (0, Vec::new());
        for (step, gap) in gaps.iter().cycle().take(2000).enumerate() {
            now += u64::from(*gap);
            if step % 50 == 0 {
                rate.set(f64::from(limits[step / 50 % limits.len()]), Ms(now));
            }
            if rate.wait(0, Ms(now)) == Ms::ZERO {
                rate.take(Ms(now));
                starts.push(now);
            }
        }
        let allowed = highest * SPAN_MS as f64 / 1000.0 + (highest * 0.5).max(1.0) + 1.0;
        TestResult::from_bool(starts.iter().all(|end| starts_until(&starts, *end) as f64 <= allowed))
    }
}
