use {
    super::{
        decisions::Decisions,
        left_servers::LeftServers,
        local_server::{LocalServer, LostServer},
    },
    crate::{
        call::{RetryBudget, Tenures},
        clock::{Clock, Ms},
        control::{Applied, ControlHandle, Server, State},
        edge::ServerDialect,
        event::{Event, RateLimit},
        grant::ChangedSpans,
        key::Key,
        lease::{ConfigAge, ConfigFreshness, DaemonLease},
        link::{KeyRing, Links},
        log_event,
        metrics::{Metric, Metrics},
        placement::LoadMeter,
        route::{Balancer, Candidate, EntryThrottle, FirstArrivals, WeightedRoundRobin},
        settings::Settings,
        wire::control::Committed,
    },
    rand::{rngs::SmallRng, Rng, RngCore, SeedableRng},
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// Phases of the turns of weighted routes, so that daemons differ in whom they serve first.
const TURN_PHASES: u32 = 100;

/// What the tasks of the I/O duty share. All of them run on one thread.
pub(super) struct DaemonCx {
    pub settings: Settings,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    /// Links for calls and guards.
    pub links: Links,
    /// Links for requests to control hosts, which never wait behind calls of the same host.
    pub control_links: Links,
    pub operator_keys: KeyRing,
    /// Limit of the log lines on refused requests of operators and servers.
    pub refusals: RefCell<RateLimit>,
    /// The last decisions that this daemon saw committed.
    pub decisions: RefCell<Decisions>,
    /// The near end of the control duty on a control host.
    pub control: Option<ControlHandle>,
    /// Random number of this process.
    pub process: u64,
    pub lease: DaemonLease,
    /// How old the configuration may be.
    pub freshness: RefCell<ConfigFreshness>,
    /// True while calls are refused, since the configuration may be old.
    pub stale: Cell<bool>,
    pub session: Cell<Option<u64>>,
    /// Log index at which the session was opened or taken over. What the state says of this daemon counts from
    /// there on.
    pub session_floor: Cell<u64>,
    /// True: local servers fetch their grants with their heartbeats.
    pub fetches_grants: bool,
    /// The HTTP that local servers speak.
    pub dialect: Rc<dyn ServerDialect>,
    /// Peer addresses of the control hosts that are known.
    pub control_hosts: RefCell<Vec<String>>,
    /// Turns of the services of each route.
    pub turns: RefCell<WeightedRoundRobin>,
    /// Longest times that callers of routes gave.
    pub first_arrivals: RefCell<FirstArrivals>,
    pub owner_throttle: RefCell<EntryThrottle>,
    pub service_throttle: RefCell<EntryThrottle>,
    /// Retries of calls that came by a route, by service; sorted.
    pub route_budgets: RefCell<Vec<(String, RetryBudget)>>,
    pub state: RefCell<Rc<State>>,
    /// Woken whenever the state has changed.
    pub state_changed: Notify,
    /// What changed in the state since the grants were compared with it.
    pub touched: RefCell<ChangedSpans>,
    /// Woken whenever grants may have something to do.
    pub grants_changed: Notify,
    /// Woken when the session is to be renewed at once.
    pub renew_now: Notify,
    pub servers: RefCell<Vec<Rc<LocalServer>>>,
    /// Servers that are gone from here, but not yet from the replicated state.
    pub lost_servers: RefCell<Vec<LostServer>>,
    /// Local servers that said that they leave, also those that are lost.
    pub left_servers: RefCell<LeftServers>,
    /// Woken whenever the list of local servers has changed.
    pub servers_changed: Notify,
    /// Peer address of the control host that answered last.
    pub leader: RefCell<String>,
    /// Control hosts that this daemon has turned away from as it follows the committed changes.
    pub watched: Cell<usize>,
    pub stopping: Cell<bool>,
    /// True once the daemon sends no more calls to its servers.
    pub refusing: Cell<bool>,
    /// Calls that are being served.
    pub running: Cell<usize>,
    pub rng: RefCell<SmallRng>,
    /// Work of the local servers by range.
    pub meter: RefCell<LoadMeter>,
    /// What was seen of the servers of undivided services, anywhere.
    pub balancer: RefCell<Balancer>,
    /// What was seen of the servers behind this daemon.
    pub local_view: RefCell<Balancer>,
    pub retry_budget: RefCell<RetryBudget>,
    /// Servers of undivided services by service, as the present state has them.
    pub candidates: RefCell<Vec<(String, Rc<Vec<Candidate>>)>>,
    /// The guards that this daemon holds as owner or as copy.
    pub tenures: RefCell<Tenures>,
    /// Service and guard key of the calls that guards of this daemon let through and that run.
    pub let_through: RefCell<Vec<(String, Key)>>,
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

/// What a new cx is made of.
pub(super) struct DaemonParts {
    pub settings: Settings,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    pub links: Links,
    pub control_links: Links,
    pub operator_keys: KeyRing,
    pub control: Option<ControlHandle>,
    pub dialect: Rc<dyn ServerDialect>,
    pub fetches_grants: bool,
}

impl DaemonCx {
    pub fn new(parts: DaemonParts) -> Self {
        let mut rng = SmallRng::from_os_rng();
        let listed = parts.settings.control_hosts.iter();
        let mut control_hosts: Vec<String> = listed.map(|a| a.to_string()).collect();
        let own = parts.settings.peer_address.to_string();
        if parts.control.is_some() && !control_hosts.contains(&own) {
            control_hosts.insert(0, own);
        }
        let leader = control_hosts.first().cloned().unwrap_or_default();
        Self {
            settings: parts.settings,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            links: parts.links,
            control_links: parts.control_links,
            operator_keys: parts.operator_keys,
            refusals: RefCell::default(),
            decisions: RefCell::default(),
            control: parts.control,
            process: rng.next_u64(),
            lease: DaemonLease::default(),
            freshness: RefCell::default(),
            stale: Cell::new(false),
            session: Cell::new(None),
            session_floor: Cell::new(0),
            fetches_grants: parts.fetches_grants,
            dialect: parts.dialect,
            control_hosts: RefCell::new(control_hosts),
            turns: RefCell::new(WeightedRoundRobin::new(rng.random_range(0..TURN_PHASES))),
            first_arrivals: RefCell::default(),
            owner_throttle: RefCell::new(EntryThrottle::for_owners()),
            service_throttle: RefCell::new(EntryThrottle::for_services()),
            route_budgets: RefCell::default(),
            state: RefCell::default(),
            state_changed: Notify::new(),
            touched: RefCell::default(),
            grants_changed: Notify::new(),
            renew_now: Notify::new(),
            servers: RefCell::default(),
            lost_servers: RefCell::default(),
            left_servers: RefCell::default(),
            servers_changed: Notify::new(),
            leader: RefCell::new(leader),
            watched: Cell::new(0),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            running: Cell::new(0),
            rng: RefCell::new(rng),
            meter: RefCell::new(LoadMeter::new(Ms::ZERO)),
            balancer: RefCell::default(),
            local_view: RefCell::default(),
            retry_budget: RefCell::default(),
            candidates: RefCell::default(),
            tenures: RefCell::default(),
            let_through: RefCell::default(),
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
        self.touch(ChangedSpans::everything());
    }

    /// Applies committed changes in order and wakes those who wait for a change. The state is copied only
    /// if someone still holds the present one. False: a change is for another state, and the whole state is needed.
    pub fn apply_changes(&self, changes: &[Committed]) -> bool {
        let mut touched = ChangedSpans::default();
        let mut fits = true;
        {
            let mut held = self.state.borrow_mut();
            let state = Rc::make_mut(&mut held);
            for committed in changes {
                let follows = committed.index == state.applied() + 1;
                if let (true, Some(change)) = (follows, &committed.change) {
                    let applied = state.apply(committed.index, change);
                    fits &= applied != Applied::PatchBaseMismatch;
                    self.decisions.borrow_mut().record(committed, &applied);
                    touched.record(&applied, self.session.get());
                }
            }
        }
        self.touch(touched);
        fits
    }

    /// Has the grants compared with what changed.
    pub fn touch(&self, touched: ChangedSpans) {
        let revision = self.state.borrow().revision().index;
        self.freshness.borrow_mut().record_held(revision);
        self.metrics.gauge(Metric::Revision, &[], revision);
        self.candidates.borrow_mut().clear();
        self.touched.borrow_mut().merge(touched);
        self.grants_changed.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Tells if a configuration may be missing that others have followed for a while.
    pub fn is_stale(&self) -> bool {
        let (now, lease) = (self.clock.now(), &self.settings.lease);
        let freshness = self.freshness.borrow();
        let stale = freshness.age(lease.max_config_age, lease.ttl, now) == ConfigAge::Stale;
        if self.stale.replace(stale) != stale {
            let event = match stale {
                true => Event::ConfigurationStale,
                false => Event::ConfigurationConfirmed,
            };
            log_event!(
                self.log, event;
                "revision" => self.state.borrow().revision().index,
                "since_proof_ms" => freshness.since_confirmation(now).0, "round_trip_ms" => freshness.round_trip().0
            );
        }
        stale
    }

    /// Returns an id for an attempt that no other attempt has.
    pub fn new_call_id(&self) -> String {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        format!("{:016x}-{number:x}", self.process)
    }

    /// Counts a call for `key` that kept a local server busy for `busy`, or would have done so.
    pub fn measure(&self, service: &str, key: &Key, busy: Ms) {
        let state = self.state();
        let table = state.table(service).filter(|_| state.is_divided(service));
        if let Some(table) = table {
            let start = &table.range_of(key).start;
            self.meter.borrow_mut().add(service, start, key, busy);
        }
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
        let live = servers.iter().map(|server| {
            let published = server.published();
            Server {
                // A server that fetches its grants keeps its keys while its daemon is started anew.
                leaving: published.leaving || self.stopping.get() && !self.fetches_grants,
                ..published
            }
        });
        let mut listed: Vec<Server> = live.collect();
        for lost in lost.iter().filter(|l| l.may_hold_ranges(now)) {
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

    /// Tells if a server behind this daemon owns a range.
    pub fn owns_ranges(&self) -> bool {
        let state = self.state();
        let Some(session) = self.session.get() else {
            return false;
        };
        let ranges = state.range_tables().iter().flat_map(|table| table.ranges());
        ranges
            .flat_map(|range| &range.owner)
            .any(|o| o.session == session)
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
}
