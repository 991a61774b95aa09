//! How long a range waits for its next owner, by how its last one was lost.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::clock::Ms,
    state_fixture::{schema, server, Fixture},
};

/// Longest deadline of the calls, in ms.
const DEADLINE: u32 = 500;
/// The wait for it on a leader's clock that may be fast, with a lease of 600 ms and a margin of 30 ms.
const STRETCHED: u64 = 500 * 630 / 570 + 1;

/// What happens to host 1, which owns the range of "a".
enum Loss {
    SessionEnds { idle: bool },
    ServerVanishes { ended: bool },
    ServerRestarts,
}

struct Case {
    name: &'static str,
    schema_checks: bool,
    server_checks: bool,
    loss: Loss,
    wait: u64,
}

fn case(name: &'static str, schema_checks: bool, server_checks: bool, loss: Loss, wait: u64) -> Case {
    Case {
        name,
        schema_checks,
        server_checks,
        loss,
        wait,
    }
}

/// Host 1 owns both ranges, and host 2 could take them.
fn owned(schema_checks: bool, server_checks: bool) -> Fixture {
    let mut f = Fixture::with_hosts(2, server_checks, DEADLINE);
    f.apply_schema(&schema(schema_checks, DEADLINE));
    f.assign("a", 1);
    f.assign("z", 1);
    f
}

fn lose(f: &mut Fixture, loss: &Loss, server_checks: bool) {
    let session = f.session(1);
    let lost = server(1, server_checks);
    match loss {
        Loss::SessionEnds { idle } => drop(f.end(session, *idle)),
        Loss::ServerVanishes { ended: false } => f.set_servers(session, Vec::new(), &[]),
        Loss::ServerVanishes { ended: true } => f.set_servers(session, Vec::new(), &[&lost.incarnation]),
        Loss::ServerRestarts => {
            let restarted = clementinefold::wire::control::Server {
                incarnation: "second-1".into(),
                ..lost
            };
            f.set_servers(session, vec![restarted], &[]);
        }
    }
}

#[test]
fn waits() {
    let ends = |idle| Loss::SessionEnds { idle };
    let vanishes = |ended| Loss::ServerVanishes { ended };
    let cases = [
        case("fenced, session ends", true, true, ends(false), 0),
        case("unfenced, session ends", false, false, ends(false), STRETCHED),
        case("schema says unfenced", false, true, ends(false), STRETCHED),
        case("server says unfenced", true, false, ends(false), STRETCHED),
        case(
            "unfenced, stopped with nothing running",
            false,
            false,
            ends(true),
            0,
        ),
        case(
            "unfenced, server silent",
            false,
            false,
            vanishes(false),
            STRETCHED,
        ),
        case("fenced, server silent", true, true, vanishes(false), 0),
        case("unfenced, server process ended", false, false, vanishes(true), 0),
        case(
            "unfenced, server process restarted",
            false,
            false,
            Loss::ServerRestarts,
            0,
        ),
    ];
    for case in cases {
        let mut f = owned(case.schema_checks, case.server_checks);
        lose(&mut f, &case.loss, case.server_checks);
        assert_eq!(f.owner("a"), None, "{}", case.name);
        let lost_at = f.now;
        while f.place() == 0 {
            f.now += Ms(1);
            assert!(f.now < lost_at + Ms(10_000), "{}: never taken over", case.name);
        }
        assert_eq!(f.now - lost_at, Ms(case.wait), "{}", case.name);
        assert!(f.owner("a").is_some() && f.owner("z").is_some(), "{}", case.name);
    }
}

#[test]
fn wait_survives() {
    // Name, what happens half-way, how long the whole wait is.
    type Event = fn(&mut Fixture);
    let cases: &[(&str, Event, u64)] = &[
        ("nothing", |_| {}, STRETCHED),
        ("a snapshot", Fixture::restore, STRETCHED),
        ("a new leader counts anew", Fixture::elect, 200 + STRETCHED),
        (
            "a schema with shorter deadlines",
            |f| f.apply_schema(&schema(false, 100)),
            STRETCHED,
        ),
    ];
    for (name, event, wait) in cases {
        let mut f = owned(false, false);
        let session = f.session(1);
        f.end(session, false);
        let lost_at = f.now;
        f.now += Ms(200);
        event(&mut f);
        while f.place() == 0 {
            f.now += Ms(1);
            assert!(f.now < lost_at + Ms(10_000), "{name}: never taken over");
        }
        assert_eq!(f.now - lost_at, Ms(*wait), "{name}");
    }
}

#[test]
fn shorter_deadline_before() {
    // Calls that were sent under the longer deadline may still run when the session ends.
    let mut f = owned(false, false);
    f.apply_schema(&schema(false, 100));
    let session = f.session(1);
    f.end(session, false);
    f.now += Ms(STRETCHED - 1);
    assert_eq!(f.place(), 0);
    f.now += Ms(1);
    assert_eq!(f.place(), 2);
}
