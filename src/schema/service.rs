use {
    super::CallKind,
    crate::{clock::Ms, key::Key},
};

/// One service of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// First part of the path of a call.
    pub name: String,
    /// True: each key has one owner.
    pub divided_by_key: bool,
    /// First keys of the ranges after the first one, ascending.
    pub boundaries: Vec<Key>,
    /// Kinds of calls in the order in which they are tried.
    pub calls: Vec<CallKind>,
    /// Weights of the three measures.
    pub weights: Weights,
    /// Most changes of owner that the planner starts in a minute.
    pub moves_per_minute: u32,
    /// Longest time that arrivals wait for a range that moves.
    pub park: Ms,
    /// Time for which a range that was moved for balance stays where it is.
    pub settle: Ms,
    /// True: neighbouring ranges with the same owner are joined while their load is low.
    pub joins_ranges: bool,
    /// True: servers of this service check the epoch of each call.
    pub checks_fencing: bool,
    /// Most connections that a server takes. 0: as many as it announces.
    pub connections: u32,
}

impl Service {
    /// Returns the kind of a call with this method and path, without its query.
    pub fn call_kind(&self, method: &str, path: &str) -> Option<&CallKind> {
        self.calls.iter().find(|kind| kind.matches(method, path))
    }

    /// Returns the longest time that the answer of a non-idempotent call is kept.
    pub fn longest_answer_kept(&self) -> Ms {
        let guarded = self.calls.iter().filter(|kind| !kind.idempotent);
        guarded.map(|kind| kind.answer_kept).max().unwrap_or_default()
    }

    /// Returns the longest deadline of the calls that may still run after a lease has ended.
    pub fn longest_deadline(&self) -> Ms {
        self.calls
            .iter()
            .map(|kind| kind.max_deadline)
            .max()
            .unwrap_or_default()
    }
}

/// Weights of the three measures of placement, 0 to 100 each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// How unevenly load falls across servers.
    pub imbalance: u32,
    /// How many keys change owner.
    pub churn: u32,
    /// How long keys cannot be served.
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
