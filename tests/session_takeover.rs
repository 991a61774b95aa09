//! A restarted daemon takes over the session, the servers and the ranges of its previous process.

use clementinefold::{
    control::{Applied, State},
    wire::control::{change, Change, OpenSession, Server, SetServers},
};

const OLD_PROCESS: u64 = 11;
const NEW_PROCESS: u64 = 12;

struct Fixture {
    state: State,
}

impl Fixture {
    /// Returns the state with a host whose first process has a session and a server.
    fn new() -> Self {
        let mut f = Self {
            state: State::default(),
        };
        f.open(OLD_PROCESS, "10.0.0.1:7000", true);
        f.set_servers(OLD_PROCESS, 5, "a");
        f
    }

    fn commit(&mut self, body: change::Body) -> Applied {
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        self.state.apply(self.state.applied() + 1, &change)
    }

    fn open(&mut self, process: u64, peer_address: &str, adopts: bool) -> Applied {
        self.commit(change::Body::OpenSession(OpenSession {
            host: "host-1".into(),
            process,
            peer_address: peer_address.into(),
            adopts,
            ..OpenSession::default()
        }))
    }

    fn set_servers(&mut self, process: u64, number: u64, incarnation: &str) -> Applied {
        let server = Server {
            service: "s".into(),
            address: "10.0.0.1:80".into(),
            incarnation: incarnation.into(),
            ..Server::default()
        };
        self.commit(change::Body::SetServers(SetServers {
            session: 1,
            servers: vec![server],
            ended: Vec::new(),
            number,
            process,
        }))
    }

    fn incarnation(&self) -> &str {
        let session = self.state.session(1).unwrap();
        &session.server("s", "10.0.0.1:80").unwrap().incarnation
    }
}

#[test]
fn new_process_gets_the_same_session() {
    let mut f = Fixture::new();
    assert_eq!(
        f.open(NEW_PROCESS, "10.0.0.1:7000", true),
        Applied::SessionOpened(1)
    );
    assert_eq!(f.state.sessions().len(), 1);
    assert_eq!(f.incarnation(), "a", "the session keeps its servers");
}

/// A server list from the ended process may still arrive, with a higher number than the lists of the new process.
#[test]
fn late_server_list_is_ignored() {
    let mut f = Fixture::new();
    f.open(NEW_PROCESS, "10.0.0.1:7000", true);
    assert!(matches!(
        f.set_servers(OLD_PROCESS, 99, "old"),
        Applied::Ignored(_)
    ));
    assert_eq!(f.set_servers(NEW_PROCESS, 1, "b"), Applied::ServersSet(1));
    assert_eq!(f.incarnation(), "b");
}

#[test]
fn other_processes_are_refused() {
    let cases = [("10.0.0.2:7000", true), ("10.0.0.1:7000", false)];
    for (address, adopts) in cases {
        let mut f = Fixture::new();
        assert!(
            matches!(f.open(NEW_PROCESS, address, adopts), Applied::Ignored(_)),
            "{address} {adopts}"
        );
        assert_eq!(f.state.session(1).unwrap().open.process, OLD_PROCESS);
    }
}

/// A renewal of the ended process must not keep the session of the new one alive.
#[test]
fn only_the_new_process_renews() {
    use clementinefold::{clock::Ms, lease::LeaderView, settings::LeaseSettings, wire::peer::Renew};
    let mut f = Fixture::new();
    f.open(NEW_PROCESS, "10.0.0.1:7000", true);
    let mut view = LeaderView::new(LeaseSettings::default(), &f.state, Ms(0));
    for (process, renewed) in [(OLD_PROCESS, false), (NEW_PROCESS, true), (0, true)] {
        let renew = Renew {
            session: 1,
            applied: f.state.applied(),
            process,
            ..Renew::default()
        };
        assert_eq!(view.renew(&f.state, &renew, Ms(1)).renewed, renewed, "{process}");
    }
}
