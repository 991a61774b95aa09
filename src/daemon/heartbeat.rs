use {
    super::{
        daemon_cx::DaemonCx,
        local_server::{GrantDelivery, LocalServer},
        slot_gate::SlotGate,
    },
    crate::{
        call::WarmupState,
        clock::Ms,
        control::Server,
        edge::{check_server, ServerLimits},
        event::Event,
        grant::{wanted_holds, ChangedSpans, FreedSpan, Hold, HoldTable, Released, ReportedSpan},
        log_event,
        wire::control::{change, RangeReleased},
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        sync::Mutex,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest hold that a heartbeat is answered with. It spans three regular heartbeats, so that a late one loses no keys,
/// and it bounds the time for which the keys of a silent server have no owner.
const HOLD_MAX: Ms = Ms(3000);
/// Shortest hold that is given. If less is left of the lease, the server gets no hold.
const HOLD_MIN: Ms = Ms(200);
/// Length of a hold in percent of the rest of the lease, because a server's clock may run 2% slow.
const HOLD_PERCENT: u64 = 97;
/// Longest time to wait for a session before the adoption of servers is tried again.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before the next attempt to adopt servers while the state does not list the session.
const ADOPTION_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections for each slot of a server that sends heartbeats, which do not say how many it accepts. The schema may
/// allow more.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// A heartbeat of a local server that fetches its grants.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address at which the server takes calls.
    pub address: SocketAddr,
    /// Name of the server process, usually a new one at each start.
    pub instance: String,
    /// Start of the process in ms since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the heartbeat, which grows until the process ends.
    pub sequence: u64,
    /// Number of calls that the server runs at the same time.
    pub slots: u32,
    /// Whether the server takes no new calls because it drains.
    pub draining: bool,
    /// Time for which the server stays cold, or zero if it is warm.
    pub warmup_left: Ms,
    /// Whether it lists the spans that the server holds and has given up, as each server of a service that is divided by
    /// key does.
    pub lists_spans: bool,
    /// Spans that it holds or still works on.
    pub holds: Vec<ReportedSpan>,
    /// Spans that it has given up since its last acknowledged heartbeat.
    pub freed: Vec<FreedSpan>,
}

/// The grants that answer a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldAnswer {
    /// All spans that the server is to hold.
    pub holds: Vec<Hold>,
    /// Time for which it holds them, from when the heartbeat was sent.
    pub hold: Ms,
}

/// Why a heartbeat has no effect.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HeartbeatError {
    /// The sender is not a server of this host.
    #[error("{0}")]
    Refused(String),
    /// A later state of the server is known.
    #[error("{0}")]
    Outdated(&'static str),
    /// It says that the server leaves, and that is not known to be committed.
    #[error("the departure is not known to be committed")]
    NotCommitted,
}

impl DaemonCx {
    /// Processes a heartbeat of a local server. Returns its grants, or `None` if it gets none now. If the server drains,
    /// this returns once its departure is committed.
    ///
    /// # Errors
    /// Returns the reason why the heartbeat must not be acknowledged, or is out of date.
    pub async fn heartbeat(
        self: &Rc<Self>,
        heartbeat: Heartbeat,
    ) -> Result<Option<HoldAnswer>, HeartbeatError> {
        check_server(&heartbeat.service, heartbeat.address, &self.settings)
            .map_err(HeartbeatError::Refused)?;
        if !heartbeat.lists_spans && self.is_or_was_divided(&heartbeat.service) {
            let reason = "its service is divided by key, and it does not list its spans";
            return Err(HeartbeatError::Refused(reason.into()));
        }
        let answer = self.apply_heartbeat(&heartbeat);
        let is_acknowledged = !heartbeat.draining
            || self
                .commit_departure(&heartbeat.instance, heartbeat.started_ms)
                .await;
        match is_acknowledged {
            true => answer,
            false => Err(HeartbeatError::NotCommitted),
        }
    }

