use crate::{clock::Ms, settings::CallerLimits};

/// One route, for calls that name a host and a path instead of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that calls name, in lower case.
    pub host: String,
    /// Prefix of the path. It begins and ends with a `/`.
    pub path_prefix: String,
    /// Whether a call may run more than once. If not, each attempt of a caller runs at most once.
    pub idempotent: bool,
    /// Longest time that a caller waits for the answer.
    pub timeout: Ms,
    /// Latency objective of the calls.
    pub objective: Ms,
    /// Maximum number of servers that one attempt of a caller is sent to.
    pub attempts: u32,
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// Services that take the calls.
    pub targets: Vec<RouteTarget>,
    /// Whether the answers are large, so that only a bounded number of them is held at the same time.
    pub large_answers: bool,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the calls, relative to the other targets.
    pub weight: f64,
}

/// Limits for callers of routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteLimits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a head.
    pub head: Ms,
    /// Longest time that a connection may be idle.
    pub idle: Ms,
}

impl RouteLimits {
    /// Returns the stricter of these limits and those of a daemon, field by field.
    pub fn within(self, limits: CallerLimits) -> CallerLimits {
        CallerLimits {
            head_bytes: self.head_bytes.min(limits.head_bytes),
            body_bytes: self.body_bytes.min(limits.body_bytes),
            head_timeout: self.head.min(limits.head_timeout),
            idle_timeout: self.idle.min(limits.idle_timeout),
            ..limits
        }
    }
}

/// The routes of a schema.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Sorted by host and path prefix.
    list: Vec<Route>,
}

impl Routes {
    /// Returns the routes of `list`, sorted.
    pub fn new(mut list: Vec<Route>) -> Self {
        list.sort_by(|a, b| a.key().cmp(&b.key()));
        Self { list }
    }

    /// Returns all routes, sorted by host and path prefix.
    pub fn list(&self) -> &[Route] {
        &self.list
    }

    /// Returns the route of `host` with the longest prefix of `path`, or `None` if there is none. The path has no
    /// query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(i, _)| i + 1);
        ends.map(|end| (host, &path[..end]))
            .find_map(|key| self.list.binary_search_by(|r| r.key().cmp(&key)).ok())
            .map(|i| &self.list[i])
    }
}

impl Route {
    /// Returns the host and the path prefix, by which routes are sorted and found.
    fn key(&self) -> (&str, &str) {
        (&self.host, &self.path_prefix)
    }
}
