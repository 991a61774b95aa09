use {
    super::{
        disk_duty::{DiskDuty, WriteBatch},
        founding::Founding,
        note,
        proposals::{Proposals, Waiter},
        schema_patch::PatchBase,
        state_parts::StateParts,
        watches::{self, Watches},
        ControlConfig, ControlError, ControlInput, State,
    },
    crate::{
        consensus::{Apply, Core, CoreConfig, CoreEvent, SavedState, StorageError, Write},
        event::Event,
        lease::LeaderView,
        log_event,
        placement::Placer,
        wire::{
            consensus::{entry, Entry, Envelope, Snapshot},
            control::{change, Change, Committed},
            peer::{OpenSessionRequest, Propose, Renew, RenewAnswer, StateAnswer},
        },
    },
    crossbeam_channel::{Receiver, RecvTimeoutError},
    prost::Message,
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Seed of the planner, which decides between servers that suit equally.
const PLAN_SEED: u64 = 1;
/// Most inputs that are taken before something is done about them.
const BATCH_MAX: usize = 1024;
/// Longest time between two looks at elections, leases and ranges without an owner.
const TICK: Duration = Duration::from_millis(10);
/// Committed entries after which a new snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// The changes that are proposed together, with those who wait for them.
type Batch = Vec<(change::Body, Waiter)>;

/// The state that belongs to the thread of the control duty.
pub(super) struct ControlDuty {
    pub(super) config: ControlConfig,
    pub(super) core: Core,
    pub(super) state: State,
    pub(super) founding: Founding,
    pub(super) disk: DiskDuty,
    /// Writes that wait for the disk, which takes one batch at a time.
    pub(super) writes: Vec<(u64, Write)>,
    pub(super) disk_busy: bool,
    /// What a leader keeps in memory; present while this host leads and has caught up.
    pub(super) view: Option<LeaderView>,
    pub(super) placer: Placer,
    pub(super) proposals: Proposals,
    /// Index up to which changes that this duty itself proposed must be applied before it proposes more.
    pub(super) own_until: u64,
    pub(super) watches: Watches,
    /// The last configuration that watches were answered with, by its log index.
    pub(super) sent_revision: u64,
    pub(super) parts: StateParts,
    /// Peer addresses by disk incarnation, as messages named them; sorted.
    pub(super) addresses: Vec<(u64, String)>,
    pub(super) failure: Option<String>,
}

impl ControlDuty {
    pub fn new(
        config: ControlConfig,
        saved: SavedState,
        disk: DiskDuty,
        seed: u64,
    ) -> Result<Self, ControlError> {
        let snapshot = saved.snapshot.clone();
        let state = match &snapshot {
            Some(snapshot) => restored(snapshot)?,
            None => State::default(),
        };
        let mut watches = Watches::default();
        watches.restart(saved.head.index);
        let known = saved.entries.iter().filter(|e| e.index <= state.applied());
        known.for_each(|e| watches.committed(committed(e)));
        let founding = Founding::new(
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
            founding,
            disk,
            writes: Vec::new(),
            disk_busy: false,
            view: None,
            placer: Placer::new(PLAN_SEED),
            proposals: Proposals::default(),
            own_until: 0,
            watches,
            sent_revision: 0,
            parts: StateParts::default(),
            addresses: Vec::new(),
            failure: None,
        })
    }

    /// Runs until it is told to stop or fails, and gives the data folder back.
    pub fn run(mut self, rx: Receiver<ControlInput>) {
        while self.failure.is_none() && self.step(&rx) {}
        // The disk must not wait for room in the ring.
        drop(rx);
        if let Some(error) = &self.failure {
            log_event!(self.config.log, Event::ControlFailed; "error" => error);
        }
        self.disk.finish();
    }

    /// Takes the inputs that wait and does what follows from them. False: the duty is told to stop.
    fn step(&mut self, rx: &Receiver<ControlInput>) -> bool {
        let mut batch = Vec::new();
        match rx.recv_timeout(TICK) {
            Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(input) => self.take(input, &mut batch),
            Err(RecvTimeoutError::Timeout) => {}
        }
        for input in rx.try_iter().take(BATCH_MAX) {
            if matches!(input, ControlInput::Stop) {
                return false;
            }
            self.take(input, &mut batch);
        }
        self.propose_all(batch);
        self.core.tick(self.config.clock.now());
        self.form_cell();
        self.carry_out();
        self.lead();
        self.carry_out();
        self.answer_watches();
        true
    }

    fn answer_watches(&mut self) {
        let hosts = self.member_addresses();
        let (watches, bytes) = self.watches.answer(self.config.clock.now(), &hosts);
        let revision = self.state.revision().index;
        if watches > 0 && revision != self.sent_revision {
            self.sent_revision = revision;
            log_event!(
                self.config.log, Event::ConfigurationSent;
                "revision" => revision, "watches" => watches, "bytes" => bytes
            );
        }
    }

    fn take(&mut self, input: ControlInput, batch: &mut Batch) {
        let now = self.config.clock.now();
        match input {
            ControlInput::OpenSession(req, tx) => self.open_session(req, tx, batch),
            ControlInput::Renew(req, tx) => drop(tx.send(self.renew(&req))),
            ControlInput::Propose(req, tx) => self.propose(req, tx, batch),
            ControlInput::Watch(_, tx) if self.core.leader().is_none() => {
                drop(tx.send(watches::declined()));
            }
            ControlInput::Watch(req, tx) => self.watches.wait(&req, tx, now),
            ControlInput::State(_, tx) if self.core.leader().is_none() => {
                drop(tx.send(StateAnswer {
                    declined: true,
                    ..StateAnswer::default()
                }));
            }
            ControlInput::State(req, tx) => {
                let part = self.parts.part(&self.state, self.watches.oldest(), &req);
                drop(tx.send(part));
            }
            ControlInput::InForce(req, tx) => drop(tx.send(self.in_force(&req))),
            ControlInput::Members(req, tx) => drop(tx.send(self.members(&req))),
            ControlInput::Message(envelope) => self.receive(envelope),
            ControlInput::Written(number) => {
                self.disk_busy = false;
                self.core.writes_synced(number, now);
            }
            ControlInput::DiskFailed(error) => {
                self.core.disk_failed();
                self.failure = Some(error);
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

    /// Renews a session, but only while no other host can lead.
    fn renew(&mut self, req: &Renew) -> RenewAnswer {
        let now = self.config.clock.now();
        let holds_lease = self.core.holds_lease(now);
        match &mut self.view {
            Some(view) if holds_lease => {
                self.placer.take_loads(req, now);
                view.renew(&self.state, req, now)
            }
            Some(_) | None => RenewAnswer {
                session: req.session,
                sent_at_ms: req.sent_at_ms,
                declined: true,
                leader: self.other_leader(),
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

    /// Acts as the leader: ends sessions whose leases are over and gives ranges without an owner to servers.
    fn lead(&mut self) {
        let now = self.config.clock.now();
        if !self.core.is_ready() {
            self.view = None;
            return;
        }
        if self.view.is_none() {
            self.view = Some(LeaderView::new(self.config.lease, &self.state, now));
            self.placer = Placer::new(PLAN_SEED);
        }
        self.keep_voters();
        if self.state.applied() < self.own_until || !self.core.holds_lease(now) {
            return;
        }
        let mut batch = Vec::new();
        self.look_after_sessions(&mut batch);
        if batch.is_empty() {
            self.place(&mut batch);
        }
        if !batch.is_empty() {
            self.propose_all(batch);
            self.own_until = self.core.log().last_index();
        }
    }

    fn look_after_sessions(&mut self, batch: &mut Batch) {
        let now = self.config.clock.now();
        let expired = self.view.as_mut().map(|view| view.expired(now));
        for end in expired.unwrap_or_default() {
            batch.push((change::Body::EndSession(end), Waiter::None));
        }
    }

    /// Gives ranges without an owner to servers, and starts planned moves.
    fn place(&mut self, batch: &mut Batch) {
        let now = self.config.clock.now();
        let Some(view) = &mut self.view else { return };
        let wanted = self.placer.changes(&self.state, now);
        let allowed = view.allowed(&self.state, wanted.assignments, now);
        let assignments = allowed.into_iter().map(change::Body::AssignRange);
        let releases = wanted.releases.into_iter().map(change::Body::ReleaseRange);
        let joins = wanted.joins.into_iter().map(change::Body::JoinRanges);
        let step = wanted.split_step.map(change::Body::SplitStep);
        let bodies = assignments.chain(releases).chain(joins).chain(step);
        batch.extend(bodies.map(|body| (body, Waiter::None)));
    }

    /// Proposes changes together, so that they share a sync.
    fn propose_all(&mut self, batch: Batch) {
        if batch.is_empty() {
            return;
        }
        if !self.core.is_ready() {
            let leader = self.other_leader();
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

    /// Carries out what the core wants: writes, messages, applied changes and events.
    fn carry_out(&mut self) {
        let outputs = self.core.take_outputs();
        self.writes.extend(outputs.writes);
        self.write();
        for envelope in outputs.messages {
            if let Some(address) = self.address_of(envelope.to) {
                self.post(address, &envelope);
            }
        }
        for apply in outputs.applies {
            match apply {
                Apply::Entry(entry) => self.apply(&entry),
                Apply::Snapshot(snapshot) => self.restore(&snapshot),
            }
        }
        for event in outputs.events {
            self.note_event(event);
        }
        let snapshot_index = self.core.log().snapshot_index();
        if self.state.applied() >= snapshot_index + SNAPSHOT_ENTRIES {
            self.core
                .compact(self.state.applied(), self.state.to_image().into());
        }
    }

    /// Hands all waiting writes to the disk together, so that they share a sync.
    fn write(&mut self) {
        let Some((last, _)) = self.writes.last().filter(|_| !self.disk_busy) else {
            return;
        };
        let last = *last;
        let writes = self.writes.drain(..).map(|(_, write)| write).collect();
        self.disk_busy = self.disk.write(WriteBatch { last, writes });
    }

    fn apply(&mut self, entry: &Entry) {
        let record = committed(entry);
        let change = record.change.clone().unwrap_or_default();
        let base = PatchBase::of(&self.state);
        let applied = self.state.apply(entry.index, &change);
        let now = self.config.clock.now();
        if let Some(view) = &mut self.view {
            view.record(&self.state, entry.index, &applied, now);
            note::note_applied(&self.config.log, &self.state, &applied, &change);
        }
        self.proposals
            .committed(entry.index, entry.term, &change, &applied, &self.state);
        self.watches.committed(Committed {
            change: Some(base.lighten(change, &self.state)),
            ..record
        });
    }

    /// Replaces the state by that of a snapshot from the leader.
    fn restore(&mut self, snapshot: &Snapshot) {
        match restored(snapshot) {
            Ok(state) => {
                self.state = state;
                self.watches.restart(snapshot.index);
                self.parts.restart();
            }
            Err(e) => self.failure = Some(e.to_string()),
        }
    }

    fn note_event(&mut self, event: CoreEvent) {
        let log = &self.config.log;
        match event {
            CoreEvent::BecameLeader { term } => log_event!(log, Event::LeaderElected; "term" => term),
            CoreEvent::SteppedDown { term } => {
                log_event!(log, Event::LeaderSteppedDown; "term" => term);
                self.view = None;
                self.proposals.give_up();
                self.own_until = 0;
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
                log_event!(log, Event::DiskStale);
                self.failure = Some("the data folder holds an older state than others have seen".into());
            }
            CoreEvent::CommittedEntryContradicted { index } => {
                self.failure = Some(format!("the leader contradicts the committed entry {index}"));
            }
        }
        if self.core.leader().is_none() {
            self.watches.decline_all();
        }
    }

    /// Returns the peer address of the leader if it is another host; empty if none is known.
    pub(super) fn other_leader(&self) -> String {
        let other = self.core.leader().filter(|id| *id != self.core.id());
        other.and_then(|id| self.address_of(id)).unwrap_or_default()
    }

    fn address_of(&self, id: u64) -> Option<String> {
        if let Some(member) = self.core.membership().member(id) {
            return Some(member.address.clone());
        }
        let found = self.addresses.binary_search_by_key(&id, |a| a.0);
        found.ok().map(|i| self.addresses[i].1.clone())
    }

    /// Sends a message to another control host. It is dropped if the ring is full.
    pub(super) fn post(&self, address: String, envelope: &Envelope) {
        let bytes = envelope.encode_to_vec().into();
        let _ = self.config.outbox.try_send((address, bytes));
    }
}

/// Returns a committed entry as daemons get it. Entries of the agreement itself change nothing.
fn committed(entry: &Entry) -> Committed {
    let change = match &entry.body {
        Some(entry::Body::Change(bytes)) => Change::decode(bytes.clone()).unwrap_or_default(),
        Some(entry::Body::Membership(_)) | None => Change::default(),
    };
    Committed {
        index: entry.index,
        change: Some(change),
    }
}

fn restored(snapshot: &Snapshot) -> Result<State, ControlError> {
    let state = State::from_image(&snapshot.image).filter(|s| s.applied() == snapshot.index);
    let damaged = StorageError::Incomplete("the snapshot holds no state");
    state.ok_or(ControlError::Storage(damaged))
}
