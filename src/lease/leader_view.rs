use {
    super::{Renewal, RetentionWaits, SessionViews, TakeoverWaits},
    crate::{
        clock::Ms,
        control::{Applied, Session, State},
        settings::LeaseSettings,
        wire::{
            control::{AssignRange, EndSession, ForgetService},
            peer::{InForceAnswer, Renew, RenewAnswer},
        },
    },
};

/// State that a leader keeps in memory besides the replicated state: leases and waits, measured by its own clock.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    sessions: SessionViews,
    waits: TakeoverWaits,
    retention_waits: RetentionWaits,
}

impl LeaderView {
    /// Creates the view of a leader that was elected at `now`.
    pub fn new(timing: LeaseSettings, state: &State, now: Ms) -> Self {
        let live = state.sessions().iter().map(|session| session.id);
        let mut sessions = SessionViews::new(timing, live, now);
        sessions.record_revision(state.revision().index, now);
        Self {
            sessions,
            waits: TakeoverWaits::new(timing, state.applied(), now),
            retention_waits: RetentionWaits::new(timing),
        }
    }

    /// Records the effect of the change that was committed at `index`.
    pub fn record(&mut self, state: &State, index: u64, applied: &Applied, now: Ms) {
        match applied {
            Applied::SessionOpened(session) => self.sessions.record_renewal(*session, now),
            Applied::SessionEnded(session) => {
                self.sessions.remove(*session);
                self.waits.record_change(index, now);
            }
            Applied::ServersSet(_) => self.waits.record_change(index, now),
            Applied::Command(_) if state.revision().index == index => {
                self.sessions.record_revision(index, now);
            }
            Applied::Command(_)
            | Applied::RangeAssigned { .. }
            | Applied::ReleaseStarted { .. }
            | Applied::RangeReleased { .. }
            | Applied::RangesJoined { .. }
            | Applied::GuardReady(_)
            | Applied::CrashCounted(_)
            | Applied::SuspectsCleared
            | Applied::ServerLeft(_)
            | Applied::ServiceForgotten(_)
            | Applied::SplitStaged(_)
            | Applied::PatchBaseMismatch
            | Applied::Ignored(_) => {}
        }
    }

    /// Answers a renewal that was received at `now`.
    pub fn renew(&mut self, state: &State, renew: &Renew, now: Ms) -> RenewAnswer {
        let session = state.session(renew.session);
        // The session may have been taken over by a new process of the daemon.
        let is_holder = |s: &Session| renew.process == 0 || renew.process == s.open.process;
        let is_host_accepted = |s: &Session| state.accepts_host(&s.open.host, &s.open.failure_domain);
        let is_live = session.is_some_and(|s| is_holder(s) && is_host_accepted(s));
        let renewal = is_live.then(|| self.sessions.renew(renew.session, renew.applied, now));
        RenewAnswer {
            session: renew.session,
            sent_at_ms: renew.sent_at_ms,
            renewed: renewal == Some(Renewal::Renewed),
            lagging: renewal == Some(Renewal::Lagging),
            leader: String::new(),
            committed: state.applied(),
            declined: false,
            revision: state.revision().index,
        }
    }

    /// Returns the changes that end the sessions whose leases have certainly ended at `now`.
    pub fn expired(&mut self, now: Ms) -> Vec<EndSession> {
        let expired = self.sessions.expired(now).into_iter();
        let ends = expired.map(|session| EndSession {
            session,
            reason: "the lease ran out".into(),
            idle: false,
        });
        ends.collect()
    }

    /// Returns those of `assignments` that may be made at `now`.
    pub fn allowed(&mut self, state: &State, assignments: Vec<AssignRange>, now: Ms) -> Vec<AssignRange> {
        self.waits.allowed(state, assignments, now)
    }

    /// Returns the changes that drop the tables of retired services which are no longer needed at `now`.
    pub fn forgettable(&mut self, state: &State, now: Ms) -> Vec<ForgetService> {
        self.retention_waits.expired(state, now)
    }

    /// Returns the hosts that have not reported yet that they applied `index`.
    pub fn in_force(&self, state: &State, index: u64) -> InForceAnswer {
        let behind = self.sessions.sessions_behind(index).into_iter();
        let hosts = behind.filter_map(|id| state.session(id).map(|s| s.open.host.clone()));
        InForceAnswer {
            known: true,
            behind: hosts.collect(),
            ..InForceAnswer::default()
        }
    }
}
