use crate::{clock::Ms, settings::LeaseSettings};

/// The leader's view of the leases of all sessions. It always ends after the daemon's own.
#[derive(Clone, Debug, Default)]
pub struct SessionViews {
    timing: LeaseSettings,
    /// Session ids with the end of their view, sorted by id.
    views: Vec<(u64, Ms)>,
}

impl SessionViews {
    /// Returns the views of a new leader: every live session counts as renewed at `now`, since
    /// the old leader may have renewed it just before.
    pub fn new(timing: LeaseSettings, live_sessions: impl Iterator<Item = u64>, now: Ms) -> Self {
        let mut views = Self {
            timing,
            views: Vec::new(),
        };
        for session in live_sessions {
            views.renewed(session, now);
        }
        views
    }

    /// Counts a renewal that was received at `now`.
    pub fn renewed(&mut self, session: u64, now: Ms) {
        let ends_at = now + self.timing.ttl + self.timing.drift;
        match self.views.binary_search_by_key(&session, |v| v.0) {
            Ok(i) => self.views[i].1 = ends_at,
            Err(i) => self.views.insert(i, (session, ends_at)),
        }
    }

    /// Forgets a session that has ended.
    pub fn remove(&mut self, session: u64) {
        if let Ok(i) = self.views.binary_search_by_key(&session, |v| v.0) {
            self.views.remove(i);
        }
    }

    /// Returns the sessions whose leases have certainly ended at `now`.
    pub fn expired(&self, now: Ms) -> Vec<u64> {
        let expired = self.views.iter().filter(|(_, ends_at)| *ends_at <= now);
        expired.map(|(session, _)| *session).collect()
    }
}
