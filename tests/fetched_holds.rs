//! Spans of a server that fetches its grants with its heartbeats: what it holds, and when a span is free.

use clementinefold::{
    clock::Ms,
    grant::{FreedSpan, Hold, HoldTable, Released, ReportedSpan},
    key::{Key, KeyRange},
};

const HOLD: Ms = Ms(1000);
const EPOCH: u64 = 7;

fn span(start: u8, end: u8) -> KeyRange {
    KeyRange {
        start: Key::new(vec![start]),
        end: Some(Key::new(vec![end])),
    }
}

fn hold(span: &KeyRange, release: Option<u64>) -> Hold {
    Hold {
        span: span.clone(),
        epoch: EPOCH,
        handover: String::new(),
        release,
    }
}

fn reported(span: &KeyRange) -> Vec<ReportedSpan> {
    vec![ReportedSpan {
        span: span.clone(),
        epoch: EPOCH,
    }]
}

fn freed(span: &KeyRange) -> Vec<FreedSpan> {
    vec![FreedSpan {
        span: span.clone(),
        handover: "token".into(),
    }]
}

/// One heartbeat of a sequence: what the server reports, what the state requires, and whether the release is complete
/// then.
struct Heartbeat {
    name: &'static str,
    holds: bool,
    frees: bool,
    release: Option<u64>,
    hold: Ms,
    released: bool,
}

const fn heartbeat_step(
    name: &'static str,
    holds: bool,
    frees: bool,
    release: Option<u64>,
    hold: Ms,
    released: bool,
) -> Heartbeat {
    Heartbeat {
        name,
        holds,
        frees,
        release,
        hold,
        released,
    }
}

/// Sequences of heartbeats of one server. Each starts with a new table.
const SEQUENCES: &[(&str, &[Heartbeat])] = &[
    (
        "a planned move",
        &[
            heartbeat_step("granted", false, false, None, HOLD, false),
            heartbeat_step("held", true, false, None, HOLD, false),
            heartbeat_step("asked to release", true, false, Some(9), HOLD, false),
            heartbeat_step("still running calls", true, false, Some(9), HOLD, false),
            heartbeat_step("freed", false, true, Some(9), HOLD, true),
        ],
    ),
    (
        "the daemon has just started",
        &[
            heartbeat_step("still held", true, false, Some(9), HOLD, false),
            heartbeat_step("freed", false, true, Some(9), HOLD, true),
        ],
    ),
    (
        "the answer that releases has no grants",
        &[
            heartbeat_step("granted", false, false, None, HOLD, false),
            heartbeat_step("no lease", false, false, Some(9), Ms::ZERO, false),
            heartbeat_step("the grant may still arrive", false, false, Some(9), HOLD, false),
            heartbeat_step("left out by the last answer", false, false, Some(9), HOLD, true),
        ],
    ),
    (
        "granted and released at once",
        &[
            heartbeat_step("granted", false, false, None, HOLD, false),
            heartbeat_step("not reported yet", false, false, Some(9), HOLD, false),
            heartbeat_step("left out and not held", false, false, Some(9), HOLD, true),
        ],
    ),
];

#[test]
fn release_steps() {
    let keys = span(10, 20);
    for (sequence, heartbeats) in SEQUENCES {
        let mut table = HoldTable::default();
        for step in *heartbeats {
            let reports = if step.holds { reported(&keys) } else { Vec::new() };
            let frees = if step.frees { freed(&keys) } else { Vec::new() };
            let wanted = vec![hold(&keys, step.release)];
            let (_, released) = table.heartbeat(&reports, frees, wanted, step.hold, Ms(0));
            assert_eq!(!released.is_empty(), step.released, "{sequence}: {}", step.name);
        }
    }
}

/// A heartbeat after the start of a new process: its time in ms, whether the server reports the span, and whether the
/// release is complete then.
type LaterHeartbeat = (u64, bool, bool);

/// Until when the earlier process may have given holds.
const EARLIER_HOLDS_END: Ms = Ms(3000);

/// Sequences of heartbeats at a new process of the daemon, which is to have a span released.
const AFTER_RESTART: &[(&str, &[LaterHeartbeat])] = &[
    ("late ones only", &[(0, false, false), (900, false, false)]),
    (
        "late ones, then held",
        &[(0, false, false), (100, true, false), (200, false, true)],
    ),
    ("held, then given up", &[(0, true, false), (100, false, true)]),
    (
        "never held",
        &[(0, false, false), (2999, false, false), (3000, false, true)],
    ),
    (
        "held beyond the end",
        &[(0, true, false), (4000, true, false), (4100, false, true)],
    ),
];

