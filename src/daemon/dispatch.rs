use {
    super::{
        daemon_cx::DaemonCx,
        local_server::{LocalServer, RunningCall},
        slot_gate::Slot,
    },
    crate::{
        call::{Call, CallResult, Demand, Fingerprint, Outcome, Reason, Refusal},
        clock::Ms,
        control::Suspicion,
        edge::{Attempt, Order},
        event::Event,
        key::Key,
        log_event,
        metrics::Metric,
        route::{Signal, Target},
        schema::{CallKind, Service},
        wire::control::{change, ServerCrashed, SuspectsCleared},
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, task::spawn_local, time::timeout},
};

/// Longest time to find out whether a server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time that a result waits for a crash to be counted everywhere.
const COUNT_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls that were lost this long before a crash was seen are suspects of it.
const LOST_BEFORE_CRASH: Ms = Ms(10_000);

/// A call that was lost with its server.
#[derive(Clone, Debug)]
pub(super) struct LostCall {
    pub fingerprints: Vec<Fingerprint>,
    pub at: Ms,
}

/// Where and under what terms a call is sent.
#[derive(Clone, Copy)]
pub(super) struct Dispatch<'a> {
    pub call: &'a Call,
    pub service: &'a Service,
    pub kind: &'a CallKind,
    pub epoch: u64,
    /// When the caller wants the answer.
    pub objective: Ms,
    pub deadline: Ms,
}

impl Dispatch<'_> {
    /// Tells if the call may only begin while the lease of the daemon holds. A call by a route to a service that
    /// is not divided by key needs no owner.
    fn needs_lease(&self) -> bool {
        self.service.divided_by_key || self.call.route.is_none()
    }
}

/// Removes a running call from its server's list. If it did not end, its work is cancelled.
struct Running {
    cx: Rc<DaemonCx>,
    server: Rc<LocalServer>,
    id: String,
    ended: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.server.running.borrow_mut().retain(|r| r.id != self.id);
        if !self.ended {
            let (server, call) = (self.server.clone(), std::mem::take(&mut self.id));
            log_event!(
                self.cx.log, Event::CallCancelled;
                "service" => &server.announced.service, "server" => &server.announced.address, "call" => &call
            );
            spawn_local(async move { drop(server.orders.give(Order::Cancel { call }).await) });
        }
    }
}

impl DaemonCx {
    /// Sends a call to a local server, if this daemon may.
    pub(super) async fn call_server(self: &Rc<Self>, address: &str, dispatch: Dispatch<'_>) -> CallResult {
        let Some(server) = self.server(&dispatch.service.name, address) else {
            return CallResult::failed(Reason::NoServer);
        };
        let suspicion = self.suspicion(dispatch.call);
        if suspicion == Suspicion::Quarantined {
            return CallResult::failed(Reason::Quarantined);
        }
        let demand = Demand {
            kind: kind_number(&dispatch.call.kind),
            objective: dispatch.objective,
            priority: dispatch.kind.priority,
            deadline: dispatch.deadline,
            // Callers of routes repeat calls as new ones, so many are suspects for the same crash.
            alone: dispatch.call.route.is_none() && (suspicion == Suspicion::Alone || dispatch.call.alone),
        };
        if let Err(reason) = self.may_dispatch(&server, dispatch) {
            return CallResult::failed(reason);
        }
        let slot = match server.gate.enter(demand).await {
            Ok(slot) => slot,
            Err(refusal) => {
                // What is turned away is load as well, or a hot range would look no heavier than its server is fast.
                self.measure(
                    &dispatch.service.name,
                    &Key::new(dispatch.call.key.clone()),
                    server.gate.time_of(demand.kind),
                );
                return CallResult {
                    load: Some(server.gate.load()),
                    ..refused(refusal)
                };
            }
        };
        // The ownership may have ended while the call waited.
        if let Err(reason) = self.may_dispatch(&server, dispatch) {
            return CallResult::failed(reason);
        }
        let mut result = self.send_or_detach(&server, dispatch, slot).await;
        result.load = Some(server.gate.load());
        if result.outcome == Outcome::Answered && demand.alone {
            self.clear_suspect(dispatch.call);
        }
        result
    }

