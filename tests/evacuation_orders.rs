//! Orders about evacuations in the replicated state: repeats change nothing, the last committed order is in force, and
//! neither candidates nor placement use the servers of an evacuated failure domain.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        control::{Applied, EvacuationScope, State},
        placement::Placer,
        route,
        wire::control::{
            change, command_answer, operator_command::Body, CommandAnswer, Drain, OpenSession,
            OperatorCommand,
        },
    },
    state_fixture::{accepted, refused, server, Fixture, SERVICE},
};

const SCHEMA: &str = r#"{"cluster": "test", "services": [
    {"name": "ledger", "divided_by_key": true, "boundaries": ["c", "f", "m"], "checks_fencing": true, "calls": [
        {"name": "read", "method": "GET", "path": "/", "idempotent": true, "deadline_ms": 100}]},
    {"name": "desk", "calls": [
        {"name": "read", "method": "GET", "path": "/", "idempotent": true, "deadline_ms": 100}]}]}"#;

/// Returns a state with one host for each element of `domains`, numbered from 1, with a server of each service.
fn fixture(domains: &[&str]) -> Fixture {
    let mut f = Fixture::new();
    f.apply_schema(SCHEMA);
    for (i, domain) in domains.iter().enumerate() {
        let host = i as u64 + 1;
        let open = OpenSession {
            host: format!("host-{host}"),
            process: host,
            failure_domain: (*domain).into(),
            ..OpenSession::default()
        };
        f.commit(change::Body::OpenSession(open));
        let session = f.session(host);
        let mut desk = server(host, true);
        desk.service = "desk".into();
        f.set_servers(session, vec![server(host, true), desk], &[]);
    }
    f
}

fn start(domain: &str) -> Body {
    Body::StartEvacuation(domain.into())
}

fn finish(domain: &str) -> Body {
    Body::EndEvacuation(domain.into())
}

/// Decides an order as the platform sends it, without a command id.
fn order(f: &mut Fixture, body: Body) -> CommandAnswer {
    f.decide(&OperatorCommand {
        body: Some(body),
        ..OperatorCommand::default()
    })
}

/// Returns the hosts whose servers may take calls of the undivided service.
fn candidate_hosts(f: &Fixture) -> Vec<String> {
    let candidates = route::candidates(&f.state, "desk", "a");
    let host = |session| f.state.session(session).unwrap().open.host.clone();
    candidates.iter().map(|c| host(c.target.session)).collect()
}

/// Returns the number of ranges that the server of a host owns.
fn owned_ranges(f: &Fixture, host: u64) -> usize {
    let session = f.session(host);
    let ranges = f.state.table(SERVICE).unwrap().ranges().iter();
    let owners = ranges.filter_map(|range| range.owner.as_ref());
    owners.filter(|owner| owner.session == session).count()
}

#[test]
fn repeats_change_nothing() {
    let mut f = fixture(&["a", "b"]);
    let before = f.state.revision();
    assert!(
        accepted(&order(&mut f, finish("a"))).is_some(),
        "a finish without a start"
    );
    assert_eq!(f.state.revision(), before);
    let first = accepted(&order(&mut f, start("a"))).unwrap();
    assert_ne!(
        first, before,
        "daemons that lack the order must count as out of date"
    );
    let since = f.state.last_evacuation("a").unwrap().since;
    for repeat in 0..3 {
        assert_eq!(
            accepted(&order(&mut f, start("a"))),
            Some(first),
            "repeat {repeat}"
        );
        f.restore();
    }
    assert_eq!(f.state.last_evacuation("a").unwrap().since, since);
    let ended = accepted(&order(&mut f, finish("a"))).unwrap();
    assert_ne!(ended, first);
    assert_eq!(accepted(&order(&mut f, finish("a"))), Some(ended));
    assert!(!f.state.is_evacuated("a"));
}

