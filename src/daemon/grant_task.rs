use {
    super::{
        local_server::{Grant, LocalServer},
        node::Node,
    },
    crate::{
        control::{Owner, State},
        edge::{Order, OrderError},
        event::Event,
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

/// Longest time until the grants are compared with the state again.
const RECONCILE_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at the calls that still run in a range that moves.
const BUSY_PAUSE: Duration = Duration::from_millis(2);

/// A range that a local server should own, as the state has it.
struct Wanted {
    span: KeyRange,
    owner: Owner,
    released: bool,
}

impl Node {
    /// Keeps what the local servers own in step with the state.
    pub async fn keep_grants(self: Rc<Self>) {
        loop {
            let servers = self.servers.borrow().clone();
            for server in &servers {
                self.reconcile(server).await;
            }
            let granted: usize = servers.iter().map(|s| s.grants.borrow().len()).sum();
            self.metrics.ranges(granted as u64);
            let _ = timeout(RECONCILE_PAUSE, self.state_changed.notified()).await;
        }
    }

    /// Forgets all grants after the end of a session and tells the servers to stop owning.
    pub fn forget_grants(&self) {
        for server in self.servers.borrow().iter() {
            for grant in server.grants.take() {
                self.revoke_later(server.clone(), grant);
            }
        }
    }

    async fn reconcile(self: &Rc<Self>, server: &Rc<LocalServer>) {
        let wanted = wanted(&self.state(), self.session.get(), server);
        let mut surplus = Vec::new();
        server.grants.borrow_mut().retain(|grant| {
            let kept = wanted.iter().any(|w| w.owner.epoch == grant.epoch);
            if !kept {
                surplus.push(grant.clone());
            }
            kept
        });
        for grant in surplus {
            self.revoke_later(server.clone(), grant);
        }
        for range in wanted {
            if range.released {
                self.release(server, range);
            } else if !server.holds(&range.span, range.owner.epoch) {
                self.grant(server, range).await;
            }
        }
    }

    async fn grant(&self, server: &Rc<LocalServer>, range: Wanted) {
        let service = server.announced.service.clone();
        let lease = self.lease.left(self.clock.now());
        let epoch = range.owner.epoch;
        let order = Order::Grant {
            service: service.clone(),
            span: range.span.clone(),
            epoch,
            lease,
        };
        match self.give(server, order).await {
            Ok(()) => {
                log_event!(
                    self.log, Event::RangeGranted;
                    "service" => service, "range" => range.span.to_string(), "epoch" => epoch,
                    "server" => &server.announced.address
                );
                server.grants.borrow_mut().push(Grant {
                    span: range.span,
                    epoch,
                });
                self.ownership_changed.notify_waiters();
            }
            Err(e) => self.order_failed(server, &e),
        }
    }

    /// Gives up a range of a planned move: waits for what runs, revokes, and reports it.
    fn release(self: &Rc<Self>, server: &Rc<LocalServer>, range: Wanted) {
        if !server.holds(&range.span, range.owner.epoch)
            || !server.start_release(&range.span, range.owner.epoch)
        {
            return;
        }
        let (node, server) = (self.clone(), server.clone());
        spawn_local(async move {
            while server.is_busy_in(&range.span) {
                sleep(BUSY_PAUSE).await;
            }
            let service = server.announced.service.clone();
            let epoch = range.owner.epoch;
            let order = Order::Revoke {
                service: service.clone(),
                span: range.span.clone(),
                epoch,
            };
            match node.give(&server, order).await {
                Ok(()) => {
                    log_event!(
                        node.log, Event::RangeRevoked;
                        "service" => &service, "range" => range.span.to_string(), "epoch" => epoch
                    );
                    let start = range.span.start.to_bytes();
                    node.propose(change::Body::RangeReleased(RangeReleased {
                        service,
                        start,
                        epoch,
                    }))
                    .await;
                }
                Err(e) => node.order_failed(&server, &e),
            }
            server.end_release(&range.span, epoch);
        });
    }

    /// Gives an order about a range to a server. The ranges of an undivided service are ranges of request
    /// ids, which servers know nothing of.
    async fn give(&self, server: &LocalServer, order: Order) -> Result<(), OrderError> {
        let state = self.state();
        let service = state.schema().service(&server.announced.service);
        if service.is_some_and(|s| !s.divided_by_key) {
            return Ok(());
        }
        server.orders.give(order).await
    }

    fn revoke_later(&self, server: Rc<LocalServer>, grant: Grant) {
        let log = self.log.clone();
        spawn_local(async move {
            let service = server.announced.service.clone();
            let range = grant.span.to_string();
            let order = Order::Revoke {
                service: service.clone(),
                span: grant.span,
                epoch: grant.epoch,
            };
            if server.orders.give(order).await.is_ok() {
                log_event!(
                    log, Event::RangeRevoked;
                    "service" => service, "range" => range, "epoch" => grant.epoch
                );
            }
        });
    }

    fn order_failed(&self, server: &Rc<LocalServer>, error: &OrderError) {
        log_event!(
            self.log, Event::GrantFailed;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "error" => error.to_string()
        );
        if *error == OrderError::ServerGone {
            self.remove_server(server, "its address refuses connections");
        }
    }

    /// Extends the grants of all local servers while the lease holds.
    pub async fn extend_leases(self: Rc<Self>) {
        loop {
            sleep(self.settings.lease.renew.as_duration()).await;
            let lease = self.lease.left(self.clock.now());
            if lease.0 == 0 {
                continue;
            }
            let servers = self.servers.borrow().clone();
            for server in servers {
                if !server.grants.borrow().is_empty() && !server.lease_order_waits.replace(true) {
                    spawn_local(async move {
                        let _ = server.orders.give(Order::Lease { lease }).await;
                        server.lease_order_waits.set(false);
                    });
                }
            }
        }
    }
}

/// Returns the ranges that `server` should own.
fn wanted(state: &State, session: Option<u64>, server: &LocalServer) -> Vec<Wanted> {
    let mut wanted = Vec::new();
    let (Some(session), Some(table)) = (session, state.table(&server.announced.service)) else {
        return wanted;
    };
    for (position, range) in table.ranges().iter().enumerate() {
        let Some(owner) = &range.owner else {
            continue;
        };
        if owner.session == session && owner.server == server.announced.address {
            wanted.push(Wanted {
                span: table.span(position),
                owner: owner.clone(),
                released: range.release.is_some(),
            });
        }
    }
    wanted
}
