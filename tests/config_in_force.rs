//! A daemon that does not apply an accepted configuration in time loses its session.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{clock::Ms, control::State, wire::peer::Renew},
    state_fixture::{schema, server, Fixture},
};

/// Time within which a daemon must apply a configuration.
const LAG_MAX: Ms = Ms(4000);

/// Renews the session of a host and returns whether it was renewed and whether it lags.
fn renew(f: &mut Fixture, host: u64, applied: u64) -> (bool, bool) {
    let renew = Renew {
        session: f.session(host),
        sent_at_ms: 1,
        applied,
        loads: Vec::new(),
        process: 0,
    };
    let answer = f.view.renew(&f.state, &renew, f.now);
    (answer.renewed, answer.lagging)
}

#[test]
fn lagging_daemon_is_not_renewed() {
    // Name, time since the change, whether the daemon has applied it, whether the session is renewed.
    let cases = [
        ("applied at once", Ms(0), true, true),
        ("missing within the limit", LAG_MAX, false, true),
        ("missing past the limit", LAG_MAX + Ms(1), false, false),
        ("applied past the limit", LAG_MAX + Ms(1), true, true),
    ];
    for (name, passed, has_applied, renewed) in cases {
        let mut f = Fixture::with_hosts(1, true, 100);
        let before = f.state.applied();
        f.apply_schema(&schema(true, 200));
        let applied = if has_applied { f.state.applied() } else { before };
        f.now += passed;
        assert_eq!(renew(&mut f, 1, applied), (renewed, !renewed), "{name}");
    }
}

#[test]
fn other_changes_may_lag() {
    let mut f = Fixture::with_hosts(1, true, 100);
    let applied = f.state.applied();
    f.assign("a", 1);
    f.now += LAG_MAX + Ms(1);
    assert_eq!(
        renew(&mut f, 1, applied),
        (true, false),
        "owners are not part of the configuration"
    );
}

#[test]
fn oldest_missing_change_counts() {
    // Each change has its own limit, so the oldest missing change decides.
    let mut f = Fixture::with_hosts(1, true, 100);
    let mut indexes = Vec::new();
    for i in 0..10 {
        f.apply_schema(&schema(true, 200 + i));
        indexes.push((f.state.applied(), f.now));
        f.now += Ms(1000);
    }
    for (index, at) in indexes {
        let lacks_next = at + Ms(1000) + LAG_MAX < f.now;
        assert_eq!(renew(&mut f, 1, index).0, !lacks_next, "applied {index}");
    }
}

#[test]
fn new_leader_restarts_the_limit() {
    let mut f = Fixture::with_hosts(1, true, 100);
    let before = f.state.applied();
    f.apply_schema(&schema(true, 200));
    f.now += LAG_MAX;
    f.elect();
    f.now += LAG_MAX;
    assert_eq!(
        renew(&mut f, 1, before),
        (true, false),
        "the limit starts at the election"
    );
    f.now += Ms(1);
    assert_eq!(renew(&mut f, 1, before), (false, true));
}

#[test]
fn lagging_session_ends() {
    let mut f = Fixture::with_hosts(2, true, 100);
    let before = f.state.applied();
    f.apply_schema(&schema(true, 200));
    let late = f.session(1);
    let mut ended = Vec::new();
    for _ in 0..100 {
        f.now += Ms(100);
        renew(&mut f, 1, before);
        let applied = f.state.applied();
        renew(&mut f, 2, applied);
        ended.extend(f.view.expired(f.now).into_iter().map(|end| end.session));
    }
    ended.dedup();
    assert_eq!(ended, [late]);
}

#[test]
fn hosts_behind() {
    let mut f = Fixture::with_hosts(2, true, 100);
    f.apply_schema(&schema(true, 200));
    let index = f.state.revision().index;
    let behind = |f: &Fixture| f.view.in_force(&f.state, index).behind;
    assert_eq!(behind(&f), ["host-1", "host-2"]);
    renew(&mut f, 1, index - 1);
    renew(&mut f, 2, index);
    assert_eq!(behind(&f), ["host-1"]);
    renew(&mut f, 1, index + 5);
    assert!(behind(&f).is_empty());
    renew(&mut f, 1, index - 1);
    assert!(
        behind(&f).is_empty(),
        "a late renewal does not lower the applied index"
    );
    f.elect();
    assert_eq!(
        behind(&f),
        ["host-1", "host-2"],
        "a new leader starts without reports"
    );
    let session = f.session(1);
    f.end(session, true);
    assert_eq!(behind(&f), ["host-2"], "an ended session does not count");
}

#[test]
fn changes_and_snapshot_give_the_same_state() {
    // A process that missed hundreds of changes must get the same state from the changes and from a snapshot.
    let mut f = Fixture::with_hosts(3, false, 100);
    let mut by_changes = f.state.clone();
    let missed_from = f.log.len();
    for round in 0..100_u32 {
        f.place();
        f.release("a", 1 + u64::from(round) % 3);
        f.apply_schema(&schema(false, 200 + round));
        let host = 1 + u64::from(round) % 3;
        let session = f.session(host);
        f.end(session, round % 2 == 0);
        let session = f.open(host, u64::from(round));
        f.set_servers(session, vec![server(host, round % 5 == 0)], &[]);
        f.now += Ms(100);
    }
    assert!(f.log.len() - missed_from > 400);
    for (index, change) in &f.log[missed_from..] {
        by_changes.apply(*index, change);
    }
    assert_eq!(by_changes, f.state);
    let by_snapshot = State::from_image(&f.state.to_image()).unwrap();
    assert_eq!(by_snapshot, f.state);
}