#[test]
fn last_committed_order_counts() {
    let cases: &[(&str, &[Body], &[&str])] = &[
        ("start", &[start("a")], &["a"]),
        ("start, finish", &[start("a"), finish("a")], &[]),
        ("start again", &[start("a"), finish("a"), start("a")], &["a"]),
        ("finish of another", &[start("a"), finish("b")], &["a"]),
        ("two at once", &[start("b"), start("a")], &["a", "b"]),
        ("one of two ends", &[start("b"), start("a"), finish("b")], &["a"]),
    ];
    for (name, orders, expected) in cases {
        let mut f = fixture(&["a", "b"]);
        for body in *orders {
            assert!(accepted(&order(&mut f, body.clone())).is_some(), "{name}");
        }
        assert_eq!(f.state.evacuated_domains(), *expected, "{name}");
        f.restore();
        assert_eq!(f.state.evacuated_domains(), *expected, "{name}: after a snapshot");
    }
}

/// An evacuation must not fail because another operator changes the configuration at the same time, and a resend of an
/// old command must not evacuate a domain again that has been restored since.
#[test]
fn commands_with_an_id() {
    let mut f = fixture(&["a", "b"]);
    let started = f.command(start("a"));
    f.apply_schema(SCHEMA);
    let first = f.decide(&started);
    assert!(accepted(&first).is_some(), "an older base is accepted: {first:?}");
    let ended = f.command(finish("a"));
    f.decide(&ended);
    assert_eq!(f.decide(&started), first, "a resend gets the first answer");
    assert!(!f.state.is_evacuated("a"), "a resend changes nothing");
}

#[test]
fn bad_orders_are_refused() {
    let mut f = fixture(&["a"]);
    let before = f.state.revision();
    assert!(refused(&order(&mut f, start(""))).is_some());
    for number in 0..256 {
        assert!(accepted(&order(&mut f, start(&format!("d{number}")))).is_some());
    }
    let answer = order(&mut f, start("one-more"));
    assert!(
        refused(&answer).is_some_and(|r| r.contains("too many")),
        "{answer:?}"
    );
    assert!(accepted(&order(&mut f, start("d7"))).is_some(), "a known one");
    assert_ne!(f.state.revision(), before);
    // Only evacuations may come without a command id.
    let answer = order(&mut f, Body::ApplySchema(SCHEMA.into()));
    assert!(
        matches!(answer.body, Some(command_answer::Body::Refused(_))),
        "{answer:?}"
    );
}

#[test]
fn candidates_leave_out_the_domain() {
    let mut f = fixture(&["a", "a", "b", "c"]);
    assert_eq!(candidate_hosts(&f), ["host-1", "host-2", "host-3", "host-4"]);
    order(&mut f, start("a"));
    assert_eq!(candidate_hosts(&f), ["host-3", "host-4"]);
    // A host that opens its session during the evacuation gets no calls either.
    let open = OpenSession {
        host: "host-9".into(),
        process: 9,
        failure_domain: "a".into(),
        ..OpenSession::default()
    };
    f.commit(change::Body::OpenSession(open));
    let (session, mut late) = (f.session(9), server(9, true));
    late.service = "desk".into();
    f.set_servers(session, vec![late], &[]);
    assert_eq!(candidate_hosts(&f), ["host-3", "host-4"]);
    f.restore();
    assert_eq!(candidate_hosts(&f), ["host-3", "host-4"], "after a snapshot");
    order(&mut f, finish("a"));
    assert_eq!(candidate_hosts(&f).len(), 5);
}

/// A range must never be without an owner because of an evacuation: its owner gives it up in a planned move.
#[test]
fn ranges_move_in_order() {
    let mut f = fixture(&["a", "b"]);
    f.place();
    assert!(owned_ranges(&f, 1) > 0 && owned_ranges(&f, 2) > 0);
    order(&mut f, start("a"));
    let to = f.session(2);
    let changes = Placer::default().changes(&f.state, f.now);
    assert_eq!(changes.assignments, [], "no range loses its owner");
    assert_eq!(changes.releases.len(), owned_ranges(&f, 1));
    assert!(changes.releases.iter().all(|release| release.to_session == to));
    for release in changes.releases {
        f.commit(change::Body::ReleaseRange(release));
    }
    assert_eq!(
        owned_ranges(&f, 1) + owned_ranges(&f, 2),
        4,
        "the owners stay meanwhile"
    );
}

