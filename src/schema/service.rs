use {
    super::CallKind,
    crate::{clock::Ms, key::Key},
};

/// One service of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, which is the first segment of the path of a call.
    pub name: String,
    /// Whether each key has one owner. Otherwise any server may take any call.
    pub divided_by_key: bool,
    /// Start keys of the initial ranges other than the first one, ascending.
    pub boundaries: Vec<Key>,
    /// Kinds of call. The first one that matches a call applies.
    pub calls: Vec<CallKind>,
    /// Weights of the placement measures.
    pub weights: Weights,
    /// Maximum number of moves of ranges that the planner starts in a minute.
    pub moves_per_minute: u32,
    /// Longest time that calls wait for an owner while their range moves.
    pub park: Ms,
    /// Time for which a range that was moved for balance is not moved again.
    pub settle: Ms,
    /// Whether adjacent ranges with the same owner are joined while their load is low.
    pub joins_ranges: bool,
    /// Whether the servers of this service check the epoch of each call.
    pub checks_fencing: bool,
    /// Maximum number of connections to a server. Zero means as many as it announces.
    pub connections: u32,
    /// What a cold server takes, or `None` if servers need no warm-up.
    pub warmup: Option<Warmup>,
}

/// How servers of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Time for which a server is cold after its start.
    pub time: Ms,
    /// Number of calls a second that a cold server takes, from all daemons together.
    pub per_s: f64,
}

impl Service {
    /// Returns the kind of a call with this method and this path, or `None` if no kind matches. The path has no
    /// query.
    pub fn call_kind(&self, method: &str, path: &str) -> Option<&CallKind> {
        self.calls.iter().find(|kind| kind.matches(method, path))
    }

    /// Returns the longest time that the answer of a non-idempotent call is kept.
    pub fn longest_answer_kept(&self) -> Ms {
        let guarded = self.calls.iter().filter(|kind| !kind.idempotent);
        guarded.map(|kind| kind.answer_kept).max().unwrap_or_default()
    }

    /// Returns the longest deadline that a call may have. For this time calls may still run after a lease has
    /// ended.
    pub fn longest_deadline(&self) -> Ms {
        self.calls
            .iter()
            .map(|kind| kind.max_deadline)
            .max()
            .unwrap_or_default()
    }
}

/// Weights of the three placement measures, each from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight of uneven load across servers.
    pub imbalance: u32,
    /// Weight of the number of keys that change their owner.
    pub churn: u32,
    /// Weight of the time during which keys cannot be served.
    pub unavailable: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1,
            churn: 1,
            unavailable: 1,
        }
    }
}
