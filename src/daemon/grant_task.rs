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

/// Longest time until what failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at the calls that still run in a range that moves.
const BUSY_PAUSE: Duration = Duration::from_millis(2);
/// Longest time for the servers to confirm their revokes while the daemon stops.
const STOP_MAX: Duration = Duration::from_secs(2);

impl DaemonCx {
    /// Keeps what the local servers own in step with the state. Only what has changed is looked at.
    pub async fn keep_grants(self: Rc<Self>) {
        loop {
            let touched = self.touched.take();
            let servers = self.servers.borrow().clone();
            let mut waits_for_calls = false;
            for server in servers.iter().filter(|s| !s.fetches_grants()) {
                self.align(server, &touched);
                self.act(server);
                waits_for_calls |= !server.grants.borrow().releasing_spans().is_empty();
            }
            let held: usize = servers.iter().map(|s| s.held_spans()).sum();
            self.metrics.ranges(held as u64);
            let pause = if waits_for_calls { BUSY_PAUSE } else { RETRY_PAUSE };
            if self.touched.borrow().is_empty() {
                let _ = timeout(pause, self.grants_changed.notified()).await;
            }
        }
    }

    /// Wants nothing of the local servers any more, after the end of a session.
    pub fn drop_grants(&self) {
        for server in self.servers.borrow().iter() {
            server.grants.borrow_mut().drop_all();
        }
        self.grants_changed.notify_one();
    }

    /// Takes all grants back. True: the servers confirmed it, so that none of their calls runs any more.
    pub async fn give_up_grants(self: &Rc<Self>) -> bool {
        self.drop_grants();
        let settled = async {
            while self
                .servers
                .borrow()
                .iter()
                .any(|s| !s.grants.borrow().is_empty())
            {
                sleep(BUSY_PAUSE).await;
            }
        };
        let settled = timeout(STOP_MAX, settled).await.is_ok();
        let failed = self.servers.borrow().iter().any(|s| s.revoke_failed.get());
        settled && !failed && self.lost_servers.borrow().is_empty()
    }

    fn align(&self, server: &LocalServer, touched: &ChangedSpans) {
        let state = self.state();
        let session = self.session.get();
        let mut book = server.grants.borrow_mut();
        let mut spans = Vec::new();
        if touched.all {
            spans.push(KeyRange::default());
        } else {
            let of_service = touched.spans.iter();
            let of_service = of_service.filter(|(name, _)| *name == server.announced.service);
            spans.extend(of_service.map(|(_, span)| span.clone()));
            if touched.releases {
                spans.extend(book.releasing_spans());
            }
        }
        for span in spans {
            book.reconcile(
                &span,
                &grant::wanted_within(&state, session, &server.announced, &span),
            );
        }
    }

    /// Starts what is to be done about the grants of a server.
    fn act(self: &Rc<Self>, server: &Rc<LocalServer>) {
        let mut book = server.grants.borrow_mut();
        book.forget_dropped(server.orders.leases_end_at(), self.clock.now());
        for action in book.next_actions(|span| self.is_busy_in(server, span)) {
            spawn_local(self.clone().carry_out(server.clone(), action));
        }
        drop(book);
        if server.drop_ended_predecessor() {
            self.servers_changed.notify_one();
        }
    }

    async fn carry_out(self: Rc<Self>, server: Rc<LocalServer>, action: GrantAction) {
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

    /// Tells if a call with a key of `span` runs on the server, or was let through by the guard of `span`.
    fn is_busy_in(&self, server: &LocalServer, span: &KeyRange) -> bool {
        let service = &server.announced.service;
        let let_through = self.let_through.borrow();
        let guarded = let_through
            .iter()
            .any(|(name, key)| name == service && span.contains(key));
        guarded || server.has_call_in(span)
    }

    /// Gives an order about a range to a server. The ranges of an undivided service are ranges of request
    /// ids, which servers know nothing of.
    async fn give(&self, server: &LocalServer, order: Order) -> Result<(), OrderError> {
        let schema = self.state().schema().clone();
        let service = schema.service(&server.announced.service);
        if service.is_some_and(|s| !s.divided_by_key) {
            return Ok(());
        }
        server.orders.give(order).await
    }

    async fn grant(&self, server: &Rc<LocalServer>, span: &KeyRange, epoch: u64) -> bool {
        let service = &server.announced.service;
        let order = Order::Grant {
            service: service.clone(),
            span: span.clone(),
            epoch,
        };
        match self.give(server, order).await {
            Ok(()) => {
                log_event!(
                    self.log, Event::RangeGranted;
                    "service" => service, "range" => span.to_string(), "epoch" => epoch,
                    "server" => &server.announced.address
                );
                true
            }
            Err(e) => {
                self.order_failed(server, &e);
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
        match self.give(server, order).await {
            Ok(()) => {
                log_event!(
                    self.log, Event::RangeRevoked;
                    "service" => service, "range" => span.to_string(), "epoch" => epoch
                );
                true
            }
            Err(e) => {
                server.revoke_failed.set(true);
                self.order_failed(server, &e);
                false
            }
        }
    }

    fn order_failed(&self, server: &Rc<LocalServer>, error: &OrderError) {
        log_event!(
            self.log, Event::GrantFailed;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "error" => error.to_string()
        );
        match error {
            OrderError::ServerGone => self.remove_server(server, "its address refuses connections"),
            OrderError::Silent => self.remove_silent_server(server, "it does not answer orders"),
            OrderError::NoLease | OrderError::Refused(_) | OrderError::Failed(_) => {}
        }
    }

    /// Extends the grants of all local servers while the lease holds.
    pub async fn extend_leases(self: Rc<Self>) {
        loop {
            sleep(self.settings.lease.renew_interval.as_duration()).await;
            let servers = self.servers.borrow().clone();
            for server in servers {
                let may_extend = server.grants.borrow().can_extend();
                if may_extend && !server.is_lease_order_pending.replace(true) {
                    spawn_local(self.clone().extend(server));
                }
            }
        }
    }

    async fn extend(self: Rc<Self>, server: Rc<LocalServer>) {
        match self.give(&server, Order::Lease).await {
            Ok(()) | Err(OrderError::NoLease) => {}
            Err(OrderError::Refused(_)) => {
                log_event!(
                    self.log, Event::GrantsLost;
                    "service" => &server.announced.service, "server" => &server.announced.address
                );
                server.grants.borrow_mut().mark_all_lost();
                self.grants_changed.notify_one();
            }
            Err(e) => self.order_failed(&server, &e),
        }
        server.is_lease_order_pending.set(false);
    }
}
