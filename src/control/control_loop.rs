use {
    super::{
        bootstrap::CellBootstrap,
        change_events,
        disk_thread::{DiskThread, WriteBatch},
        proposals::{Proposals, Waiter},
        schema_patch::{replaces_schema, PatchBase},
        snapshots::state_from_snapshot,
        state_parts::StateParts,
        watches::{self, Watches},
        ControlConfig, ControlError, ControlInput, State,
    },
    crate::{
        consensus::{Apply, Core, CoreConfig, CoreEvent, SavedState, Write},
        event::Event,
        lease::LeaderView,
        log_event,
        placement::Placer,
        wire::{
            consensus::{entry, Entry, Envelope},
            control::{change, Change, Committed},
            peer::{OpenSessionRequest, Propose, Renew, RenewAnswer, StateAnswer},
        },
    },
    crossbeam_channel::{Receiver, RecvTimeoutError},
    prost::Message,
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Seed of the placer, which decides between equally suitable servers.
const PLACER_SEED: u64 = 1;
/// Limit on the further inputs that one step takes from the queue.
const INPUTS_PER_STEP_MAX: usize = 1024;
/// Longest time between two checks of elections, leases and ranges without an owner.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Changes that are proposed together, each with its waiter.
type Batch = Vec<(change::Body, Waiter)>;

/// The loop of a control host. It runs on its own thread and drives the consensus core, the replicated state and
/// the requests that wait for either.
pub(super) struct ControlLoop {
    pub(super) config: ControlConfig,
    pub(super) core: Core,
    pub(super) state: State,
    /// Number of configurations that were applied since the last snapshot.
    pub(super) configurations_since_snapshot: u64,
    pub(super) bootstrap: CellBootstrap,
    pub(super) disk: DiskThread,
    /// Numbered writes that wait for the disk, which takes one batch at a time.
    pub(super) pending_writes: Vec<(u64, Write)>,
    pub(super) is_disk_busy: bool,
    /// Leases and takeover waits of the leader; present while this host leads and has caught up.
    pub(super) view: Option<LeaderView>,
    pub(super) placer: Placer,
    pub(super) proposals: Proposals,
    /// Log index of the last change that the loop itself proposed. It proposes more only once that one is applied.
    pub(super) own_proposals_until: u64,
    pub(super) watches: Watches,
    /// Log index of the last configuration that watches were answered with.
    pub(super) last_sent_revision: u64,
    pub(super) state_parts: StateParts,
    /// Peer addresses from received messages, sorted by disk incarnation.
    pub(super) peer_addresses: Vec<(u64, String)>,
    /// Why the loop ends.
    pub(super) end: Option<LoopEnd>,
}

/// Why a control loop has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LoopEnd {
    /// It was told to stop.
    Stopped,
    /// A write to disk failed. The loop may run again once the disk takes writes.
    DiskFailed(String),
    /// Its disk must not be used any more.
    Failed(String),
}

impl ControlLoop {
    pub fn new(
        config: ControlConfig,
        saved: SavedState,
        disk: DiskThread,
        seed: u64,
    ) -> Result<Self, ControlError> {
        let snapshot = saved.snapshot.clone();
        let state = match &snapshot {
            Some(snapshot) => state_from_snapshot(snapshot)?,
            None => State::default(),
        };
        let mut watches = Watches::default();
        watches.reset(saved.head.index);
        let applied_entries = saved.entries.iter().filter(|e| e.index <= state.applied());
        for committed in applied_entries.map(to_committed) {
            // No patch can be made of it any more, and the state is smaller than a few whole schemas.
            if committed.change.as_ref().is_some_and(replaces_schema) {
                watches.reset(committed.index);
            } else {
                watches.add_committed(committed);
            }
        }
        let bootstrap = CellBootstrap::new(
            saved.hard.id,
            config.address,
            &config.first_voters,
            &config.control_hosts,
        );
        let core_config = CoreConfig {
            address: config.address.to_string(),
            timing: config.lease,
            seed,
            ..CoreConfig::default()
        };
        let core = Core::new(core_config, saved, config.clock.now());
        log_event!(config.log, Event::ControlStarted; "applied" => state.applied());
        Ok(Self {
            config,
            core,
            state,
            configurations_since_snapshot: 0,
            bootstrap,
            disk,
            pending_writes: Vec::new(),
            is_disk_busy: false,
            view: None,
            placer: Placer::new(PLACER_SEED),
            proposals: Proposals::default(),
            own_proposals_until: 0,
            watches,
            last_sent_revision: 0,
            state_parts: StateParts::default(),
            peer_addresses: Vec::new(),
            end: None,
        })
    }

