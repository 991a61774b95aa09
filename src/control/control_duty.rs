use {
    super::{Applied, ControlHandle, ControlInput, LogError, LogFile, State},
    crate::{
        clock::{Clock, Ms},
        event::Event,
        key::{Key, KeyRange},
        lease::LeaderView,
        log_event,
        placement::Placer,
        settings::LeaseSettings,
        split,
        wire::{
            control::{change, command_answer, Change, CommandAnswer, Committed, ReleaseRange},
            peer::{
                OpenSessionAnswer, OpenSessionRequest, Propose, ProposeAnswer, Renew, RenewAnswer,
                StateAnswer, StateRequest, Watch, WatchAnswer,
            },
        },
    },
    crossbeam_channel::{Receiver, RecvTimeoutError},
    slog::Logger,
    std::{path::PathBuf, thread, time::Duration},
    tokio::sync::oneshot,
};

/// Requests that wait for the control duty before further ones are dropped.
const RING_REQUESTS: usize = 16_384;
/// Most requests that share one sync of the disk.
const BATCH_MAX: usize = 1024;
/// Longest time between two looks at the leases and at ranges without an owner.
const TICK: Duration = Duration::from_millis(20);
/// Longest time that a watch waits for changes, well below the time that a daemon waits for any answer.
const WATCH_MAX: Ms = Ms(600);
/// Most changes in one answer to a watch.
const WATCH_CHANGES_MAX: usize = 500;
/// Most changes that are kept for daemons that lag.
const HISTORY_MAX: usize = 10_000;
/// Most bytes of one part of the state.
const STATE_PART_BYTES: usize = 256 * 1024;

/// Seed of the planner, which decides between servers that suit equally.
const PLAN_SEED: u64 = 1;

/// What the control duty needs to start.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Folder of the log.
    pub data_dir: PathBuf,
    /// Timing of sessions and leases.
    pub lease: LeaseSettings,
    /// Source of the time.
    pub clock: Clock,
    /// Logger of the duty.
    pub log: Logger,
}

/// Opens the log and starts the thread of the control duty.
///
/// # Errors
/// The log cannot be opened or read.
pub fn start_control(config: ControlConfig) -> Result<(ControlHandle, thread::JoinHandle<()>), LogError> {
    let (file, records) = LogFile::open(&config.data_dir)?;
    let (tx, rx) = crossbeam_channel::bounded(RING_REQUESTS);
    let duty = ControlDuty::new(config, file, records);
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || duty.run(&rx))
        .map_err(|source| LogError::Io {
            path: PathBuf::from("thread control"),
            source,
        })?;
    Ok((ControlHandle::new(tx), thread))
}

/// Someone who waits for a change to be committed.
enum Waiter {
    OpenSession(oneshot::Sender<OpenSessionAnswer>),
    Propose(oneshot::Sender<ProposeAnswer>),
    None,
}

/// A watch that waits for changes.
struct WaitingWatch {
    applied: u64,
    until: Ms,
    tx: oneshot::Sender<WatchAnswer>,
}

/// The state that belongs to the thread of the control duty.
struct ControlDuty {
    config: ControlConfig,
    file: LogFile,
    state: State,
    /// The latest committed changes, without gaps.
    history: Vec<Committed>,
    view: LeaderView,
    placer: Placer,
    watches: Vec<WaitingWatch>,
    /// The image that daemons read in parts, with its index.
    image: Option<(u64, Vec<u8>)>,
    next_index: u64,
}

impl ControlDuty {
    fn new(config: ControlConfig, file: LogFile, records: Vec<Committed>) -> Self {
        let mut state = State::default();
        for record in &records {
            if let Some(change) = &record.change {
                state.apply(record.index, change);
            }
        }
        let now = config.clock.now();
        let view = LeaderView::new(config.lease, &state, now);
        let next_index = state.applied() + 1;
        log_event!(config.log, Event::ControlStarted; "applied" => state.applied());
        Self {
            config,
            file,
            state,
            history: records,
            view,
            placer: Placer::new(PLAN_SEED),
            watches: Vec::new(),
            image: None,
            next_index,
        }
    }

