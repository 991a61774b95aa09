//! Departures of servers in the replicated state outlive the session that lists the server.

use clementinefold::{
    control::{Applied, State},
    wire::control::{change, Change, EndSession, OpenSession, Server, ServerLeft, SetServers},
};

/// Time of the first change, in ms since the Unix epoch.
const START_MS: u64 = 1_000_000;
const HOST: &str = "host-1";

#[derive(Default)]
struct Fixture {
    state: State,
    now_ms: u64,
}

impl Fixture {
    /// Returns the state with a session that lists the server `a`, which was started at 50.
    fn new() -> (Self, u64) {
        let mut f = Self {
            now_ms: START_MS,
            ..Self::default()
        };
        let session = f.open_session();
        f.list(session, "a@50", 1);
        (f, session)
    }

    fn commit(&mut self, body: change::Body) -> Applied {
        let change = Change {
            proposed_at_ms: self.now_ms,
            body: Some(body),
        };
        self.state.apply(self.state.applied() + 1, &change)
    }

    fn open_session(&mut self) -> u64 {
        let open = OpenSession {
            host: HOST.into(),
            ..OpenSession::default()
        };
        match self.commit(change::Body::OpenSession(open)) {
            Applied::SessionOpened(session) => session,
            other => panic!("{other:?}"),
        }
    }

    /// Publishes one server that stays, as far as its daemon knows.
    fn list(&mut self, session: u64, incarnation: &str, number: u64) {
        let server = Server {
            service: "s".into(),
            address: "10.0.0.1:80".into(),
            incarnation: incarnation.into(),
            ..Server::default()
        };
        self.commit(change::Body::SetServers(SetServers {
            session,
            servers: vec![server],
            number,
            ..SetServers::default()
        }));
    }

    fn leave(&mut self, host: &str, instance: &str, started_ms: u64) -> Applied {
        self.commit(change::Body::ServerLeft(ServerLeft {
            host: host.into(),
            instance: instance.into(),
            started_ms,
        }))
    }

    fn is_leaving(&self, session: u64) -> bool {
        let session = self.state.session(session).unwrap();
        session.server("s", "10.0.0.1:80").unwrap().leaving
    }
}

#[test]
fn listed_server_leaves() {
    let (mut f, session) = Fixture::new();
    assert_eq!(f.leave(HOST, "a", 50), Applied::ServerLeft(Some(session)));
    assert!(f.is_leaving(session));
    // A list that was sent before the departure was known does not take it back.
    f.list(session, "a@50", 2);
    assert!(f.is_leaving(session));
}

#[test]
fn other_servers_stay() {
    for (host, instance, started_ms) in [("host-2", "a", 50), (HOST, "b", 50), (HOST, "a", 49)] {
        let (mut f, session) = Fixture::new();
        assert_eq!(f.leave(host, instance, started_ms), Applied::ServerLeft(None));
        assert!(!f.is_leaving(session), "{host} {instance} {started_ms}");
    }
}

/// Guards against a departure that is forgotten with the session of the daemon.
#[test]
fn outlives_session() {
    let (mut f, session) = Fixture::new();
    f.leave(HOST, "a", 50);
    f.commit(change::Body::EndSession(EndSession {
        session,
        ..EndSession::default()
    }));
    let next = f.open_session();
    f.list(next, "a@50", 1);
    assert!(f.is_leaving(next));
    f.list(next, "a@51", 2);
    assert!(!f.is_leaving(next), "a later process has the same name");
}

#[test]
fn image_keeps_departures() {
    let (mut f, _) = Fixture::new();
    f.leave(HOST, "a", 50);
    assert_eq!(State::from_image(&f.state.to_image()), Some(f.state));
}

#[test]
fn old_departures_end() {
    let (mut f, _) = Fixture::new();
    f.leave(HOST, "a", 50);
    f.now_ms += 119_999;
    f.leave(HOST, "b", 50);
    assert!(f.state.departures().contains(HOST, "a", 50));
    f.now_ms += 1;
    f.leave(HOST, "c", 50);
    assert!(!f.state.departures().contains(HOST, "a", 50));
    assert!(f.state.departures().contains(HOST, "b", 50));
}
