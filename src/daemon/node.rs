use {
    super::local_server::LocalServer,
    crate::{
        call::{RetryBudget, Tenures},
        clock::Clock,
        control::{ControlHandle, Server, State},
        key::Key,
        lease::DaemonLease,
        link::{KeyRing, LinkError, Links},
        metrics::Metrics,
        route::{Balancer, Candidate},
        settings::Settings,
        wire::{
            control::{change, Change},
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
    pub servers: RefCell<Vec<Rc<LocalServer>>>,
    /// Woken whenever the list of local servers has changed.
    pub servers_changed: Notify,
    /// Peer address of the control host that answered last.
    pub leader: RefCell<String>,
    pub stopping: Cell<bool>,
    /// Calls that are being served.
    pub running: Cell<usize>,
    pub rng: RefCell<SmallRng>,
    /// What was seen of the servers of undivided services, anywhere.
    pub balancer: RefCell<Balancer>,
    /// What was seen of the servers behind this daemon.
    pub local_view: RefCell<Balancer>,
    pub retry_budget: RefCell<RetryBudget>,
    /// Servers of undivided services by service, as the present state has them.
    pub candidates: RefCell<Vec<(String, Rc<Vec<Candidate>>)>>,
    /// The guards that this daemon holds as owner or as copy.
    pub tenures: RefCell<Tenures>,
    /// Guards that are being brought here, by epoch and first key.
    pub establishing: RefCell<Vec<(u64, Key)>>,
    /// Woken whenever a guarded call has ended.
    pub guard_finished: Notify,
    /// Woken when a copy could not be reached.
    pub guard_copy_failed: Notify,
    /// Woken when this daemon can serve a range that it could not serve before.
    pub ownership_changed: Notify,
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
            servers: RefCell::default(),
            servers_changed: Notify::new(),
            leader: RefCell::new(leader),
            stopping: Cell::new(false),
            running: Cell::new(0),
            rng: RefCell::new(rng),
            balancer: RefCell::default(),
            local_view: RefCell::default(),
            retry_budget: RefCell::default(),
            candidates: RefCell::default(),
            tenures: RefCell::default(),
            establishing: RefCell::default(),
            guard_finished: Notify::new(),
            guard_copy_failed: Notify::new(),
            ownership_changed: Notify::new(),
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
        self.candidates.borrow_mut().clear();
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

    /// Returns what the local servers announced.
    pub fn announced(&self) -> Vec<Server> {
        let servers = self.servers.borrow();
        servers
            .iter()
            .map(|s| Server {
                leaving: s.leaving.get(),
                ..s.announced.clone()
            })
            .collect()
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
