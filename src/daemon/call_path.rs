use {
    super::{daemon_cx::DaemonCx, dispatch::Dispatch, routed_path::RoutedRequest},
    crate::{
        call::{after_attempt, AttemptHistory, Call, CallResult, NextStep, Outcome, Reason, RetryContext},
        clock::Ms,
        control::Suspicion,
        edge::{self, BodyError, HttpRequest, HttpResponse, RouteHeaders},
        event::Event,
        key::Key,
        link::LinkError,
        log_event,
        route::{self, Candidate, KeyRoute, Signal},
        schema::{CallKind, Service},
        wire::peer::frame::Body,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest time between two checks for an owner while a call waits for one.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the deadline that the daemon waits for the answer to a forwarded call.
const FORWARD_GRACE: Ms = Ms(20);
/// Retry delay that a caller is given when no better value is known.
const DEFAULT_RETRY_AFTER: Ms = Ms(1000);

/// Keeps a call in the count of calls that are being served, until it is dropped.
pub(super) struct ActiveCall(Rc<DaemonCx>);

impl ActiveCall {
    pub fn new(cx: &Rc<DaemonCx>) -> Self {
        cx.running_calls.set(cx.running_calls.get() + 1);
        Self(cx.clone())
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.running_calls.set(self.0.running_calls.get() - 1);
    }
}

impl DaemonCx {
    /// Serves a caller's request and returns its HTTP response.
    pub async fn serve_caller(self: Rc<Self>, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        let started = self.clock.now();
        let _active_call = ActiveCall::new(&self);
        let (result, request_id) = match request {
            Ok(request) => self.parse_and_run(request).await,
            Err(error) => (error.call_result(), String::new()),
        };
        self.metrics
            .call(result.outcome.word(), self.clock.now() - started);
        edge::caller_response(result, &request_id)
    }

    /// Logs and returns the result of a request that is not run as a call.
    fn reject_request(&self, reason: Reason) -> CallResult {
        log_event!(self.log, Event::CallNotRun; "reason" => reason.word());
        CallResult::failed(reason)
    }

    /// Runs a request that names the host of a route. Also returns its request id.
    async fn run_by_route(
        self: &Rc<Self>,
        request: HttpRequest,
        headers: RouteHeaders,
    ) -> (CallResult, String) {
        let target = request.uri.path_and_query().map_or("/", |target| target.as_str());
        let id = headers.request_id;
        let routed = RoutedRequest {
            attempt_id: id.clone(),
            host: headers.host,
            method: request.method.as_str().to_owned(),
            target: target.to_owned(),
            headers: headers.forwarded,
            body: request.body,
            key: headers.key.map(Key::new),
            deadline: headers.deadline,
        };
        let started = self.clock.now();
        (self.run_routed(routed, started).await, id)
    }

    /// Runs a request as a call. Returns the result and the request id, which is empty if the request was rejected.
    async fn parse_and_run(self: &Rc<Self>, request: HttpRequest) -> (CallResult, String) {
        let state = self.state();
        if !state.has_schema() {
            return (self.reject_request(Reason::NoConfiguration), String::new());
        }
        if self.is_stale() {
            return (self.reject_request(Reason::StaleConfiguration), String::new());
        }
        match edge::read_route_headers(&request.headers) {
            Ok(None) => {}
            Ok(Some(headers)) => return self.run_by_route(request, headers).await,
            Err(reason) => return (self.reject_request(reason), String::new()),
        }
        match edge::read_call(request, state.schema()) {
            Ok(call) => {
                let result = self.run_call(&call).await;
                (result, call.request_id)
            }
            Err(reason) => (self.reject_request(reason), String::new()),
        }
    }

    /// Runs a call as its entry daemon and retries it where that is safe.
    async fn run_call(self: &Rc<Self>, call: &Call) -> CallResult {
        let started = self.clock.now();
        let deadline = started + Ms::from(call.deadline_ms);
        self.retry_budget.borrow_mut().earn();
        let mut attempts = 1;
        let mut call = call.clone();
        let mut open_attempts = AttemptHistory::default();
        loop {
            let schema = self.state().schema().clone();
            let Some((service, kind)) = find_kind(&schema, &call) else {
                return open_attempts.final_result(CallResult::failed(Reason::UnknownService));
            };
            let mut result = self.attempt(&call, service, kind, deadline).await;
            self.log_result(&call, &result);
            let context = RetryContext {
                now: self.clock.now(),
                started,
                deadline,
                park: service.park,
                any_server: kind.idempotent && !service.divided_by_key,
                idempotent: kind.idempotent,
                attempts,
                attempts_max: kind.attempts,
            };
            let step = after_attempt(&result, context, &mut self.retry_budget.borrow_mut());
            match step {
                NextStep::End => {
                    if result.outcome == Outcome::NotRun && result.retry_after == Ms::ZERO {
                        result.retry_after = DEFAULT_RETRY_AFTER;
                    }
                    self.await_time_limit(&result, deadline).await;
                    return open_attempts.final_result(result);
                }
                NextStep::AwaitChange => self.await_ownership_change().await,
                NextStep::Retry => {
                    attempts += 1;
                    // The next attempt must take into account a crash that the other daemon has counted.
                    if result.revision > self.state().applied() {
                        self.await_applied(result.revision).await;
                    }
                }
            }
            call.alone |= result.reason == Some(Reason::ServerLost);
            open_attempts.record(&result);
        }
    }

    /// Waits until the state or the ownership changes, at most `OWNER_POLL_INTERVAL`.
    pub(super) async fn await_ownership_change(&self) {
        let changed = async {
            tokio::select! {
                () = self.state_changed.notified() => {}
                () = self.ownership_changed.notified() => {}
            }
        };
        let _ = timeout(OWNER_POLL_INTERVAL, changed).await;
    }

    /// Makes one attempt: runs the call on a local server or forwards it to the daemon of its owner.
    async fn attempt(
        self: &Rc<Self>,
        call: &Call,
        service: &Service,
        kind: &CallKind,
        deadline: Ms,
    ) -> CallResult {
        if self.suspicion(call) == Suspicion::Quarantined {
            return CallResult::failed(Reason::Quarantined);
        }
        if kind.idempotent && !service.divided_by_key {
            return self.call_any_server(call, service, kind, deadline).await;
        }
        let key = owner_key(call, service);
        let route = route::route_by_key(&self.state(), self.session.get(), &service.name, &key);
        match route {
            KeyRoute::Local { epoch, .. } if !kind.idempotent => {
                self.run_guarded(call, epoch, deadline).await
            }
            KeyRoute::Local { server, epoch } => {
                let dispatch = Dispatch {
                    call,
                    service,
                    kind,
                    epoch,
                    objective: deadline,
                    deadline,
                };
                self.call_server(&server, dispatch).await
            }
            KeyRoute::Forward {
                session,
                peer_address,
            } => {
                log_event!(
                    self.log, Event::CallForwarded;
                    "service" => &call.service, "key" => key.to_string(), "session" => session, "peer" => &peer_address
                );
                self.forward(call, &peer_address, deadline).await
            }
            KeyRoute::Unavailable(reason) => CallResult::failed(reason),
        }
    }

    /// Sends a call of an undivided service to the server that the balancer chooses.
    pub(super) async fn call_any_server(
        self: &Rc<Self>,
        call: &Call,
        service: &Service,
        kind: &CallKind,
        deadline: Ms,
    ) -> CallResult {
        let candidates = self.candidates(&service.name);
        let sent_at = self.clock.now();
        let chosen = {
            let mut rng = self.rng.borrow_mut();
            self.balancer.borrow_mut().choose(&candidates, sent_at, &mut *rng)
        };
        let Some(Candidate {
            target, peer_address, ..
        }) = chosen.map(|i| &candidates[i])
        else {
            return CallResult::failed(Reason::NoServer);
        };
        let in_flight = InFlight::new(self, target, sent_at);
        let result = if self.session.get() == Some(target.session) {
            let dispatch = Dispatch {
                call,
                service,
                kind,
                epoch: 0,
                objective: deadline,
                deadline,
            };
            self.call_server(&target.server, dispatch).await
        } else {
            log_event!(
                self.log, Event::CallForwarded;
                "service" => &call.service, "session" => target.session, "peer" => peer_address,
                "server" => &target.server
            );
            let call = Call {
                server: target.server.clone(),
                ..call.clone()
            };
            self.forward(&call, peer_address, deadline).await
        };
        in_flight.finish(&result);
        result
    }

    /// Forwards a call to another daemon and waits for its answer.
    pub(super) async fn forward(
        self: &Rc<Self>,
        call: &Call,
        peer_address: &str,
        deadline: Ms,
    ) -> CallResult {
        let sent_at = self.clock.now();
        let time_left = deadline - sent_at;
        if time_left == Ms::ZERO {
            return CallResult::failed(Reason::DeadlineTooShort);
        }
        let room = self.answer_room();
        let is_answered = Cell::new(false);
        let request = Call {
            deadline_ms: u32::try_from(time_left.0).unwrap_or(u32::MAX),
            revision: self.state().applied(),
            sent_at_ms: sent_at.0,
            answer_room: room.as_ref().map(|room| room.bytes() as u64),
            ..call.clone()
        };
        let exchange = async {
            match self.links.request(peer_address, Body::CallRequest(request)).await {
                Ok(Body::CallAnswer(answer)) => {
                    drop(room);
                    is_answered.set(true);
                    let now = self.clock.now();
                    let delay = now - sent_at - Ms::from(answer.held_ms);
                    self.balancer.borrow_mut().record_delay(peer_address, delay, now);
                    self.receive_answer(peer_address, answer).await
                }
                Ok(_) => CallResult::failed(Reason::BadAnswer),
                Err(LinkError::NotSent(_)) => CallResult::failed(Reason::PeerUnreachable),
                Err(LinkError::Lost(_)) => CallResult::failed(Reason::PeerLost),
            }
        };
        let exchange = timeout((time_left + FORWARD_GRACE).as_duration(), exchange);
        let result = exchange.await;
        result.unwrap_or_else(|_| {
            CallResult::failed(match is_answered.get() {
                true => Reason::AnswerUnread,
                false => Reason::ServerLate,
            })
        })
    }

    /// Runs a call that another daemon forwarded, whose body its link has accounted for. The call is never forwarded again.
    pub async fn run_forwarded(self: &Rc<Self>, call: Call) -> CallResult {
        let _active_call = ActiveCall::new(self);
        let deadline = self.clock.now() + Ms::from(call.deadline_ms);
        if route::is_too_old(&self.state(), self.session.get(), &call) {
            self.await_applied(call.revision).await;
        }
        if let Some(terms) = &call.route {
            let result = self.run_forwarded_by_route(&call, terms, deadline).await;
            self.log_result(&call, &result);
            return result;
        }
        let schema = self.state().schema().clone();
        let Some((service, kind)) = find_kind(&schema, &call) else {
            return CallResult::failed(Reason::UnknownService);
        };
        let result = self.run_as_owner(&call, service, kind, deadline).await;
        self.log_result(&call, &result);
        result
    }

    /// Runs a forwarded call on a local server, or fails it if no local server owns its key.
    async fn run_as_owner(
        self: &Rc<Self>,
        call: &Call,
        service: &Service,
        kind: &CallKind,
        deadline: Ms,
    ) -> CallResult {
        let mut dispatch = Dispatch {
            call,
            service,
            kind,
            epoch: 0,
            objective: deadline,
            deadline,
        };
        // Only a call that needs no decision of a guard may run on any server.
        if !service.divided_by_key && (kind.idempotent || call.let_through) {
            return self.call_server(&call.server, dispatch).await;
        }
        let key = owner_key(call, service);
        let route = route::route_by_key(&self.state(), self.session.get(), &service.name, &key);
        match route {
            KeyRoute::Local { epoch, .. } if !kind.idempotent => {
                self.run_guarded(call, epoch, deadline).await
            }
            KeyRoute::Local { server, epoch } => {
                dispatch.epoch = epoch;
                self.call_server(&server, dispatch).await
            }
            KeyRoute::Forward { .. } | KeyRoute::Unavailable(_) => CallResult::failed(Reason::NotOwner),
        }
    }

    fn log_result(&self, call: &Call, result: &CallResult) {
        let event = match result.outcome {
            Outcome::Answered => Event::CallAnswered,
            Outcome::NotRun => Event::CallNotRun,
            Outcome::Unknown => Event::CallUnknown,
        };
        let reason = result.reason.map_or("", Reason::word);
        log_event!(
            self.log, event;
            "service" => &call.service, "kind" => &call.kind, "request_id" => &call.request_id, "reason" => reason
        );
    }
}

/// Reports a call to the balancer: as sent when it is created, and as ended when it is dropped.
pub(super) struct InFlight<'a> {
    cx: &'a DaemonCx,
    target: &'a route::Target,
    sent_at: Ms,
    signal: Signal,
}

impl<'a> InFlight<'a> {
    pub fn new(cx: &'a DaemonCx, target: &'a route::Target, sent_at: Ms) -> Self {
        cx.balancer.borrow_mut().record_sent(target, sent_at);
        Self {
            cx,
            target,
            sent_at,
            signal: Signal::None,
        }
    }

    /// Ends the call and reports `signal` about its server.
    pub fn finish_with(mut self, signal: Signal) {
        self.signal = signal;
    }

    /// Ends the call and reports the signal that follows from its result.
    fn finish(mut self, result: &CallResult) {
        let overloaded = result.reason == Some(Reason::Overloaded);
        let took = self.cx.clock.now() - self.sent_at;
        self.signal = match result.reason {
            Some(Reason::AnswerUnread) => Signal::None,
            _ => Signal::of(result.outcome, overloaded, took),
        };
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let mut balancer = self.cx.balancer.borrow_mut();
        if balancer.record_end(self.target, self.signal, now) {
            log_event!(self.cx.log, Event::ServerAvoided; "server" => &self.target.server);
        }
    }
}

/// Returns the service and the kind of a call, or `None` if the schema lacks one of them.
pub(super) fn find_kind<'a>(
    schema: &'a crate::schema::Schema,
    call: &Call,
) -> Option<(&'a Service, &'a CallKind)> {
    let service = schema.service(&call.service)?;
    let kind = service.calls.iter().find(|kind| kind.name == call.kind)?;
    Some((service, kind))
}

/// Returns the key whose owner handles a call: the key of the call, or a key derived from the request id if the
/// service is not divided by key.
pub(super) fn owner_key(call: &Call, service: &Service) -> Key {
    if service.divided_by_key {
        Key::new(call.key.clone())
    } else {
        Key::new(crate::call::Fingerprint::id_key(&call.request_id).to_vec())
    }
}
