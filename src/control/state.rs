use {
    super::{id_boundaries, GuardTable, Owner, RangeTable, Revision, Server, Session, SuspectList},
    crate::{
        call::Fingerprint,
        clock::Ms,
        key::{Key, KeyRange},
        schema::{Schema, Service},
        wire::control::{
            change, command_answer, operator_command, AnsweredCommand, AssignRange, Change, CommandAnswer,
            Drain, EndSession, GuardReady, OpenSession, OperatorCommand, RangeReleased, Refused,
            ReleaseRange, SetServers,
        },
    },
    prost::Message,
    std::sync::Arc,
};

/// Time that the answer to an operator's command is kept for resends.
const ANSWER_RETENTION: Ms = Ms(24 * 3_600_000);
/// Most answers to operators' commands that are kept.
const ANSWERS_MAX: usize = 20_000;

/// The replicated state. Every process that applies the same changes holds the same state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(super) applied: u64,
    pub(super) revision: Revision,
    pub(super) schema: Arc<Schema>,
    pub(super) schema_json: String,
    pub(super) sessions: Vec<Session>,
    pub(super) services: Vec<RangeTable>,
    pub(super) answered: Vec<AnsweredCommand>,
    pub(super) drains: Vec<Drain>,
    pub(super) guards: Vec<GuardTable>,
    pub(super) suspects: SuspectList,
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
        /// First key of the span.
        start: Key,
    },
    /// The owner of a span has given it up.
    RangeReleased {
        /// Name of the service.
        service: String,
        /// First key of the span.
        start: Key,
    },
    /// The guard of a span is whole, and its copy is in place.
    GuardReady(u64),
    /// A crash was counted; these requests are quarantined by it.
    CrashCounted(Vec<Fingerprint>),
    /// Requests are no longer suspected.
    SuspectsCleared,
    /// An operator's command was decided.
    Command(CommandAnswer),
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

    /// Returns the JSON text of the schema in force; empty while there is none.
    pub fn schema_json(&self) -> &str {
        &self.schema_json
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

    /// Returns where the guards of a service are.
    pub fn guard_table(&self, service: &str) -> Option<&GuardTable> {
        self.guards.iter().find(|table| table.service == service)
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
        self.applied = index;
        match &change.body {
            Some(change::Body::OpenSession(open)) => self.open_session(index, open),
            Some(change::Body::EndSession(end)) => self.end_session(end),
            Some(change::Body::SetServers(set)) => self.set_servers(set),
            Some(change::Body::AssignRange(assign)) => self.assign_range(index, assign),
            Some(change::Body::ReleaseRange(release)) => self.release_range(release),
            Some(change::Body::RangeReleased(released)) => self.range_released(released),
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
            None => Applied::Ignored("the change is empty"),
        }
    }

    /// A host has one session at most: the older one has to end first, after its lease.
    fn open_session(&mut self, index: u64, open: &OpenSession) -> Applied {
        if self.sessions.iter().any(|s| s.open.host == open.host) {
            return Applied::Ignored("the host has a session");
        }
        self.sessions.push(Session {
            id: index,
            open: open.clone(),
            servers: Vec::new(),
        });
        Applied::SessionOpened(index)
    }

    fn end_session(&mut self, end: &EndSession) -> Applied {
        if !self.remove_session(end.session) {
            return Applied::Ignored("the session has already ended");
        }
        Applied::SessionEnded(end.session)
    }

    fn remove_session(&mut self, id: u64) -> bool {
        let Some(position) = self.session_position(id) else {
            return false;
        };
        self.sessions.remove(position);
        for table in &mut self.services {
            table.vacate_session(id);
        }
        true
    }

    fn set_servers(&mut self, set: &SetServers) -> Applied {
        let Some(position) = self.session_position(set.session) else {
            return Applied::Ignored("the session has ended");
        };
        let mut servers = set.servers.clone();
        servers.sort_by(|a, b| (&a.service, &a.address).cmp(&(&b.service, &b.address)));
        let session = &mut self.sessions[position];
        let before = std::mem::replace(&mut session.servers, servers);
        let after = session.clone();
        for old in &before {
            let kept = after.server(&old.service, &old.address);
            if kept.is_none_or(|s| s.incarnation != old.incarnation) {
                self.vacate_server(set.session, old);
            }
        }
        Applied::ServersSet(set.session)
    }

    /// Takes all ranges from a server that is gone or was started anew.
    fn vacate_server(&mut self, session: u64, server: &Server) {
        let Some(table) = self.services.iter_mut().find(|t| t.service == server.service) else {
            return;
        };
        for position in 0..table.ranges().len() {
            let range = table.range_mut(position);
            let owned = |o: &Owner| o.session == session && o.server == server.address;
            if range.owner.as_ref().is_some_and(owned) {
                range.owner = None;
                range.release = None;
            }
        }
    }

    /// A span can only be given to a live server, and only while no part of it has an owner.
    fn assign_range(&mut self, index: u64, assign: &AssignRange) -> Applied {
        let server_lives = self
            .session(assign.session)
            .is_some_and(|s| s.server(&assign.service, &assign.server).is_some());
        if !server_lives {
            return Applied::Ignored("the server is gone");
        }
        let Some(table) = self.table_mut(&assign.service) else {
            return Applied::Ignored("the service is gone");
        };
        let span = key_range(&assign.start, assign.end.as_ref());
        if span.is_empty() || has_owner_within(table, &span) {
            return Applied::Ignored("the span has an owner");
        }
        let owner = Owner {
            session: assign.session,
            server: assign.server.clone(),
            epoch: index,
        };
        let positions = table.carve(&span);
        table.join(positions.clone());
        let range = table.range_mut(positions.start);
        range.owner = Some(owner.clone());
        range.release = None;
        Applied::RangeAssigned {
            service: assign.service.clone(),
            span,
            owner,
        }
    }

    fn release_range(&mut self, release: &ReleaseRange) -> Applied {
        let Some(table) = self.table_mut(&release.service) else {
            return Applied::Ignored("the service is gone");
        };
        let span = key_range(&release.start, release.end.as_ref());
        let position = table.position(&span.start);
        let owned = table.ranges()[position]
            .owner
            .as_ref()
            .is_some_and(|o| o.epoch == release.epoch);
        let within = {
            let whole = table.span(position);
            let ends_within = match (&span.end, &whole.end) {
                (_, None) => true,
                (Some(end), Some(whole_end)) => end <= whole_end,
                (None, Some(_)) => false,
            };
            whole.contains(&span.start) && ends_within
        };
        if span.is_empty() || !owned || !within {
            return Applied::Ignored("the owner has changed");
        }
        let positions = table.carve(&span);
        table.range_mut(positions.start).release = Some(release.clone());
        Applied::ReleaseStarted {
            service: release.service.clone(),
            start: span.start,
        }
    }

    fn range_released(&mut self, released: &RangeReleased) -> Applied {
        let Some(table) = self.table_mut(&released.service) else {
            return Applied::Ignored("the service is gone");
        };
        let start = Key::new(released.start.clone());
        let position = table.position(&start);
        let range = table.range_mut(position);
        let owned = range.owner.as_ref().is_some_and(|o| o.epoch == released.epoch);
        if range.start != start || !owned || range.release.is_none() {
            return Applied::Ignored("the owner has changed");
        }
        range.owner = None;
        Applied::RangeReleased {
            service: released.service.clone(),
            start,
        }
    }

    /// Only the present owner of the whole span can hold its guard.
    fn guard_ready(&mut self, ready: &GuardReady) -> Applied {
        let span = key_range(&ready.start, ready.end.as_ref());
        let Some(table) = self.table(&ready.service) else {
            return Applied::Ignored("the service is gone");
        };
        let owned = table
            .owners_within(&span)
            .all(|o| o.is_some_and(|o| o.epoch == ready.epoch));
        if span.is_empty() || !owned {
            return Applied::Ignored("the owner has changed");
        }
        if let Some(guards) = self.guards.iter_mut().find(|g| g.service == ready.service) {
            guards.set(ready);
        }
        Applied::GuardReady(ready.epoch)
    }

    /// Decides a command once: a resend gets the recorded answer.
    fn operator_command(&mut self, index: u64, at_ms: u64, command: &OperatorCommand) -> CommandAnswer {
        if let Some(known) = self.answered.iter().find(|a| a.command_id == command.command_id) {
            return known.answer.clone().unwrap_or_default();
        }
        let answer = self.decide_command(index, command);
        let oldest_kept = Ms(at_ms) - ANSWER_RETENTION;
        self.answered.retain(|a| Ms(a.at_ms) >= oldest_kept);
        if self.answered.len() == ANSWERS_MAX {
            self.answered.remove(0);
        }
        self.answered.push(AnsweredCommand {
            command_id: command.command_id.clone(),
            answer: Some(answer.clone()),
            at_ms,
        });
        answer
    }

    fn decide_command(&mut self, index: u64, command: &OperatorCommand) -> CommandAnswer {
        let base = command.base.as_ref().map(Revision::from_wire).unwrap_or_default();
        if base != self.revision {
            return answer(command_answer::Body::Conflict(self.revision.to_wire()));
        }
        let result = match &command.body {
            Some(operator_command::Body::ApplySchema(json)) => self.apply_schema(json),
            Some(operator_command::Body::Drain(drain)) => self.add_drain(drain),
            Some(operator_command::Body::Undrain(drain)) => self.remove_drain(drain),
            Some(operator_command::Body::ReleaseQuarantine(fingerprint)) => {
                self.release_quarantine(fingerprint)
            }
            Some(operator_command::Body::Move(_)) | None => Err(refused("the command is not known", "")),
        };
        match result {
            Ok(()) => {
                self.revision = self.revision.next(index, &command.encode_to_vec());
                answer(command_answer::Body::Accepted(self.revision.to_wire()))
            }
            Err(refused) => answer(command_answer::Body::Refused(refused)),
        }
    }

    /// Ranges of services that stay divided by key keep their owners; boundaries count for new ones only.
    fn apply_schema(&mut self, json: &str) -> Result<(), Refused> {
        let schema = Schema::from_json(json).map_err(|e| refused(&e.to_string(), ""))?;
        if !self.schema.cluster.is_empty() && schema.cluster != self.schema.cluster {
            return Err(refused("the schema is for another cluster", "cluster"));
        }
        let before = self.schema.clone();
        let stays = |name: &str| match (before.service(name), schema.service(name)) {
            (Some(old), Some(new)) => old.divided_by_key == new.divided_by_key,
            _ => false,
        };
        self.services.retain(|t| stays(&t.service));
        self.guards.retain(|t| stays(&t.service));
        let needed = |s: &&Service| s.divided_by_key || s.calls.iter().any(|kind| !kind.idempotent);
        for service in schema.services.iter().filter(needed) {
            if self.table(&service.name).is_none() {
                self.add_table(service);
            }
        }
        self.schema = Arc::new(schema);
        self.schema_json = json.to_owned();
        Ok(())
    }

    /// The ranges of an undivided service are ranges of request ids; they say where its guards live.
    fn add_table(&mut self, service: &Service) {
        let table = if service.divided_by_key {
            RangeTable::new(&service.name, &service.boundaries)
        } else {
            RangeTable::new(&service.name, &id_boundaries())
        };
        self.services.push(table);
        self.services.sort_by(|a, b| a.service.cmp(&b.service));
        self.guards.push(GuardTable::new(&service.name));
    }

    fn release_quarantine(&mut self, fingerprint: &bytes::Bytes) -> Result<(), Refused> {
        if self.suspects.clear(std::slice::from_ref(fingerprint), true) == 0 {
            return Err(refused("no such request is quarantined", "fingerprint"));
        }
        Ok(())
    }

    fn add_drain(&mut self, drain: &Drain) -> Result<(), Refused> {
        if !self.sessions.iter().any(|s| s.open.host == drain.host) {
            return Err(refused("no such host has a session", "host"));
        }
        if !self.drains.contains(drain) {
            self.drains.push(drain.clone());
        }
        Ok(())
    }

    fn remove_drain(&mut self, drain: &Drain) -> Result<(), Refused> {
        let count = self.drains.len();
        self.drains.retain(|d| d != drain);
        if self.drains.len() == count {
            return Err(refused("this host or server is not being drained", "host"));
        }
        Ok(())
    }

    fn session_position(&self, id: u64) -> Option<usize> {
        self.sessions.binary_search_by_key(&id, |s| s.id).ok()
    }

    fn table_mut(&mut self, service: &str) -> Option<&mut RangeTable> {
        let found = self
            .services
            .binary_search_by(|t| t.service.as_str().cmp(service));
        found.ok().map(|i| &mut self.services[i])
    }
}

/// Returns the span between `start` and `end`.
fn key_range(start: &bytes::Bytes, end: Option<&bytes::Bytes>) -> KeyRange {
    KeyRange {
        start: Key::new(start.clone()),
        end: end.map(|e| Key::new(e.clone())),
    }
}

/// Tells if any range that shares keys with `span` has an owner.
fn has_owner_within(table: &RangeTable, span: &KeyRange) -> bool {
    let first = table.position(&span.start);
    let shared = table.ranges()[first..]
        .iter()
        .take_while(|r| span.end.as_ref().is_none_or(|end| r.start < *end));
    shared.into_iter().any(|r| r.owner.is_some())
}

fn answer(body: command_answer::Body) -> CommandAnswer {
    CommandAnswer { body: Some(body) }
}

fn refused(reason: &str, field: &str) -> Refused {
    Refused {
        reason: reason.to_owned(),
        field: field.to_owned(),
    }
}