    /// Tells if this daemon may send the call now.
    fn may_dispatch(&self, server: &LocalServer, dispatch: Dispatch<'_>) -> Result<(), Reason> {
        let now = self.clock.now();
        if dispatch.needs_lease() && !self.lease.is_valid(now) {
            return Err(Reason::NoLease);
        }
        if now >= server.closes_at.get() {
            return Err(Reason::ServerDraining);
        }
        if self.refusing.get() {
            return Err(Reason::Draining);
        }
        if server.client.is_stopped() || !server.crash_counted.get() {
            return Err(Reason::NoServer);
        }
        let service = dispatch.service;
        let key = Key::new(dispatch.call.key.clone());
        if service.divided_by_key && !server.is_granted(&key, dispatch.epoch, now) {
            return Err(Reason::NoOwner);
        }
        // A server that fetches its grants serves on until the heartbeat that leaves the key out.
        if service.divided_by_key && !server.fetches_grants() && self.is_released(&service.name, &key) {
            return Err(Reason::NoOwner);
        }
        Ok(())
    }

    pub(super) async fn send_to_server(
        self: &Rc<Self>,
        server: &Rc<LocalServer>,
        dispatch: Dispatch<'_>,
        slot: &Slot,
    ) -> CallResult {
        let call = dispatch.call;
        let key = Key::new(call.key.clone());
        let id = self.new_call_id();
        log_event!(
            self.log, Event::CallRoutedLocally;
            "request_id" => &call.request_id, "service" => &call.service, "key" => key.to_string(), "server" => &server.announced.address,
            "epoch" => dispatch.epoch, "call" => &id
        );
        server.running.borrow_mut().push(RunningCall {
            id: id.clone(),
            key: key.clone(),
        });
        let mut running = Running {
            cx: self.clone(),
            server: server.clone(),
            id: id.clone(),
            ended: false,
        };
        let attempt = Attempt {
            call,
            call_id: &id,
            epoch: dispatch.epoch,
            deadline: dispatch.deadline,
            incarnation: &server.announced.incarnation,
            needs_lease: dispatch.needs_lease(),
        };
        let sent_at = self.clock.now();
        let reply = server.client.attempt(attempt).await;
        if dispatch.service.divided_by_key {
            self.measure(&call.service, &key, self.clock.now() - sent_at);
        }
        running.ended = reply.result.reason != Some(Reason::ServerLate);
        drop(running);
        log_event!(
            self.log, Event::ServerTryEnded;
            "request_id" => &call.request_id, "call" => &id, "kind" => &call.kind, "status" => reply.result.status,
            "reason" => reply.result.reason.map_or("", Reason::word), "took_ms" => slot.age().0,
            "running" => slot.running(), "left_ms" => (dispatch.deadline - self.clock.now()).0
        );
        self.note_try(&call.service, &reply.result, slot);
        if tells_time(&reply.result) {
            slot.ran();
        }
        self.note_signal(server, &reply.result, slot.age());
        if reply.result.reason == Some(Reason::ServerLost) {
            self.note_lost_call(server, call, dispatch.kind.idempotent).await;
        }
        if reply.server_gone {
            self.remove_server(server, "its address refuses connections");
            self.report_crash(server).await;
        }
        reply.result
    }

    /// Counts a try at a local server, and shows the load of the server.
    fn note_try(&self, service: &str, result: &CallResult, slot: &Slot) {
        let status = result.status.to_string();
        let reason = result.reason.map_or("", Reason::word);
        self.metrics
            .count(Metric::ServerTries, &[service, &status, reason]);
        self.metrics.time(Metric::ServerTryMs, &[service], slot.age());
        let load = slot.load();
        self.metrics
            .gauge(Metric::ServerRunning, &[service], load.running.into());
        self.metrics
            .gauge(Metric::ServerWaiting, &[service], load.waiting.into());
    }

    /// Takes out a server that fails call after call.
    fn note_signal(self: &Rc<Self>, server: &Rc<LocalServer>, result: &CallResult, took: Ms) {
        let target = Target {
            session: 0,
            server: server.announced.address.clone(),
        };
        let overloaded = result.reason == Some(Reason::Overloaded);
        let signal = Signal::of(result.outcome, overloaded, took);
        let now = self.clock.now();
        if self.local_view.borrow_mut().ended(&target, signal, now) {
            log_event!(
                self.log, Event::ServerTakenOut;
                "service" => &server.announced.service, "server" => &server.announced.address
            );
            self.remove_silent_server(server, "it does not answer its calls");
        }
    }

    /// Tells if a server that announces itself is still taken out.
    pub(super) fn is_ejected(&self, address: &str) -> bool {
        let target = Target {
            session: 0,
            server: address.to_owned(),
        };
        self.local_view.borrow().is_ejected(&target, self.clock.now())
    }

