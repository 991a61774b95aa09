use crate::{clock::Ms, settings::LeaseSettings};

/// The leader's decision about a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease is extended.
    Renewed,
    /// The lease is not extended, because the daemon lacks a configuration that was committed too long ago. The
    /// session lasts until its lease ends.
    Lagging,
}

/// The leader's view of the lease of one session.
#[derive(Clone, Copy, Debug)]
struct SessionView {
    session: u64,
    ends_at: Ms,
    /// Time by which the lease was extended since the last renewal because the leader was paused.
    extended_by: Ms,
    /// Highest log index that the daemon has reported as applied.
    applied: u64,
}

/// The leader's view of the leases of all sessions. Here a lease always ends later than by the daemon's own clock.
#[derive(Clone, Debug, Default)]
pub struct SessionViews {
    timing: LeaseSettings,
    /// Sorted by session id.
    views: Vec<SessionView>,
    /// Log indexes of configuration changes with the times of their commits, ascending.
    revisions: Vec<(u64, Ms)>,
    /// When [`Self::expired`] was last called.
    last_checked_at: Option<Ms>,
}

impl SessionViews {
    /// Creates the views of a new leader. Every live session counts as renewed at `now`, since the old leader may
    /// have renewed it just before.
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

    /// Records a renewal that was received at `now`, or the start of a session.
    pub fn record_renewal(&mut self, session: u64, now: Ms) {
        let ends_at = now + self.timing.ttl + self.timing.drift;
        match self.position(session) {
            Ok(i) => {
                let view = &mut self.views[i];
                view.ends_at = view.ends_at.max(ends_at);
                view.extended_by = Ms::ZERO;
            }
            Err(i) => self.views.insert(
                i,
                SessionView {
                    session,
                    ends_at,
                    extended_by: Ms::ZERO,
                    applied: 0,
                },
            ),
        }
    }

    /// Decides about a renewal that was received at `now` from a daemon that has applied all changes up to log
    /// index `applied`.
    pub fn renew(&mut self, session: u64, applied: u64, now: Ms) -> Renewal {
        if let Ok(i) = self.position(session) {
            self.views[i].applied = self.views[i].applied.max(applied);
        }
        if self.is_lagging(applied, now) {
            return Renewal::Lagging;
        }
        self.record_renewal(session, now);
        Renewal::Renewed
    }

    /// Records that a change of the configuration was committed at log index `index`.
    pub fn record_revision(&mut self, index: u64, now: Ms) {
        let overdue = self
            .revisions
            .partition_point(|(_, at)| *at + self.timing.max_config_lag < now);
        // Every daemon must already have the overdue revisions, so only the last of them is kept.
        self.revisions.drain(..overdue.saturating_sub(1));
        self.revisions.push((index, now));
    }

    /// Returns the live sessions whose daemons have not reported yet that they applied `index`.
    pub fn sessions_behind(&self, index: u64) -> Vec<u64> {
        let behind = self.views.iter().filter(|view| view.applied < index);
        behind.map(|view| view.session).collect()
    }

    /// Removes a session that has ended.
    pub fn remove(&mut self, session: u64) {
        if let Ok(i) = self.position(session) {
            self.views.remove(i);
        }
    }

    /// Returns the sessions whose leases have certainly ended at `now`.
    ///
    /// If the leader itself was paused since the last call, all leases are extended by the pause, since renewals may
    /// have waited in the meantime. Several pauses extend a lease by at most its length: a leader that is starved for
    /// long would otherwise keep the sessions of lost daemons.
    pub fn expired(&mut self, now: Ms) -> Vec<u64> {
        let pause = self
            .last_checked_at
            .replace(now)
            .map_or(Ms::ZERO, |last| now - last);
        let excess = pause - self.timing.renew_interval;
        if excess > Ms::ZERO {
            let extension_max = self.timing.ttl.max(excess);
            for view in &mut self.views {
                let extension = excess.min(extension_max - view.extended_by);
                view.ends_at += extension;
                view.extended_by += extension;
            }
        }
        let expired = self.views.iter().filter(|view| view.ends_at <= now);
        expired.map(|view| view.session).collect()
    }

    /// Returns whether a daemon that has applied `applied` lacks a configuration that is overdue.
    fn is_lagging(&self, applied: u64, now: Ms) -> bool {
        let missing = self.revisions.partition_point(|(index, _)| *index <= applied);
        let first_missing = self.revisions.get(missing);
        first_missing.is_some_and(|(_, at)| *at + self.timing.max_config_lag < now)
    }

    fn position(&self, session: u64) -> Result<usize, usize> {
        self.views.binary_search_by_key(&session, |view| view.session)
    }
}
