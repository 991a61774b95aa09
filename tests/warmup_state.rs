//! What the daemon beside a server concludes from heartbeats, adoption, the schema and the end of an evacuation about the
//! warm-up of the server, and the calls that a server gets that becomes cold under load.

use {
    clementinefold::{
        call::{ServerRate, WarmupState},
        clock::Ms,
        schema::Warmup,
    },
    quickcheck::{quickcheck, TestResult},
};

const WARMUP: Warmup = Warmup {
    time: Ms(3000),
    per_s: 6.5,
};
const START: u64 = 10_000;

/// Something that happens to the record of a server.
#[derive(Clone, Copy, Debug)]
enum Step {
    Adopted,
    /// The first heartbeat of a new process.
    Started(u64),
    Heartbeat(u64),
    EvacuationEnded,
}
use Step::{Adopted, EvacuationEnded, Heartbeat, Started};

/// Returns the record after the steps, each with the time after [`START`] at which it happens.
fn replay(steps: &[(u64, Step)]) -> WarmupState {
    let mut warmup = WarmupState::unknown(Ms(START));
    for (at, step) in steps {
        let now = Ms(START + at);
        match step {
            Adopted => warmup = WarmupState::unknown(now),
            Started(left) => warmup = WarmupState::reported(Ms(*left), now),
            Heartbeat(left) => warmup.record_heartbeat(Ms(*left), now),
            EvacuationEnded => warmup.forget_warmth(now),
        }
    }
    warmup
}

/// Each row: its name, the steps, and the end of the warm-up after [`START`], or `None` if the server is warm.
type Row<'a> = (&'a str, &'a [(u64, Step)], Option<u64>);

/// Guards against servers that are taken for warm although this is not known, and against warm-ups without an end.
#[test]
fn end_of_warmup() {
    let rows: &[Row<'_>] = &[
        ("a new server that is warm", &[(0, Started(0))], None),
        ("a new server that is cold", &[(0, Started(2900))], Some(2900)),
        (
            "heartbeats go on during the warm-up",
            &[(0, Started(2900)), (300, Heartbeat(2600))],
            Some(2900),
        ),
        (
            "heartbeats are lost during the warm-up",
            &[(0, Started(2900))],
            Some(2900),
        ),
        (
            "a late heartbeat makes the warm-up no longer than it may be",
            &[(0, Started(3000)), (900, Heartbeat(3000))],
            Some(3900),
        ),
        (
            "a heartbeat ends the warm-up",
            &[(0, Started(2900)), (300, Heartbeat(0))],
            None,
        ),
        (
            "a warm server becomes cold again",
            &[(0, Started(0)), (5000, Heartbeat(2800))],
            Some(7800),
        ),
        (
            "a server states more than the warm-up of its service",
            &[(0, Started(60_000))],
            Some(3000),
        ),
        ("an adopted server", &[(0, Adopted)], Some(3000)),
        (
            "an adopted server that is warm",
            &[(0, Adopted), (200, Heartbeat(0))],
            None,
        ),
        (
            "an adopted server that is cold",
            &[(0, Adopted), (200, Heartbeat(700))],
            Some(900),
        ),
        (
            "an evacuation ends, no heartbeat arrives",
            &[(0, Started(0)), (5000, EvacuationEnded)],
            Some(8000),
        ),
        (
            "a heartbeat from before the end of the evacuation",
            &[(0, Started(0)), (5000, EvacuationEnded), (5999, Heartbeat(0))],
            Some(8000),
        ),
        (
            "a heartbeat that certainly is from after the end of the evacuation",
            &[(0, Started(0)), (5000, EvacuationEnded), (6000, Heartbeat(0))],
            None,
        ),
        (
            "the rest of an earlier warm-up does not shorten the one after the evacuation",
            &[(0, Started(0)), (5000, EvacuationEnded), (5400, Heartbeat(100))],
            Some(8000),
        ),
        (
            "a server that became cold at the end of the evacuation",
            &[(0, Started(0)), (5000, EvacuationEnded), (5400, Heartbeat(2900))],
            Some(8300),
        ),
        (
            "a server restarts after the end of the evacuation",
            &[(0, Started(0)), (5000, EvacuationEnded), (5400, Started(2900))],
            Some(8300),
        ),
    ];
    for (name, steps, end) in rows {
        let warmup = replay(steps);
        let last = Ms(START + steps.last().unwrap().0);
        let expected = end.map_or(last, |end| Ms(START + end));
        assert_eq!(warmup.is_cold(Some(WARMUP), last), end.is_some(), "{name}");
        assert!(!warmup.is_cold(Some(WARMUP), expected), "{name}: it lasts longer");
        if expected > last {
            assert!(
                warmup.is_cold(Some(WARMUP), expected - Ms(1)),
                "{name}: it ends earlier"
            );
        }
    }
}