/// Guards against a restored domain that stays without keys because the servers elsewhere have room for all of them.
#[test]
fn ranges_come_back() {
    let mut f = fixture(&["a", "b"]);
    order(&mut f, start("a"));
    f.place();
    assert_eq!((owned_ranges(&f, 1), owned_ranges(&f, 2)), (0, 4));
    let releases = |f: &Fixture| Placer::default().changes(&f.state, f.now).releases;
    assert_eq!(releases(&f), [], "during the evacuation");
    order(&mut f, finish("a"));
    let to = f.session(1);
    let moves = releases(&f);
    assert_eq!(moves.len(), 1, "balancing by load does the rest");
    assert!(moves.iter().all(|release| release.to_session == to));
    for release in moves {
        f.commit(change::Body::ReleaseRange(release));
    }
    assert_eq!(releases(&f), [], "the moves under way count");
    let mut f = fixture(&["a", "b"]);
    order(&mut f, start("c"));
    order(&mut f, finish("c"));
    f.place();
    let before = releases(&f);
    order(&mut f, start("c"));
    assert_eq!(releases(&f), before, "a domain without servers moves nothing");
}

/// Calls for keys are refused 2.5 s after the order, so all ranges of an ordinary server must be on their way by then.
#[test]
fn all_ranges_move_at_once() {
    let mut f = Fixture::new();
    let boundaries: Vec<String> = (10..50).map(|n| format!("\"k{n}\"")).collect();
    f.apply_schema(&SCHEMA.replace(r#""c", "f", "m""#, &boundaries.join(",")));
    for (host, domain) in [(1, "a"), (2, "b")] {
        let open = OpenSession {
            host: format!("host-{host}"),
            process: host,
            failure_domain: domain.into(),
            ..OpenSession::default()
        };
        f.commit(change::Body::OpenSession(open));
        let session = f.session(host);
        f.set_servers(session, vec![server(host, true)], &[]);
        f.place();
    }
    let owned = owned_ranges(&f, 1);
    assert_eq!(owned, 41);
    order(&mut f, start("a"));
    let changes = Placer::default().changes(&f.state, f.now);
    assert_eq!(changes.releases.len(), owned);
}

#[test]
fn domain_takes_no_ranges() {
    let mut f = fixture(&["a", "b"]);
    order(&mut f, start("a"));
    f.place();
    assert_eq!((owned_ranges(&f, 1), owned_ranges(&f, 2)), (0, 4));
    let mut f = fixture(&["a"]);
    order(&mut f, start("a"));
    assert_eq!(f.place(), 0, "the last domain with servers of the service");
    order(&mut f, finish("a"));
    assert_eq!(f.place(), 4);
}

#[test]
fn scope_names_services_without_servers() {
    let scope = |state: &State, domain: &str| -> EvacuationScope { state.evacuation_scope(domain) };
    let mut f = fixture(&["a", "a", "b"]);
    f.place();
    let of_a = scope(&f.state, "a");
    assert_eq!(of_a.servers.len(), 4);
    assert_eq!(of_a.ranges, owned_ranges(&f, 1) + owned_ranges(&f, 2));
    assert_eq!(of_a.services_without_servers, [""; 0]);
    order(&mut f, start("b"));
    assert_eq!(scope(&f.state, "a").services_without_servers, ["desk", "ledger"]);
    assert_eq!(scope(&f.state, "b").services_without_servers, [""; 0]);
    order(&mut f, finish("b"));
    let drain = f.command(Body::Drain(Drain {
        host: "host-3".into(),
        server: String::new(),
    }));
    f.decide(&drain);
    assert_eq!(scope(&f.state, "a").services_without_servers, ["desk", "ledger"]);
    assert_eq!(scope(&f.state, "unused"), EvacuationScope::default());
}

/// Two processes that apply the same orders must hold equal states, whatever snapshots lie between.
#[test]
fn replay_gives_the_same_state() {
    let mut f = fixture(&["a", "b"]);
    for body in [
        start("b"),
        start("a"),
        finish("a"),
        start("c"),
        finish("b"),
        start("a"),
    ] {
        order(&mut f, body);
    }
    let mut replayed = State::default();
    for (index, change) in &f.log {
        let applied = replayed.apply(*index, change);
        assert!(!matches!(applied, Applied::Ignored(_)));
        replayed = State::from_image(&replayed.to_image()).unwrap();
    }
    assert_eq!(replayed, f.state);
    let ended: Vec<bool> = f.state.evacuations().iter().map(|e| e.ended != 0).collect();
    assert_eq!(ended, [false, true, false], "a, b, c");
}
