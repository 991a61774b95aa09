use {
    super::{
        daemon_cx::DaemonCx,
        local_server::{GrantDelivery, LocalServer, LostServer},
        slot_gate::SlotGate,
    },
    crate::{
        call::WarmupState,
        clock::Ms,
        control::Server,
        edge::{self, BodyError, HttpRequest, HttpResponse, ServerClient, ServerLimits, ServerOrders},
        event::Event,
        grant::{ChangedSpans, GrantTable},
        log_event,
        metrics::Metric,
    },
    http::StatusCode,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Mutex, task::spawn_local, time::sleep},
};

/// Time without an announcement after which a server counts as lost.
const ANNOUNCE_MAX_AGE: Ms = Ms(10_000);
/// Time without a heartbeat after which a server that fetches its grants counts as lost, once its holds have ended.
/// Heartbeats may be some seconds late.
const HEARTBEAT_MAX_AGE: Ms = Ms(3500);
/// Time between two checks of the age of announcements.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl DaemonCx {
    /// Serves a request of a local backend server.
    pub async fn serve_server(self: Rc<Self>, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        let request = match request {
            Ok(request) => request,
            Err(error) => return edge::body_error_response(error),
        };
        let handled = match (request.method.as_str(), request.uri.path()) {
            ("POST", "/announce") => {
                edge::read_announce(&request.body, &self.settings).and_then(|s| self.announce(s))
            }
            ("POST", "/leave") => edge::read_leave(&request.body)
                .map(|l| self.leave(&l.service, &l.address.to_string(), &l.incarnation)),
            _ => {
                return edge::plain_response(
                    StatusCode::NOT_FOUND,
                    "POST /announce or POST /leave is expected",
                )
            }
        };
        match handled {
            Ok(()) => edge::json_response(StatusCode::OK, &serde_json::json!({ "host": self.settings.host })),
            Err(reason) => {
                self.log_refused_announcement(request.from, &reason);
                edge::plain_response(StatusCode::BAD_REQUEST, &reason)
            }
        }
    }

    pub(super) fn log_refused_announcement(&self, from: SocketAddr, reason: &str) {
        if let Some(suppressed) = self.refusal_log_limit.borrow_mut().pass(self.clock.now()) {
            log_event!(
                self.log, Event::AnnounceRefused;
                "from" => from.to_string(), "reason" => reason, "suppressed" => suppressed
            );
        }
    }

    fn announce(self: &Rc<Self>, announced: Server) -> Result<(), String> {
        let now = self.clock.now();
        let mut predecessor = None;
        let mut grants = GrantTable::default();
        let mut orders = None;
        let mut crashed = None;
        if let Some(known) = self.server(&announced.service, &announced.address) {
            let is_unchanged = Server {
                leaving: false,
                ..known.announced.clone()
            } == announced;
            if is_unchanged {
                known.last_announce.set(now);
                return Ok(());
            }
            let has_ended = known.announced.incarnation != announced.incarnation;
            self.mark_lost(&known, "it was restarted", has_ended);
            if has_ended {
                grants = known.grants.take().after_restart();
                orders = Some(known.orders.clone());
                predecessor = Some(known.clone());
                crashed = Some(known);
            } else {
                known.orders.close();
            }
        }
        if self.is_ejected(&announced.address) {
            if let Some(known) = crashed {
                let cx = self.clone();
                spawn_local(async move { cx.report_crash(&known).await });
            }
            return Ok(());
        }
        if let Some(lost) = self.lost_server(&announced) {
            // The process is the same, and may still hold what it was granted before it was removed.
            grants = lost.grants.take().after_removal();
            predecessor = lost.predecessor.take();
        }
        let limits = ServerLimits {
            answer_bytes: self.settings.caller_limits.answer_bytes,
            idle_connections: announced.slots.min(announced.connections.saturating_sub(1)) as usize,
        };
        let server = LocalServer {
            client: self.server_client(&announced.address, limits),
            gate: SlotGate::new(announced.slots, self.clock.clone()),
            lost_calls: RefCell::default(),
            crash_report: Mutex::default(),
            is_crash_counted: Cell::new(crashed.is_none()),
            orders: match orders {
                Some(orders) => orders,
                None => self.start_orders(&announced.address).map_err(|e| e.to_string())?,
            },
            listed_in: Cell::new(self.listed_in_of_new_server()),
            last_announce: Cell::new(now),
            last_heartbeat: Cell::default(),
            notice: Cell::default(),
            notice_log_limit: RefCell::default(),
            warmup: Cell::new(WarmupState::unknown(now)),
            is_cold: Cell::new(false),
            limit_per_s: Cell::default(),
            reported_slots: Cell::default(),
            slots_log_limit: RefCell::default(),
            bad_load_log_limit: RefCell::default(),
            is_leaving: Cell::new(false),
            closes_at: Cell::new(Ms::MAX),
            predecessor: RefCell::new(predecessor),
            grants: RefCell::new(grants),
            has_failed_revoke: Cell::new(false),
            running: RefCell::default(),
            is_lease_order_pending: Cell::default(),
            announced,
        };
        log_event!(
            self.log, Event::ServerAnnounced;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "incarnation" => &server.announced.incarnation, "slots" => server.announced.slots
        );
        // A server that came back before its removal was published is no longer lost.
        self.lost_servers
            .borrow_mut()
            .retain(|lost| lost.incarnation() != server.announced.incarnation);
        let server = Rc::new(server);
        self.servers.borrow_mut().push(server.clone());
        if let Some(known) = crashed {
            let cx = self.clone();
            spawn_local(async move {
                cx.report_crash(&known).await;
                server.is_crash_counted.set(true);
                cx.ownership_changed.notify_waiters();
            });
        }
        self.servers_changed.notify_one();
        self.record_changes(ChangedSpans::everything());
        Ok(())
    }

    /// Returns the server as it was before this daemon removed it, if it is the same process and still known.
    pub(super) fn lost_server(&self, announced: &Server) -> Option<Rc<LocalServer>> {
        let lost = self.lost_servers.borrow();
        let is_same = |known: &Server| {
            known.incarnation == announced.incarnation
                && known.service == announced.service
                && known.address == announced.address
        };
        let found = lost.iter().find(|lost| is_same(&lost.server.announced));
        found.map(|lost| lost.server.clone())
    }

    /// Starts the delivery of orders to a server. Leases that were sent to earlier processes at its address are taken
    /// into account.
    fn start_orders(&self, address: &str) -> io::Result<GrantDelivery> {
        let orders = ServerOrders::start(address, self.clock.clone(), self.lease.clone())?;
        let lost = self.lost_servers.borrow();
        for earlier in lost
            .iter()
            .filter(|lost| lost.server.announced.address == address)
        {
            orders.record_lease_end(earlier.server.orders.leases_end_at());
        }
        Ok(GrantDelivery::Ordered(Rc::new(orders)))
    }

    fn record_memory(&self) {
        let source = self.memory.source.as_str();
        self.metrics
            .gauge(Metric::MemoryLimit, &[source], self.memory.bytes);
        let held = self.budget.held() as u64;
        self.metrics.gauge(Metric::MemoryHeld, &[], held);
        self.metrics
            .gauge(Metric::MemoryRefused, &[], self.budget.refused());
    }

    pub(super) fn server_client(&self, address: &str, limits: ServerLimits) -> ServerClient {
        let (clock, lease) = (self.clock.clone(), self.lease.clone());
        ServerClient::new(address, limits, self.dialect.clone(), clock, lease)
            .with_budget(self.budget.clone())
    }

    /// Marks a server as leaving. It keeps its ranges until they have moved, but gets no new ones.
    fn leave(&self, service: &str, address: &str, incarnation: &str) {
        if let Some(server) = self.server(service, address) {
            if server.announced.incarnation == incarnation {
                server.is_leaving.set(true);
                self.servers_changed.notify_one();
            }
        }
    }

    /// Removes a local server at whose address nothing listens. It counts as ended once none of its calls runs.
    pub fn remove_server(&self, lost: &Rc<LocalServer>, reason: &str) {
        // A server that leaves may close its listener before its calls end.
        let is_gone = !(lost.fetches_grants() && lost.is_leaving.get());
        if self.mark_lost(lost, reason, is_gone) {
            lost.orders.close();
        }
    }

    /// Removes a local server that does not answer. Its ranges stay assigned to it until its leases have ended.
    pub fn remove_silent_server(&self, lost: &Rc<LocalServer>, reason: &str) {
        if self.mark_lost(lost, reason, false) {
            lost.orders.close();
        }
    }

    /// Moves a server to the list of lost servers. Returns false if it was removed before.
    fn mark_lost(&self, lost: &Rc<LocalServer>, reason: &str, is_gone: bool) -> bool {
        if !self.detach_server(lost, reason) {
            return false;
        }
        self.lost_servers.borrow_mut().push(LostServer {
            published: lost.published(),
            server: lost.clone(),
            is_gone,
        });
        self.servers_changed.notify_one();
        true
    }

    /// Removes a server from the list and stops its client. Returns false if it was removed before.
    pub(super) fn detach_server(&self, lost: &Rc<LocalServer>, reason: &str) -> bool {
        lost.client.stop();
        let count = self.servers.borrow().len();
        self.servers
            .borrow_mut()
            .retain(|server| !Rc::ptr_eq(server, lost));
        if self.servers.borrow().len() == count {
            return false;
        }
        let (started_ms, sequence) = lost.last_heartbeat.get();
        // Without its start, a process cannot be told from the next one with its name, which begins to count again.
        if started_ms != 0 {
            let mut removed = self.removed_heartbeats.borrow_mut();
            removed.record(&lost.announced.incarnation, sequence, self.clock.now());
        }
        log_event!(
            self.log, Event::ServerLost;
            "service" => &lost.announced.service, "server" => &lost.announced.address, "reason" => reason
        );
        true
    }

    /// Removes servers that have stopped announcing themselves.
    pub async fn expire_announcements(self: Rc<Self>) {
        loop {
            sleep(AGE_CHECK_INTERVAL).await;
            self.record_memory();
            let now = self.clock.now();
            let servers = self.servers.borrow().clone();
            for server in servers {
                let max_age = if server.fetches_grants() {
                    HEARTBEAT_MAX_AGE
                } else {
                    ANNOUNCE_MAX_AGE
                };
                let has_hold = server.fetches_grants() && now < server.orders.leases_end_at();
                if server.last_announce.get() + max_age < now && !has_hold {
                    self.remove_silent_server(&server, "it stopped announcing itself");
                }
            }
        }
    }
}