    /// Runs until it gets [`ControlInput::Stop`] or fails, and then waits until the data folder is closed. Inputs that
    /// arrive meanwhile are dropped, so that their senders ask another host.
    pub fn run(mut self, rx: &Receiver<ControlInput>) -> LoopEnd {
        let mut end = loop {
            if let Some(end) = self.step(rx) {
                break end;
            }
        };
        let disk = self.disk.finish();
        while !disk.is_finished() {
            // The disk thread must not block on a full queue.
            if let Ok(ControlInput::Stop) = rx.recv_timeout(TICK_INTERVAL) {
                end = LoopEnd::Stopped;
            }
        }
        let stopped = rx.try_iter().any(|input| matches!(input, ControlInput::Stop));
        match stopped {
            true => LoopEnd::Stopped,
            false => end,
        }
    }

    /// Waits up to [`TICK_INTERVAL`] for an input, handles the queued inputs, and does the periodic work. Returns why
    /// the loop ends, or `None` if it goes on.
    fn step(&mut self, rx: &Receiver<ControlInput>) -> Option<LoopEnd> {
        let mut batch = Vec::new();
        match rx.recv_timeout(TICK_INTERVAL) {
            Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return Some(LoopEnd::Stopped),
            Ok(input) => self.handle_input(input, &mut batch),
            Err(RecvTimeoutError::Timeout) => {}
        }
        for input in rx.try_iter().take(INPUTS_PER_STEP_MAX) {
            if matches!(input, ControlInput::Stop) {
                return Some(LoopEnd::Stopped);
            }
            self.handle_input(input, &mut batch);
        }
        self.propose_all(batch);
        self.core.tick(self.config.clock.now());
        self.find_cell();
        self.process_outputs();
        self.run_leader_tasks();
        self.process_outputs();
        self.answer_watches();
        self.end.take()
    }

    fn answer_watches(&mut self) {
        let hosts = self.member_addresses();
        let (watches, bytes) = self.watches.answer_due(self.config.clock.now(), &hosts);
        let revision = self.state.revision().index;
        if watches > 0 && revision != self.last_sent_revision {
            self.last_sent_revision = revision;
            log_event!(
                self.config.log, Event::ConfigurationSent;
                "revision" => revision, "watches" => watches, "bytes" => bytes
            );
        }
    }

    fn handle_input(&mut self, input: ControlInput, batch: &mut Batch) {
        let now = self.config.clock.now();
        match input {
            ControlInput::OpenSession(req, tx) => self.open_session(req, tx, batch),
            ControlInput::Renew(req, tx) => drop(tx.send(self.renew(&req))),
            ControlInput::Propose(req, tx) => self.propose(req, tx, batch),
            ControlInput::Watch(_, tx) if self.core.leader().is_none() => {
                drop(tx.send(watches::declined()));
            }
            ControlInput::Watch(req, tx) => self.watches.add_watch(&req, tx, now),
            ControlInput::State(_, tx) if self.core.leader().is_none() => {
                drop(tx.send(StateAnswer {
                    declined: true,
                    ..StateAnswer::default()
                }));
            }
            ControlInput::State(req, tx) => {
                let part = self
                    .state_parts
                    .part(&self.state, self.watches.oldest_index(), &req);
                drop(tx.send(part));
            }
            ControlInput::InForce(req, tx) => drop(tx.send(self.in_force(&req))),
            ControlInput::Members(req, tx) => drop(tx.send(self.members(&req))),
            ControlInput::Message(envelope) => self.receive(envelope),
            ControlInput::Written(number) => {
                self.is_disk_busy = false;
                self.core.writes_synced(number, now);
            }
            ControlInput::DiskFailed(error) => {
                self.core.disk_failed();
                self.end = Some(LoopEnd::DiskFailed(error));
            }
            ControlInput::Stop => {}
        }
    }

    fn open_session(
        &mut self,
        req: OpenSessionRequest,
        tx: oneshot::Sender<crate::wire::peer::OpenSessionAnswer>,
        batch: &mut Batch,
    ) {
        match req.open {
            Some(open) => batch.push((change::Body::OpenSession(open), Waiter::OpenSession(tx))),
            None => drop(tx.send(Default::default())),
        }
    }

