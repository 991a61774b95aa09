use {
    super::{daemon_cx::DaemonCx, evacuation::check_failure_domain},
    crate::{
        control::Revision,
        edge::{self, BodyError, HttpRequest, HttpResponse, RequestSignature, SignatureError},
        event::Event,
        log_event,
        wire::{
            control::{change, command_answer, operator_command, CommandAnswer},
            peer::{frame::Body, InForceRequest},
        },
    },
    http::{header, StatusCode},
    serde_json::{json, Value},
    std::rc::Rc,
};

/// Number of decisions that `status` shows.
const DECISIONS_SHOWN: usize = 20;

impl DaemonCx {
    /// Serves a request of an operator.
    pub async fn serve_operator(self: Rc<Self>, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        let request = match request {
            Ok(request) => request,
            Err(error) => return edge::body_error_response(error),
        };
        if let Err(reason) = self.authenticate(&request) {
            self.log_refusal(&request, &reason);
            return edge::plain_response(StatusCode::UNAUTHORIZED, &reason);
        }
        let name = request.uri.path().trim_start_matches('/');
        match (request.method.as_str(), name) {
            ("GET", "show") => edge::json_response(StatusCode::OK, &self.show()),
            ("GET", "status") => edge::json_response(StatusCode::OK, &self.status()),
            ("GET", "in-force") => {
                edge::json_response(StatusCode::OK, &self.in_force(request.uri.query()).await)
            }
            ("GET", "split") => edge::json_response(StatusCode::OK, &self.split_status()),
            ("GET", "evacuations") => match self.evacuation_list(request.uri.query()) {
                Ok(list) => edge::json_response(StatusCode::OK, &list),
                Err(reason) => refused_response("failure_domain", &reason),
            },
            ("GET", "explain") => self.explain_answer(request.uri.query().unwrap_or_default()),
            ("GET" | "POST", "control") => self.control(&request.body).await,
            ("POST", name) => self.command(name, &request.body).await,
            _ => edge::plain_response(StatusCode::NOT_FOUND, "no such operation"),
        }
    }

    /// Checks that the sender of a request holds an operator's key: by a signature, or by the key itself, which a
    /// script on the same host may send.
    fn authenticate(&self, request: &HttpRequest) -> Result<(), String> {
        let given = request
            .headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        if let Some(key) = given.strip_prefix("Bearer ") {
            let known = self.operator_keys.holds_hex(key);
            return known
                .then_some(())
                .ok_or_else(|| SignatureError::UnknownKey.to_string());
        }
        let target = request.uri.path_and_query().map_or("/", |target| target.as_str());
        let parts = (request.method.as_str(), target, request.body.as_ref());
        let signature: Result<RequestSignature, SignatureError> = given.parse();
        signature
            .and_then(|signature| signature.verify(&self.operator_keys, parts, self.clock.wall()))
            .map_err(|e| e.to_string())
    }

    fn log_refusal(&self, request: &HttpRequest, reason: &str) {
        if let Some(suppressed) = self.refusal_log_limit.borrow_mut().pass(self.clock.now()) {
            log_event!(
                self.log, Event::OperatorRefused;
                "from" => request.from.to_string(), "request" => request.uri.path(), "reason" => reason,
                "suppressed" => suppressed
            );
        }
    }

    fn explain_answer(&self, query: &str) -> HttpResponse {
        match self.explain(query) {
            Ok(answer) => edge::json_response(StatusCode::OK, &answer),
            Err((field, reason)) => refused_response(field, &reason),
        }
    }

    async fn command(&self, name: &str, body: &[u8]) -> HttpResponse {
        let command = match edge::operator_command(name, body) {
            Ok(command) => command,
            Err(reason) => return refused_response("", &reason),
        };
        let evacuated = match &command.body {
            Some(operator_command::Body::StartEvacuation(domain)) => Some((domain.clone(), true)),
            Some(operator_command::Body::EndEvacuation(domain)) => Some((domain.clone(), false)),
            _ => None,
        };
        if let Some((domain, _)) = &evacuated {
            if let Err(reason) = check_failure_domain(&self.settings, &self.state(), domain) {
                return refused_response("failure_domain", &reason);
            }
        }
        let (command_id, base) = (command.command_id.clone(), command.base.clone());
        let proposed = self.propose(change::Body::OperatorCommand(command)).await;
        if let Some(answer) = &proposed {
            // The operator's next request to this daemon then sees the effect of the command.
            self.await_applied(answer.index).await;
        }
        let answer = proposed.and_then(|answer| answer.command).unwrap_or_default();
        let (status, mut json) = command_json(&answer);
        if let (Some((domain, true)), StatusCode::OK) = (&evacuated, status) {
            json["services_without_servers"] = json!(self.services_without_servers(domain));
        }
        let base = base.as_ref().map(Revision::from_wire).unwrap_or_default();
        log_event!(
            self.log, Event::CommandAnswered;
            "command" => name, "command_id" => command_id, "base" => base.to_string(),
            "answer" => answer_word(status)
        );
        edge::json_response(status, &json)
    }

