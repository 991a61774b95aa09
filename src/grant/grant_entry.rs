use crate::key::{Key, KeyRange};

/// What the state wants of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantGoal {
    /// The server is to hold it.
    Hold,
    /// The server is to give it up for a planned move; the number is the release's log index.
    Release(u64),
    /// The server no longer owns it.
    Drop,
}

/// What the server is known to hold of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPhase {
    /// It does not hold it.
    Absent,
    /// It was ordered to hold it.
    Granting,
    /// It confirmed that it holds it.
    Held,
    /// It was ordered to stop holding it.
    Revoking,
    /// An order was not confirmed; it may hold it or not.
    Unsure,
    /// It does not hold it, and the release with this log index is being reported.
    Reporting(u64),
    /// It does not hold it, and the release with this log index was reported.
    Reported(u64),
}

/// A span with one epoch, as the daemon deals with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GrantEntry {
    pub span: KeyRange,
    pub epoch: u64,
    pub goal: GrantGoal,
    pub phase: GrantPhase,
}

impl GrantEntry {
    /// Tells if nothing is left to do.
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

    /// Returns the parts of the entry between these keys, which are sorted.
    pub fn cut_at(&self, keys: &[Key]) -> Vec<Self> {
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
