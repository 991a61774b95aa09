use crate::clock::Ms;

/// One kind of call of a service, and how such calls are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKind {
    /// Name, unique in the service.
    pub name: String,
    /// HTTP method, or `None` if any method matches.
    pub method: Option<String>,
    /// Prefix of the path after the name of the service.
    pub path: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Deadline of a call that gives none, counted from its arrival.
    pub deadline: Ms,
    /// Longest deadline that a call may give.
    pub max_deadline: Ms,
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// Maximum number of attempts of an idempotent call.
    pub attempts: u32,
    /// Time that a recorded answer is kept for resends.
    pub answer_kept: Ms,
}

impl Default for CallKind {
    fn default() -> Self {
        Self {
            name: String::new(),
            method: None,
            path: "/".into(),
            idempotent: false,
            deadline: Ms(5000),
            max_deadline: Ms(30_000),
            priority: 5,
            attempts: 3,
            answer_kept: Ms(600_000),
        }
    }
}

impl CallKind {
    /// Returns whether a call with this method and this path is of this kind. The path has no query.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|m| m == method);
        method_matches && path_matches(&self.path, path)
    }

    /// Returns whether every call that `other` matches is also matched by this kind.
    pub fn covers(&self, other: &Self) -> bool {
        let method_covers = self.method.is_none() || self.method == other.method;
        method_covers && path_matches(&self.path, &other.path)
    }
}

/// Returns whether `prefix` is all of `path` or a part of it that ends at a slash.
fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}
