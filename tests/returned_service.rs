//! Owners, waits and guards of a service that a schema leaves out, or divides differently, and a later one names as
//! before. Its servers may still hold their keys in the meantime.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    bytes::Bytes,
    clementinefold::{
        clock::Ms,
        control::{Applied, Owner},
        key::KeyRange,
        split::next_stage,
        wire::control::{
            change, operator_command, AssignRange, GuardReady, RangeReleased, Server, SplitAction, SplitStage,
        },
    },
    state_fixture::{schema, server, Fixture, SERVICE},
};

/// Longest deadline of the calls.
const DEADLINE_MS: u32 = 500;
/// Time after which the deadline has certainly passed on every clock.
const WAIT_MS: u64 = 500 * 630 / 570 + 1;
/// Time for which answers of non-idempotent calls are kept.
const ANSWER_KEPT_MS: u64 = 60_000;

/// How a schema stops naming the service as one that is divided by key.
#[derive(Clone, Copy, Debug)]
enum Absence {
    LeftOut,
    /// Another service that is divided by key takes its place.
    Replaced,
    Undivided,
    /// Undivided, with ranges of request ids for calls that are not idempotent.
    Guarded,
}

const ABSENCES: [Absence; 4] = [
    Absence::LeftOut,
    Absence::Replaced,
    Absence::Undivided,
    Absence::Guarded,
];

fn schema_without(absence: Absence) -> String {
    let (name, properties, is_idempotent) = match absence {
        Absence::LeftOut => ("other", "", true),
        Absence::Replaced => ("other", r#""divided_by_key": true, "boundaries": ["m"],"#, true),
        Absence::Undivided => (SERVICE, "", true),
        Absence::Guarded => (SERVICE, "", false),
    };
    format!(
        r#"{{"cluster": "test", "services": [{{"name": "{name}", {properties} "calls": [{{"name": "read",
            "method": "GET", "path": "/", "idempotent": {is_idempotent}, "deadline_ms": 100,
            "max_deadline_ms": {DEADLINE_MS}, "answer_kept_ms": {ANSWER_KEPT_MS}}}]}}]}}"#
    )
}

fn schema_with() -> String {
    schema(true, DEADLINE_MS)
}

/// Returns a fixture with three hosts, of which the first two own a range each.
fn owned_ranges(checks_fencing: bool) -> Fixture {
    let mut f = Fixture::with_hosts(3, checks_fencing, DEADLINE_MS);
    f.apply_schema(&schema(checks_fencing, DEADLINE_MS));
    f.assign("a", 1);
    f.assign("z", 2);
    f
}

fn owners(f: &Fixture) -> [Option<Owner>; 2] {
    ["a", "z"].map(|key| f.owner(key))
}

/// Guards against keys that are assigned anew while their servers still hold them, because the schema left their
/// service out for a moment.
#[test]
fn owners_kept() {
    type Event = fn(&mut Fixture);
    let events: &[(&str, Event)] = &[
        ("nothing", |_| {}),
        ("a snapshot", Fixture::restore),
        ("a new leader", Fixture::elect),
        ("a snapshot and a new leader", |f| {
            f.restore();
            f.elect();
        }),
        ("an hour", |f| {
            f.now += Ms(3_600_000);
            f.forget();
        }),
        ("the service is left out in another way", |f| {
            for absence in ABSENCES {
                f.apply_schema(&schema_without(absence));
            }
        }),
        ("another server joins", |f| {
            let session = f.open(4, 4);
            f.set_servers(session, vec![server(4, true)], &[]);
        }),
    ];
    for absence in ABSENCES {
        for (name, event) in events {
            let mut f = owned_ranges(true);
            let before = owners(&f);
            f.apply_schema(&schema_without(absence));
            f.place();
            event(&mut f);
            f.place();
            f.apply_schema(&schema_with());
            assert_eq!(f.place(), 0, "{absence:?}, {name}: nothing to assign");
            assert_eq!(owners(&f), before, "{absence:?}, {name}");
        }
    }
}

/// Guards against a leader that resumes with owners of before the service was left out.
#[test]
fn lost_servers_replaced() {
    type Loss = fn(&mut Fixture);
    let losses: &[(&str, Loss)] = &[
        ("its session ends", |f| drop(f.end(f.session(1), false))),
        ("it ends", |f| {
            f.set_servers(f.session(1), Vec::new(), &["first-1"])
        }),
        ("it is silent", |f| f.set_servers(f.session(1), Vec::new(), &[])),
        ("it is restarted", |f| {
            let restarted = Server {
                incarnation: "second-1".into(),
                ..server(1, true)
            };
            f.set_servers(f.session(1), vec![restarted], &[]);
        }),
    ];
    for absence in ABSENCES {
        for (name, lose) in losses {
            let mut f = owned_ranges(true);
            let [_, kept] = owners(&f);
            f.apply_schema(&schema_without(absence));
            lose(&mut f);
            f.apply_schema(&schema_with());
            assert_eq!(owners(&f), [None, kept.clone()], "{absence:?}, {name}");
            assert_eq!(f.place(), 1, "{absence:?}, {name}: assigned without a wait");
        }
    }
}

/// Guards against calls of a lost owner that still run at a server which does not check fencing epochs, when its keys
/// get the next owner.
#[test]
fn takeover_wait_kept() {
    for absence in ABSENCES {
        let mut f = owned_ranges(false);
        f.apply_schema(&schema_without(absence));
        let session = f.session(1);
        f.end(session, false);
        let lost_at = f.now;
        f.now += Ms(200);
        f.restore();
        f.apply_schema(&schema(false, DEADLINE_MS));
        while f.place() == 0 {
            f.now += Ms(1);
            assert!(f.now < lost_at + Ms(10_000), "{absence:?}: never taken over");
        }
        assert_eq!(f.now - lost_at, Ms(WAIT_MS), "{absence:?}");
    }
}

