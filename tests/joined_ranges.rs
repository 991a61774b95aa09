//! Only adjacent ranges with the same owner are joined, and only while none of them moves.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        control::Applied,
        key::Key,
        wire::control::{change, JoinRanges, ReleaseRange},
    },
    state_fixture::{schema, server, Fixture, SERVICE},
};

/// Returns a fixture with the ranges below "m" and from "m" on, owned by the first and the second given host.
fn owned_by(hosts: [u64; 2]) -> Fixture {
    let mut f = Fixture::new();
    f.apply_schema(&schema(true, 1000));
    for host in [1, 2] {
        let session = f.open(host, host);
        f.set_servers(session, vec![server(host, true)], &[]);
    }
    f.assign("", hosts[0]);
    f.assign("m", hosts[1]);
    f
}

fn join(f: &mut Fixture, start: &str, end: Option<&str>) -> Applied {
    f.commit(change::Body::JoinRanges(JoinRanges {
        service: SERVICE.into(),
        start: start.as_bytes().to_vec().into(),
        end: end.map(|end| end.as_bytes().to_vec().into()),
    }))
}

fn epochs(f: &Fixture) -> Vec<u64> {
    let ranges = f.state.table(SERVICE).unwrap().ranges();
    ranges
        .iter()
        .filter_map(|r| r.owner.as_ref())
        .map(|o| o.epoch)
        .collect()
}

/// The highest epoch of the parts is above every epoch that another server had for any of the keys.
#[test]
fn joined_range_gets_highest_epoch() {
    let mut f = owned_by([1, 1]);
    let before = epochs(&f);
    assert!(matches!(join(&mut f, "", None), Applied::RangesJoined { .. }));
    assert_eq!(epochs(&f), [*before.iter().max().unwrap()]);
    let table = f.state.table(SERVICE).unwrap();
    assert_eq!(table.position(&Key::new("z")), 0);
}

#[test]
fn refused_joins() {
    let mut f = owned_by([1, 2]);
    assert!(
        matches!(join(&mut f, "", None), Applied::Ignored(_)),
        "the ranges have two owners"
    );
    let mut f = owned_by([1, 1]);
    for (start, end) in [("a", None), ("", Some("z"))] {
        assert!(
            matches!(join(&mut f, start, end), Applied::Ignored(_)),
            "{start:?} {end:?}"
        );
    }
    let release = ReleaseRange {
        service: SERVICE.into(),
        epoch: epochs(&f)[0],
        end: Some("m".into()),
        to_session: f.session(2),
        to_server: server(2, true).address,
        ..ReleaseRange::default()
    };
    assert!(matches!(
        f.commit(change::Body::ReleaseRange(release)),
        Applied::ReleaseStarted { .. }
    ));
    assert!(
        matches!(join(&mut f, "", None), Applied::Ignored(_)),
        "one of the ranges moves"
    );
    assert_eq!(epochs(&f).len(), 2);
}
