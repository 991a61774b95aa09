//! What a server that fetches its grants with its heartbeats holds, and when a span of it is free.

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

/// One heartbeat of a release, step by step: what the server reports, and whether the release is complete.
struct Beat {
    name: &'static str,
    holds: bool,
    frees: bool,
    release: Option<u64>,
    hold: Ms,
    released: bool,
}

const fn beat(
    name: &'static str,
    holds: bool,
    frees: bool,
    release: Option<u64>,
    hold: Ms,
    released: bool,
) -> Beat {
    Beat {
        name,
        holds,
        frees,
        release,
        hold,
        released,
    }
}

/// Sequences of heartbeats of one server, each from a new book.
const SEQUENCES: &[(&str, &[Beat])] = &[
    (
        "a planned move",
        &[
            beat("granted", false, false, None, HOLD, false),
            beat("held", true, false, None, HOLD, false),
            beat("told to release", true, false, Some(9), HOLD, false),
            beat("still at work", true, false, Some(9), HOLD, false),
            beat("freed", false, true, Some(9), HOLD, true),
        ],
    ),
    (
        "the daemon has just started",
        &[
            beat("still held", true, false, Some(9), HOLD, false),
            beat("freed", false, true, Some(9), HOLD, true),
        ],
    ),
    (
        "the answer that releases has no grants",
        &[
            beat("granted", false, false, None, HOLD, false),
            beat("no lease", false, false, Some(9), Ms::ZERO, false),
            beat("the grant may still arrive", false, false, Some(9), HOLD, false),
            beat("left out by the last answer", false, false, Some(9), HOLD, true),
        ],
    ),
    (
        "granted and released at once",
        &[
            beat("granted", false, false, None, HOLD, false),
            beat("not seen yet", false, false, Some(9), HOLD, false),
            beat("left out and not held", false, false, Some(9), HOLD, true),
        ],
    ),
];

#[test]
fn release_steps() {
    let keys = span(10, 20);
    for (sequence, beats) in SEQUENCES {
        let mut book = HoldTable::default();
        for step in *beats {
            let reports = if step.holds { reported(&keys) } else { Vec::new() };
            let frees = if step.frees { freed(&keys) } else { Vec::new() };
            let wanted = vec![hold(&keys, step.release)];
            let (_, released) = book.heartbeat(&reports, frees, wanted, step.hold, Ms(0));
            assert_eq!(!released.is_empty(), step.released, "{sequence}: {}", step.name);
        }
    }
}

#[test]
fn token_passed_on() {
    let keys = span(10, 20);
    let mut book = HoldTable::default();
    book.heartbeat(&[], Vec::new(), vec![hold(&keys, None)], HOLD, Ms(0));
    book.heartbeat(
        &reported(&keys),
        Vec::new(),
        vec![hold(&keys, Some(9))],
        HOLD,
        Ms(1),
    );
    let (_, released) = book.heartbeat(&[], freed(&keys), vec![hold(&keys, Some(9))], HOLD, Ms(2));
    let expected = Released {
        span: keys,
        epoch: EPOCH,
        release: 9,
        handover: "token".into(),
    };
    assert_eq!(released, [expected]);
}

#[test]
fn served_while_held() {
    let keys = span(10, 20);
    let (inside, outside) = (Key::new(vec![15]), Key::new(vec![20]));
    let mut book = HoldTable::default();
    assert!(
        book.can_serve(&inside, EPOCH, Ms(0)),
        "the server itself decides at first"
    );
    book.heartbeat(&[], Vec::new(), vec![hold(&keys, None)], HOLD, Ms(0));
    assert!(book.can_serve(&inside, EPOCH, Ms(999)));
    assert!(book.can_serve(&inside, EPOCH + 1, Ms(999)), "ranges were joined");
    assert!(
        !book.can_serve(&inside, EPOCH - 1, Ms(999)),
        "granted to a later owner"
    );
    assert!(!book.can_serve(&outside, EPOCH, Ms(999)));
    assert!(!book.can_serve(&inside, EPOCH, book.ends_at()));
    book.heartbeat(
        &reported(&keys),
        Vec::new(),
        vec![hold(&keys, Some(9))],
        HOLD,
        Ms(500),
    );
    assert!(!book.can_serve(&inside, EPOCH, Ms(501)), "the answer left it out");
}

/// The clock of a server may run 2% slow, so its hold lasts longer than it was told.
#[test]
fn slow_clock_counted() {
    let mut book = HoldTable::default();
    book.heartbeat(&[], Vec::new(), Vec::new(), HOLD, Ms(0));
    assert!(book.ends_at() >= Ms(1020));
    book.heartbeat(&[], Vec::new(), Vec::new(), Ms(100), Ms(1));
    assert!(
        book.ends_at() >= Ms(1020),
        "a shorter hold does not end an earlier one"
    );
}
