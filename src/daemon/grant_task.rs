use {
    super::{daemon_cx::DaemonCx, local_server::LocalServer},
    crate::{
        edge::{Order, OrderError},
        event::Event,
        grant::{self, ChangedSpans, GrantAction},
        key::KeyRange,
        log_event,
        wire::control::{change, RangeReleased},
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest time before a failed action is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two checks whether calls still run in a range that is being released.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time for the servers to confirm all revokes while the daemon stops.
const REVOKE_ALL_TIMEOUT: Duration = Duration::from_secs(2);

impl DaemonCx {
    /// Reconciles the grants of the local servers with the replicated state whenever it changes. Only changed spans are
    /// compared.
    pub async fn reconcile_grants(self: Rc<Self>) {
        loop {
            let changed_spans = self.changed_spans.take();
            let servers = self.servers.borrow().clone();
            let mut is_releasing = false;
            for server in servers.iter().filter(|s| !s.fetches_grants()) {
                self.reconcile_server(server, &changed_spans);
                self.start_actions(server);
                is_releasing |= !server.grants.borrow().releasing_spans().is_empty();
            }
            let held: usize = servers.iter().map(|s| s.held_spans()).sum();
            self.metrics.ranges(held as u64);
            let pause = if is_releasing {
                RELEASE_CHECK_INTERVAL
            } else {
                RETRY_DELAY
            };
            if self.changed_spans.borrow().is_empty() {
                let _ = timeout(pause, self.grants_changed.notified()).await;
            }
        }
    }

    /// Marks all grants of the local servers for revocation, after the end of a session.
    pub fn drop_grants(&self) {
        for server in self.servers.borrow().iter() {
            server.grants.borrow_mut().drop_all();
        }
        self.grants_changed.notify_one();
    }

    /// Revokes all grants. Returns whether all servers confirmed in time, which means that none of their calls runs any
    /// more.
    pub async fn revoke_all_grants(self: &Rc<Self>) -> bool {
        self.drop_grants();
        let all_dropped = async {
            while self
                .servers
                .borrow()
                .iter()
                .any(|s| !s.grants.borrow().is_empty())
            {
                sleep(RELEASE_CHECK_INTERVAL).await;
            }
        };
        let all_dropped = timeout(REVOKE_ALL_TIMEOUT, all_dropped).await.is_ok();
        let failed = self.servers.borrow().iter().any(|s| s.has_failed_revoke.get());
        all_dropped && !failed && self.lost_servers.borrow().is_empty()
    }

    fn reconcile_server(&self, server: &LocalServer, changed_spans: &ChangedSpans) {
        let state = self.state();
        let session = self.session.get();
        let mut grants = server.grants.borrow_mut();
        let mut spans = Vec::new();
        if changed_spans.all {
            spans.push(KeyRange::default());
        } else {
            let of_service = changed_spans.spans.iter();
            let of_service = of_service.filter(|(name, _)| *name == server.announced.service);
            spans.extend(of_service.map(|(_, span)| span.clone()));
            if changed_spans.releases {
                spans.extend(grants.releasing_spans());
            }
        }
        for span in spans {
            grants.reconcile(
                &span,
                &grant::wanted_within(&state, &server.grant_target(session), &span),
            );
        }
    }

    /// Starts the next actions for the grants of a server.
    fn start_actions(self: &Rc<Self>, server: &Rc<LocalServer>) {
        let mut grants = server.grants.borrow_mut();
        grants.forget_dropped(server.orders.leases_end_at(), self.clock.now());
        for action in grants.next_actions(|span| self.has_running_call_in(server, span)) {
            spawn_local(self.clone().run_action(server.clone(), action));
        }
        drop(grants);
        if server.drop_ended_predecessor() {
            self.servers_changed.notify_one();
        }
    }

    async fn run_action(self: Rc<Self>, server: Rc<LocalServer>, action: GrantAction) {
        let confirmed = match &action {
            GrantAction::Grant { span, epoch } => self.grant(&server, span, *epoch).await,
            GrantAction::Revoke { span, epoch } => self.revoke(&server, span, *epoch).await,
            GrantAction::Report { span, epoch, release } => {
                let released = RangeReleased {
                    service: server.announced.service.clone(),
                    start: span.start.to_bytes(),
                    epoch: *epoch,
                    release: *release,
                    handover: String::new(),
                };
                let answer = self.propose(change::Body::RangeReleased(released)).await;
                answer.is_some()
            }
        };
        server.grants.borrow_mut().complete(&action, confirmed);
        if confirmed {
            self.grants_changed.notify_one();
            self.ownership_changed.notify_waiters();
        }
    }

    /// Returns whether a call with a key of `span` runs on the server or has been admitted by a guard.
    fn has_running_call_in(&self, server: &LocalServer, span: &KeyRange) -> bool {
        let service = &server.announced.service;
        let admitted_calls = self.admitted_calls.borrow();
        let guarded = admitted_calls
            .iter()
            .any(|(name, key)| name == service && span.contains(key));
        guarded || server.has_call_in(span)
    }

    /// Sends an order about a range to a server. Orders for an undivided service are not sent: its ranges are ranges of
    /// request ids, which servers do not know. If the service was divided by key before, the server may hold ranges of
    /// keys until its leases end, and a range counts as revoked only then.
    async fn give_order(&self, server: &LocalServer, order: Order) -> Result<(), OrderError> {
        loop {
            let schema = self.state().schema().clone();
            let service = schema.service(&server.announced.service);
            if service.is_none_or(|s| s.divided_by_key) {
                return server.orders.give(order).await;
            }
            let is_revoke = matches!(order, Order::Revoke { .. });
            if !is_revoke || server.orders.leases_end_at() <= self.clock.now() {
                return Ok(());
            }
            sleep(RELEASE_CHECK_INTERVAL).await;
        }
    }

    async fn grant(&self, server: &Rc<LocalServer>, span: &KeyRange, epoch: u64) -> bool {
        let service = &server.announced.service;
        let order = Order::Grant {
            service: service.clone(),
            span: span.clone(),
            epoch,
        };
        match self.give_order(server, order).await {
            Ok(()) => {
                log_event!(
                    self.log, Event::RangeGranted;
                    "service" => service, "range" => span.to_string(), "epoch" => epoch,
                    "server" => &server.announced.address
                );
                true
            }
            Err(e) => {
                self.handle_order_error(server, &e);
                false
            }
        }
    }

    async fn revoke(&self, server: &Rc<LocalServer>, span: &KeyRange, epoch: u64) -> bool {
        let service = &server.announced.service;
        let order = Order::Revoke {
            service: service.clone(),
            span: span.clone(),
            epoch,
        };
        match self.give_order(server, order).await {
            Ok(()) => {
                log_event!(
                    self.log, Event::RangeRevoked;
                    "service" => service, "range" => span.to_string(), "epoch" => epoch
                );
                true
            }
            Err(e) => {
                server.has_failed_revoke.set(true);
                self.handle_order_error(server, &e);
                false
            }
        }
    }

    fn handle_order_error(&self, server: &Rc<LocalServer>, error: &OrderError) {
        log_event!(
            self.log, Event::GrantFailed;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "error" => error.to_string()
        );
        match error {
            OrderError::ServerGone => self.remove_server(server, "its address refuses connections"),
            OrderError::TimedOut => self.remove_silent_server(server, "it does not answer orders"),
            OrderError::NoLease | OrderError::Refused(_) | OrderError::Failed(_) => {}
        }
    }

    /// Extends the grants of all local servers periodically.
    pub async fn extend_leases(self: Rc<Self>) {
        loop {
            sleep(self.settings.lease.renew_interval.as_duration()).await;
            let servers = self.servers.borrow().clone();
            for server in servers {
                let can_extend = server.grants.borrow().can_extend();
                if can_extend && !server.is_lease_order_pending.replace(true) {
                    spawn_local(self.clone().extend(server));
                }
            }
        }
    }

    async fn extend(self: Rc<Self>, server: Rc<LocalServer>) {
        match self.give_order(&server, Order::Lease).await {
            Ok(()) | Err(OrderError::NoLease) => {}
            Err(OrderError::Refused(_)) => {
                log_event!(
                    self.log, Event::GrantsLost;
                    "service" => &server.announced.service, "server" => &server.announced.address
                );
                server.grants.borrow_mut().mark_all_lost();
                self.grants_changed.notify_one();
            }
            Err(e) => self.handle_order_error(&server, &e),
        }
        server.is_lease_order_pending.set(false);
    }
}
