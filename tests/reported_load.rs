//! The load that a server reports in a header of its answers: valid and invalid values, and the pace and the number of
//! calls that follow from them.

use {
    clementinefold::{
        call::{
            Admission, AdmissionRequest, LoadError, Pace, Reason, ReportedLoad, ServerQueue, SlotLimit,
            WorkPace, PACE_FACTOR_MAX,
        },
        clock::Ms,
        edge::{read_load, LoadNotice},
    },
    http::{HeaderMap, HeaderValue},
};

const HEADER: &str = "fold-load";
const KIND: u64 = 1;

/// What a value of the header is read as: running, waiting, slots and time of work, or the error.
type Expected = Result<(u32, u32, u32, u32), LoadError>;

/// The values of the header and what they are read as.
const VALUES: &[(&str, Expected)] = &[
    ("0,0,1", Ok((0, 0, 1, 100))),
    ("3,1,6,140", Ok((3, 1, 6, 140))),
    (" 3 ,\t1, 6 , 300 ", Ok((3, 1, 6, 300))),
    ("007,0,6", Ok((7, 0, 6, 100))),
    (
        "1000000,1000000,100000,10000",
        Ok((1_000_000, 1_000_000, 100_000, 10_000)),
    ),
    ("0,0,1,1", Ok((0, 0, 1, 1))),
    // A server may run more calls than it has slots for a moment.
    ("9,0,6,100", Ok((9, 0, 6, 100))),
    ("", Err(LoadError::NoNumber)),
    (",,", Err(LoadError::NoNumber)),
    ("3,1,", Err(LoadError::NoNumber)),
    ("3,1,6,", Err(LoadError::NoNumber)),
    ("3,1,6,100,", Err(LoadError::NoNumber)),
    ("-1,0,6,100", Err(LoadError::NoNumber)),
    ("3,-1,6,100", Err(LoadError::NoNumber)),
    ("3,1,-6,100", Err(LoadError::NoNumber)),
    ("3,1,6,-100", Err(LoadError::NoNumber)),
    ("+3,1,6,100", Err(LoadError::NoNumber)),
    ("3,1,6,1.5", Err(LoadError::NoNumber)),
    ("3,1,6,1e2", Err(LoadError::NoNumber)),
    ("3,1,6,100%", Err(LoadError::NoNumber)),
    ("3,1,6,NaN", Err(LoadError::NoNumber)),
    ("3,1,6,inf", Err(LoadError::NoNumber)),
    ("0x3,1,6", Err(LoadError::NoNumber)),
    ("3;1;6", Err(LoadError::NoNumber)),
    ("3 1 6", Err(LoadError::NoNumber)),
    ("3, 1 2, 6", Err(LoadError::NoNumber)),
    ("running=3,waiting=1,slots=6", Err(LoadError::NoNumber)),
    ("3", Err(LoadError::FieldCount)),
    ("3,1", Err(LoadError::FieldCount)),
    ("3,1,6,100,5", Err(LoadError::FieldCount)),
    ("3,1,0", Err(LoadError::OutOfRange)),
    ("3,1,6,0", Err(LoadError::OutOfRange)),
    ("3,1,6,10001", Err(LoadError::OutOfRange)),
    ("3,1,100001", Err(LoadError::OutOfRange)),
    ("1000001,1,6", Err(LoadError::OutOfRange)),
    ("3,1000001,6", Err(LoadError::OutOfRange)),
    ("3,1,6,4294967396", Err(LoadError::OutOfRange)),
    ("99999999999999999999,1,6", Err(LoadError::OutOfRange)),
];

fn load(running: u32, waiting: u32, slots: u32, work_percent: u32) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots,
        work_percent,
    }
}

fn working_at(work_percent: u32) -> ReportedLoad {
    load(0, 0, 12, work_percent)
}

fn request(now: Ms, objective: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        kind: KIND,
        priority: 5,
        objective: now + Ms(objective),
        deadline: now + Ms(deadline),
        is_exclusive: false,
    }
}

/// Ends a call that began at `now` and took 100 ms. Returns the time of its end, at which the server reports its load.
fn run_call(queue: &mut ServerQueue, now: Ms, percent: u32) -> Ms {
    let (before, end) = (queue.work_done_ms(now), now + Ms(100));
    queue.report_load(&working_at(percent), end);
    let work_ms = queue.work_done_ms(end) - before;
    queue.finish_work(KIND, Some(Ms(100)), work_ms);
    end
}

