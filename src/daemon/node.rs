use {
    super::{
        daemon_cx::DaemonCx,
        heartbeat::{Heartbeat, HoldAnswer},
        routed_path::RoutedRequest,
    },
    crate::{
        call::CallResult,
        control::State,
        edge::{HttpFault, HttpRequest, HttpResponse},
        schema::PackedText,
        settings::{CallerLimits, Settings},
        wire::{
            control::{change, command_answer, operator_command, OperatorCommand, VersionedSchema},
            peer::{frame::Body, InForceRequest},
        },
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest time for this daemon to apply what a leader has committed before it answers a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// A daemon, as the edges of its process see it.
#[derive(Clone)]
pub struct Node(Rc<DaemonCx>);

/// A schema with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchemaVersion {
    /// Its version; the highest one is in force.
    pub version: u64,
    /// The schema file, as JSON.
    pub json: String,
    /// What the operator wrote, which the schema was made from.
    pub source: Bytes,
}

/// How a new schema was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It is in force, or one with a higher version is.
    Accepted,
    /// It is refused, for this reason.
    Refused(String),
    /// It is not known whether it was committed.
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

    /// Serves a request of a caller of the project's own interface.
    pub async fn serve_caller(self, request: Result<HttpRequest, HttpFault>) -> HttpResponse {
        self.0.serve_caller(request).await
    }

    /// Serves a request of a local backend server of the project's own interface.
    pub async fn serve_server(self, request: Result<HttpRequest, HttpFault>) -> HttpResponse {
        self.0.serve_server(request).await
    }

    /// Serves a request of an operator of the project's own interface.
    pub async fn serve_operator(self, request: Result<HttpRequest, HttpFault>) -> HttpResponse {
        self.0.serve_operator(request).await
    }

    /// Serves a call by a route.
    pub async fn call(&self, request: RoutedRequest) -> CallResult {
        self.0.clone().serve_routed(request).await
    }

    /// Takes a heartbeat of a local server. Returns its grants, or `None` if it gets none now.
    ///
    /// # Errors
    /// Why the heartbeat changes nothing.
    pub fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Option<HoldAnswer>, &'static str> {
        self.0.heartbeat(heartbeat)
    }

    /// Takes the last word of a local server.
    pub fn deregister(&self, instance: &str) {
        self.0.deregister(instance);
    }

    /// Tells if this daemon takes new work: it knows a configuration and is not being stopped.
    pub fn is_ready(&self) -> bool {
        !self.0.is_stopping.get() && self.0.state().has_schema()
    }

    /// Returns the limits of callers that are in force: those of the settings, within those of the schema.
    pub fn caller_limits(&self) -> CallerLimits {
        let of_settings = self.0.settings.caller_limits;
        let of_schema = self.0.state().schema().route_limits;
        of_schema.map_or(of_settings, |limits| limits.within(of_settings))
    }

    /// Puts a schema in force unless one with a version that is not lower is.
    pub async fn replace_schema(&self, schema: &SchemaVersion) -> Replaced {
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
            Some(command_answer::Body::Accepted(_)) => Replaced::Accepted,
            Some(command_answer::Body::Refused(refused)) => Replaced::Refused(refused.reason),
            Some(command_answer::Body::Conflict(_) | command_answer::Body::Unavailable(_)) | None => {
                Replaced::Unavailable
            }
        }
    }

    /// Returns the state with all that was committed when the call began. `None`: it cannot be told what is the
    /// newest.
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
