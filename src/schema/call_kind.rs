use crate::clock::Ms;

/// How one kind of calls of a service is treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKind {
    /// Name, unique in the service.
    pub name: String,
    /// HTTP method. `None`: any.
    pub method: Option<String>,
    /// Prefix of the path after the service.
    pub path: String,
    /// True: the call may run more than once.
    pub idempotent: bool,
    /// Time that a caller waits if it names none.
    pub deadline: Ms,
    /// Longest time that a caller may name.
    pub max_deadline: Ms,
    /// 0 (first to be shed) to 9 (last to be shed).
    pub priority: u8,
    /// Most attempts of an idempotent call.
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
    /// Tells if a call with this method and path, without its query, is of this kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_deref().is_none_or(|m| m == method);
        method_matches && path_matches(&self.path, path)
    }

    /// Tells if every call that `other` matches is also matched by this kind.
    pub fn covers(&self, other: &Self) -> bool {
        let method_covers = self.method.is_none() || self.method == other.method;
        method_covers && path_matches(&self.path, &other.path)
    }
}

/// Tells if `prefix` is all of `path` or ends at one of its slashes.
fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}