/// The schema may arrive after the server, and a service without a warm-up must be served as before.
#[test]
fn schema_decides() {
    for step in [Adopted, Started(2000), EvacuationEnded] {
        let warmup = replay(&[(0, step)]);
        assert!(!warmup.is_cold(None, Ms(START)), "{step:?}: no warm-up declared");
        assert!(
            warmup.is_cold(Some(WARMUP), Ms(START + 1000)),
            "{step:?}: declared later"
        );
        let shorter = Warmup {
            time: Ms(500),
            ..WARMUP
        };
        assert!(
            !warmup.is_cold(Some(shorter), Ms(START + 500)),
            "{step:?}: shortened"
        );
    }
}

/// A server that becomes cold states how much of its warm-up is left, which tells since when it is cold.
#[test]
fn start_of_warmup() {
    let since = |steps| replay(steps).cold_since(WARMUP);
    assert_eq!(since(&[(0, Started(0)), (500, Heartbeat(2800))]), Ms(START + 300));
    assert_eq!(since(&[(0, Started(9000))]), Ms(START));
    assert_eq!(since(&[(100, Adopted)]), Ms(START + 100));
}

/// Guards against a burst that a server gets which has become cold under full load, before its daemon learns it.
#[test]
fn early_calls_charged() {
    let allowed = WARMUP.per_s * 1.5 + 8.0;
    for early in [0_u64, 7, 8, 14, 17, 40] {
        // The calls that were sent after the server became cold and before its heartbeat arrived, 300 ms later.
        let mut starts: Vec<u64> = (0..early).map(|n| START + n * 300 / early).collect();
        let learnt = START + 300;
        let mut rate = ServerRate::new(WARMUP.per_s, Ms(learnt));
        rate.charge(early.saturating_sub(7) as f64, Ms(learnt));
        for ms in learnt..START + 3000 {
            if rate.wait(0, Ms(ms)) > Ms::ZERO {
                continue;
            }
            rate.take(Ms(ms));
            starts.push(ms);
            let count = starts.iter().filter(|at| **at + 1000 > ms).count();
            assert!(
                count as f64 <= allowed,
                "{early} early calls: {count} in a second"
            );
        }
        let later = starts.len() as u64 - early;
        assert!(later >= 10, "{early} early calls: only {later} later ones");
    }
}

quickcheck! {
    /// Whatever arrives, a server is never cold for longer than its warm-up after the last event.
    fn warmups_end(steps: Vec<(u8, u8, u16)>) -> TestResult {
        if steps.is_empty() {
            return TestResult::discard();
        }
        let mut at = 0;
        let steps: Vec<(u64, Step)> = steps.iter().map(|(gap, kind, left)| {
            at += u64::from(*gap) * 10;
            let step = match kind % 4 {
                0 => Adopted,
                1 => Started(u64::from(*left)),
                2 => Heartbeat(u64::from(*left)),
                _ => EvacuationEnded,
            };
            (at, step)
        }).collect();
        let warmup = replay(&steps);
        TestResult::from_bool(warmup.cold_until(Some(WARMUP)) <= Ms(START + at) + WARMUP.time)
    }
}
