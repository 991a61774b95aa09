use {
    super::{
        call_path::ActiveCall, daemon_cx::DaemonCx, dispatch::Dispatch, hedged_attempt::Attempts,
        large_answers::CallOrigin,
    },
    crate::{
        call::{
            after_try, normalize_unknown_service, reached_server, AttemptHistory, Call, CallResult, EndCause,
            Outcome, Reason, RoutedContext, RoutedStep, REFUSALS_MAX,
        },
        clock::Ms,
        control::Suspicion,
        event::Event,
        key::Key,
        log_event,
        metrics::Metric,
        route::{self, Candidate, Signal, Target},
        schema::{CallKind, Route, Service},
        wire::peer::{Header, RouteTerms},
    },
    bytes::Bytes,
    std::rc::Rc,
    tokio::task::spawn_local,
};

/// Retry delay that a caller is given when no better value is known.
const DEFAULT_RETRY_AFTER: Ms = Ms(250);

/// A request that is matched to a route by its host and path.
#[derive(Clone, Debug, Default)]
pub struct RoutedRequest {
    /// Id that the caller gave its attempt.
    pub attempt_id: String,
    /// Host from the request, in lower case.
    pub host: String,
    /// Method of the request line.
    pub method: String,
    /// Path and query of the request line.
    pub target: String,
    /// Headers that are passed on to the server.
    pub headers: Vec<Header>,
    /// The complete body of the request.
    pub body: Bytes,
    /// Key of the call, if it has one.
    pub key: Option<Key>,
    /// Time that the caller still waits for the answer.
    pub deadline: Option<Ms>,
}

/// When a call arrived, and the configuration that decides it.
#[derive(Clone, Copy, Debug)]
struct CallEntry {
    started: Ms,
    /// Log index of the configuration.
    revision: u64,
    /// Time since the configuration was last known to be the newest one, or `None` if it never was.
    proof_age: Option<Ms>,
}

/// The route, service and time limits of one call, as its entry daemon determined them.
#[derive(Clone)]
pub(super) struct CallTerms<'a> {
    pub route: &'a Route,
    pub service: &'a Service,
    pub kind: CallKind,
    pub started: Ms,
    pub objective: Ms,
    pub deadline: Ms,
}

impl DaemonCx {
    /// Runs a call by a route and returns its result. A non-idempotent call that was sent to a server continues after
    /// its caller disconnects.
    pub async fn serve_routed(self: Rc<Self>, request: RoutedRequest) -> CallResult {
        let started = self.clock.now();
        let _active_call = ActiveCall::new(&self);
        let result = self.run_routed(request, started).await;
        self.metrics
            .call(result.outcome.word(), self.clock.now() - started);
        result
    }

    /// Finds the route and the service of a request, and runs it as a call.
    pub(super) async fn run_routed(self: &Rc<Self>, request: RoutedRequest, started: Ms) -> CallResult {
        let state = self.state();
        let entry = CallEntry {
            started,
            revision: state.revision().index,
            proof_age: self.freshness.borrow().since_confirmation(started),
        };
        let unusable = match state.has_schema() {
            false => Some(Reason::NoConfiguration),
            true => self.is_stale().then_some(Reason::StaleConfiguration),
        };
        if let Some(reason) = unusable {
            return self.finish_routed(&request.attempt_id, None, entry, CallResult::failed(reason));
        }
        let schema = state.schema().clone();
        let path = request.target.split('?').next().unwrap_or_default();
        let route = schema.routes.find(&request.host, path);
        let Some(route) = route else {
            let result = CallResult::failed(Reason::UnknownRoute);
            return self.finish_routed(&request.attempt_id, None, entry, result);
        };
        let name = self.round_robin.borrow_mut().next(route).to_owned();
        let Some(service) = schema.service(&name) else {
            return CallResult::failed(Reason::UnknownService);
        };
        let limit = request.deadline.unwrap_or(route.timeout).min(route.timeout);
        let terms = CallTerms {
            route,
            service,
            kind: kind_of(route),
            started,
            objective: started + route.objective - self.first_attempt_age(&request, route),
            deadline: started + limit,
        };
        if service.divided_by_key && request.key.is_none() {
            let result = CallResult::failed(Reason::MissingKey);
            return self.finish_routed(&request.attempt_id, Some(&terms), entry, result);
        }
        log_event!(
            self.log, Event::CallRouteChosen;
            "request_id" => &request.attempt_id, "route" => &route.name, "service" => &name,
            "revision" => entry.revision, "limit_ms" => limit.0, "priority" => route.priority
        );
        drop(state);
        let call = self.routed_call(request, &terms);
        let admitted = self
            .admit_large(Some(route), CallOrigin::Caller, terms.deadline)
            .await;
        let result = match &admitted {
            Ok(_) => self.run_attempts(call.clone(), &terms).await,
            Err(reason) => CallResult::failed(*reason),
        };
        self.await_time_limit(&result, terms.deadline).await;
        self.finish_routed(&call.request_id, Some(&terms), entry, result)
    }

