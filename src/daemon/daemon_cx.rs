use {
    super::{
        decisions::Decisions,
        kept_answers::KeptAnswers,
        large_answers::LargeAnswers,
        left_servers::LeftServers,
        local_server::{LocalServer, LostServer},
        removed_heartbeats::RemovedHeartbeats,
    },
    crate::{
        call::{HedgePolicy, RetryBudget, Tenures},
        clock::{Clock, Ms},
        control::{Applied, ControlHandle, Server, State},
        edge::ServerDialect,
        event::{Event, RateLimit},
        grant::ChangedSpans,
        key::Key,
        lease::{ConfigAge, ConfigFreshness, DaemonLease, EvacuationGate},
        link::{KeyRing, Links},
        log_event,
        memory::{MemoryBudget, ProcessLimit},
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

/// Number of start positions of the round robin of routes. Each daemon samples one, so that not all daemons send their
/// first calls to the same service.
const ROUND_ROBIN_PHASES: u32 = 100;

/// State that the tasks of the I/O loop share. All of them run on one thread.
pub(super) struct DaemonCx {
    pub settings: Settings,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    /// Memory that this process may use.
    pub memory: ProcessLimit,
    /// Budget of the memory that others make this process hold.
    pub budget: MemoryBudget,
    pub large_answers: LargeAnswers,
    pub kept_answers: KeptAnswers,
    /// Links for calls and guards.
    pub links: Links,
    /// Links for requests to control hosts. They are separate, so that such a request never waits behind calls to the
    /// same host.
    pub control_links: Links,
    pub operator_keys: KeyRing,
    /// Limits the log lines about refused requests of operators and servers.
    pub refusal_log_limit: RefCell<RateLimit>,
    /// The most recent decisions that this daemon has applied.
    pub decisions: RefCell<Decisions>,
    /// Handle to the control loop of this process, if this is a control host.
    pub control: Option<ControlHandle>,
    /// Random number that identifies this process.
    pub process: u64,
    pub lease: DaemonLease,
    /// Tracks the age of the configuration.
    pub freshness: RefCell<ConfigFreshness>,
    /// Result of the last check of the configuration's age, so that only changes are logged.
    pub config_age: Cell<ConfigAge>,
    /// Stops calls to the local servers while their failure domain is evacuated.
    pub evacuation_gate: RefCell<EvacuationGate>,
    pub session: Cell<Option<u64>>,
    /// Log index at which the session was opened or taken over. Earlier states may be out of date about this daemon.
    pub session_start_index: Cell<u64>,
    /// Whether local servers fetch their grants with their heartbeats.
    pub fetches_grants: bool,
    /// The HTTP interface of local servers.
    pub dialect: Rc<dyn ServerDialect>,
    /// Peer addresses of the known control hosts.
    pub control_hosts: RefCell<Vec<String>>,
    /// Distributes the calls of each route over its services.
    pub round_robin: RefCell<WeightedRoundRobin>,
    /// Estimates when the first attempts of calls by routes arrived.
    pub first_arrivals: RefCell<FirstArrivals>,
    pub owner_throttle: RefCell<EntryThrottle>,
    pub service_throttle: RefCell<EntryThrottle>,
    /// Retry budgets of calls by routes, sorted by service.
    pub route_budgets: RefCell<Vec<(String, RetryBudget)>>,
    /// Decide on hedged requests, sorted by service. Empty while hedged requests are disabled.
    pub hedge_policies: RefCell<Vec<(String, HedgePolicy)>>,
    pub state: RefCell<Rc<State>>,
    /// Notified when the state has changed.
    pub state_changed: Notify,
    /// Changes of the state that the grants have not been reconciled with yet.
    pub changed_spans: RefCell<ChangedSpans>,
    /// Notified when grants may need an action.
    pub grants_changed: Notify,
    /// Notified when the session must be renewed at once.
    pub renew_now: Notify,
    pub servers: RefCell<Vec<Rc<LocalServer>>>,
    /// Servers that this daemon has removed, but that are still in the replicated state.
    pub lost_servers: RefCell<Vec<LostServer>>,
    /// Local servers that have announced that they leave, including lost ones.
    pub left_servers: RefCell<LeftServers>,
    /// Last heartbeats of the local servers that this daemon has removed.
    pub removed_heartbeats: RefCell<RemovedHeartbeats>,
    /// Number of the last list of servers that this process has sent, or 0 if it has sent none.
    pub last_list: Cell<u64>,
    /// Notified when the list of local servers has changed.
    pub servers_changed: Notify,
    /// Notified when the time until which a local server is cold may have changed.
    pub warmups_changed: Notify,
    /// Peer address of the control host that is asked first: the one that answered last as the leader, or the next
    /// candidate.
    pub leader: RefCell<String>,
    /// Added to `process` to choose the control host that this daemon watches. It grows by one when that host fails.
    pub watch_offset: Cell<usize>,
    pub is_stopping: Cell<bool>,
    /// Whether the daemon has stopped sending calls to its servers.
    pub refuses_calls: Cell<bool>,
    /// Number of calls that are being served.
    pub running_calls: Cell<usize>,
    /// Number of requests of callers, servers and operators that are being served.
    pub running_requests: Cell<usize>,
    pub rng: RefCell<SmallRng>,
    /// Measures the load of the local servers by range.
    pub load_meter: RefCell<LoadMeter>,
    /// Chooses servers of undivided services on all hosts.
    pub balancer: RefCell<Balancer>,
    /// Ejects local servers whose calls fail.
    pub local_balancer: RefCell<Balancer>,
    pub retry_budget: RefCell<RetryBudget>,
    /// Servers of undivided services by service, cached for the current state.
    pub candidates: RefCell<Vec<(String, Rc<Vec<Candidate>>)>>,
    /// The guards that this daemon holds, as owner or as copy.
    pub tenures: RefCell<Tenures>,
    /// Service and guard key of the running calls that the guards of this daemon admitted.
    pub admitted_calls: RefCell<Vec<(String, Key)>>,
    /// Guards that are being established on this daemon, by epoch and first key.
    pub pending_guards: RefCell<Vec<(u64, Key)>>,
    /// Notified when a guarded call has ended.
    pub guard_finished: Notify,
    /// Notified when the holder of a copy could not be reached.
    pub guard_copy_failed: Notify,
    /// Notified when this daemon may be able to serve a range that it could not serve before.
    pub ownership_changed: Notify,
    next_call_number: Cell<u64>,
}

/// The values that a new [`DaemonCx`] is built from.
pub(super) struct DaemonParts {
    pub memory: ProcessLimit,
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
        let balance = parts.settings.balance;
        let mut settings = parts.settings;
        let limits = &mut settings.caller_limits;
        limits.connections = limits
            .connections
            .min(parts.memory.connections(limits.head_bytes));
        let budget = MemoryBudget::of_process(parts.memory.bytes, parts.clock.clone());
        Self {
            large_answers: LargeAnswers::new(budget.limit()),
            kept_answers: KeptAnswers::default(),
            budget,
            memory: parts.memory,
            settings,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            links: parts.links,
            control_links: parts.control_links,
            operator_keys: parts.operator_keys,
            refusal_log_limit: RefCell::default(),
            decisions: RefCell::default(),
            control: parts.control,
            process: rng.next_u64(),
            lease: DaemonLease::default(),
            freshness: RefCell::default(),
            config_age: Cell::new(ConfigAge::Fresh),
            evacuation_gate: RefCell::default(),
            session: Cell::new(None),
            session_start_index: Cell::new(0),
            fetches_grants: parts.fetches_grants,
            dialect: parts.dialect,
            control_hosts: RefCell::new(control_hosts),
            round_robin: RefCell::new(WeightedRoundRobin::new(rng.random_range(0..ROUND_ROBIN_PHASES))),
            first_arrivals: RefCell::default(),
            owner_throttle: RefCell::new(EntryThrottle::for_owners()),
            service_throttle: RefCell::new(EntryThrottle::for_services()),
            route_budgets: RefCell::default(),
            hedge_policies: RefCell::default(),
            state: RefCell::default(),
            state_changed: Notify::new(),
            changed_spans: RefCell::default(),
            grants_changed: Notify::new(),
            renew_now: Notify::new(),
            servers: RefCell::default(),
            lost_servers: RefCell::default(),
            left_servers: RefCell::default(),
            removed_heartbeats: RefCell::default(),
            last_list: Cell::new(0),
            servers_changed: Notify::new(),
            warmups_changed: Notify::new(),
            leader: RefCell::new(leader),
            watch_offset: Cell::new(0),
            is_stopping: Cell::new(false),
            refuses_calls: Cell::new(false),
            running_calls: Cell::new(0),
            running_requests: Cell::new(0),
            rng: RefCell::new(rng),
            load_meter: RefCell::new(LoadMeter::new(Ms::ZERO)),
            balancer: RefCell::new(Balancer::new(balance)),
            local_balancer: RefCell::default(),
            retry_budget: RefCell::default(),
            candidates: RefCell::default(),
            tenures: RefCell::default(),
            admitted_calls: RefCell::default(),
            pending_guards: RefCell::default(),
            guard_finished: Notify::new(),
            guard_copy_failed: Notify::new(),
            ownership_changed: Notify::new(),
            next_call_number: Cell::new(0),
        }
    }

    /// Returns a snapshot of the state.
    pub fn state(&self) -> Rc<State> {
        self.state.borrow().clone()
    }

    /// Replaces the state and wakes the tasks that wait for a change.
    pub fn set_state(&self, state: State) {
        let is_first = self.state.replace(Rc::new(state)).applied() == 0;
        self.follow_evacuation(is_first);
        self.record_changes(ChangedSpans::everything());
    }

    /// Applies committed changes in order and wakes the tasks that wait for a change. The state is copied only if a
    /// snapshot of it is still in use. Returns false if a change does not fit the state, so that the whole state has to
    /// be fetched.
    pub fn apply_changes(&self, changes: &[Committed]) -> bool {
        let mut changed_spans = ChangedSpans::default();
        let mut fits = true;
        let is_first = self.state.borrow().applied() == 0;
        {
            let mut held = self.state.borrow_mut();
            let state = Rc::make_mut(&mut held);
            for committed in changes {
                let follows = committed.index == state.applied() + 1;
                if let (true, Some(change)) = (follows, &committed.change) {
                    let applied = state.apply(committed.index, change);
                    fits &= applied != Applied::PatchBaseMismatch;
                    self.decisions.borrow_mut().record(committed, &applied);
                    changed_spans.record(&applied, self.session.get());
                }
            }
        }
        self.follow_evacuation(is_first);
        self.record_changes(changed_spans);
        fits
    }

    /// Records a change of the state or of the local servers, and wakes the tasks that reconcile grants or wait for the
    /// state.
    pub fn record_changes(&self, changed_spans: ChangedSpans) {
        let revision = self.state.borrow().revision().index;
        self.freshness.borrow_mut().record_held(revision);
        self.metrics.gauge(Metric::Revision, &[], revision);
        self.candidates.borrow_mut().clear();
        // Calls that wait for the state must not start before its limits apply.
        self.update_limits();
        self.changed_spans.borrow_mut().merge(changed_spans);
        self.grants_changed.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Returns whether this daemon may lack a configuration that other daemons have used for a while, or does not know
    /// yet which one is the newest. Logs each change of the result.
    pub fn is_stale(&self) -> bool {
        let (now, lease) = (self.clock.now(), &self.settings.lease);
        let age = self.freshness.borrow().age(lease.max_config_age, lease.ttl, now);
        if self.config_age.replace(age) != age {
            self.log_config_age(age, now);
        }
        !age.is_usable()
    }

    fn log_config_age(&self, age: ConfigAge, now: Ms) {
        let freshness = self.freshness.borrow();
        let revision = self.state.borrow().revision().index;
        let since_proof = freshness.since_confirmation(now).map(|age| age.0);
        let round_trip = freshness.round_trip().0;
        let event = match age {
            ConfigAge::Fresh => Event::ConfigurationConfirmed,
            ConfigAge::Stale | ConfigAge::Unconfirmed => Event::ConfigurationStale,
            ConfigAge::Unknown => {
                log_event!(
                    self.log, Event::ConfigurationUnconfirmed;
                    "revision" => revision, "since_proof_ms" => since_proof, "round_trip_ms" => round_trip,
                    "leader" => self.leader.borrow().as_str(), "watched" => self.watched_host().unwrap_or_default()
                );
                return;
            }
        };
        log_event!(
            self.log, event;
            "revision" => revision, "since_proof_ms" => since_proof, "round_trip_ms" => round_trip
        );
    }

    /// Returns a unique id for an attempt.
    pub fn new_call_id(&self) -> String {
        let number = self.next_call_number.get();
        self.next_call_number.set(number + 1);
        format!("{:016x}-{number:x}", self.process)
    }

    /// Adds `busy` to the measured load of the range of `key`: the time for which a call kept a local server busy, or
    /// would have done so.
    pub fn record_busy_time(&self, service: &str, key: &Key, busy: Ms) {
        let state = self.state();
        let table = state.table(service).filter(|_| state.is_divided(service));
        if let Some(table) = table {
            let start = &table.range_of(key).start;
            self.load_meter.borrow_mut().add(service, start, key, busy);
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

    /// Returns the entries of the local servers, including removed ones that may still own ranges.
    pub fn announced_servers(&self) -> Vec<Server> {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let lost = self.lost_servers.borrow();
        let live = servers.iter().map(|server| {
            let published = server.published();
            Server {
                // A server that fetches its grants keeps its keys while its daemon restarts.
                leaving: published.leaving || self.is_stopping.get() && !self.fetches_grants,
                ..published
            }
        });
        let mut listed: Vec<Server> = live.collect();
        for lost in lost.iter().filter(|l| l.may_hold_ranges(now)) {
            // The next process at the same address may still publish this entry, see `LocalServer::published`.
            if listed.iter().all(|s| s.incarnation != lost.published.incarnation) {
                listed.push(Server {
                    leaving: true,
                    ..lost.published.clone()
                });
            }
        }
        listed
    }

    /// Returns whether a server behind this daemon owns a range.
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

    /// Returns the incarnations of the servers that have certainly ended, to be published as ended.
    pub fn ended_servers(&self) -> Vec<String> {
        let lost = self.lost_servers.borrow();
        // A process whose successor may still run its calls does not count as ended.
        let has_unfinished_successor = |l: &LostServer| {
            let successors = lost.iter().filter(|other| !other.has_ended());
            successors
                .into_iter()
                .any(|other| other.published.incarnation == l.incarnation())
        };
        let ended = lost
            .iter()
            .filter(|l| l.has_ended() && !has_unfinished_successor(l));
        ended.map(|l| l.incarnation().to_owned()).collect()
    }
}