    fn show(&self) -> Value {
        let state = self.state();
        let text = state.schema_text().unpack().unwrap_or_default();
        let schema: Value = serde_json::from_slice(&text).unwrap_or(Value::Null);
        json!({
            "revision": state.revision().to_string(), "version": state.schema_version(), "schema": schema
        })
    }

    /// Returns whether every live session has the revision in `query`, or this daemon's revision if it has none.
    async fn in_force(&self, query: Option<&str>) -> Value {
        let given = query.and_then(|q| q.strip_prefix("revision="));
        let revision = given.and_then(|text| text.parse().ok());
        let revision: Revision = revision.unwrap_or_else(|| self.state().revision());
        let request = InForceRequest {
            index: revision.index,
        };
        let behind = match self.ask_control(Body::InForce(request)).await {
            Ok(Body::InForceAnswer(answer)) => answer.known.then_some(answer.behind),
            Ok(_) | Err(_) => None,
        };
        let in_force = behind.as_ref().is_some_and(Vec::is_empty);
        json!({ "revision": revision.to_string(), "in_force": in_force, "behind": behind })
    }

    fn status(&self) -> Value {
        let state = self.state();
        let sessions: Vec<Value> = state
            .sessions()
            .iter()
            .map(|session| {
                let servers: Vec<Value> = session
                    .servers
                    .iter()
                    .map(|s| json!({ "service": s.service, "address": s.address, "slots": s.slots }))
                    .collect();
                json!({
                    "session": session.id,
                    "host": session.open.host,
                    "failure_domain": session.open.failure_domain,
                    "servers": servers,
                })
            })
            .collect();
        let suspects: Vec<Value> = state
            .suspects()
            .list()
            .iter()
            .map(|s| {
                let fingerprint: String = s.fingerprint.iter().map(|byte| format!("{byte:02x}")).collect();
                json!({ "fingerprint": fingerprint, "service": s.service, "crashes": s.crashes })
            })
            .collect();
        let drains: Vec<Value> = state
            .drains()
            .iter()
            .map(|d| json!({ "host": d.host, "server": d.server }))
            .collect();
        let mut ranges = Vec::new();
        for table in state.range_tables() {
            for (position, range) in table.ranges().iter().enumerate() {
                let owner = range.owner.as_ref();
                ranges.push(json!({
                    "service": table.service,
                    "range": table.span(position).to_string(),
                    "session": owner.map(|o| o.session),
                    "server": owner.map(|o| o.server.as_str()),
                    "epoch": owner.map(|o| o.epoch),
                    "moving": range.release.is_some(),
                }));
            }
        }
        json!({
            "host": self.settings.host,
            "session": self.session.get(),
            "lease_left_ms": self.lease.remaining(self.clock.now()).0,
            "revision": state.revision().to_string(),
            "applied": state.applied(),
            "leader": *self.leader.borrow(),
            "drains": drains,
            "evacuations": state.evacuated_domains(),
            "suspects": suspects,
            "decisions": self.decisions.borrow().last(DECISIONS_SHOWN),
            "sessions": sessions,
            "ranges": ranges,
        })
    }
}

fn refused_response(field: &str, reason: &str) -> HttpResponse {
    let refused = json!({ "refused": { "reason": reason, "field": field } });
    edge::json_response(StatusCode::BAD_REQUEST, &refused)
}

fn answer_word(status: StatusCode) -> &'static str {
    match status {
        StatusCode::OK => "accepted",
        StatusCode::CONFLICT => "conflict",
        StatusCode::UNPROCESSABLE_ENTITY => "refused",
        _ => "unavailable",
    }
}

/// Returns the HTTP status and the JSON form of the answer to a command.
fn command_json(answer: &CommandAnswer) -> (StatusCode, Value) {
    let revision = |r| Revision::from_wire(r).to_string();
    match &answer.body {
        Some(command_answer::Body::Accepted(r)) => {
            (StatusCode::OK, json!({ "accepted": { "revision": revision(r) } }))
        }
        Some(command_answer::Body::Conflict(r)) => (
            StatusCode::CONFLICT,
            json!({ "conflict": { "current": revision(r) } }),
        ),
        Some(command_answer::Body::Refused(refused)) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            json!({ "refused": { "reason": refused.reason, "field": refused.field } }),
        ),
        Some(command_answer::Body::Unavailable(_)) | None => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({ "unavailable": "resend with the same command id" }),
        ),
    }
}