    /// Returns an estimate of how long ago the caller's first attempt arrived.
    fn first_attempt_age(&self, request: &RoutedRequest, route: &Route) -> Ms {
        let mut arrivals = self.first_arrivals.borrow_mut();
        request
            .deadline
            .map_or(Ms::ZERO, |left| arrivals.age(&route.name, left))
    }

    fn routed_call(&self, request: RoutedRequest, terms: &CallTerms<'_>) -> Call {
        Call {
            service: terms.service.name.clone(),
            kind: terms.route.name.clone(),
            method: request.method,
            path: request.target,
            headers: request.headers,
            key: request.key.map(|key| key.to_bytes()).unwrap_or_default(),
            request_id: request.attempt_id,
            body: request.body,
            let_through: true,
            route: Some(RouteTerms {
                idempotent: terms.route.idempotent,
                priority: terms.route.priority.into(),
                objective_ms: u32::try_from(terms.route.objective.0).unwrap_or(u32::MAX),
                origin: self.local_service(),
                host: request.host,
                has_other_server: false,
            }),
            ..Call::default()
        }
    }

    /// Sends the call to one server after another until its result is final.
    async fn run_attempts(self: &Rc<Self>, mut call: Call, terms: &CallTerms<'_>) -> CallResult {
        let mut open_attempts = AttemptHistory::default();
        let mut tried: Vec<Target> = Vec::new();
        let (mut sent, mut refusals) = (0, 0);
        self.with_route_budget(&call.service, |budget| budget.earn());
        self.earn_hedge(&call.service);
        loop {
            if let Some(route) = &mut call.route {
                // The last try that refusals leave must not end because the server is slow just now.
                route.has_other_server = refusals + 1 < REFUSALS_MAX;
            }
            let Attempts {
                earlier,
                result,
                targets,
            } = self.send_attempt(&mut call, terms, &tried, sent).await;
            let is_throttled = targets.is_empty() && result.reason == Some(Reason::Overloaded);
            tried.extend(targets);
            for ended in earlier.iter().chain([&result]) {
                if reached_server(ended) {
                    sent += 1;
                } else {
                    refusals += 1;
                }
            }
            if let Some(earlier) = &earlier {
                open_attempts.record(earlier);
            }
            let context = RoutedContext {
                now: self.clock.now(),
                deadline: terms.deadline,
                park_until: terms.started + terms.service.park,
                idempotent: terms.route.idempotent,
                divided_by_key: terms.service.divided_by_key,
                sent,
                sent_max: terms.route.attempts,
                refusals,
                has_other_server: !is_throttled && self.has_untried_candidate(&call.service, &tried),
            };
            let step = self.with_route_budget(&call.service, |budget| after_try(&result, context, budget));
            if let RoutedStep::End(cause) = step {
                if cause != EndCause::Answered {
                    self.log_not_retried(&call, &result, context, cause);
                }
                return open_attempts.final_result(result);
            }
            log_event!(
                self.log, Event::CallRetried;
                "request_id" => &call.request_id, "reason" => result.reason.map_or("", Reason::word),
                "status" => result.status, "sent" => sent, "refusals" => refusals,
                "waits" => step == RoutedStep::AwaitChange
            );
            let reason = result.reason.map_or("", Reason::word);
            self.metrics.count(Metric::Retries, &[&call.service, reason]);
            open_attempts.record(&result);
            // The next try must take into account a crash that the other daemon has counted.
            for lost in earlier.iter().chain([&result]) {
                if lost.reason == Some(Reason::ServerLost) && lost.revision > self.state().applied() {
                    self.await_applied(lost.revision).await;
                }
            }
            if step == RoutedStep::AwaitChange {
                self.await_ownership_change().await;
            }
        }
    }

    fn log_not_retried(&self, call: &Call, result: &CallResult, context: RoutedContext, cause: EndCause) {
        log_event!(
            self.log, Event::CallNotRetried;
            "request_id" => &call.request_id, "cause" => cause.word(),
            "reason" => result.reason.map_or("", Reason::word), "status" => result.status,
            "sent" => context.sent, "refusals" => context.refusals, "left_ms" => (context.deadline - context.now).0
        );
    }

