use clementinefold::{
    clock::Ms,
    control::{Applied, State},
    key::Key,
    lease::LeaderView,
    placement::assign_unowned,
    settings::LeaseSettings,
    wire::{
        control::{
            change, operator_command, Change, Committed, OpenSession, OperatorCommand, ReleaseRange,
            SetServers,
        },
        peer::{Renew, RenewAnswer},
    },
};

/// The leader, with the replicated state that all leaders share.
pub struct LeaderActor {
    pub state: State,
    pub log: Vec<Committed>,
    view: LeaderView,
    timing: LeaseSettings,
}

impl LeaderActor {
    pub fn new(timing: LeaseSettings, schema: &str, now: Ms) -> Self {
        let state = State::default();
        let mut leader = Self {
            view: LeaderView::new(timing, &state, now),
            state,
            log: Vec::new(),
            timing,
        };
        leader.apply_schema(schema, now);
        assert_eq!(leader.state.range_tables().len(), 1);
        leader
    }

    pub fn apply_schema(&mut self, schema: &str, now: Ms) {
        let command = OperatorCommand {
            command_id: format!("1-{}", self.state.applied()),
            base: Some(self.state.revision().to_wire()),
            body: Some(operator_command::Body::ApplySchema(schema.into())),
        };
        let applied = self.commit(change::Body::OperatorCommand(command), now);
        assert_eq!(self.state.revision().index, self.state.applied(), "{applied:?}");
    }

    /// Replaces the leader by a new one, which knows only the replicated state.
    pub fn elect(&mut self, now: Ms) {
        self.view = LeaderView::new(self.timing, &self.state, now);
    }

    pub fn commit(&mut self, body: change::Body, now: Ms) -> Applied {
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        let index = self.state.applied() + 1;
        let applied = self.state.apply(index, &change);
        self.view.record(&self.state, index, &applied, now);
        self.log.push(Committed {
            index,
            change: Some(change),
        });
        applied
    }

    pub fn renew(&mut self, renew: &Renew, now: Ms) -> RenewAnswer {
        self.view.renew(&self.state, renew, now)
    }

    pub fn open(&mut self, host: usize, process: u64, now: Ms) -> u64 {
        let open = OpenSession {
            host: format!("host-{host}"),
            process,
            ..OpenSession::default()
        };
        match self.commit(change::Body::OpenSession(open), now) {
            Applied::SessionOpened(session) => session,
            _ => 0,
        }
    }

    pub fn set_servers(&mut self, set: SetServers, now: Ms) {
        self.commit(change::Body::SetServers(set), now);
    }

    /// Ends sessions whose leases have ended, and assigns ranges without an owner to servers.
    pub fn tick(&mut self, now: Ms) {
        for end in self.view.expired(now) {
            self.commit(change::Body::EndSession(end), now);
        }
        let assignments = assign_unowned(&self.state);
        for assignment in self.view.allowed(&self.state, assignments, now) {
            self.commit(change::Body::AssignRange(assignment), now);
        }
    }

    /// Starts the planned move of the range of `key` to the server of another session.
    pub fn start_move(&mut self, key: &Key, pick: usize, now: Ms) {
        let Some(table) = self.state.range_tables().first() else {
            return;
        };
        let position = table.position(key);
        let span = table.span(position);
        let Some(owner) = table.ranges()[position].owner.clone() else {
            return;
        };
        let others = self.state.sessions().iter().filter(|s| s.id != owner.session);
        let targets: Vec<_> = others
            .flat_map(|s| s.servers.iter().map(|server| (s.id, server.address.clone())))
            .collect();
        if targets.is_empty() {
            return;
        }
        let (to_session, to_server) = targets[pick % targets.len()].clone();
        let release = ReleaseRange {
            service: table.service.clone(),
            start: span.start.to_bytes(),
            end: span.end.map(|e| e.to_bytes()),
            epoch: owner.epoch,
            to_session,
            to_server,
            reason: "test".into(),
        };
        self.commit(change::Body::ReleaseRange(release), now);
    }

    /// Returns the changes after log index `applied`.
    pub fn changes_after(&self, applied: u64) -> Vec<Committed> {
        self.log[applied as usize..].to_vec()
    }
}