/// Guards against a late report that ends an ownership which was not given up.
#[test]
fn release_cancelled() {
    let mut f = owned_ranges(true);
    let Applied::ReleaseStarted { .. } = f.release("a", 3) else {
        panic!("the release is not started");
    };
    let release = f.state.applied();
    let before = owners(&f);
    f.apply_schema(&schema_without(Absence::LeftOut));
    f.apply_schema(&schema_with());
    let late = RangeReleased {
        service: SERVICE.into(),
        start: Bytes::new(),
        epoch: before[0].as_ref().unwrap().epoch,
        release,
        handover: String::new(),
    };
    let applied = f.commit(change::Body::RangeReleased(late));
    assert!(matches!(applied, Applied::Ignored(_)), "{applied:?}");
    assert_eq!(owners(&f), before);
}

/// Guards against calls that run again because the location of their guard is forgotten.
#[test]
fn guards_kept() {
    let guarded = schema_without(Absence::Guarded);
    let divided = guarded.replace(
        r#""name": "ledger""#,
        r#""name": "ledger", "divided_by_key": true, "boundaries": ["m"]"#,
    );
    for present in [divided, guarded] {
        let mut f = owned_ranges(true);
        f.apply_schema(&present);
        f.place();
        let table = f.state.table(SERVICE).unwrap();
        let (span, owner) = (table.span(0), table.ranges()[0].owner.clone().unwrap());
        f.commit(change::Body::GuardReady(GuardReady {
            service: SERVICE.into(),
            start: span.start.to_bytes(),
            end: span.end.map(|e| e.to_bytes()),
            epoch: owner.epoch,
            owner_address: "owner".into(),
            holder_address: "holder".into(),
        }));
        let before = f.state.guard_table(SERVICE).unwrap().clone();
        f.apply_schema(&schema_without(Absence::LeftOut));
        f.restore();
        let is_known = f
            .state
            .known_guard_tables(SERVICE)
            .any(|table| table.parts(&KeyRange::default())[0].1.epoch == owner.epoch);
        assert!(is_known, "a daemon keeps its guard");
        f.apply_schema(&present);
        assert_eq!(f.state.guard_table(SERVICE), Some(&before));
    }
}

/// Tables of a service that is gone for good do not accumulate. Until then, calls may still run and recorded answers
/// are still needed.
#[test]
fn forgotten_after_loss() {
    let kept_ms = ANSWER_KEPT_MS * 630 / 570;
    let with_answers = schema_with().replace(
        r#""idempotent": true"#,
        &format!(r#""idempotent": false, "answer_kept_ms": {ANSWER_KEPT_MS}"#),
    );
    let mut f = owned_ranges(true);
    f.apply_schema(&with_answers);
    f.apply_schema(&schema_without(Absence::LeftOut));
    f.now += Ms(2 * kept_ms);
    assert_eq!(f.forget(), 0, "its servers are live");
    for host in 1..=3 {
        let session = f.session(host);
        f.end(session, false);
    }
    assert_eq!(f.forget(), 0, "the time starts with the loss of the last owner");
    f.now += Ms(kept_ms);
    assert_eq!(f.forget(), 0, "answers are kept");
    f.elect();
    assert_eq!(f.forget(), 0, "a new leader starts the time again");
    f.now += Ms(kept_ms + 1);
    f.restore();
    assert_eq!(f.forget(), 1);
    assert_eq!(f.state.retired_services().len(), 0);
    f.apply_schema(&schema_with().replace(r#"["m"]"#, r#"["f", "p"]"#));
    assert_eq!(
        f.state.table(SERVICE).unwrap().ranges().len(),
        3,
        "new boundaries apply"
    );
}

/// Guards against a split that settles while a server of the second half may hold keys of the first half, for a service
/// that is left out. Keys that no half names belong to the first one.
#[test]
fn split_waits_for_owners() {
    let other = schema_without(Absence::Replaced);
    let (other, _) = other.rsplit_once('}').unwrap();
    let halves = r#"{"first": {"name": "a", "hosts": ["host-1"], "spans": [{"service": "other", "end": "m"}]},
        "second": {"name": "b", "hosts": ["host-2"], "spans": [{"service": "other", "start": "m"}]}}"#;
    for (host, is_settled) in [(1, true), (2, false)] {
        let mut f = Fixture::with_hosts(2, true, DEADLINE_MS);
        f.assign("a", host);
        f.assign("z", host);
        for host in 1..=2 {
            let session = f.session(host);
            let other = Server {
                service: "other".into(),
                address: format!("10.0.0.{host}:2"),
                ..server(host, true)
            };
            f.set_servers(session, vec![server(host, true), other], &[]);
        }
        f.apply_schema(&format!(r#"{other}, "split": {halves}}}"#));
        for (host, start, end) in [(1, "", Some("m")), (2, "m", None)] {
            let assign = AssignRange {
                service: "other".into(),
                start: start.into(),
                end: end.map(Bytes::from),
                session: f.session(host),
                server: format!("10.0.0.{host}:2"),
                reason: "test".into(),
            };
            f.commit(change::Body::AssignRange(assign));
        }
        let start = f.command(operator_command::Body::Split(SplitAction::Start.into()));
        f.decide(&start);
        let next = next_stage(&f.state);
        assert_eq!(
            next,
            is_settled.then_some(SplitStage::Settled),
            "owned by host {host}"
        );
    }
}