/// Returns a queue with 12 slots whose calls took 100 ms each, and the time at which the last one ended. The server
/// reports `percents` in turn with its answers.
fn queue_after(calls: usize, percents: &[u32]) -> (ServerQueue, Ms) {
    let mut queue = ServerQueue::new(12);
    let mut now = Ms(1_000);
    for n in 0..calls {
        assert_eq!(queue.admit(now, request(now, 5_000, 5_000)), Admission::Run);
        now = run_call(&mut queue, now, percents[n % percents.len()]);
    }
    (queue, now)
}

/// Guards against figures that are taken for a load although they are malformed, negative or absurd.
#[test]
fn header_values() {
    for (text, expected) in VALUES {
        let mut headers = HeaderMap::new();
        headers.insert(HEADER, HeaderValue::from_str(text).unwrap());
        let expected = match expected {
            Ok((running, waiting, slots, percent)) => {
                LoadNotice::Reported(load(*running, *waiting, *slots, *percent))
            }
            Err(error) => LoadNotice::Bad(*error),
        };
        assert_eq!(read_load(&headers, HEADER), expected, "{text:?}");
    }
}

/// Guards against the first of several contradictory headers being trusted, and against a missing header or bytes that
/// are no text being logged or read wrongly.
#[test]
fn header_occurrences() {
    let mut headers = HeaderMap::new();
    assert_eq!(read_load(&headers, HEADER), LoadNotice::Missing);
    headers.append(HEADER, HeaderValue::from_static("3,1,6"));
    headers.append(HEADER, HeaderValue::from_static("3,1,6"));
    assert_eq!(read_load(&headers, HEADER), LoadNotice::Bad(LoadError::Repeated));
    headers.insert(HEADER, HeaderValue::from_bytes(b"3,1,\xff6").unwrap());
    assert_eq!(read_load(&headers, HEADER), LoadNotice::Bad(LoadError::NoNumber));
}

/// Guards against a figure that is trusted after the phase that it describes, and against one that is not trusted while
/// it is new.
#[test]
fn pace_fades() {
    let mut pace = WorkPace::default();
    assert_eq!(pace.pace(Ms(5)), Pace::MEAN, "nothing reported");
    let mut now = Ms(1_000);
    for _ in 0..600 {
        now += Ms(100);
        pace.report(100, now);
    }
    assert!((pace.pace(now).factor - 1.0).abs() < 0.001);
    now += Ms(100);
    pace.report(250, now);
    let new = pace.pace(now).factor;
    assert!((2.4..=2.5).contains(&new), "{new}");
    let half = pace.pace(now + Ms(200)).factor;
    assert!((half - (1.0 + (new - 1.0) / 2.0)).abs() < 0.001, "{half}");
    assert_eq!(pace.pace(now + Ms(400)), Pace::MEAN);
    assert_eq!(pace.pace(now + Ms(3_600_000)), Pace::MEAN);
}

/// Guards against a false figure that makes the expected time of a call wrong for good: a server that always reports the
/// same figure is one that reports none.
#[test]
fn constant_figures() {
    for percent in [1, 100, 10_000] {
        let (mut queue, now) = queue_after(50, &[percent]);
        queue.refresh(now);
        assert_eq!(queue.expected_time(KIND), Ms(100), "{percent}");
        assert_eq!(queue.slot_time(), Ms(100), "{percent}");
        assert_eq!(queue.refuse_slow(now, request(now, 110, 200)), None, "{percent}");
    }
}

/// Guards against false figures that jump: whatever a server reports, the expected time of a call stays within a third
/// and three times of what calls really took.
#[test]
fn jumping_figures() {
    let sequences: &[&[u32]] = &[
        &[1, 10_000],
        &[100, 10_000],
        &[100, 1],
        &[1, 1, 1, 10_000],
        &[10_000, 10_000, 10_000, 10_000, 1],
        &[100, 100, 100, 100, 100, 100, 1, 10_000],
    ];
    for percents in sequences {
        for calls in 1..200 {
            let (mut queue, now) = queue_after(calls, percents);
            for age in [0, 100, 399, 10_000] {
                queue.refresh(now + Ms(age));
                let expected = queue.expected_time(KIND).0 as f64;
                let bounds = (100.0 / PACE_FACTOR_MAX).floor()..=100.0 * PACE_FACTOR_MAX;
                assert!(
                    bounds.contains(&expected),
                    "{percents:?} {calls} {age}: {expected}"
                );
            }
        }
    }
}

