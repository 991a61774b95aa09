use {
    super::Node,
    crate::edge::{self, BodyError, FoldDialect, HttpRequest, HttpResponse, ServerDialect},
    http::StatusCode,
    std::{future::Future, pin::Pin, rc::Rc},
};

/// The answer to a request, under way.
pub type Answering = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// A request as it came in.
pub type Incoming = Result<HttpRequest, BodyError>;

/// The HTTP that callers, backend servers, operators and probes speak to a daemon.
pub trait Edges {
    /// Returns the HTTP of calls to backend servers.
    fn dialect(&self) -> Rc<dyn ServerDialect>;

    /// Tells if backend servers fetch their grants with their heartbeats.
    fn fetches_grants(&self) -> bool;

    /// Serves a request to the address for callers.
    fn serve_caller(&self, node: Node, request: Incoming) -> Answering;

    /// Serves a request to the address for local backend servers.
    fn serve_server(&self, node: Node, request: Incoming) -> Answering;

    /// Serves a request to the address for operators.
    fn serve_operator(&self, node: Node, request: Incoming) -> Answering;

    /// Answers whether the daemon takes new work.
    fn serve_readiness(&self, node: Node, request: Incoming) -> Answering;

    /// Serves a request to the address for metrics.
    fn serve_metrics(&self, node: Node, _request: Incoming) -> Answering {
        Box::pin(async move { edge::plain_response(StatusCode::OK, node.metrics_text().trim_end()) })
    }
}

/// The interfaces of docs/INTERFACES.md.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnEdges;

impl Edges for OwnEdges {
    fn dialect(&self) -> Rc<dyn ServerDialect> {
        Rc::new(FoldDialect)
    }

    fn fetches_grants(&self) -> bool {
        false
    }

    fn serve_caller(&self, node: Node, request: Incoming) -> Answering {
        Box::pin(node.serve_caller(request))
    }

    fn serve_server(&self, node: Node, request: Incoming) -> Answering {
        Box::pin(node.serve_server(request))
    }

    fn serve_operator(&self, node: Node, request: Incoming) -> Answering {
        Box::pin(node.serve_operator(request))
    }

    fn serve_readiness(&self, node: Node, _request: Incoming) -> Answering {
        Box::pin(async move {
            match node.is_ready() {
                true => edge::plain_response(StatusCode::OK, "ready"),
                false => edge::plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        })
    }
}
