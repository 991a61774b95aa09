use {
    super::{
        daemon_cx::DaemonCx,
        evacuation::{EvacuationOrder, EvacuationOutcome},
        heartbeat::{Heartbeat, HeartbeatError, HoldAnswer},
        routed_path::RoutedRequest,
    },
    crate::{
        call::CallResult,
        control::State,
        edge::{BodyError, HttpRequest, HttpResponse},
        schema::PackedText,
        settings::{CallerLimits, Settings},
        wire::{
            control::{change, command_answer, operator_command, OperatorCommand, VersionedSchema},
            peer::{frame::Body, InForceRequest},
        },
    },
    bytes::Bytes,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest time for a read to wait until this daemon has applied the committed changes.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Handle to a daemon for the interfaces of its process.
#[derive(Clone)]
pub struct Node(Rc<DaemonCx>);

/// A schema with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchemaVersion {
    /// Version number. The schema with the highest one is in force.
    pub version: u64,
    /// The schema file, as JSON.
    pub json: String,
    /// The operator's source text that the schema was generated from.
    pub source: Bytes,
}

/// Result of replacing the schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The schema is in force, or one with a higher version is.
    Accepted,
    /// The schema was refused for this reason.
    Refused(String),
    /// It is unknown whether the schema was committed.
    Unavailable,
}

impl Node {
    pub(super) fn new(cx: Rc<DaemonCx>) -> Self {
        Self(cx)
    }

    /// Returns the settings of the daemon.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Serves a request to the project's own interface for callers.
    pub async fn serve_caller(self, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        self.0.serve_caller(request).await
    }

    /// Serves a request to the project's own interface for local backend servers.
    pub async fn serve_server(self, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        self.0.serve_server(request).await
    }

    /// Serves a request to the project's own interface for operators.
    pub async fn serve_operator(self, request: Result<HttpRequest, BodyError>) -> HttpResponse {
        self.0.serve_operator(request).await
    }

    /// Runs a call by a route and returns its result.
    pub async fn call(&self, request: RoutedRequest) -> CallResult {
        self.0.clone().serve_routed(request).await
    }

    /// Processes a heartbeat of a local server. Returns its grants, or `None` if it gets none now. If the server drains,
    /// this returns once its departure is committed.
    ///
    /// # Errors
    /// Returns the reason why the heartbeat must not be acknowledged, or is out of date.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Option<HoldAnswer>, HeartbeatError> {
        self.0.heartbeat(heartbeat).await
    }

    /// Logs that an announcement of a server was refused.
    pub fn log_refused_announcement(&self, from: SocketAddr, reason: &str) {
        self.0.log_refused_announcement(from, reason);
    }

    /// Processes the deregistration of a local server that will end soon. `started_ms` is the start of its process in ms
    /// since the Unix epoch, if it names it. Returns whether its departure is known to be committed, and may be
    /// acknowledged.
    pub async fn deregister(&self, instance: &str, started_ms: Option<u64>) -> bool {
        self.0.deregister(instance, started_ms).await
    }

    /// Returns whether this daemon takes new calls: it has had the newest configuration and is not being stopped.
    pub fn is_ready(&self) -> bool {
        let is_confirmed = self.0.freshness.borrow().is_confirmed();
        !self.0.is_stopping.get() && self.0.state().has_schema() && is_confirmed
    }

    /// Returns the limits of callers that are in force: the limits of the schema, bounded by those of the settings.
    pub fn caller_limits(&self) -> CallerLimits {
        let of_settings = self.0.settings.caller_limits;
        let of_schema = self.0.state().schema().route_limits;
        of_schema.map_or(of_settings, |limits| limits.within(of_settings))
    }

    /// Puts a schema in force, unless the schema in force has the same or a higher version.
    pub async fn replace_schema(&self, schema: &SchemaVersion) -> ReplaceOutcome {
        let versioned = VersionedSchema {
            version: schema.version,
            packed_schema: PackedText::pack(schema.json.as_bytes()).as_bytes().clone(),
            packed_source: PackedText::pack(&schema.source).as_bytes().clone(),
        };
        let command = OperatorCommand {
            body: Some(operator_command::Body::ReplaceSchema(versioned)),
            ..OperatorCommand::default()
        };
        let proposed = self.0.propose(change::Body::OperatorCommand(command)).await;
        match proposed
            .and_then(|answer| answer.command)
            .and_then(|answer| answer.body)
        {
            Some(command_answer::Body::Accepted(_)) => ReplaceOutcome::Accepted,
            Some(command_answer::Body::Refused(refused)) => ReplaceOutcome::Refused(refused.reason),
            Some(command_answer::Body::Conflict(_) | command_answer::Body::Unavailable(_)) | None => {
                ReplaceOutcome::Unavailable
            }
        }
    }

    /// Starts or ends the evacuation of a failure domain. A repeat changes nothing and is accepted.
    pub async fn order_evacuation(&self, order: EvacuationOrder, failure_domain: &str) -> EvacuationOutcome {
        self.0.order_evacuation(order, failure_domain).await
    }

    /// Returns a state that includes all changes that were committed when this was called, or `None` if no leader
    /// confirms which these are, or they are not applied in time.
    pub async fn newest_state(&self) -> Option<Rc<State>> {
        let request = Body::InForce(InForceRequest { index: 0 });
        let Ok(Body::InForceAnswer(answer)) = self.0.ask_control(request).await else {
            return None;
        };
        if !answer.known || answer.committed == 0 {
            return None;
        }
        let applied = async {
            loop {
                let changed = self.0.state_changed.notified();
                if self.0.state().applied() >= answer.committed {
                    return;
                }
                changed.await;
            }
        };
        timeout(READ_TIMEOUT, applied).await.ok()?;
        Some(self.0.state())
    }

    /// Returns all metrics as text.
    pub fn metrics_text(&self) -> String {
        self.0.metrics.text()
    }
}
