//! A control host that a test itself acts as: it commits what daemons propose, and the test decides what they learn of it
//! and when.

#![allow(dead_code)]

use {
    super::fake_control::serve_control,
    clementinefold::{
        control::{Applied, State},
        schema::PackedText,
        wire::{
            control::{
                change, operator_command, AssignRange, Change, Committed, OpenSession, OperatorCommand,
                ReleaseRange, Server, SetServers, VersionedSchema,
            },
            peer::{frame::Body, OpenSessionAnswer, Propose, ProposeAnswer, RenewAnswer, WatchAnswer},
        },
    },
    serde_json::json,
    std::{
        future::pending,
        net::SocketAddr,
        sync::{mpsc, Arc, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime::Builder, task::LocalSet, time::sleep},
};

/// Time between two checks for changes while a watch waits.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that a watch waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// What the control host does with the lists of servers that daemons propose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListHandling {
    /// Commits and answers them.
    Commit,
    /// Commits them, and the answers are lost.
    LoseAnswers,
    /// Commits them only when the test says so, and does not answer.
    Delay,
}

struct Shared {
    state: State,
    changes: Vec<Committed>,
    /// Log index up to which daemons are sent the changes.
    sent_until: u64,
    list_handling: ListHandling,
    /// All changes that daemons have proposed, in order.
    proposed: Vec<change::Body>,
    /// Lists that are not committed yet.
    delayed: Vec<SetServers>,
}

impl Shared {
    fn commit(&mut self, body: change::Body) -> (u64, Applied) {
        let index = self.state.applied() + 1;
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        let applied = self.state.apply(index, &change);
        self.changes.push(Committed {
            index,
            change: Some(change),
        });
        (index, applied)
    }

    /// Handles a proposal. Returns its log index, or `None` if it is not answered.
    fn propose(&mut self, body: change::Body) -> Option<u64> {
        self.proposed.push(body.clone());
        let change::Body::SetServers(list) = &body else {
            return Some(self.commit(body).0);
        };
        match self.list_handling {
            ListHandling::Commit => Some(self.commit(body).0),
            ListHandling::LoseAnswers => {
                self.commit(body);
                None
            }
            ListHandling::Delay => {
                self.delayed.push(list.clone());
                None
            }
        }
    }

    fn changes_after(&self, applied: u64) -> Vec<Committed> {
        let sent = self.changes.iter().filter(|c| c.index <= self.sent_until);
        sent.filter(|c| c.index > applied).cloned().collect()
    }
}

/// The control host. Its thread runs until the test process ends.
pub struct ScriptedControl {
    shared: Arc<Mutex<Shared>>,
    /// Its peer address.
    pub address: SocketAddr,
}

