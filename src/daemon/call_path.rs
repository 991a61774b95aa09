use {
    super::{local_server::RunningCall, node::Node},
    crate::{
        call::{Call, CallResult, Outcome, Reason},
        clock::Ms,
        edge::{self, HttpFault, HttpRequest, HttpResponse},
        event::Event,
        key::Key,
        link::LinkError,
        log_event,
        route::{self, Route},
        schema::Service,
        wire::peer::frame::Body,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time between two looks for an owner while a call waits for one.
const OWNER_PAUSE: Duration = Duration::from_millis(20);
/// Time that an answer of the owner's daemon may come after the deadline.
const FORWARD_GRACE: Ms = Ms(20);
/// Time after which a caller should come back when a key has no owner.
const RETRY_AFTER: Ms = Ms(1000);

impl Node {
    /// Serves a caller's request from its first byte to its answer.
    pub async fn serve_caller(self: Rc<Self>, request: Result<HttpRequest, HttpFault>) -> HttpResponse {
        let started = self.clock.now();
        self.running.set(self.running.get() + 1);
        let (result, request_id) = match request {
            Ok(request) => self.read_and_run(request).await,
            Err(HttpFault::BodyTooLarge) => (CallResult::failed(Reason::TooLarge), String::new()),
            Err(HttpFault::BodyIncomplete) => (CallResult::failed(Reason::IncompleteRequest), String::new()),
        };
        self.running.set(self.running.get() - 1);
        self.metrics
            .call(result.outcome.word(), self.clock.now() - started);
        edge::caller_response(result, &request_id)
    }

    async fn read_and_run(&self, request: HttpRequest) -> (CallResult, String) {
        let state = self.state();
        match edge::read_call(request, state.schema()) {
            Ok(call) => {
                let request_id = call.request_id.clone();
                let result = self.run_call(call).await;
                (result, request_id)
            }
            Err(reason) => {
                log_event!(self.log, Event::CallNotRun; "reason" => reason.word());
                (CallResult::failed(reason), String::new())
            }
        }
    }

    /// Runs a call as its entry daemon, with retries where they are safe.
    async fn run_call(&self, call: Call) -> CallResult {
        let started = self.clock.now();
        let deadline = started + Ms::from(call.deadline_ms);
        let mut attempts = 1;
        loop {
            let state = self.state();
            let Some(service) = state.schema().service(&call.service) else {
                return CallResult::failed(Reason::UnknownService);
            };
            let mut result = self.attempt(&call, service, deadline).await;
            self.log_result(&call, &result);
            let now = self.clock.now();
            let kind = service.calls.iter().find(|kind| kind.name == call.kind);
            let may_repeat = match result.outcome {
                Outcome::Answered => false,
                Outcome::NotRun => result.reason.is_some_and(waits_for_owner) && now < started + service.park,
                Outcome::Unknown => kind.is_some_and(|kind| kind.idempotent && attempts < kind.attempts),
            };
            if !may_repeat || now >= deadline {
                if result.outcome == Outcome::NotRun {
                    result.retry_after = RETRY_AFTER;
                }
                return result;
            }
            if result.outcome == Outcome::Unknown {
                attempts += 1;
            } else {
                let _ = timeout(OWNER_PAUSE, self.state_changed.notified()).await;
            }
        }
    }

    async fn attempt(&self, call: &Call, service: &Service, deadline: Ms) -> CallResult {
        let key = Key::new(call.key.clone());
        let route = {
            let mut rng = self.rng.borrow_mut();
            route::route(&self.state(), self.session.get(), service, &key, &mut *rng)
        };
        match route {
            Route::Local { server, epoch } => self.call_server(call, service, &server, epoch, deadline).await,
            Route::Forward {
                session,
                peer_address,
            } => {
                log_event!(
                    self.log, Event::CallForwarded;
                    "service" => &call.service, "key" => key.to_string(), "session" => session, "peer" => &peer_address
                );
                self.forward(call, &peer_address, deadline).await
            }
            Route::Nowhere(reason) => CallResult::failed(reason),
        }
    }

    async fn forward(&self, call: &Call, peer_address: &str, deadline: Ms) -> CallResult {
        let left = deadline - self.clock.now();
        if left == Ms::ZERO {
            return CallResult::failed(Reason::DeadlineTooShort);
        }
        let request = Call {
            deadline_ms: u32::try_from(left.0).unwrap_or(u32::MAX),
            revision: self.state().applied(),
            ..call.clone()
        };
        let request = self.links.request(peer_address, Body::CallRequest(request));
        match timeout((left + FORWARD_GRACE).as_duration(), request).await {
            Ok(Ok(Body::CallAnswer(answer))) => CallResult::from_wire(answer),
            Ok(Ok(_)) => CallResult::failed(Reason::BadAnswer),
            Ok(Err(LinkError::NotSent(_))) => CallResult::failed(Reason::PeerUnreachable),
            Ok(Err(LinkError::Lost(_))) => CallResult::failed(Reason::PeerLost),
            Err(_) => CallResult::failed(Reason::ServerLate),
        }
    }

    /// Runs a call that another daemon forwarded. It is never forwarded again.
    pub async fn run_forwarded(&self, call: Call) -> CallResult {
        let deadline = self.clock.now() + Ms::from(call.deadline_ms);
        let state = self.state();
        let Some(service) = state.schema().service(&call.service) else {
            return CallResult::failed(Reason::UnknownService);
        };
        let key = Key::new(call.key.clone());
        let result = match self.local_target(service, &key) {
            Some((server, epoch)) => self.call_server(&call, service, &server, epoch, deadline).await,
            None => CallResult::failed(Reason::NotOwner),
        };
        self.log_result(&call, &result);
        result
    }

    /// Returns the local server and the epoch for a forwarded call.
    fn local_target(&self, service: &Service, key: &Key) -> Option<(String, u64)> {
        let state = self.state();
        if service.divided_by_key {
            let owner = state.table(&service.name)?.range_of(key).owner.clone()?;
            return (Some(owner.session) == self.session.get()).then_some((owner.server, owner.epoch));
        }
        let servers = self.servers.borrow();
        let of_service = servers
            .iter()
            .filter(|s| s.announced.service == service.name && !s.leaving.get());
        let least_busy = of_service.min_by_key(|s| s.running.borrow().len())?;
        Some((least_busy.announced.address.clone(), 0))
    }

    /// Sends a call to a local server, if this daemon may.
    async fn call_server(
        &self,
        call: &Call,
        service: &Service,
        address: &str,
        epoch: u64,
        deadline: Ms,
    ) -> CallResult {
        let key = Key::new(call.key.clone());
        let Some(server) = self.server(&service.name, address) else {
            return CallResult::failed(Reason::NoServer);
        };
        if !self.lease.is_valid(self.clock.now()) {
            return CallResult::failed(Reason::NoLease);
        }
        if service.divided_by_key && (!server.is_granted(&key, epoch) || self.is_released(service, &key)) {
            return CallResult::failed(Reason::NoOwner);
        }
        let id = self.new_call_id();
        log_event!(
            self.log, Event::CallRoutedLocally;
            "service" => &call.service, "key" => key.to_string(), "server" => address, "epoch" => epoch, "call" => &id
        );
        server.running.borrow_mut().push(RunningCall {
            id: id.clone(),
            key: key.clone(),
        });
        let sent_at = self.clock.now();
        let reply = server
            .client
            .call(call.clone(), id.clone(), epoch, deadline)
            .await;
        server.running.borrow_mut().retain(|running| running.id != id);
        self.measure(&service.name, &key, sent_at);
        if reply.server_gone {
            self.remove_server(&server, "its address refuses connections");
        }
        reply.result
    }

    /// Tells if the range of `key` is being given up.
    fn is_released(&self, service: &Service, key: &Key) -> bool {
        let state = self.state();
        state
            .table(&service.name)
            .is_some_and(|t| t.range_of(key).release.is_some())
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

/// Tells if a call that was not run should wait for an owner and try again.
fn waits_for_owner(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoOwner
            | Reason::NotOwner
            | Reason::NoLease
            | Reason::NoServer
            | Reason::PeerUnreachable
            | Reason::ServerUnreachable
    )
}
