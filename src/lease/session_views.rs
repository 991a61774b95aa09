use crate::{clock::Ms, settings::LeaseSettings};

/// What the leader decided about a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease runs on.
    Renewed,
    /// The daemon lacks a configuration that was committed too long ago. The session goes on until its
    /// lease ends.
    Lagging,
}

/// What the leader knows of one session.
#[derive(Clone, Copy, Debug)]
struct SessionView {
    session: u64,
    ends_at: Ms,
    /// Last log index that the daemon said it has applied.
    applied: u64,
}

/// The leader's view of the leases of all sessions. It always ends after the daemon's own.
#[derive(Clone, Debug, Default)]
pub struct SessionViews {
    timing: LeaseSettings,
    /// Sorted by session.
    views: Vec<SessionView>,
    /// Log indexes of configuration changes with the time of their commit, ascending.
    revisions: Vec<(u64, Ms)>,
    last_look: Option<Ms>,
}

impl SessionViews {
    /// Returns the views of a new leader: every live session counts as renewed at `now`, since
    /// the old leader may have renewed it just before.
    pub fn new(timing: LeaseSettings, live_sessions: impl Iterator<Item = u64>, now: Ms) -> Self {
        let mut views = Self {
            timing,
            ..Self::default()
        };
        for session in live_sessions {
            views.record_renewal(session, now);
        }
        views
    }

    /// Counts a renewal that was received at `now`, or the start of a session.
    pub fn record_renewal(&mut self, session: u64, now: Ms) {
        let ends_at = now + self.timing.ttl + self.timing.drift;
        match self.position(session) {
            Ok(i) => self.views[i].ends_at = self.views[i].ends_at.max(ends_at),
            Err(i) => self.views.insert(
                i,
                SessionView {
                    session,
                    ends_at,
                    applied: 0,
                },
            ),
        }
    }

    /// Decides about a renewal that was received at `now` from a daemon that has applied all changes up to
    /// `applied`.
    pub fn renew(&mut self, session: u64, applied: u64, now: Ms) -> Renewal {
        if let Ok(i) = self.position(session) {
            self.views[i].applied = self.views[i].applied.max(applied);
        }
        if self.lags(applied, now) {
            return Renewal::Lagging;
        }
        self.record_renewal(session, now);
        Renewal::Renewed
    }

    /// Notes that a change of the configuration was committed at log index `index`.
    pub fn revision_committed(&mut self, index: u64, now: Ms) {
        let overdue = self
            .revisions
            .partition_point(|(_, at)| *at + self.timing.config_lag < now);
        // Of those that every daemon must have, the last one stands for all.
        self.revisions.drain(..overdue.saturating_sub(1));
        self.revisions.push((index, now));
    }

    /// Returns the live sessions whose daemons have not said that they applied `index`.
    pub fn behind(&self, index: u64) -> Vec<u64> {
        let behind = self.views.iter().filter(|view| view.applied < index);
        behind.map(|view| view.session).collect()
    }

    /// Forgets a session that has ended.
    pub fn remove(&mut self, session: u64) {
        if let Ok(i) = self.position(session) {
            self.views.remove(i);
        }
    }

    /// Returns the sessions whose leases have certainly ended at `now`.
    ///
    /// After a pause of the leader itself all views are extended by it, since renewals may have waited.
    pub fn expired(&mut self, now: Ms) -> Vec<u64> {
        let pause = self.last_look.replace(now).map_or(Ms::ZERO, |last| now - last);
        let excess = pause - self.timing.renew;
        if excess > Ms::ZERO {
            for view in &mut self.views {
                view.ends_at += excess;
            }
        }
        let expired = self.views.iter().filter(|view| view.ends_at <= now);
        expired.map(|view| view.session).collect()
    }

    fn lags(&self, applied: u64, now: Ms) -> bool {
        let missing = self.revisions.partition_point(|(index, _)| *index <= applied);
        let first_missing = self.revisions.get(missing);
        first_missing.is_some_and(|(_, at)| *at + self.timing.config_lag < now)
    }

    fn position(&self, session: u64) -> Result<usize, usize> {
        self.views.binary_search_by_key(&session, |view| view.session)
    }
}
