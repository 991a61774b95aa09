use {
    super::Node,
    crate::edge::{self, BodyError, FoldDialect, HttpRequest, HttpResponse, ServerDialect},
    http::StatusCode,
    std::{future::Future, pin::Pin, rc::Rc},
};

/// Future of the response to a request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// A received request, or the error of one that could not be read.
pub type IncomingRequest = Result<HttpRequest, BodyError>;

/// The HTTP interfaces of a daemon to callers, backend servers, operators and probes.
pub trait Edges {
    /// Returns the HTTP dialect of calls to backend servers.
    fn dialect(&self) -> Rc<dyn ServerDialect>;

    /// Returns whether backend servers fetch their grants with their heartbeats.
    fn fetches_grants(&self) -> bool;

    /// Serves a request to the address for callers.
    fn serve_caller(&self, node: Node, request: IncomingRequest) -> ResponseFuture;

    /// Serves a request to the address for local backend servers.
    fn serve_server(&self, node: Node, request: IncomingRequest) -> ResponseFuture;

    /// Serves a request to the address for operators.
    fn serve_operator(&self, node: Node, request: IncomingRequest) -> ResponseFuture;

    /// Answers a probe that asks whether the daemon takes new work.
    fn serve_readiness(&self, node: Node, request: IncomingRequest) -> ResponseFuture;

    /// Serves a request to the address for metrics.
    fn serve_metrics(&self, node: Node, _request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move { edge::plain_response(StatusCode::OK, node.metrics_text().trim_end()) })
    }
}

/// The project's own interfaces, which docs/INTERFACES.md describes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FoldEdges;

impl Edges for FoldEdges {
    fn dialect(&self) -> Rc<dyn ServerDialect> {
        Rc::new(FoldDialect)
    }

    fn fetches_grants(&self) -> bool {
        false
    }

    fn serve_caller(&self, node: Node, request: IncomingRequest) -> ResponseFuture {
        Box::pin(node.serve_caller(request))
    }

    fn serve_server(&self, node: Node, request: IncomingRequest) -> ResponseFuture {
        Box::pin(node.serve_server(request))
    }

    fn serve_operator(&self, node: Node, request: IncomingRequest) -> ResponseFuture {
        Box::pin(node.serve_operator(request))
    }

    fn serve_readiness(&self, node: Node, _request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            match node.is_ready() {
                true => edge::plain_response(StatusCode::OK, "ready"),
                false => edge::plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            }
        })
    }
}