impl ScriptedControl {
    /// Starts a control host that commits everything and sends it to all daemons. The schema has the service `desk`, which is
    /// divided by key and has one range.
    pub fn start() -> Self {
        let shared = Arc::new(Mutex::new(Shared {
            state: State::default(),
            changes: Vec::new(),
            sent_until: u64::MAX,
            list_handling: ListHandling::Commit,
            proposed: Vec::new(),
            delayed: Vec::new(),
        }));
        let (tx, rx) = mpsc::channel();
        let served = shared.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async {
                let address = serve_control(move |body| answer(served.clone(), body)).await;
                tx.send(address).unwrap();
                pending::<()>().await;
            });
        });
        let control = Self {
            shared,
            address: rx.recv().unwrap(),
        };
        control.commit(change::Body::OperatorCommand(schema_command()));
        control
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap()
    }

    /// Commits a change. Returns its effect.
    pub fn commit(&self, body: change::Body) -> Applied {
        self.lock().commit(body).1
    }

    /// Opens the session of another host with one server. Returns its id.
    pub fn open_other_session(&self, server: &Server) -> u64 {
        let open = OpenSession {
            host: "host-other".into(),
            ..OpenSession::default()
        };
        let Applied::SessionOpened(session) = self.commit(change::Body::OpenSession(open)) else {
            panic!("the session is not opened");
        };
        self.commit(change::Body::SetServers(SetServers {
            session,
            servers: vec![server.clone()],
            number: 1,
            ..SetServers::default()
        }));
        session
    }

    /// Gives all keys to a server, which must be free. Returns the epoch.
    pub fn assign_all(&self, session: u64, server: &Server) -> u64 {
        let assign = AssignRange {
            service: server.service.clone(),
            session,
            server: server.address.clone(),
            reason: "test".into(),
            ..AssignRange::default()
        };
        match self.commit(change::Body::AssignRange(assign)) {
            Applied::RangeAssigned { owner, .. } => owner.epoch,
            other => panic!("{other:?}"),
        }
    }

    /// Starts the planned move of all keys from the owner with this epoch.
    pub fn release_all(&self, epoch: u64, to_session: u64, to_server: &Server) {
        let release = ReleaseRange {
            service: to_server.service.clone(),
            epoch,
            to_session,
            to_server: to_server.address.clone(),
            reason: "test".into(),
            ..ReleaseRange::default()
        };
        let applied = self.commit(change::Body::ReleaseRange(release));
        assert!(matches!(applied, Applied::ReleaseStarted { .. }), "{applied:?}");
    }

    /// Takes all keys from the servers of another session.
    pub fn vacate(&self, session: u64) {
        self.commit(change::Body::SetServers(SetServers {
            session,
            number: 2,
            ..SetServers::default()
        }));
    }

    /// Sends daemons the changes that are committed now, and none after them.
    pub fn send_committed(&self) {
        let mut shared = self.lock();
        shared.sent_until = shared.state.applied();
    }

    /// From now on, daemons that start are sent nothing.
    pub fn send_nothing(&self) {
        self.lock().sent_until = 0;
    }

    /// Sends daemons everything from now on.
    pub fn send_all(&self) {
        self.lock().sent_until = u64::MAX;
    }

    /// Sets what is done with lists of servers from now on.
    pub fn handle_lists(&self, handling: ListHandling) {
        self.lock().list_handling = handling;
    }

    /// Commits the delayed lists in the order in which they were proposed.
    pub fn commit_delayed(&self) {
        let mut shared = self.lock();
        for list in std::mem::take(&mut shared.delayed) {
            shared.commit(change::Body::SetServers(list));
        }
    }

    /// Returns the last list of servers that was proposed.
    pub fn last_list(&self) -> Option<SetServers> {
        let list_of = |body: &change::Body| match body {
            change::Body::SetServers(list) => Some(list.clone()),
            _ => None,
        };
        self.lock().proposed.iter().rev().find_map(list_of)
    }

    /// Returns whether a daemon has reported a range as given up.
    pub fn has_release_report(&self) -> bool {
        let is_report = |body: &change::Body| matches!(body, change::Body::RangeReleased(_));
        self.lock().proposed.iter().any(is_report)
    }

    /// Returns the session of a host and its servers as committed.
    pub fn session_of(&self, host: &str) -> Option<(u64, Vec<Server>)> {
        let shared = self.lock();
        let session = shared.state.session_of_host(host)?;
        Some((session.id, session.servers.clone()))
    }
}

fn schema_command() -> OperatorCommand {
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "desk", "divided_by_key": true, "checks_fencing": true }],
        "routes": [{
            "name": "r", "host": "one", "path_prefix": "/", "timeout_ms": 900, "attempts": 1,
            "targets": [{ "service": "desk", "weight": 1 }]
        }]
    });
    OperatorCommand {
        body: Some(operator_command::Body::ReplaceSchema(VersionedSchema {
            version: 1,
            packed_schema: PackedText::pack(schema.to_string().as_bytes()).as_bytes().clone(),
            ..VersionedSchema::default()
        })),
        ..OperatorCommand::default()
    }
}

async fn answer(shared: Arc<Mutex<Shared>>, body: Body) -> Option<Body> {
    match body {
        Body::Watch(watch) => {
            let started = Instant::now();
            loop {
                let changes = shared.lock().unwrap().changes_after(watch.applied);
                if !changes.is_empty() || started.elapsed() >= WATCH_TIMEOUT {
                    return Some(Body::WatchAnswer(WatchAnswer {
                        changes,
                        ..WatchAnswer::default()
                    }));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Body::OpenSession(req) => {
            let (index, applied) = shared
                .lock()
                .unwrap()
                .commit(change::Body::OpenSession(req.open?));
            let session = match applied {
                Applied::SessionOpened(session) => session,
                _ => 0,
            };
            Some(Body::OpenSessionAnswer(OpenSessionAnswer {
                session,
                index,
                ..OpenSessionAnswer::default()
            }))
        }
        Body::Renew(renew) => Some(Body::RenewAnswer(RenewAnswer {
            session: renew.session,
            sent_at_ms: renew.sent_at_ms,
            renewed: true,
            revision: shared.lock().unwrap().state.revision().index,
            ..RenewAnswer::default()
        })),
        Body::Propose(Propose { change }) => {
            let index = shared.lock().unwrap().propose(change?.body?);
            let Some(index) = index else {
                return pending().await;
            };
            Some(Body::ProposeAnswer(ProposeAnswer {
                index,
                ..ProposeAnswer::default()
            }))
        }
        _ => None,
    }
}
