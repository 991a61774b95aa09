use {
    super::local_server::{LocalServer, LostServer},
    crate::{
        clock::Clock,
        control::{ControlHandle, Server, State},
        grant::Touched,
        lease::DaemonLease,
        link::{KeyRing, LinkError, Links},
        metrics::Metrics,
        settings::Settings,
        wire::{
            control::{change, Change, Committed},
            peer::{frame::Body, Propose, ProposeAnswer},
        },
    },
    rand::{rngs::SmallRng, RngCore, SeedableRng},
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Longest time to wait for an answer of a control host.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);

/// What the tasks of the I/O duty share. All of them run on one thread.
pub(super) struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    pub links: Links,
    pub operator_keys: KeyRing,
    /// The near end of the control duty on a control host.
    pub control: Option<ControlHandle>,
    /// Random number of this process.
    pub process: u64,
    pub lease: DaemonLease,
    pub session: Cell<Option<u64>>,
    pub state: RefCell<Rc<State>>,
    /// Woken whenever the state has changed.
    pub state_changed: Notify,
    /// What changed in the state since the grants were compared with it.
    pub touched: RefCell<Touched>,
    /// Woken whenever grants may have something to do.
    pub grants_changed: Notify,
    /// Woken when the session is to be renewed at once.
    pub renew_now: Notify,
    pub servers: RefCell<Vec<Rc<LocalServer>>>,
    /// Servers that are gone from here, but not yet from the replicated state.
    pub lost_servers: RefCell<Vec<LostServer>>,
    /// Woken whenever the list of local servers has changed.
    pub servers_changed: Notify,
    /// Peer address of the control host that answered last.
    pub leader: RefCell<String>,
    pub stopping: Cell<bool>,
    /// Calls that are being served.
    pub running: Cell<usize>,
    pub rng: RefCell<SmallRng>,
    next_call: Cell<u64>,
}

/// What a new node is made of.
pub(super) struct NodeParts {
    pub settings: Settings,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    pub links: Links,
    pub operator_keys: KeyRing,
    pub control: Option<ControlHandle>,
}

impl Node {
    pub fn new(parts: NodeParts) -> Self {
        let mut rng = SmallRng::from_os_rng();
        let leader = parts
            .settings
            .control_hosts
            .first()
            .map(|a| a.to_string())
            .unwrap_or_default();
        Self {
            settings: parts.settings,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            links: parts.links,
            operator_keys: parts.operator_keys,
            control: parts.control,
            process: rng.next_u64(),
            lease: DaemonLease::default(),
            session: Cell::new(None),
            state: RefCell::default(),
            state_changed: Notify::new(),
            touched: RefCell::default(),
            grants_changed: Notify::new(),
            renew_now: Notify::new(),
            servers: RefCell::default(),
            lost_servers: RefCell::default(),
            servers_changed: Notify::new(),
            leader: RefCell::new(leader),
            stopping: Cell::new(false),
            running: Cell::new(0),
            rng: RefCell::new(rng),
            next_call: Cell::new(0),
        }
    }

    /// Returns the state as it is now. It does not change while it is held.
    pub fn state(&self) -> Rc<State> {
        self.state.borrow().clone()
    }

    /// Replaces the state and wakes those who wait for a change.
    pub fn set_state(&self, state: State) {
        *self.state.borrow_mut() = Rc::new(state);
        self.touch(Touched::everything());
    }

    /// Applies committed changes in order and wakes those who wait for a change. The state is copied only
    /// if someone still holds the present one.
    pub fn apply_changes(&self, changes: &[Committed]) {
        let mut touched = Touched::default();
        {
            let mut held = self.state.borrow_mut();
            let state = Rc::make_mut(&mut held);
            for committed in changes {
                let follows = committed.index == state.applied() + 1;
                if let (true, Some(change)) = (follows, &committed.change) {
                    let applied = state.apply(committed.index, change);
                    touched.note(&applied, self.session.get());
                }
            }
        }
        self.touch(touched);
    }

    /// Has the grants compared with what changed.
    pub fn touch(&self, touched: Touched) {
        self.touched.borrow_mut().merge(touched);
        self.grants_changed.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Returns an id for an attempt that no other attempt has.
    pub fn new_call_id(&self) -> String {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        format!("{:016x}-{number:x}", self.process)
    }

    /// Returns the local server with this service and address.
    pub fn server(&self, service: &str, address: &str) -> Option<Rc<LocalServer>> {
        let servers = self.servers.borrow();
        let found = servers
            .iter()
            .find(|s| s.announced.service == service && s.announced.address == address);
        found.cloned()
    }

    /// Returns what the local servers announced, with those that may still own ranges though they are gone.
    pub fn announced(&self) -> Vec<Server> {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let lost = self.lost_servers.borrow();
        let mut listed: Vec<Server> = servers.iter().map(|server| server.published()).collect();
        for lost in lost.iter().filter(|l| l.is_held(now)) {
            // The successor of a process stands for it.
            if listed.iter().all(|s| s.incarnation != lost.published.incarnation) {
                listed.push(Server {
                    leaving: true,
                    ..lost.published.clone()
                });
            }
        }
        listed
    }

    /// Returns the incarnations of the servers that have certainly ended and are still to be published.
    pub fn ended_servers(&self) -> Vec<String> {
        let lost = self.lost_servers.borrow();
        // A process whose successor may still have its calls has not ended in every respect.
        let is_open = |l: &LostServer| {
            let successors = lost.iter().filter(|other| !other.has_ended());
            successors
                .into_iter()
                .any(|other| other.published.incarnation == l.incarnation())
        };
        let ended = lost.iter().filter(|l| l.has_ended() && !is_open(l));
        ended.map(|l| l.incarnation().to_owned()).collect()
    }

    /// Sends a request to the control host that answered last, and turns to the next one after a failure.
    pub async fn ask_control(&self, body: Body) -> Result<Body, LinkError> {
        let address = self.leader.borrow().clone();
        let answer = match timeout(CONTROL_TIMEOUT, self.links.request(&address, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(LinkError::Lost("no answer in time".into())),
        };
        if answer.is_err() {
            self.turn_to_next_control_host(&address);
        }
        answer
    }

    /// Follows the word of a control host that another one leads.
    pub fn follow_leader(&self, leader: &str) {
        if !leader.is_empty() {
            leader.clone_into(&mut self.leader.borrow_mut());
        }
    }

    /// Proposes a change. `None`: it is not known whether it was committed.
    pub async fn propose(&self, body: change::Body) -> Option<ProposeAnswer> {
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        match self
            .ask_control(Body::Propose(Propose { change: Some(change) }))
            .await
        {
            Ok(Body::ProposeAnswer(answer)) => {
                self.follow_leader(&answer.leader);
                (answer.index != 0).then_some(answer)
            }
            Ok(_) | Err(_) => None,
        }
    }

    fn turn_to_next_control_host(&self, failed: &str) {
        let hosts = &self.settings.control_hosts;
        let position = hosts.iter().position(|a| a.to_string() == failed).unwrap_or(0);
        if let Some(next) = hosts.get((position + 1) % hosts.len().max(1)) {
            *self.leader.borrow_mut() = next.to_string();
        }
    }
}
