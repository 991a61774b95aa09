//! How long a range waits for its next owner, depending on how the last owner was lost.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::clock::Ms,
    state_fixture::{schema, server, Fixture},
};

/// Longest deadline of the calls.
const DEADLINE_MS: u32 = 500;
/// Time after which the deadline has certainly passed, on a leader's clock that may be fast. The lease is 600 ms, the
/// drift margin 30 ms.
const WAIT_MS: u64 = 500 * 630 / 570 + 1;

/// How host 1 loses its ranges.
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
    wait_ms: u64,
}

fn case(name: &'static str, schema_checks: bool, server_checks: bool, loss: Loss, wait_ms: u64) -> Case {
    Case {
        name,
        schema_checks,
        server_checks,
        loss,
        wait_ms,
    }
}

/// Returns a fixture in which host 1 owns both ranges and host 2 can take them.
fn ranges_on_host_1(schema_checks: bool, server_checks: bool) -> Fixture {
    let mut f = Fixture::with_hosts(2, server_checks, DEADLINE_MS);
    f.apply_schema(&schema(schema_checks, DEADLINE_MS));
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
fn wait_by_kind_of_loss() {
    let ends = |idle| Loss::SessionEnds { idle };
    let vanishes = |ended| Loss::ServerVanishes { ended };
    let cases = [
        case("fenced, session ends", true, true, ends(false), 0),
        case("unfenced, session ends", false, false, ends(false), WAIT_MS),
        case("schema says unfenced", false, true, ends(false), WAIT_MS),
        case("server says unfenced", true, false, ends(false), WAIT_MS),
        case(
            "unfenced, stopped with nothing running",
            false,
            false,
            ends(true),
            0,
        ),
        case("unfenced, server silent", false, false, vanishes(false), WAIT_MS),
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
        let mut f = ranges_on_host_1(case.schema_checks, case.server_checks);
        lose(&mut f, &case.loss, case.server_checks);
        assert_eq!(f.owner("a"), None, "{}", case.name);
        let lost_at = f.now;
        while f.place() == 0 {
            f.now += Ms(1);
            assert!(f.now < lost_at + Ms(10_000), "{}: never taken over", case.name);
        }
        assert_eq!(f.now - lost_at, Ms(case.wait_ms), "{}", case.name);
        assert!(f.owner("a").is_some() && f.owner("z").is_some(), "{}", case.name);
    }
}

#[test]
fn wait_after_an_event() {
    // Name, the event 200 ms into the wait, and the length of the whole wait in ms.
    type Event = fn(&mut Fixture);
    let cases: &[(&str, Event, u64)] = &[
        ("nothing", |_| {}, WAIT_MS),
        ("a snapshot", Fixture::restore, WAIT_MS),
        ("a new leader restarts the wait", Fixture::elect, 200 + WAIT_MS),
        (
            "a schema with shorter deadlines",
            |f| f.apply_schema(&schema(false, 100)),
            WAIT_MS,
        ),
    ];
    for (name, event, wait_ms) in cases {
        let mut f = ranges_on_host_1(false, false);
        let session = f.session(1);
        f.end(session, false);
        let lost_at = f.now;
        f.now += Ms(200);
        event(&mut f);
        while f.place() == 0 {
            f.now += Ms(1);
            assert!(f.now < lost_at + Ms(10_000), "{name}: never taken over");
        }
        assert_eq!(f.now - lost_at, Ms(*wait_ms), "{name}");
    }
}

#[test]
fn longest_earlier_deadline_counts() {
    // Calls that were sent under the longer deadline may still be running when the session ends.
    let mut f = ranges_on_host_1(false, false);
    f.apply_schema(&schema(false, 100));
    let session = f.session(1);
    f.end(session, false);
    f.now += Ms(WAIT_MS - 1);
    assert_eq!(f.place(), 0);
    f.now += Ms(1);
    assert_eq!(f.place(), 2);
}
