use {
    super::{
        daemon_cx::DaemonCx,
        local_server::{LocalServer, RunningCall},
        slot_gate::Slot,
    },
    crate::{
        call::{AdmissionRequest, Call, CallResult, Fingerprint, Outcome, Reason, Refusal},
        clock::Ms,
        control::Suspicion,
        edge::{Attempt, Order},
        event::Event,
        key::Key,
        lease::CallStage,
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

/// Timeout of the test whether a server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a test connection must stay open. The system still accepts connections for a process while it ends.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(20);
/// Longest time to wait until a committed change is applied here. A result waits at most this long for a crash to be
/// counted.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Calls that were lost longer than this before a crash was detected are not suspected of it.
const SUSPECT_AGE_MAX: Ms = Ms(10_000);

/// A call that was lost with its server.
#[derive(Clone, Debug)]
pub(super) struct LostCall {
    pub fingerprints: Vec<Fingerprint>,
    pub lost_at: Ms,
}

/// A call to a local server, with its service, the epoch of the ownership (0 if it needs none) and its time limits.
#[derive(Clone, Copy)]
pub(super) struct Dispatch<'a> {
    pub call: &'a Call,
    pub service: &'a Service,
    pub kind: &'a CallKind,
    pub epoch: u64,
    /// Time by which the caller wants the answer.
    pub objective: Ms,
    pub deadline: Ms,
}

impl Dispatch<'_> {
    /// Returns whether the call may only start while the lease of the daemon is valid. A call by a route to a service
    /// that is not divided by key needs no owner, and so no lease.
    fn needs_lease(&self) -> bool {
        self.service.divided_by_key || self.call.route.is_none()
    }

    /// Returns the stage at which the call arrives in front of its server.
    fn arrival_stage(&self) -> CallStage {
        match self.epoch {
            0 => CallStage::Arriving,
            _ => CallStage::ForOwner,
        }
    }
}

