//! A replicated state and its leader's view, for tests of decisions without I/O.

#![allow(dead_code)]

use clementinefold::{
    clock::Ms,
    control::{Applied, Owner, Revision, State},
    key::Key,
    lease::LeaderView,
    placement::assign_unowned,
    settings::LeaseSettings,
    wire::control::{
        change, command_answer, operator_command, AssignRange, Change, CommandAnswer, EndSession,
        OpenSession, OperatorCommand, ReleaseRange, Server, SetServers,
    },
};

/// The service of the fixtures. It has one range below "m" and one from "m" on.
pub const SERVICE: &str = "ledger";

/// Returns a schema with these properties of its service.
pub fn schema(checks_fencing: bool, max_deadline_ms: u32) -> String {
    format!(
        r#"{{"cluster": "test", "services": [{{"name": "ledger", "divided_by_key": true,
            "boundaries": ["m"], "checks_fencing": {checks_fencing}, "calls": [{{"name": "read",
            "method": "GET", "path": "/", "idempotent": true, "deadline_ms": 100,
            "max_deadline_ms": {max_deadline_ms}}}]}}]}}"#
    )
}

/// Returns the server of a host as it announces itself.
pub fn server(host: u64, checks_fencing: bool) -> Server {
    Server {
        service: SERVICE.into(),
        address: format!("10.0.0.{host}:1"),
        incarnation: format!("first-{host}"),
        slots: 4,
        connections: 10,
        checks_fencing,
        leaving: false,
        cold: false,
    }
}

/// The state, the view of its leader, and the leader's clock.
pub struct Fixture {
    pub state: State,
    pub view: LeaderView,
    pub now: Ms,
    /// Wall clock of the leader.
    pub wall: Ms,
    /// All committed changes with their log indexes.
    pub log: Vec<(u64, Change)>,
    commands: u64,
}

impl Fixture {
    pub fn new() -> Self {
        let state = State::default();
        let now = Ms(10_000);
        Self {
            view: LeaderView::new(LeaseSettings::default(), &state, now),
            state,
            now,
            wall: Ms(1_700_000_000_000),
            log: Vec::new(),
            commands: 0,
        }
    }

    /// Returns a fixture with a schema in force and with `hosts` hosts, numbered from 1, that have one server each.
    pub fn with_hosts(hosts: u64, checks_fencing: bool, max_deadline_ms: u32) -> Self {
        let mut f = Self::new();
        f.apply_schema(&schema(checks_fencing, max_deadline_ms));
        for host in 1..=hosts {
            let session = f.open(host, host);
            f.set_servers(session, vec![server(host, checks_fencing)], &[]);
        }
        f
    }

    pub fn commit(&mut self, body: change::Body) -> Applied {
        let change = Change {
            proposed_at_ms: self.wall.0,
            body: Some(body),
        };
        let index = self.state.applied() + 1;
        let applied = self.state.apply(index, &change);
        self.view.record(&self.state, index, &applied, self.now);
        self.log.push((index, change));
        applied
    }

    /// Replaces the leader's view with that of a new leader.
    pub fn elect(&mut self) {
        self.view = LeaderView::new(LeaseSettings::default(), &self.state, self.now);
    }

    /// Replaces the state with one that went through a snapshot.
    pub fn restore(&mut self) {
        self.state = State::from_image(&self.state.to_image()).unwrap();
    }

    pub fn open(&mut self, host: u64, process: u64) -> u64 {
        let open = OpenSession {
            host: format!("host-{host}"),
            process,
            ..OpenSession::default()
        };
        match self.commit(change::Body::OpenSession(open)) {
            Applied::SessionOpened(session) => session,
            _ => 0,
        }
    }

    pub fn end(&mut self, session: u64, idle: bool) -> Applied {
        self.commit(change::Body::EndSession(EndSession {
            session,
            reason: "test".into(),
            idle,
        }))
    }

    pub fn set_servers(&mut self, session: u64, servers: Vec<Server>, ended: &[&str]) {
        self.commit(change::Body::SetServers(SetServers {
            session,
            servers,
            ended: ended.iter().map(|e| (*e).to_owned()).collect(),
            number: self.state.applied(),
            process: 0,
        }));
    }