    /// Renews a session if this host holds the leader's lease, so that no other host can lead; otherwise declines.
    fn renew(&mut self, req: &Renew) -> RenewAnswer {
        let now = self.config.clock.now();
        let holds_lease = self.core.holds_lease(now);
        match &mut self.view {
            Some(view) if holds_lease => {
                self.placer.record_loads(req, now);
                view.renew(&self.state, req, now)
            }
            Some(_) | None => RenewAnswer {
                session: req.session,
                sent_at_ms: req.sent_at_ms,
                declined: true,
                leader: self.remote_leader(),
                ..RenewAnswer::default()
            },
        }
    }

    fn propose(
        &mut self,
        req: Propose,
        tx: oneshot::Sender<crate::wire::peer::ProposeAnswer>,
        batch: &mut Batch,
    ) {
        match req.change.and_then(|c| c.body) {
            Some(body) => batch.push((body, Waiter::Propose(tx))),
            None => drop(tx.send(Default::default())),
        }
    }

    /// Does the work of the leader, if this host leads: keeps the number of voters, ends sessions whose leases have
    /// expired, assigns ranges without an owner and starts planned moves.
    fn run_leader_tasks(&mut self) {
        let now = self.config.clock.now();
        if !self.core.is_ready() {
            self.view = None;
            return;
        }
        if self.view.is_none() {
            self.view = Some(LeaderView::new(self.config.lease, &self.state, now));
            self.placer = Placer::new(PLACER_SEED);
        }
        self.maintain_voters();
        if self.state.applied() < self.own_proposals_until || !self.core.holds_lease(now) {
            return;
        }
        let mut batch = Vec::new();
        self.end_expired_sessions(&mut batch);
        if batch.is_empty() {
            self.plan_placement(&mut batch);
        }
        if !batch.is_empty() {
            self.propose_all(batch);
            self.own_proposals_until = self.core.log().last_index();
        }
    }

    fn end_expired_sessions(&mut self, batch: &mut Batch) {
        let now = self.config.clock.now();
        let expired = self.view.as_mut().map(|view| view.expired(now));
        for end in expired.unwrap_or_default() {
            batch.push((change::Body::EndSession(end), Waiter::None));
        }
    }

    /// Adds the changes of the placer (assignments, releases and joins of ranges, and the next step of the split), and
    /// drops the tables of retired services.
    fn plan_placement(&mut self, batch: &mut Batch) {
        let now = self.config.clock.now();
        let Some(view) = &mut self.view else { return };
        let wanted = self.placer.changes(&self.state, now);
        let allowed = view.allowed(&self.state, wanted.assignments, now);
        let assignments = allowed.into_iter().map(change::Body::AssignRange);
        let releases = wanted.releases.into_iter().map(change::Body::ReleaseRange);
        let joins = wanted.joins.into_iter().map(change::Body::JoinRanges);
        let step = wanted.split_step.map(change::Body::SplitStep);
        let forgotten = view.forgettable(&self.state, now);
        let forgotten = forgotten.into_iter().map(change::Body::ForgetService);
        let bodies = assignments
            .chain(releases)
            .chain(joins)
            .chain(step)
            .chain(forgotten);
        batch.extend(bodies.map(|body| (body, Waiter::None)));
    }

    /// Proposes changes together, so that they share one sync. Declines them unless this host is a ready leader.
    fn propose_all(&mut self, batch: Batch) {
        if batch.is_empty() {
            return;
        }
        if !self.core.is_ready() {
            let leader = self.remote_leader();
            batch.into_iter().for_each(|(_, waiter)| waiter.decline(&leader));
            return;
        }
        let proposed_at_ms = self.config.clock.wall().0;
        let (bodies, waiters): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let changes = bodies.into_iter().map(|body| {
            let change = Change {
                proposed_at_ms,
                body: Some(body),
            };
            change.encode_to_vec().into()
        });
        let first = self.core.propose(changes.collect(), self.config.clock.now());
        let term = self.core.term();
        for (waiter, index) in waiters.into_iter().zip(first.unwrap_or_default()..) {
            self.proposals.add(index, term, waiter);
        }
    }