/// Guards against a false figure that shuts a server out: after it jumps, the server still gets calls, and within 30 of
/// them their expected time is right again to within a quarter.
#[test]
fn false_figure_learnt() {
    for (before, after) in [(100, 10_000), (100, 1), (10_000, 1), (1, 10_000)] {
        let (mut queue, mut now) = queue_after(200, &[before]);
        for _ in 0..30 {
            now = run_call(&mut queue, now, after);
        }
        let expected = queue.expected_time(KIND).0;
        assert!((75..=125).contains(&expected), "{before} {after}: {expected}");
        let idle = now + Ms(400);
        assert_eq!(
            queue.refuse_slow(idle, request(idle, 400, 400)),
            None,
            "a figure that is no longer renewed refuses nothing: {before} {after}"
        );
    }
}

/// Guards against a call that a slow server makes late although another server would run it in time, and against refusals
/// that help nobody: of calls that end in time here, that would be late anywhere, or at servers that are not slow.
#[test]
fn refused_while_slow() {
    let (mut queue, now) = queue_after(600, &[100]);
    assert_eq!(queue.refuse_slow(now, request(now, 150, 1_000)), None, "not slow");
    queue.report_load(&working_at(300), now);
    let refusal = queue.refuse_slow(now, request(now, 150, 1_000)).unwrap();
    assert_eq!(refusal.reason, Reason::ServerSlow);
    assert_eq!(queue.running(), 0, "a refused call takes no slot");
    assert_eq!(queue.refuse_slow(now, request(now, 400, 1_000)), None, "in time");
    assert_eq!(
        queue.refuse_slow(now, request(now, 20, 1_000)),
        None,
        "late anywhere"
    );
    let later = now + Ms(400);
    assert_eq!(
        queue.refuse_slow(later, request(later, 150, 1_000)),
        None,
        "stale"
    );
}

/// Guards against the expectation that a slow phase lasts as long as a call that is much longer than a phase.
#[test]
fn slow_phase_ends() {
    let pace = Pace {
        factor: 3.0,
        lasts_ms: 300.0,
    };
    assert_eq!(pace.time_ms(50.0), 150.0);
    assert_eq!(pace.time_ms(100.0), 300.0);
    assert_eq!(pace.time_ms(250.0), 450.0);
    assert_eq!(Pace::MEAN.time_ms(250.0), 250.0);
}

/// Guards against calls that wait inside a server, where the queue cannot decide their order, and against a false number
/// that takes a server out of use.
#[test]
fn slots_follow_reports() {
    let mut limit = SlotLimit::new(6);
    assert_eq!(limit.slots(Ms(1)), 6);
    limit.report(&load(4, 0, 4, 100), 4, Ms(1_000));
    assert_eq!(limit.slots(Ms(1_000)), 4, "fewer than announced");
    limit.report(&load(4, 0, 100_000, 100), 4, Ms(1_100));
    assert_eq!(limit.slots(Ms(1_100)), 6, "never more than announced");
    limit.report(&load(4, 2, 6, 100), 6, Ms(1_200));
    assert_eq!(limit.slots(Ms(1_200)), 4, "two calls wait inside");
    limit.report(&load(4, 0, 6, 100), 4, Ms(1_201));
    assert_eq!(limit.slots(Ms(1_201)), 4, "no sudden return");
    assert_eq!(limit.slots(Ms(1_600)), 6, "the wait is over");
    limit.report(&load(0, 1_000_000, 6, 100), 6, Ms(2_000));
    assert_eq!(limit.slots(Ms(2_000)), 3, "an absurd number takes a half at most");
    limit.report(&load(0, 5, 6, 100), 0, Ms(3_000));
    assert_eq!(limit.slots(Ms(3_000)), 6, "no call of this daemon can wait");
    limit.report(&load(0, 1, 1, 100), 1, Ms(4_000));
    assert_eq!(limit.slots(Ms(4_000)), 1, "at least one");
    assert_eq!(limit.slots(Ms(64_000)), 6, "a number that is not renewed ends");
}

/// Guards against a server that gets more calls at the same time than it reports slots.
#[test]
fn fewer_slots_used() {
    let mut queue = ServerQueue::new(6);
    let now = Ms(1_000);
    queue.report_load(&load(0, 0, 2, 100), now);
    for _ in 0..2 {
        assert_eq!(queue.admit(now, request(now, 1_000, 1_000)), Admission::Run);
    }
    let third = queue.admit(now, request(now, 1_000, 1_000));
    assert!(matches!(third, Admission::Wait { .. }), "{third:?}");
    assert_eq!(queue.dequeue(now).next, None);
    queue.report_load(&load(2, 0, 6, 100), now);
    assert!(queue.dequeue(now).next.is_some(), "the slots are back");
}