    /// Returns the session of a host.
    pub fn session(&self, host: u64) -> u64 {
        self.state.session_of_host(&format!("host-{host}")).unwrap().id
    }

    /// Gives the range that starts at `start` to the server of a host.
    pub fn assign(&mut self, start: &str, host: u64) -> Applied {
        let table = self.state.table(SERVICE).unwrap();
        let span = table.span(table.position(&key(start)));
        let assign = AssignRange {
            service: SERVICE.into(),
            start: span.start.to_bytes(),
            end: span.end.map(|e| e.to_bytes()),
            session: self.session(host),
            server: server(host, true).address,
            reason: "test".into(),
        };
        self.commit(change::Body::AssignRange(assign))
    }

    /// Assigns all ranges without an owner, except those with a takeover wait, and returns their number.
    pub fn place(&mut self) -> usize {
        let assignments = assign_unowned(&self.state);
        let allowed = self.view.allowed(&self.state, assignments, self.now);
        let count = allowed.len();
        for assignment in allowed {
            self.commit(change::Body::AssignRange(assignment));
        }
        count
    }

    /// Drops the tables of retired services that are not needed any more, and returns their number.
    pub fn forget(&mut self) -> usize {
        let forgettable = self.view.forgettable(&self.state, self.now);
        let count = forgettable.len();
        for forget in forgettable {
            self.commit(change::Body::ForgetService(forget));
        }
        count
    }

    /// Starts the planned move of the range that starts at `start` to the server of a host.
    pub fn release(&mut self, start: &str, to_host: u64) -> Applied {
        let table = self.state.table(SERVICE).unwrap();
        let span = table.span(table.position(&key(start)));
        let release = ReleaseRange {
            service: SERVICE.into(),
            start: span.start.to_bytes(),
            end: span.end.map(|e| e.to_bytes()),
            epoch: self.owner(start).map_or(0, |o| o.epoch),
            to_session: self.session(to_host),
            to_server: server(to_host, true).address,
            reason: "test".into(),
        };
        self.commit(change::Body::ReleaseRange(release))
    }

    pub fn owner(&self, key_text: &str) -> Option<Owner> {
        self.state
            .table(SERVICE)
            .unwrap()
            .range_of(&key(key_text))
            .owner
            .clone()
    }

    /// Returns a command with a new id, based on the revision in force.
    pub fn command(&mut self, body: operator_command::Body) -> OperatorCommand {
        self.commands += 1;
        OperatorCommand {
            command_id: format!("{}-c{}", self.wall.0, self.commands),
            base: Some(self.state.revision().to_wire()),
            body: Some(body),
        }
    }

    pub fn decide(&mut self, command: &OperatorCommand) -> CommandAnswer {
        match self.commit(change::Body::OperatorCommand(command.clone())) {
            Applied::Command(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    pub fn apply_schema(&mut self, json: &str) {
        let command = self.command(operator_command::Body::ApplySchema(json.into()));
        let answer = self.decide(&command);
        assert!(accepted(&answer).is_some(), "{answer:?}");
    }
}

/// Returns the revision of an answer that accepts.
pub fn accepted(answer: &CommandAnswer) -> Option<Revision> {
    match &answer.body {
        Some(command_answer::Body::Accepted(revision)) => Some(Revision::from_wire(revision)),
        _ => None,
    }
}

/// Returns the revision of an answer that reports a conflict.
pub fn conflict(answer: &CommandAnswer) -> Option<Revision> {
    match &answer.body {
        Some(command_answer::Body::Conflict(revision)) => Some(Revision::from_wire(revision)),
        _ => None,
    }
}

/// Returns the reason of an answer that refuses.
pub fn refused(answer: &CommandAnswer) -> Option<&str> {
    match &answer.body {
        Some(command_answer::Body::Refused(refused)) => Some(&refused.reason),
        _ => None,
    }
}

pub fn key(text: &str) -> Key {
    Key::new(text.as_bytes().to_vec())
}