    /// Processes the outputs of the core: writes, messages, committed entries and events.
    fn process_outputs(&mut self) {
        let outputs = self.core.take_outputs();
        self.pending_writes.extend(outputs.writes);
        self.flush_writes();
        for envelope in outputs.messages {
            if let Some(address) = self.address_of(envelope.to) {
                self.send_envelope(address, &envelope);
            }
        }
        for apply in outputs.applies {
            match apply {
                Apply::Entry(entry) => self.apply(&entry),
                Apply::Snapshot(snapshot) => self.restore(&snapshot),
            }
        }
        for event in outputs.events {
            self.handle_core_event(event);
        }
        self.write_snapshot_if_due();
    }

    /// Sends all pending writes to the disk together, so that they share one sync.
    fn flush_writes(&mut self) {
        let Some((last, _)) = self.pending_writes.last().filter(|_| !self.is_disk_busy) else {
            return;
        };
        let last = *last;
        let writes = self.pending_writes.drain(..).map(|(_, write)| write).collect();
        self.is_disk_busy = self.disk.write(WriteBatch { last, writes });
    }

    /// Applies a committed entry, answers its waiter and adds the change to the history of the watches.
    fn apply(&mut self, entry: &Entry) {
        let record = to_committed(entry);
        let change = record.change.clone().unwrap_or_default();
        let base = PatchBase::of(&self.state);
        let revision = self.state.revision();
        let retired = change_events::retired_names(&self.state);
        let applied = self.state.apply(entry.index, &change);
        if self.state.revision() != revision {
            self.configurations_since_snapshot += 1;
        }
        let now = self.config.clock.now();
        if let Some(view) = &mut self.view {
            view.record(&self.state, entry.index, &applied, now);
            change_events::log_applied(&self.config.log, &self.state, &applied, &change);
            change_events::log_retirements(&self.config.log, &self.state, &retired);
        }
        self.proposals
            .answer_committed(entry.index, entry.term, &change, &applied, &self.state);
        self.watches.add_committed(Committed {
            change: Some(base.shrink(change, &self.state)),
            ..record
        });
    }

    fn handle_core_event(&mut self, event: CoreEvent) {
        let log = &self.config.log;
        match event {
            CoreEvent::BecameLeader { term } => log_event!(log, Event::LeaderElected; "term" => term),
            CoreEvent::SteppedDown { term } => {
                log_event!(log, Event::LeaderSteppedDown; "term" => term);
                self.view = None;
                self.proposals.abandon_all();
                self.own_proposals_until = 0;
            }
            CoreEvent::FollowsLeader { leader, term } => {
                let leader = self.address_of(leader).unwrap_or_default();
                log_event!(log, Event::LeaderFollowed; "leader" => leader, "term" => term);
            }
            CoreEvent::MembersChanged { index } => {
                let members = self.core.membership().members.len();
                log_event!(log, Event::MembersChanged; "index" => index, "members" => members);
            }
            CoreEvent::StaleDisk => {
                log_event!(log, Event::DataFolderStale);
                let error = "the data folder holds an older state than others have seen";
                self.end = Some(LoopEnd::Failed(error.into()));
            }
            CoreEvent::CommittedEntryContradicted { index } => {
                let error = format!("the leader contradicts the committed entry {index}");
                self.end = Some(LoopEnd::Failed(error));
            }
        }
        if self.core.leader().is_none() {
            self.watches.decline_all();
        }
    }

    /// Returns the peer address of the leader, or an empty string if none is known or this host leads.
    pub(super) fn remote_leader(&self) -> String {
        let leader = self.core.leader().filter(|id| *id != self.core.id());
        leader.and_then(|id| self.address_of(id)).unwrap_or_default()
    }

    fn address_of(&self, id: u64) -> Option<String> {
        if let Some(member) = self.core.membership().member(id) {
            return Some(member.address.clone());
        }
        let found = self.peer_addresses.binary_search_by_key(&id, |a| a.0);
        found.ok().map(|i| self.peer_addresses[i].1.clone())
    }

    /// Sends a message to another control host. The message is dropped if the outbox is full.
    pub(super) fn send_envelope(&self, address: String, envelope: &Envelope) {
        let bytes = envelope.encode_to_vec().into();
        let _ = self.config.outbox.try_send((address, bytes));
    }
}

/// Returns a committed entry in the form that daemons get. A change of the cell's members becomes an empty change.
fn to_committed(entry: &Entry) -> Committed {
    let change = match &entry.body {
        Some(entry::Body::Change(bytes)) => Change::decode(bytes.clone()).unwrap_or_default(),
        Some(entry::Body::Membership(_)) | None => Change::default(),
    };
    Committed {
        index: entry.index,
        change: Some(change),
    }
}