    fn run(mut self, rx: &Receiver<ControlInput>) {
        loop {
            let mut batch = Vec::new();
            match rx.recv_timeout(TICK) {
                Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take(input, &mut batch),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for input in rx.try_iter().take(BATCH_MAX) {
                if matches!(input, ControlInput::Stop) {
                    return;
                }
                self.take(input, &mut batch);
            }
            self.look_after_sessions(&mut batch);
            if let Err(e) = self.commit(batch).and_then(|()| self.place()) {
                log_event!(self.config.log, Event::ControlFailed; "error" => e.to_string());
                return;
            }
            self.answer_watches();
        }
    }

    fn take(&mut self, input: ControlInput, batch: &mut Vec<(change::Body, Waiter)>) {
        match input {
            ControlInput::OpenSession(req, tx) => self.open_session(req, tx, batch),
            ControlInput::Renew(req, tx) => drop(tx.send(self.renew(&req))),
            ControlInput::Propose(req, tx) => self.propose(req, tx, batch),
            ControlInput::Watch(req, tx) => self.watch(&req, tx),
            ControlInput::State(req, tx) => drop(tx.send(self.state_part(&req))),
            ControlInput::InForce(req, tx) => drop(tx.send(self.view.in_force(&self.state, req.index))),
            ControlInput::Stop => {}
        }
    }

    fn open_session(
        &mut self,
        req: OpenSessionRequest,
        tx: oneshot::Sender<OpenSessionAnswer>,
        batch: &mut Vec<(change::Body, Waiter)>,
    ) {
        match req.open {
            Some(open) => batch.push((change::Body::OpenSession(open), Waiter::OpenSession(tx))),
            None => drop(tx.send(OpenSessionAnswer::default())),
        }
    }

    fn renew(&mut self, req: &Renew) -> RenewAnswer {
        let now = self.config.clock.now();
        self.placer.take_loads(req, now);
        self.view.renew(&self.state, req, now)
    }

    fn propose(
        &mut self,
        req: Propose,
        tx: oneshot::Sender<ProposeAnswer>,
        batch: &mut Vec<(change::Body, Waiter)>,
    ) {
        match req.change.and_then(|c| c.body) {
            Some(body) => batch.push((body, Waiter::Propose(tx))),
            None => drop(tx.send(ProposeAnswer::default())),
        }
    }

    fn watch(&mut self, req: &Watch, tx: oneshot::Sender<WatchAnswer>) {
        let until = self.config.clock.now() + WATCH_MAX;
        self.watches.push(WaitingWatch {
            applied: req.applied,
            until,
            tx,
        });
    }

    fn look_after_sessions(&mut self, batch: &mut Vec<(change::Body, Waiter)>) {
        for end in self.view.expired(self.config.clock.now()) {
            batch.push((change::Body::EndSession(end), Waiter::None));
        }
    }

    /// Gives ranges without an owner to servers, and starts planned moves.
    fn place(&mut self) -> Result<(), LogError> {
        let now = self.config.clock.now();
        let wanted = self.placer.changes(&self.state, now);
        let allowed = self.view.allowed(&self.state, wanted.assignments, now);
        let assignments = allowed.into_iter().map(change::Body::AssignRange);
        for release in &wanted.releases {
            log_move(&self.config.log, release);
        }
        let releases = wanted.releases.into_iter().map(change::Body::ReleaseRange);
        let step = wanted.split_step.map(change::Body::SplitStep);
        let batch = assignments
            .chain(releases)
            .chain(step)
            .map(|body| (body, Waiter::None));
        let batch = batch.collect();
        self.commit(batch)
    }

    /// Writes and syncs the changes, then applies them and answers those who wait.
    fn commit(&mut self, batch: Vec<(change::Body, Waiter)>) -> Result<(), LogError> {
        if batch.is_empty() {
            return Ok(());
        }
        let proposed_at_ms = self.config.clock.wall().0;
        let mut records = Vec::with_capacity(batch.len());
        let mut waiters = Vec::with_capacity(batch.len());
        for (body, waiter) in batch {
            let change = Change {
                proposed_at_ms,
                body: Some(body),
            };
            records.push(Committed {
                index: self.next_index,
                change: Some(change),
            });
            waiters.push(waiter);
            self.next_index += 1;
        }
        self.file.append(&records)?;
        for (record, waiter) in records.iter().zip(waiters) {
            self.apply(record, waiter);
        }
        self.history.extend(records);
        let surplus = self.history.len().saturating_sub(HISTORY_MAX);
        self.history.drain(..surplus);
        Ok(())
    }

    fn apply(&mut self, record: &Committed, waiter: Waiter) {
        let Some(change) = &record.change else {
            return;
        };
        let applied = self.state.apply(record.index, change);
        self.view
            .note(&self.state, record.index, &applied, self.config.clock.now());
        self.note(&applied, change);
        match (waiter, applied) {
            (Waiter::OpenSession(tx), Applied::SessionOpened(session)) => {
                drop(tx.send(OpenSessionAnswer {
                    session,
                    ..OpenSessionAnswer::default()
                }));
            }
            (Waiter::OpenSession(tx), _) => drop(tx.send(OpenSessionAnswer {
                holder: holder(&self.state, change),
                ..OpenSessionAnswer::default()
            })),
            (Waiter::Propose(tx), Applied::Command(command)) => {
                drop(tx.send(ProposeAnswer {
                    index: record.index,
                    leader: String::new(),
                    command: Some(command),
                }));
            }
            (Waiter::Propose(tx), _) => {
                drop(tx.send(ProposeAnswer {
                    index: record.index,
                    ..ProposeAnswer::default()
                }));
            }
            (Waiter::None, _) => {}
        }
    }

    /// Logs what a change did.
    fn note(&self, applied: &Applied, change: &Change) {
        let log = &self.config.log;
        match applied {
            Applied::SessionOpened(session) => {
                let host = self.state.session(*session).map_or("", |s| s.open.host.as_str());
                log_event!(log, Event::ControlSessionOpened; "session" => session, "host" => host);
            }
            Applied::SessionEnded(session) => {
                log_event!(log, Event::ControlSessionEnded; "session" => session);
            }
            Applied::RangeAssigned { service, span, owner } => {
                let reason = match &change.body {
                    Some(change::Body::AssignRange(assign)) => assign.reason.as_str(),
                    _ => "",
                };
                log_event!(
                    log, Event::RangeAssigned;
                    "service" => service, "range" => span.to_string(), "session" => owner.session,
                    "server" => &owner.server, "epoch" => owner.epoch, "reason" => reason
                );
            }
            Applied::SplitStaged(stage) => {
                log_event!(log, Event::SplitStaged; "stage" => split::stage_word(*stage));
            }
            Applied::Command(answer) => {
                log_event!(log, Event::CommandDecided; "answer" => answer_word(answer), "revision" => self.state.revision().to_string());
            }
            Applied::ServersSet(_)
            | Applied::ReleaseStarted { .. }
            | Applied::RangeReleased { .. }
            | Applied::Ignored(_) => {}
        }
    }

    /// Answers the watches for which there are changes or whose time is over.
    fn answer_watches(&mut self) {
        let now = self.config.clock.now();
        let applied = self.state.applied();
        let due = |w: &WaitingWatch| w.applied != applied || w.until <= now;
        let (due, waiting): (Vec<_>, Vec<_>) = self.watches.drain(..).partition(due);
        self.watches = waiting;
        for watch in due {
            drop(watch.tx.send(self.changes_after(watch.applied)));
        }
    }

    fn changes_after(&self, applied: u64) -> WatchAnswer {
        let oldest = self.history.first().map_or(self.next_index, |c| c.index);
        if applied + 1 < oldest || applied >= self.next_index {
            return WatchAnswer {
                changes: Vec::new(),
                needs_state: true,
            };
        }
        let from = (applied + 1 - oldest) as usize;
        let changes = self.history[from..]
            .iter()
            .take(WATCH_CHANGES_MAX)
            .cloned()
            .collect();
        WatchAnswer {
            changes,
            needs_state: false,
        }
    }

    fn state_part(&mut self, req: &StateRequest) -> StateAnswer {
        if req.image == 0 || self.image.as_ref().is_none_or(|(index, _)| *index != req.image) {
            self.image = Some((self.state.applied(), self.state.to_image()));
        }
        let Some((image, bytes)) = &self.image else {
            return StateAnswer::default();
        };
        let offset = if *image == req.image {
            (req.offset as usize).min(bytes.len())
        } else {
            0
        };
        let end = (offset + STATE_PART_BYTES).min(bytes.len());
        StateAnswer {
            image: *image,
            offset: offset as u64,
            total: bytes.len() as u64,
            part: bytes[offset..end].to_vec().into(),
        }
    }
}

fn log_move(log: &Logger, release: &ReleaseRange) {
    let span = KeyRange {
        start: Key::new(release.start.clone()),
        end: release.end.as_ref().map(|e| Key::new(e.clone())),
    };
    log_event!(
        log, Event::MovePlanned;
        "service" => &release.service, "range" => span.to_string(), "epoch" => release.epoch,
        "session" => release.to_session, "server" => &release.to_server, "reason" => &release.reason
    );
}

/// Returns the peer address of the process that holds the session that `change` wanted to open.
fn holder(state: &State, change: &Change) -> String {
    let Some(change::Body::OpenSession(open)) = &change.body else {
        return String::new();
    };
    let session = state.session_of_host(&open.host);
    session.map(|s| s.open.peer_address.clone()).unwrap_or_default()
}

fn answer_word(answer: &CommandAnswer) -> &'static str {
    match &answer.body {
        Some(command_answer::Body::Accepted(_)) => "accepted",
        Some(command_answer::Body::Conflict(_)) => "conflict",
        Some(command_answer::Body::Refused(_)) => "refused",
        Some(command_answer::Body::Unavailable(_)) | None => "unavailable",
    }
}