/// Guards against a release that is taken for complete because of a heartbeat which was sent before the server held the
/// span, as far as a new process of the daemon can tell.
#[test]
fn release_after_restart() {
    let keys = span(10, 20);
    for (name, heartbeats) in AFTER_RESTART {
        let mut table = HoldTable::default();
        table.record_hold_end(EARLIER_HOLDS_END);
        for (at, is_reported, is_released) in *heartbeats {
            let reports = if *is_reported { reported(&keys) } else { Vec::new() };
            let wanted = vec![hold(&keys, Some(9))];
            let (_, released) = table.heartbeat(&reports, Vec::new(), wanted, HOLD, Ms(*at));
            assert_eq!(!released.is_empty(), *is_released, "{name}: at {at} ms");
        }
    }
}

/// Guards against a span that counts as seen at the server because it was offered in the answer to a late heartbeat, which
/// the server no longer takes.
#[test]
fn offered_to_late_heartbeat() {
    let keys = span(10, 20);
    let mut table = HoldTable::default();
    table.record_hold_end(EARLIER_HOLDS_END);
    let releases = [None, Some(9), Some(9), Some(9)];
    for (at, release) in releases.into_iter().enumerate() {
        let wanted = vec![hold(&keys, release)];
        let (_, released) = table.heartbeat(&[], Vec::new(), wanted, HOLD, Ms(at as u64));
        assert_eq!(released, [], "at {at} ms");
    }
    let wanted = vec![hold(&keys, Some(9))];
    let (_, released) = table.heartbeat(&[], Vec::new(), wanted, HOLD, EARLIER_HOLDS_END);
    assert_eq!(released.len(), 1);
}

#[test]
fn handover_token_passed() {
    let keys = span(10, 20);
    let mut table = HoldTable::default();
    table.heartbeat(&[], Vec::new(), vec![hold(&keys, None)], HOLD, Ms(0));
    table.heartbeat(
        &reported(&keys),
        Vec::new(),
        vec![hold(&keys, Some(9))],
        HOLD,
        Ms(1),
    );
    let (_, released) = table.heartbeat(&[], freed(&keys), vec![hold(&keys, Some(9))], HOLD, Ms(2));
    let expected = Released {
        span: keys,
        epoch: EPOCH,
        release: 9,
        handover: "token".into(),
    };
    assert_eq!(released, [expected]);
}

#[test]
fn calls_while_held() {
    let keys = span(10, 20);
    let (inside, outside) = (Key::new(vec![15]), Key::new(vec![20]));
    let mut table = HoldTable::default();
    assert!(
        table.can_serve(&inside, EPOCH, Ms(0)),
        "the server itself decides at first"
    );
    table.heartbeat(&[], Vec::new(), vec![hold(&keys, None)], HOLD, Ms(0));
    assert!(table.can_serve(&inside, EPOCH, Ms(999)));
    assert!(table.can_serve(&inside, EPOCH + 1, Ms(999)), "ranges were joined");
    assert!(
        !table.can_serve(&inside, EPOCH - 1, Ms(999)),
        "granted to a later owner"
    );
    assert!(!table.can_serve(&outside, EPOCH, Ms(999)));
    assert!(!table.can_serve(&inside, EPOCH, table.ends_at()));
    table.heartbeat(
        &reported(&keys),
        Vec::new(),
        vec![hold(&keys, Some(9))],
        HOLD,
        Ms(500),
    );
    assert!(
        !table.can_serve(&inside, EPOCH, Ms(501)),
        "the answer left it out"
    );
}

/// The clock of a server may run 2% slow, so its hold may last longer than the time that it was given.
#[test]
fn slow_server_clock() {
    let mut table = HoldTable::default();
    table.heartbeat(&[], Vec::new(), Vec::new(), HOLD, Ms(0));
    assert!(table.ends_at() >= Ms(1020));
    table.heartbeat(&[], Vec::new(), Vec::new(), Ms(100), Ms(1));
    assert!(
        table.ends_at() >= Ms(1020),
        "a shorter hold does not end an earlier one"
    );
}
