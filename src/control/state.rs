use {
    super::{
        answers::Answers, GuardTable, Owner, RangeTable, Revision, Server, Session, SuspectList, Vacancy,
    },
    crate::{
        call::Fingerprint,
        key::KeyRange,
        schema::{PackedText, Schema},
        wire::control::{
            change, operator_command, AssignRange, Change, CommandAnswer, Drain, EndSession, OpenSession,
            SetServers, SplitStage, SplitState,
        },
    },
    std::sync::Arc,
};

/// The replicated state. Every process that applies the same changes holds the same state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(super) applied: u64,
    pub(super) revision: Revision,
    pub(super) schema: Arc<Schema>,
    pub(super) schema_text: PackedText,
    /// Version of the schema in force. 0: it came without one.
    pub(super) schema_version: u64,
    /// What the operator wrote for the schema in force.
    pub(super) schema_source: PackedText,
    pub(super) sessions: Vec<Session>,
    pub(super) services: Vec<RangeTable>,
    pub(super) answers: Answers,
    pub(super) drains: Vec<Drain>,
    pub(super) guards: Vec<GuardTable>,
    pub(super) suspects: SuspectList,
    pub(super) split: SplitState,
}

/// What a change did to the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A session was opened.
    SessionOpened(u64),
    /// A session has ended; its ranges have no owner.
    SessionEnded(u64),
    /// The servers of a session were replaced.
    ServersSet(u64),
    /// A span has a new owner.
    RangeAssigned {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
        /// The new owner.
        owner: Owner,
    },
    /// The owner of a span was asked to give it up.
    ReleaseStarted {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
    },
    /// The owner of a span has given it up.
    RangeReleased {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
    },
    /// Ranges with the same owner were joined.
    RangesJoined {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
    },
    /// The guard of a span is whole, and its copy is in place.
    GuardReady(u64),
    /// A crash was counted; these requests are quarantined by it.
    CrashCounted(Vec<Fingerprint>),
    /// Requests are no longer suspected.
    SuspectsCleared,
    /// The split has come to a further stage.
    SplitStaged(SplitStage),
    /// An operator's command was decided.
    Command(CommandAnswer),
    /// The patch of the schema is for another one. Nothing was applied: the whole state is needed.
    PatchMisfit,
    /// The change no longer fits the state and did nothing.
    Ignored(&'static str),
}

impl State {
    /// Returns the log index of the last applied change.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the schema in force.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// Tells if a schema is in force.
    pub fn has_schema(&self) -> bool {
        !self.schema_text.is_empty()
    }

    /// Returns the JSON text of the schema in force; empty while there is none.
    pub fn schema_text(&self) -> &PackedText {
        &self.schema_text
    }

    /// Returns the version of the schema in force. 0: it came without one.
    pub fn schema_version(&self) -> u64 {
        self.schema_version
    }

    /// Returns what the operator wrote for the schema in force; empty while there is none.
    pub fn schema_source(&self) -> &PackedText {
        &self.schema_source
    }

    /// Returns all live sessions, sorted by id.
    pub fn sessions(&self) -> &[Session] {
        &self.sessions
    }

    /// Returns the live session with this id.
    pub fn session(&self, id: u64) -> Option<&Session> {
        self.session_position(id).map(|i| &self.sessions[i])
    }

    /// Returns the range tables, sorted by service.
    pub fn services(&self) -> &[RangeTable] {
        &self.services
    }

    /// Returns the range table of a service that is divided by key.
    pub fn table(&self, service: &str) -> Option<&RangeTable> {
        let found = self
            .services
            .binary_search_by(|t| t.service.as_str().cmp(service));
        found.ok().map(|i| &self.services[i])
    }

    /// Returns the requests that were running when a server crashed.
    pub fn suspects(&self) -> &SuspectList {
        &self.suspects
    }

    /// Returns the hosts and servers that are being drained.
    pub fn drains(&self) -> &[Drain] {
        &self.drains
    }

    /// Tells if the server takes no new ranges.
    pub fn is_drained(&self, session: &Session, server: &Server) -> bool {
        let covers =
            |d: &Drain| d.host == session.open.host && (d.server.is_empty() || d.server == server.address);
        server.leaving || self.drains.iter().any(covers)
    }

