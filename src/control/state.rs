use {
    super::{
        answers::Answers, Departures, GuardTable, Owner, RangeTable, RetiredService, Revision, Server,
        Session, SuspectList, Vacancy,
    },
    crate::{
        call::Fingerprint,
        key::KeyRange,
        schema::{PackedText, Schema},
        wire::control::{
            change, operator_command, AssignRange, Change, CommandAnswer, Drain, EndSession, EvacuationImage,
            OpenSession, ServerLeft, SetServers, SplitStage, SplitState,
        },
    },
    std::sync::Arc,
};

/// The replicated state. All processes that apply the same changes hold equal states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(super) applied: u64,
    pub(super) revision: Revision,
    pub(super) schema: Arc<Schema>,
    pub(super) schema_text: PackedText,
    /// Version of the schema in force, or 0 if it has none.
    pub(super) schema_version: u64,
    /// The operator's source text of the schema in force.
    pub(super) schema_source: PackedText,
    pub(super) sessions: Vec<Session>,
    pub(super) range_tables: Vec<RangeTable>,
    /// Sorted by service and division.
    pub(super) retired_services: Vec<RetiredService>,
    pub(super) answers: Answers,
    pub(super) drains: Vec<Drain>,
    pub(super) guard_tables: Vec<GuardTable>,
    pub(super) suspects: SuspectList,
    pub(super) departures: Departures,
    /// Sorted by failure domain.
    pub(super) evacuations: Vec<EvacuationImage>,
    pub(super) split: SplitState,
}

