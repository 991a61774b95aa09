use {
    super::{GrantGoal, GrantTarget},
    crate::{
        control::{Applied, State},
        key::KeyRange,
    },
};

/// Number of spans that are kept one by one. Beyond it, everything counts as changed.
const CHANGED_SPANS_MAX: usize = 64;

/// A span that a server should own by the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedSpan {
    /// Keys that the server should own.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Whether the server should hold the span or give it up.
    pub goal: GrantGoal,
}

/// Parts of the replicated state that have changed, so that grants are compared only with these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedSpans {
    /// Whether everything may have changed.
    pub all: bool,
    /// Whether releases may have been cancelled.
    pub releases: bool,
    /// Changed spans, each with the name of its service.
    pub spans: Vec<(String, KeyRange)>,
}

impl ChangedSpans {
    /// Returns a value that marks everything as changed.
    pub fn everything() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }

    /// Records the effect of a change on the daemon with this session.
    pub fn record(&mut self, applied: &Applied, own_session: Option<u64>) {
        match applied {
            Applied::SessionEnded(session)
            | Applied::ServersSet(session)
            | Applied::ServerLeft(Some(session)) => {
                self.all |= Some(*session) == own_session;
                self.releases = true;
            }
            Applied::RangeAssigned {
                service, span, owner, ..
            } => {
                if Some(owner.session) == own_session {
                    self.add(service, span);
                }
            }
            Applied::ReleaseStarted { service, span }
            | Applied::RangeReleased { service, span }
            | Applied::RangesJoined { service, span } => {
                self.add(service, span);
            }
            Applied::Command(_) => self.all = true,
            Applied::SessionOpened(_)
            | Applied::SplitStaged(_)
            | Applied::GuardReady(_)
            | Applied::CrashCounted(_)
            | Applied::SuspectsCleared
            | Applied::ServerLeft(None)
            | Applied::ServiceForgotten(_)
            | Applied::PatchBaseMismatch
            | Applied::Ignored(_) => {}
        }
    }

    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.all && !self.releases && self.spans.is_empty()
    }

    /// Adds the changes of `other`.
    pub fn merge(&mut self, other: Self) {
        self.all |= other.all;
        self.releases |= other.releases;
        for (service, span) in other.spans {
            self.add(&service, &span);
        }
    }

    fn add(&mut self, service: &str, span: &KeyRange) {
        if self.spans.len() == CHANGED_SPANS_MAX {
            self.all = true;
            self.spans.clear();
        }
        if !self.all {
            self.spans.push((service.to_owned(), span.clone()));
        }
    }
}

/// Returns the parts of `span` that a server should own by the replicated state. There are none while the state lacks a
/// list of servers that may have ended its ownerships.
pub fn wanted_within(state: &State, target: &GrantTarget<'_>, span: &KeyRange) -> Vec<WantedSpan> {
    let mut wanted = Vec::new();
    let Some((session, table)) = target.listed(state) else {
        return wanted;
    };
    for (position, range) in table.overlapping(span) {
        let Some(owner) = &range.owner else {
            continue;
        };
        if owner.session != session.id || owner.server != target.server.address {
            continue;
        }
        let release = range.release.as_ref().map(|r| GrantGoal::Release(r.index));
        wanted.push(WantedSpan {
            span: table.span(position),
            epoch: owner.epoch,
            goal: release.unwrap_or(GrantGoal::Hold),
        });
    }
    wanted
}