    /// Applies the change committed at `index`. A change that no longer fits the state does nothing.
    pub fn apply(&mut self, index: u64, change: &Change) -> Applied {
        if let Some(change::Body::OperatorCommand(command)) = &change.body {
            if let Some(operator_command::Body::PatchSchema(patch)) = &command.body {
                return self.apply_patch(index, change.proposed_at_ms, command, patch);
            }
        }
        self.applied = index;
        match &change.body {
            Some(change::Body::OpenSession(open)) => self.open_session(index, open),
            Some(change::Body::EndSession(end)) => self.end_session(index, end),
            Some(change::Body::SetServers(set)) => self.set_servers(index, set),
            Some(change::Body::AssignRange(assign)) => self.assign_range(index, assign),
            Some(change::Body::ReleaseRange(release)) => self.release_range(index, release),
            Some(change::Body::RangeReleased(released)) => self.range_released(released),
            Some(change::Body::JoinRanges(join)) => self.join_ranges(join),
            Some(change::Body::GuardReady(ready)) => self.guard_ready(ready),
            Some(change::Body::ServerCrashed(crash)) => {
                Applied::CrashCounted(self.suspects.crashed(crash, change.proposed_at_ms))
            }
            Some(change::Body::SuspectsCleared(cleared)) => {
                self.suspects.clear(&cleared.fingerprints, false);
                Applied::SuspectsCleared
            }
            Some(change::Body::OperatorCommand(command)) => {
                Applied::Command(self.operator_command(index, change.proposed_at_ms, command))
            }
            Some(change::Body::SplitStep(step)) => self.split_step(index, step),
            None => Applied::Ignored("the change is empty"),
        }
    }

    /// Returns the waits of the ranges that an assignment covers.
    pub fn vacancies_within(&self, assignment: &AssignRange) -> Vec<Vacancy> {
        let Some(table) = self.table(&assignment.service) else {
            return Vec::new();
        };
        let span = super::ownership_changes::key_range(&assignment.start, assignment.end.as_ref());
        let found = table.within(&span).filter_map(|(_, range)| range.vacancy);
        found.collect()
    }

    /// A host has one session at most: the older one has to end first, after its lease. The process that
    /// holds it and lost the answer gets the same session again. So does a process at the same peer address that
    /// adopts its servers: the one before it has ended, since one process at a time can listen there.
    fn open_session(&mut self, index: u64, open: &OpenSession) -> Applied {
        if !self.is_host_kept(&open.host, &open.failure_domain) {
            return Applied::Ignored("the host belongs to the other half");
        }
        if let Some(session) = self.sessions.iter_mut().find(|s| s.open.host == open.host) {
            if session.open.process == open.process {
                return Applied::SessionOpened(session.id);
            }
            if !open.adopts || session.open.peer_address != open.peer_address {
                return Applied::Ignored("the host has a session");
            }
            session.open = open.clone();
            session.servers_number = 0;
            return Applied::SessionOpened(session.id);
        }
        self.sessions.push(Session {
            id: index,
            open: open.clone(),
            servers: Vec::new(),
            servers_number: 0,
        });
        Applied::SessionOpened(index)
    }

    /// Returns the live session of a host.
    pub fn session_of_host(&self, host: &str) -> Option<&Session> {
        self.sessions.iter().find(|s| s.open.host == host)
    }

    fn end_session(&mut self, index: u64, end: &EndSession) -> Applied {
        let Some(position) = self.session_position(end.session) else {
            return Applied::Ignored("the session has already ended");
        };
        let session = self.sessions.remove(position);
        self.vacate_session(index, &session, end.idle);
        Applied::SessionEnded(end.session)
    }

    fn set_servers(&mut self, index: u64, set: &SetServers) -> Applied {
        let Some(position) = self.session_position(set.session) else {
            return Applied::Ignored("the session has ended");
        };
        let session = &mut self.sessions[position];
        if set.process != 0 && set.process != session.open.process {
            return Applied::Ignored("another process has taken the session over");
        }
        if set.number < session.servers_number {
            return Applied::Ignored("a later list of servers is known");
        }
        session.servers_number = set.number;
        let mut servers = set.servers.clone();
        servers.sort_by(|a, b| (&a.service, &a.address).cmp(&(&b.service, &b.address)));
        let before = std::mem::replace(&mut self.sessions[position].servers, servers);
        for old in &before {
            let kept = self.sessions[position].server(&old.service, &old.address);
            let kept = kept.map(|s| s.incarnation == old.incarnation);
            // Another process could only take the address after the old one had ended.
            let ended = kept == Some(false) || set.ended.contains(&old.incarnation);
            if kept != Some(true) {
                self.vacate_server(index, set.session, old, ended);
            }
        }
        Applied::ServersSet(set.session)
    }

    pub(super) fn session_position(&self, id: u64) -> Option<usize> {
        self.sessions.binary_search_by_key(&id, |s| s.id).ok()
    }

    pub(super) fn table_mut(&mut self, service: &str) -> Option<&mut RangeTable> {
        let found = self
            .services
            .binary_search_by(|t| t.service.as_str().cmp(service));
        found.ok().map(|i| &mut self.services[i])
    }
}
