use crate::key::{Key, KeyRange};

/// What the replicated state requires of a server for a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantGoal {
    /// The server should hold it.
    Hold,
    /// The server should give it up for a planned move. The number is the log index of the release.
    Release(u64),
    /// The server no longer owns it.
    Drop,
}

/// What is known of a span at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPhase {
    /// The server does not hold it.
    Absent,
    /// The server was ordered to hold it and has not answered yet.
    Granting,
    /// The server has confirmed that it holds it.
    Held,
    /// The server was ordered to stop holding it and has not answered yet.
    Revoking,
    /// An order was not confirmed, so the server may hold it or not.
    Unknown,
    /// The server does not hold it, and the release with this log index is being reported.
    Reporting(u64),
    /// The server does not hold it, and the release with this log index was reported.
    Reported(u64),
}

/// A span with one epoch, its goal and its phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GrantEntry {
    pub span: KeyRange,
    pub epoch: u64,
    pub goal: GrantGoal,
    pub phase: GrantPhase,
}

impl GrantEntry {
    /// Returns whether no action can be started now: the span is held as wanted, or an action is in flight.
    pub fn is_settled(&self) -> bool {
        matches!(
            (self.goal, self.phase),
            (GrantGoal::Hold, GrantPhase::Held)
                | (
                    _,
                    GrantPhase::Granting | GrantPhase::Revoking | GrantPhase::Reporting(_)
                )
        )
    }

    /// Splits the entry at those of `keys` that lie within it. `keys` must be sorted.
    pub fn split_at(&self, keys: &[Key]) -> Vec<Self> {
        let mut parts = Vec::new();
        let mut rest = self.clone();
        for key in keys {
            if *key > rest.span.start && rest.span.contains(key) {
                let lower = KeyRange {
                    start: rest.span.start.clone(),
                    end: Some(key.clone()),
                };
                parts.push(Self {
                    span: lower,
                    ..rest.clone()
                });
                rest.span.start = key.clone();
            }
        }
        parts.push(rest);
        parts
    }
}