    /// Sends the call to one server, or to two if the first one is late and a hedged request may be sent.
    async fn send_attempt(
        self: &Rc<Self>,
        call: &mut Call,
        terms: &CallTerms<'_>,
        tried: &[Target],
        sent: u32,
    ) -> Attempts {
        if let Some(route) = &mut call.route {
            let left = terms.objective - self.clock.now();
            route.objective_ms = u32::try_from(left.0).unwrap_or(u32::MAX);
        }
        if self.suspicion(call) == Suspicion::Quarantined {
            return Attempts::one(CallResult::failed(Reason::Quarantined));
        }
        if terms.service.divided_by_key {
            let result = self.send_to_owner(call, terms).await;
            return Attempts::one(normalize_unknown_service(result));
        }
        let candidates = self.untried_candidates(&call.service, tried);
        if candidates.is_empty() {
            return Attempts::one(CallResult::failed(Reason::NoServer));
        }
        if let Some(route) = &mut call.route {
            route.has_other_server &= candidates.len() > 1;
        }
        let service = call.service.clone();
        if let Err(retry_after) = self.throttle_send(&self.service_throttle, call, &service) {
            return Attempts::one(CallResult {
                retry_after,
                ..CallResult::failed(Reason::Overloaded)
            });
        }
        let now = self.clock.now();
        let chosen = {
            let mut rng = self.rng.borrow_mut();
            self.balancer.borrow_mut().choose(&candidates, now, &mut *rng)
        };
        let Some(chosen) = chosen.map(|i| &candidates[i]) else {
            return Attempts::one(CallResult::failed(Reason::NoServer));
        };
        call.server.clone_from(&chosen.target.server);
        self.send_with_hedge(call, terms, chosen, &candidates, sent).await
    }

    /// Sends the call to the server `chosen` among several, which it names.
    pub(super) async fn send_to(
        self: &Rc<Self>,
        call: &Call,
        terms: &CallTerms<'_>,
        chosen: &Candidate,
    ) -> CallResult {
        let now = self.clock.now();
        let (target, peer_address) = (&chosen.target, &chosen.peer_address);
        let in_flight = super::call_path::InFlight::new(self, target, now);
        let result = if self.session.get() == Some(target.session) {
            self.call_server(&target.server, dispatch(call, terms, 0)).await
        } else {
            log_event!(
                self.log, Event::CallForwarded;
                "request_id" => &call.request_id, "service" => &call.service, "session" => target.session,
                "peer" => peer_address, "server" => &target.server
            );
            self.forward(call, peer_address, terms.deadline).await
        };
        if let Some(load) = &result.load {
            self.balancer
                .borrow_mut()
                .record_load(target, load, self.clock.now());
        }
        in_flight.finish_with(signal_of(&result, self.clock.now() - now));
        self.update_throttle(&self.service_throttle, call, &call.service, &result);
        self.record_refusal(&call.service, &result);
        normalize_unknown_service(result)
    }

    /// Sends the call to the owner of its key.
    async fn send_to_owner(self: &Rc<Self>, call: &Call, terms: &CallTerms<'_>) -> CallResult {
        let key = Key::new(call.key.clone());
        match route::route_by_key(&self.state(), self.session.get(), &call.service, &key) {
            route::KeyRoute::Local { server, epoch } => {
                self.call_server(&server, dispatch(call, terms, epoch)).await
            }
            route::KeyRoute::Forward {
                session,
                peer_address,
            } => {
                if let Err(retry_after) = self.throttle_send(&self.owner_throttle, call, &peer_address) {
                    return CallResult {
                        retry_after,
                        ..CallResult::failed(Reason::Overloaded)
                    };
                }
                log_event!(
                    self.log, Event::CallForwarded;
                    "request_id" => &call.request_id, "service" => &call.service, "key" => key.to_string(),
                    "session" => session, "peer" => &peer_address
                );
                let result = self.forward(call, &peer_address, terms.deadline).await;
                self.update_throttle(&self.owner_throttle, call, &peer_address, &result);
                result
            }
            route::KeyRoute::Unavailable(reason) => CallResult::failed(reason),
        }
    }

