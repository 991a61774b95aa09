use {
    super::GrantGoal,
    crate::{
        control::{Applied, Server, State},
        key::KeyRange,
    },
};

/// Most spans that are kept apart before all ranges are looked at.
const SPANS_MAX: usize = 64;

/// A span that a server is to own, as the state has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedSpan {
    /// The keys.
    pub span: KeyRange,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Whether it is held or given up.
    pub goal: GrantGoal,
}

/// Parts of the state that changed, so that grants are compared with these only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedSpans {
    /// Everything may have changed.
    pub all: bool,
    /// Releases may have been cancelled.
    pub releases: bool,
    /// Service and keys of single changes.
    pub spans: Vec<(String, KeyRange)>,
}

impl ChangedSpans {
    /// Returns a value by which all ranges are looked at.
    pub fn everything() -> Self {
        Self {
            all: true,
            ..Self::default()
        }
    }

    /// Notes what a change did, for the daemon with this session.
    pub fn record(&mut self, applied: &Applied, own_session: Option<u64>) {
        match applied {
            Applied::SessionEnded(session) | Applied::ServersSet(session) => {
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
            | Applied::PatchMisfit
            | Applied::Ignored(_) => {}
        }
    }

    /// Tells if nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.all && !self.releases && self.spans.is_empty()
    }

    /// Adds what `other` has.
    pub fn merge(&mut self, other: Self) {
        self.all |= other.all;
        self.releases |= other.releases;
        for (service, span) in other.spans {
            self.add(&service, &span);
        }
    }

    fn add(&mut self, service: &str, span: &KeyRange) {
        if self.spans.len() == SPANS_MAX {
            self.all = true;
            self.spans.clear();
        }
        if !self.all {
            self.spans.push((service.to_owned(), span.clone()));
        }
    }
}

/// Returns what `server` behind `session` is to own of `span`.
///
/// A process that was started anew gets nothing that the state gave to the one before it at its address.
pub fn wanted_within(
    state: &State,
    session: Option<u64>,
    server: &Server,
    span: &KeyRange,
) -> Vec<WantedSpan> {
    let mut wanted = Vec::new();
    let Some(session) = session.and_then(|id| state.session(id)) else {
        return wanted;
    };
    let listed = session.server(&server.service, &server.address);
    let Some(table) = state.table(&server.service) else {
        return wanted;
    };
    if listed.is_none_or(|listed| listed.incarnation != server.incarnation) {
        return wanted;
    }
    for (position, range) in table.within(span) {
        let Some(owner) = &range.owner else {
            continue;
        };
        if owner.session != session.id || owner.server != server.address {
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