/// The effect of a change on the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The session with this id was opened.
    SessionOpened(u64),
    /// The session with this id has ended, and its ranges have no owner.
    SessionEnded(u64),
    /// The servers of the session with this id were replaced.
    ServersSet(u64),
    /// A span has a new owner.
    RangeAssigned {
        /// Name of the service.
        service: String,
        /// Keys that were assigned.
        span: KeyRange,
        /// The new owner.
        owner: Owner,
    },
    /// The owner of a span was asked to give it up.
    ReleaseStarted {
        /// Name of the service.
        service: String,
        /// Keys that the owner is to give up.
        span: KeyRange,
    },
    /// The owner of a span has given it up.
    RangeReleased {
        /// Name of the service.
        service: String,
        /// Keys that the owner has given up.
        span: KeyRange,
    },
    /// Ranges with the same owner were joined.
    RangesJoined {
        /// Name of the service.
        service: String,
        /// Keys of the joined range.
        span: KeyRange,
    },
    /// The guard of a span is complete and its copy is in place, for the ownership with this epoch.
    GuardReady(u64),
    /// A crash was counted, and these requests are quarantined because of it.
    CrashCounted(Vec<Fingerprint>),
    /// Requests are no longer suspected.
    SuspectsCleared,
    /// The departure of a server was recorded, which the session with this id lists, if any does.
    ServerLeft(Option<u64>),
    /// The tables of the retired service with this name were dropped.
    ServiceForgotten(String),
    /// The split has entered this stage.
    SplitStaged(SplitStage),
    /// An operator's command was decided.
    Command(CommandAnswer),
    /// The patch is for another schema. Nothing was applied, and the whole state is needed.
    PatchBaseMismatch,
    /// The change no longer fits the state and did nothing, for this reason.
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

    /// Returns whether a schema is in force.
    pub fn has_schema(&self) -> bool {
        !self.schema_text.is_empty()
    }

    /// Returns the JSON text of the schema in force, which is empty if there is none.
    pub fn schema_text(&self) -> &PackedText {
        &self.schema_text
    }

    /// Returns the version of the schema in force, or 0 if it has none.
    pub fn schema_version(&self) -> u64 {
        self.schema_version
    }

    /// Returns the operator's source text of the schema in force, which is empty if there is none.
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
    pub fn range_tables(&self) -> &[RangeTable] {
        &self.range_tables
    }

    /// Returns the range table of a service. A service has one if it is divided by key or has calls that are not
    /// idempotent.
    pub fn table(&self, service: &str) -> Option<&RangeTable> {
        let found = self
            .range_tables
            .binary_search_by(|t| t.service.as_str().cmp(service));
        found.ok().map(|i| &self.range_tables[i])
    }

    /// Returns the requests that were running when a server crashed.
    pub fn suspects(&self) -> &SuspectList {
        &self.suspects
    }

    /// Returns the servers that have left.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the hosts and servers that are being drained.
    pub fn drains(&self) -> &[Drain] {
        &self.drains
    }

    /// Returns whether the server takes no new ranges, because it is leaving, being drained, or in a failure domain that
    /// is evacuated.
    pub fn is_drained(&self, session: &Session, server: &Server) -> bool {
        let covers =
            |d: &Drain| d.host == session.open.host && (d.server.is_empty() || d.server == server.address);
        server.leaving || self.drains.iter().any(covers) || self.is_evacuated(&session.open.failure_domain)
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
                Applied::CrashCounted(self.suspects.record_crash(crash, change.proposed_at_ms))
            }
            Some(change::Body::SuspectsCleared(cleared)) => {
                self.suspects.clear(&cleared.fingerprints, false);
                Applied::SuspectsCleared
            }
            Some(change::Body::ServerLeft(left)) => self.server_left(left, change.proposed_at_ms),
            Some(change::Body::OperatorCommand(command)) => {
                Applied::Command(self.operator_command(index, change.proposed_at_ms, command))
            }
            Some(change::Body::SplitStep(step)) => self.split_step(index, step),
            Some(change::Body::ForgetService(forget)) => self.forget_service(forget),
            None => Applied::Ignored("the change is empty"),
        }
    }

    /// Returns the takeover waits of the ranges that an assignment covers.
    pub fn vacancies_within(&self, assignment: &AssignRange) -> Vec<Vacancy> {
        let Some(table) = self.table(&assignment.service) else {
            return Vec::new();
        };
        let span = super::ownership_changes::key_range(&assignment.start, assignment.end.as_ref());
        let found = table.overlapping(&span).filter_map(|(_, range)| range.vacancy);
        found.collect()
    }

    /// Opens the session of a host. A host has at most one session: an older one must end first, after its lease.
    ///
    /// The process that holds the session and has lost the answer gets the same session again. So does a process at
    /// the same peer address that adopts its servers: the previous process has ended, since only one process at a
    /// time can listen at the address.
    fn open_session(&mut self, index: u64, open: &OpenSession) -> Applied {
        if !self.accepts_host(&open.host, &open.failure_domain) {
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

    /// Replaces the servers of a session, and removes the owner from the ranges of servers that are gone.
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
        for server in &mut servers {
            let host = &session.open.host;
            server.leaving |= self
                .departures
                .contains(host, server.instance(), server.started_ms());
        }
        servers.sort_by(|a, b| (&a.service, &a.address).cmp(&(&b.service, &b.address)));
        let old_servers = std::mem::replace(&mut self.sessions[position].servers, servers);
        for old in &old_servers {
            let new = self.sessions[position].server(&old.service, &old.address);
            let is_same_process = new.map(|s| s.incarnation == old.incarnation);
            // Another process can only take the address once the old one has ended.
            let has_ended = is_same_process == Some(false) || set.ended.contains(&old.incarnation);
            if is_same_process != Some(true) {
                self.vacate_server(index, set.session, old, has_ended);
            }
        }
        Applied::ServersSet(set.session)
    }

    /// Records that a server leaves, and marks it in the session of its host.
    fn server_left(&mut self, left: &ServerLeft, at_ms: u64) -> Applied {
        self.departures.record(left, at_ms);
        let Some(session) = self.sessions.iter_mut().find(|s| s.open.host == left.host) else {
            return Applied::ServerLeft(None);
        };
        let mut is_listed = false;
        for server in &mut session.servers {
            if server.instance() == left.instance && server.started_ms() <= left.started_ms {
                server.leaving = true;
                is_listed = true;
            }
        }
        Applied::ServerLeft(is_listed.then_some(session.id))
    }

    pub(super) fn session_position(&self, id: u64) -> Option<usize> {
        self.sessions.binary_search_by_key(&id, |s| s.id).ok()
    }

    pub(super) fn table_mut(&mut self, service: &str) -> Option<&mut RangeTable> {
        let found = self
            .range_tables
            .binary_search_by(|t| t.service.as_str().cmp(service));
        found.ok().map(|i| &mut self.range_tables[i])
    }
}