    /// Runs a call by a route that its entry daemon forwarded.
    pub(super) async fn run_forwarded_by_route(
        self: &Rc<Self>,
        call: &Call,
        terms: &RouteTerms,
        deadline: Ms,
    ) -> CallResult {
        let schema = self.state().schema().clone();
        let Some(service) = schema.service(&call.service) else {
            return CallResult::failed(Reason::UnknownService);
        };
        let path = call.path.split('?').next().unwrap_or_default();
        let route = schema.routes.find(&terms.host, path);
        let _admitted = match self.admit_large(route, CallOrigin::Peer, deadline).await {
            Ok(permit) => permit,
            Err(reason) => return CallResult::failed(reason),
        };
        let kind = CallKind {
            name: call.kind.clone(),
            idempotent: terms.idempotent,
            priority: u8::try_from(terms.priority).unwrap_or(u8::MAX),
            ..CallKind::default()
        };
        let mut dispatch = Dispatch {
            call,
            service,
            kind: &kind,
            epoch: 0,
            objective: self.clock.now() + Ms::from(terms.objective_ms),
            deadline,
        };
        if !service.divided_by_key {
            return self.call_server(&call.server, dispatch).await;
        }
        let key = Key::new(call.key.clone());
        match route::route_by_key(&self.state(), self.session.get(), &service.name, &key) {
            route::KeyRoute::Local { server, epoch } => {
                dispatch.epoch = epoch;
                self.call_server(&server, dispatch).await
            }
            route::KeyRoute::Forward { .. } | route::KeyRoute::Unavailable(_) => {
                CallResult::failed(Reason::NotOwner)
            }
        }
    }

    /// Sends a call to a local server. A non-idempotent call by a route runs in its own task, so that it continues when
    /// this future is dropped.
    pub(super) async fn send_or_detach(
        self: &Rc<Self>,
        server: &Rc<super::local_server::LocalServer>,
        dispatch: Dispatch<'_>,
        slot: super::slot_gate::Slot,
    ) -> CallResult {
        if dispatch.call.route.is_none() || dispatch.kind.idempotent {
            return self.send_to_server(server, dispatch, &slot).await;
        }
        let (cx, server) = (self.clone(), server.clone());
        let (call, service, kind) = (
            dispatch.call.clone(),
            dispatch.service.clone(),
            dispatch.kind.clone(),
        );
        let (epoch, objective, deadline) = (dispatch.epoch, dispatch.objective, dispatch.deadline);
        let sending = spawn_local(async move {
            let dispatch = Dispatch {
                call: &call,
                service: &service,
                kind: &kind,
                epoch,
                objective,
                deadline,
            };
            cx.send_to_server(&server, dispatch, &slot).await
        });
        // The task ends without a result only when the whole process ends.
        sending
            .await
            .unwrap_or_else(|_| CallResult::failed(Reason::ServerLost))
    }

    /// Records the metrics of a call by a route and logs its end. Sets the default retry delay if the call did not run
    /// and has none.
    fn finish_routed(
        &self,
        attempt_id: &str,
        terms: Option<&CallTerms<'_>>,
        entry: CallEntry,
        mut result: CallResult,
    ) -> CallResult {
        if result.outcome == Outcome::NotRun && result.retry_after == Ms::ZERO {
            result.retry_after = DEFAULT_RETRY_AFTER;
        }
        let service = terms.map_or("", |t| t.service.name.as_str());
        let (outcome, reason) = (result.outcome.word(), result.reason.map_or("", Reason::word));
        self.metrics
            .count(Metric::RoutedCalls, &[service, outcome, reason]);
        self.metrics
            .time(Metric::RoutedCallMs, &[service], self.clock.now() - entry.started);
        log_event!(
            self.log, Event::RoutedCallEnded;
            "request_id" => attempt_id, "route" => terms.map_or("", |t| t.route.name.as_str()),
            "service" => service, "outcome" => outcome, "status" => result.status, "reason" => reason,
            "took_ms" => (self.clock.now() - entry.started).0, "retry_after_ms" => result.retry_after.0,
            "revision" => entry.revision, "proof_age_ms" => entry.proof_age.map(|age| age.0)
        );
        result
    }
}

fn dispatch<'a>(call: &'a Call, terms: &'a CallTerms<'_>, epoch: u64) -> Dispatch<'a> {
    Dispatch {
        call,
        service: terms.service,
        kind: &terms.kind,
        epoch,
        objective: terms.objective,
        deadline: terms.deadline,
    }
}

/// Returns a kind of call with the limits of a route.
fn kind_of(route: &Route) -> CallKind {
    CallKind {
        name: route.name.clone(),
        idempotent: route.idempotent,
        priority: route.priority,
        attempts: route.attempts,
        ..CallKind::default()
    }
}

/// Returns the signal of an attempt about its server. An answer with a status of 500 or more counts as a refusal,
/// because a server that fails its calls has to be avoided like one that is gone.
fn signal_of(result: &CallResult, took: Ms) -> Signal {
    let overloaded = matches!(result.reason, Some(Reason::Overloaded | Reason::ServerFull));
    match result.outcome {
        _ if result.reason == Some(Reason::AnswerUnread) => Signal::None,
        Outcome::Answered if result.status >= 500 => Signal::Refused,
        outcome => Signal::of(outcome, overloaded, took),
    }
}