    /// Returns how a call may be sent.
    pub(super) fn suspicion(&self, call: &Call) -> Suspicion {
        let state = self.state();
        if state.suspects().is_empty() {
            return Suspicion::Clear;
        }
        let wall = self.clock.wall();
        let of = |f| state.suspects().suspicion(f, wall);
        let fingerprints = Fingerprint::of_suspect(call).into_iter();
        fingerprints.map(of).max().unwrap_or(Suspicion::Clear)
    }

    /// Notes a call that was lost, and finds out whether its server is still there. A call that may be
    /// repeated waits until a crash has been counted.
    async fn note_lost_call(self: &Rc<Self>, server: &Rc<LocalServer>, call: &Call, repeats: bool) {
        server.lost_calls.borrow_mut().push(LostCall {
            fingerprints: Fingerprint::of_suspect(call),
            at: self.clock.now(),
        });
        let (cx, server) = (self.clone(), server.clone());
        let probe = spawn_local(async move {
            let connect = TcpStream::connect(&server.announced.address);
            if let Ok(Err(_)) = timeout(PROBE_TIMEOUT, connect).await {
                cx.remove_server(&server, "its address refuses connections");
                cx.report_crash(&server).await;
            }
        });
        if repeats {
            let _ = timeout(COUNT_TIMEOUT, probe).await;
        }
    }

    /// Counts a crash of a server against the calls that were lost with it.
    pub(super) async fn report_crash(self: &Rc<Self>, server: &LocalServer) {
        let since = self.clock.now() - LOST_BEFORE_CRASH;
        let lost = server.lost_calls.take();
        let mut fingerprints: Vec<_> = lost
            .into_iter()
            .filter(|lost| lost.at >= since)
            .flat_map(|lost| lost.fingerprints)
            .collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        if fingerprints.is_empty() {
            return;
        }
        log_event!(
            self.log, Event::ServerCrashed;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "suspects" => fingerprints.len()
        );
        let crash = ServerCrashed {
            service: server.announced.service.clone(),
            server: server.announced.address.clone(),
            fingerprints: fingerprints.iter().map(|f| f.0.to_vec().into()).collect(),
        };
        if let Some(answer) = self.propose(change::Body::ServerCrashed(crash)).await {
            self.await_applied(answer.index).await;
        }
    }

    /// Clears a suspect that a server survived.
    fn clear_suspect(self: &Rc<Self>, call: &Call) {
        if self.suspicion(call) != Suspicion::Alone {
            return;
        }
        let fingerprints = Fingerprint::of_suspect(call).into_iter();
        let cleared = SuspectsCleared {
            fingerprints: fingerprints.map(|f| f.0.to_vec().into()).collect(),
        };
        let cx = self.clone();
        spawn_local(async move { drop(cx.propose(change::Body::SuspectsCleared(cleared)).await) });
    }

    /// Waits for a bounded time until the state has the change at `index`.
    pub(super) async fn await_applied(&self, index: u64) {
        let applied = async {
            loop {
                let changed = self.state_changed.notified();
                if self.state().applied() >= index {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(COUNT_TIMEOUT, applied).await;
    }

    /// Tells if the range of `key` is being given up.
    pub(super) fn is_released(&self, service: &str, key: &Key) -> bool {
        let state = self.state();
        state
            .table(service)
            .is_some_and(|t| t.range_of(key).release.is_some())
    }

    /// Tells if the ownership of `key` is still the one of `epoch`.
    pub(super) fn is_owned_at(&self, service: &str, key: &Key, epoch: u64) -> bool {
        let state = self.state();
        let owner = state.table(service).and_then(|t| t.range_of(key).owner.as_ref());
        owner.is_some_and(|owner| owner.epoch == epoch)
    }
}

/// Returns the number that stands for a kind of calls.
fn kind_number(kind: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    kind.hash(&mut hasher);
    hasher.finish()
}

/// Tells if the time of a try is that of a run. One that ended with its deadline took that long at least.
fn tells_time(result: &CallResult) -> bool {
    match result.outcome {
        Outcome::Answered => result.status < 500 || result.status == 504,
        Outcome::Unknown => result.reason == Some(Reason::ServerLate),
        Outcome::NotRun => false,
    }
}

fn refused(refusal: Refusal) -> CallResult {
    CallResult {
        retry_after: refusal.retry_after,
        ..CallResult::failed(refusal.reason)
    }
}