    /// Returns whether the schema divides a service by key, or an earlier one did and its servers may still hold keys.
    fn is_or_was_divided(&self, service: &str) -> bool {
        let state = self.state();
        let retired = state.retired_services().iter();
        let mut retired = retired.filter(|r| r.divided_by_key && r.has_owner());
        state.is_divided(service) || retired.any(|r| r.ranges.service == service)
    }

    /// Updates the server that sent a heartbeat. Returns its grants, or `None` if it gets none now.
    fn apply_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat) -> Result<Option<HoldAnswer>, HeartbeatError> {
        let server = self.find_or_add_server(heartbeat).map_err(|reason| {
            log_event!(
                self.log, Event::HeartbeatIgnored;
                "server" => heartbeat.address.to_string(), "instance" => &heartbeat.instance,
                "sequence" => heartbeat.sequence, "reason" => reason
            );
            HeartbeatError::Outdated(reason)
        })?;
        server
            .last_heartbeat
            .set((heartbeat.started_ms, heartbeat.sequence));
        server.last_announce.set(self.clock.now());
        let mut warmup = server.warmup.get();
        warmup.record_heartbeat(heartbeat.warmup_left, self.clock.now());
        server.warmup.set(warmup);
        self.update_limits();
        self.warmups_changed.notify_one();
        if heartbeat.draining {
            self.mark_leaving(&server, "it drains");
        }
        Ok(self.answer_heartbeat(&server, heartbeat))
    }

    /// Returns the service that calls from this host come from. If the settings name several, it is that of the server
    /// with the latest start.
    pub fn local_service(&self) -> String {
        let services = &self.settings.services;
        if let [only] = services.as_slice() {
            return only.clone();
        }
        let servers = self.servers.borrow();
        let newest = servers.iter().max_by_key(|s| s.last_heartbeat.get());
        let service = newest.map(|s| &s.announced.service);
        service.or(services.first()).cloned().unwrap_or_default()
    }

    /// Returns the server that sent a heartbeat, and adds it first if it is new.
    fn find_or_add_server(self: &Rc<Self>, heartbeat: &Heartbeat) -> Result<Rc<LocalServer>, &'static str> {
        let incarnation = incarnation(heartbeat);
        let removed = self.removed_heartbeats.borrow();
        if removed.is_late(&incarnation, heartbeat.sequence) {
            return Err("a later heartbeat was received before the server was removed");
        }
        drop(removed);
        let address = heartbeat.address.to_string();
        let known = self
            .servers
            .borrow()
            .iter()
            .find(|s| s.announced.address == address)
            .cloned();
        let is_known_process = known
            .as_ref()
            .is_some_and(|k| k.announced.incarnation == incarnation);
        if !heartbeat.lists_spans && !self.state().has_schema() && !is_known_process {
            return Err("it lists no spans, and whether its service is divided by key is not known");
        }
        let Some(known) = known else {
            if self.has_left(&heartbeat.instance, heartbeat.started_ms) {
                return Err("it has left");
            }
            return Ok(self.add_server(heartbeat, None));
        };
        let (started, sequence) = known.last_heartbeat.get();
        if heartbeat.started_ms < started {
            return Err("a later process has the address");
        }
        if known.announced.incarnation == incarnation && known.announced.service == heartbeat.service {
            if heartbeat.started_ms == started && heartbeat.sequence <= sequence {
                return Err("a later heartbeat is known");
            }
            return Ok(known);
        }
        if heartbeat.started_ms == started {
            return Err("another process started at the same time");
        }
        self.detach_server(&known, "it was restarted");
        Ok(self.add_server(heartbeat, Some(known)))
    }

    fn add_server(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        predecessor: Option<Rc<LocalServer>>,
    ) -> Rc<LocalServer> {
        let schema = self.state().schema().clone();
        let connections = schema.service(&heartbeat.service).map_or(0, |s| s.connections);
        let announced = Server {
            service: heartbeat.service.clone(),
            address: heartbeat.address.to_string(),
            incarnation: incarnation(heartbeat),
            slots: heartbeat.slots.max(1),
            connections: connections.max(heartbeat.slots.max(1) * CONNECTIONS_PER_SLOT),
            checks_fencing: true,
            leaving: false,
            cold: false,
        };
        log_event!(
            self.log, Event::ServerAnnounced;
            "service" => &announced.service, "server" => &announced.address,
            "incarnation" => &announced.incarnation, "slots" => announced.slots
        );
        let warmup = WarmupState::reported(heartbeat.warmup_left, self.clock.now());
        let earlier_holds_end = self.earlier_holds_end(&announced);
        let server = self.new_fetching_server(announced, warmup);
        server.orders.record_lease_end(earlier_holds_end);
        server.is_crash_counted.set(predecessor.is_none());
        if let Some(predecessor) = predecessor {
            let (cx, server) = (self.clone(), server.clone());
            spawn_local(async move {
                cx.report_crash(&predecessor).await;
                server.is_crash_counted.set(true);
                cx.ownership_changed.notify_waiters();
            });
        }
        self.lost_servers
            .borrow_mut()
            .retain(|lost| lost.incarnation() != server.announced.incarnation);
        self.servers.borrow_mut().push(server.clone());
        self.servers_changed.notify_one();
        self.record_changes(ChangedSpans::everything());
        server
    }

    /// Returns the latest end of the holds that were given to a server before it is added: by an earlier process of this
    /// daemon right before it ended, or before this process removed the server.
    fn earlier_holds_end(&self, announced: &Server) -> Ms {
        if self.last_list.get() == 0 {
            return self.clock.now() + HOLD_MAX;
        }
        let lost = self.lost_server(announced);
        lost.map_or(Ms::ZERO, |lost| lost.orders.leases_end_at())
    }

    fn new_fetching_server(&self, announced: Server, warmup: WarmupState) -> Rc<LocalServer> {
        let limits = ServerLimits {
            answer_bytes: self.settings.caller_limits.answer_bytes,
            idle_connections: announced.slots as usize,
        };
        Rc::new(LocalServer {
            client: self.server_client(&announced.address, limits),
            gate: SlotGate::new(announced.slots, self.clock.clone()),
            lost_calls: RefCell::default(),
            crash_report: Mutex::default(),
            is_crash_counted: Cell::new(true),
            orders: GrantDelivery::Fetched(Rc::new(RefCell::new(HoldTable::default()))),
            listed_in: Cell::new(self.listed_in_of_new_server()),
            last_announce: Cell::new(self.clock.now()),
            last_heartbeat: Cell::default(),
            notice: Cell::default(),
            notice_log_limit: RefCell::default(),
            warmup: Cell::new(warmup),
            is_cold: Cell::new(false),
            limit_per_s: Cell::default(),
            reported_slots: Cell::default(),
            slots_log_limit: RefCell::default(),
            bad_load_log_limit: RefCell::default(),
            is_leaving: Cell::new(false),
            closes_at: Cell::new(Ms::MAX),
            predecessor: RefCell::default(),
            grants: RefCell::default(),
            has_failed_revoke: Cell::new(false),
            running: RefCell::default(),
            is_lease_order_pending: Cell::default(),
            announced,
        })
    }

    fn answer_heartbeat(
        self: &Rc<Self>,
        server: &Rc<LocalServer>,
        heartbeat: &Heartbeat,
    ) -> Option<HoldAnswer> {
        let GrantDelivery::Fetched(hold_table) = &server.orders else {
            return None;
        };
        let now = self.clock.now();
        let state = self.state();
        let session = self.session.get();
        // A state from before this process took over the session may be out of date, and so is one that lacks a list of
        // this process without the server.
        let is_current = state.applied() >= self.session_start_index.get()
            && server.grant_target(session).is_known(&state);
        if session.is_some() && !is_current {
            log_event!(
                self.log, Event::GrantsWithheld;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "number" => server.listed_in.get(), "applied" => state.applied()
            );
        }
        let session = session.filter(|_| is_current);
        let hold = match session {
            Some(_) => Ms(self.lease.remaining(now).min(HOLD_MAX).0 * HOLD_PERCENT / 100),
            None => Ms::ZERO,
        };
        let hold = if hold < HOLD_MIN { Ms::ZERO } else { hold };
        let unreported = hold_table.borrow().unreported(&heartbeat.holds);
        if let Some(first) = unreported.first() {
            log_event!(
                self.log, Event::GrantNotTaken;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "count" => unreported.len(), "range" => first.span.to_string(), "epoch" => first.epoch,
                "sequence" => heartbeat.sequence
            );
        }
        let wanted = wanted_holds(&state, &server.grant_target(session));
        let before = hold_table.borrow().summary();
        let (holds, released) =
            hold_table
                .borrow_mut()
                .heartbeat(&heartbeat.holds, heartbeat.freed.clone(), wanted, hold, now);
        let (spans, epoch) = hold_table.borrow().summary();
        if (spans, epoch) != before {
            let session = session.and_then(|id| state.session(id));
            log_event!(
                self.log, Event::HoldsChanged;
                "service" => &server.announced.service, "server" => &server.announced.address,
                "spans" => spans, "epoch" => epoch, "number" => session.map(|s| s.servers_number),
                "applied" => state.applied()
            );
        }
        for release in released {
            spawn_local(self.clone().report_release(server.clone(), release));
        }
        self.ownership_changed.notify_waiters();
        holds.map(|holds| HoldAnswer { holds, hold })
    }

    async fn report_release(self: Rc<Self>, server: Rc<LocalServer>, release: Released) {
        log_event!(
            self.log, Event::RangeGivenUp;
            "service" => &server.announced.service, "range" => release.span.to_string(),
            "epoch" => release.epoch, "release" => release.release
        );
        let released = RangeReleased {
            service: server.announced.service.clone(),
            start: release.span.start.to_bytes(),
            epoch: release.epoch,
            release: release.release,
            handover: release.handover,
        };
        self.propose(change::Body::RangeReleased(released)).await;
    }

    /// Adopts the servers of an earlier process of this daemon, and obeys the departures that it has committed. Returns
    /// the session, or `None` if there is none or the state is not known up to its start.
    pub(super) async fn adopt_servers(self: &Rc<Self>) -> Option<u64> {
        let Some(id) = self.session.get() else {
            let _ = timeout(ADOPTION_TIMEOUT, self.servers_changed.notified()).await;
            return None;
        };
        self.await_applied(self.session_start_index.get()).await;
        let state = self.state();
        let is_current = state.applied() >= self.session_start_index.get();
        let Some(session) = state.session(id).filter(|_| is_current) else {
            sleep(ADOPTION_RETRY_DELAY).await;
            return None;
        };
        for listed in &session.servers {
            let known = self.servers.borrow().clone();
            if let Some(known) = known.iter().find(|s| s.announced.address == listed.address) {
                if listed.leaving && known.announced.incarnation == listed.incarnation {
                    self.resume_leaving(known);
                }
                let is_later = known.announced.started_ms() > listed.started_ms();
                if is_later || known.announced.incarnation == listed.incarnation {
                    continue;
                }
                self.detach_server(known, "a later process has the address");
            }
            log_event!(
                self.log, Event::ServersAdopted;
                "service" => &listed.service, "server" => &listed.address, "session" => id,
                "incarnation" => &listed.incarnation
            );
            let announced = Server {
                leaving: false,
                cold: false,
                ..listed.clone()
            };
            let server = self.new_fetching_server(announced, WarmupState::unknown(self.clock.now()));
            server.last_heartbeat.set((listed.started_ms(), 0));
            // The earlier process may have given a hold right before it ended.
            server.orders.record_lease_end(self.clock.now() + HOLD_MAX);
            self.servers.borrow_mut().push(server.clone());
            self.update_limits();
            if listed.leaving {
                self.resume_leaving(&server);
            }
        }
        let adopted = self.servers.borrow().clone();
        for server in adopted {
            let announced = &server.announced;
            if !server.is_leaving.get() && self.has_left(announced.instance(), announced.started_ms()) {
                self.resume_leaving(&server);
            }
        }
        self.ownership_changed.notify_waiters();
        Some(id)
    }
}

/// Returns the text that identifies one start of a server process.
fn incarnation(heartbeat: &Heartbeat) -> String {
    format!("{}@{}", heartbeat.instance, heartbeat.started_ms)
}