/// Removes a running call from its server's list when dropped, and cancels the call on the server if it has not ended.
struct RunningEntry {
    cx: Rc<DaemonCx>,
    server: Rc<LocalServer>,
    id: String,
    has_ended: bool,
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.server.running.borrow_mut().retain(|r| r.id != self.id);
        if !self.has_ended {
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
    /// Sends a call to a local server once the server has a free slot, if this daemon may send it.
    pub(super) async fn call_server(self: &Rc<Self>, address: &str, dispatch: Dispatch<'_>) -> CallResult {
        let Some(server) = self.server(&dispatch.service.name, address) else {
            return CallResult::failed(Reason::NoServer);
        };
        let suspicion = self.suspicion(dispatch.call);
        if suspicion == Suspicion::Quarantined {
            return CallResult::failed(Reason::Quarantined);
        }
        let request = AdmissionRequest {
            kind: kind_hash(&dispatch.call.kind),
            objective: dispatch.objective,
            priority: dispatch.kind.priority,
            deadline: dispatch.deadline,
            // Callers of routes repeat a call as a new one, so one crash makes many of their calls suspects.
            is_exclusive: dispatch.call.route.is_none()
                && (suspicion == Suspicion::Alone || dispatch.call.alone),
        };
        if let Err(reason) = self.check_dispatch(&server, dispatch, dispatch.arrival_stage()) {
            return CallResult::failed(reason);
        }
        let has_other_server = !dispatch.service.divided_by_key
            && dispatch.call.route.as_ref().is_some_and(|r| r.has_other_server);
        let slot = match server.gate.acquire(request, has_other_server).await {
            Ok(slot) => slot,
            Err(refusal) => {
                // Refused calls count as load too. Otherwise the load of a hot range could not exceed the throughput of
                // its server.
                self.record_busy_time(
                    &dispatch.service.name,
                    &Key::new(dispatch.call.key.clone()),
                    server.gate.expected_time(request.kind),
                );
                return CallResult {
                    load: Some(server.gate.load()),
                    ..refused(refusal)
                };
            }
        };
        // The ownership may have ended while the call waited.
        if let Err(reason) = self.check_dispatch(&server, dispatch, CallStage::Queued) {
            return CallResult::failed(reason);
        }
        let mut result = self.send_or_detach(&server, dispatch, slot).await;
        result.load = Some(server.gate.load());
        if result.outcome == Outcome::Answered && request.is_exclusive {
            self.clear_suspect(dispatch.call);
        }
        result
    }

    /// Checks whether this daemon may send the call now.
    ///
    /// # Errors
    /// Returns the reason why the call must not be sent.
    fn check_dispatch(
        &self,
        server: &LocalServer,
        dispatch: Dispatch<'_>,
        stage: CallStage,
    ) -> Result<(), Reason> {
        let now = self.clock.now();
        if dispatch.needs_lease() && !self.lease.is_valid(now) {
            return Err(Reason::NoLease);
        }
        if now >= server.closes_at.get() {
            return Err(Reason::ServerDraining);
        }
        if self.refuses_calls.get() || !self.evacuation_gate.borrow().allows(stage, now) {
            return Err(Reason::Draining);
        }
        if server.client.is_stopped() || !server.is_crash_counted.get() {
            return Err(Reason::NoServer);
        }
        let service = dispatch.service;
        let key = Key::new(dispatch.call.key.clone());
        if service.divided_by_key && !server.is_granted(&key, dispatch.epoch, now) {
            return Err(Reason::NoOwner);
        }
        // A server that fetches its grants serves the key until the answer to a heartbeat leaves it out.
        if service.divided_by_key && !server.fetches_grants() && self.is_being_released(&service.name, &key) {
            return Err(Reason::NoOwner);
        }
        Ok(())
    }

    /// Sends a call to a local server and waits for the reply. The caller has to hold a slot of the server.
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
        let mut running = RunningEntry {
            cx: self.clone(),
            server: server.clone(),
            id: id.clone(),
            has_ended: false,
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
        if let Some(notice) = reply.notice {
            self.obey_notice(server, notice);
        }
        if dispatch.service.divided_by_key {
            self.record_busy_time(&call.service, &key, self.clock.now() - sent_at);
        }
        running.has_ended = !reply.result.reason.is_some_and(Reason::is_late);
        drop(running);
        log_event!(
            self.log, Event::ServerAttemptEnded;
            "request_id" => &call.request_id, "call" => &id, "kind" => &call.kind, "status" => reply.result.status,
            "reason" => reply.result.reason.map_or("", Reason::word), "took_ms" => slot.age().0,
            "running" => slot.running(), "left_ms" => (dispatch.deadline - self.clock.now()).0
        );
        self.record_attempt(&call.service, &reply.result, slot);
        if measures_run_time(&reply.result) {
            slot.mark_ran();
        }
        self.update_health(server, &reply.result, slot.age());
        if reply.result.reason == Some(Reason::ServerLost) {
            self.handle_lost_call(server, call, dispatch.kind.idempotent)
                .await;
        }
        if reply.server_gone {
            self.remove_server(server, "its address refuses connections");
            self.report_crash(server).await;
        }
        reply.result
    }

    /// Records the metrics of an attempt at a local server, and of the load of the server.
    fn record_attempt(&self, service: &str, result: &CallResult, slot: &Slot) {
        let status = result.status.to_string();
        let reason = result.reason.map_or("", Reason::word);
        self.metrics
            .count(Metric::ServerAttempts, &[service, &status, reason]);
        self.metrics.time(Metric::ServerAttemptMs, &[service], slot.age());
        let load = slot.load();
        self.metrics
            .gauge(Metric::ServerRunning, &[service], load.running.into());
        self.metrics
            .gauge(Metric::ServerWaiting, &[service], load.waiting.into());
        self.metrics
            .gauge(Metric::ServerPace, &[service], load.pace_percent.into());
    }

    /// Updates what is known of the health of a server, and removes the server if its calls fail repeatedly.
    fn update_health(self: &Rc<Self>, server: &Rc<LocalServer>, result: &CallResult, took: Ms) {
        let target = Target {
            session: 0,
            server: server.announced.address.clone(),
        };
        let overloaded = result.reason == Some(Reason::Overloaded);
        let signal = match result.reason {
            // The server has answered. That the daemon has no memory says nothing of the server.
            Some(Reason::AnswerUnread) => Signal::None,
            _ => Signal::of(result.outcome, overloaded, took),
        };
        let now = self.clock.now();
        if self.local_balancer.borrow_mut().record_end(&target, signal, now) {
            log_event!(
                self.log, Event::ServerEjected;
                "service" => &server.announced.service, "server" => &server.announced.address
            );
            self.remove_silent_server(server, "it does not answer its calls");
        }
    }

    /// Returns whether a server that announces itself is still excluded because its calls failed.
    pub(super) fn is_ejected(&self, address: &str) -> bool {
        let target = Target {
            session: 0,
            server: address.to_owned(),
        };
        self.local_balancer.borrow().is_ejected(&target, self.clock.now())
    }

    /// Returns the strongest suspicion against the call, which decides how the call may be sent.
    pub(super) fn suspicion(&self, call: &Call) -> Suspicion {
        let state = self.state();
        if state.suspects().is_empty() {
            return Suspicion::Clear;
        }
        let wall = self.clock.wall();
        let suspicion_of = |f| state.suspects().suspicion(f, wall);
        let fingerprints = Fingerprint::of_suspect(call).into_iter();
        fingerprints.map(suspicion_of).max().unwrap_or(Suspicion::Clear)
    }

    /// Records a lost call and tests whether its server still listens. An idempotent call waits until a crash has been
    /// counted, because it may be retried.
    async fn handle_lost_call(self: &Rc<Self>, server: &Rc<LocalServer>, call: &Call, idempotent: bool) {
        server.lost_calls.borrow_mut().push(LostCall {
            fingerprints: Fingerprint::of_suspect(call),
            lost_at: self.clock.now(),
        });
        let (cx, server) = (self.clone(), server.clone());
        let probe = spawn_local(async move {
            if refuses_connections(&server.announced.address).await {
                cx.remove_server(&server, "its address refuses connections");
                cx.report_crash(&server).await;
            }
        });
        if idempotent {
            let _ = timeout(APPLY_TIMEOUT, probe).await;
        }
    }

    /// Reports the crash of a server to the leader, with the calls that were lost shortly before as its suspects. Does
    /// nothing if no call was lost. Returns once all suspects are counted, also those that another task reports.
    pub(super) async fn report_crash(self: &Rc<Self>, server: &LocalServer) {
        let _reporting = server.crash_report.lock().await;
        let since = self.clock.now() - SUSPECT_AGE_MAX;
        let lost_calls = server.lost_calls.take();
        let mut fingerprints: Vec<_> = lost_calls
            .into_iter()
            .filter(|lost| lost.lost_at >= since)
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

    /// Clears the suspicion of a call that ran alone without crashing its server.
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

    /// Waits until the state includes the change at log index `index`, at most `APPLY_TIMEOUT`.
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
        let _ = timeout(APPLY_TIMEOUT, applied).await;
    }

    /// Returns whether the owner of `key` is releasing its range.
    pub(super) fn is_being_released(&self, service: &str, key: &Key) -> bool {
        let state = self.state();
        state
            .table(service)
            .is_some_and(|t| t.range_of(key).release.is_some())
    }

    /// Returns whether `key` is still owned at `epoch`.
    pub(super) fn is_owned_at(&self, service: &str, key: &Key, epoch: u64) -> bool {
        let state = self.state();
        let owner = state.table(service).and_then(|t| t.range_of(key).owner.as_ref());
        owner.is_some_and(|owner| owner.epoch == epoch)
    }
}

/// Returns whether nothing listens at the address any more. A connection that is closed at once is tried again.
async fn refuses_connections(address: &str) -> bool {
    let probe = async {
        while let Ok(stream) = TcpStream::connect(address).await {
            if timeout(PROBE_OPEN_TIME, stream.readable()).await.is_err() {
                return false;
            }
        }
        true
    };
    timeout(PROBE_TIMEOUT, probe).await.unwrap_or(false)
}

/// Returns the hash that identifies a kind of call in the queue of a server.
fn kind_hash(kind: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    kind.hash(&mut hasher);
    hasher.finish()
}

/// Returns whether the time of an attempt measures a run of the call. If the attempt ended at its deadline, the time is
/// a lower bound.
fn measures_run_time(result: &CallResult) -> bool {
    match result.outcome {
        Outcome::Answered => result.status < 500 || result.status == 504,
        Outcome::Unknown => result.reason == Some(Reason::ServerLate),
        Outcome::NotRun => false,
    }
}

/// Returns the result of a call that the queue of its server refused.
fn refused(refusal: Refusal) -> CallResult {
    CallResult {
        retry_after: refusal.retry_after,
        ..CallResult::failed(refusal.reason)
    }
}
