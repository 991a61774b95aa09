use {
    crate::{clock::Ms, settings::LeaseSettings},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

/// The lease of a daemon's session, as the daemon itself counts it. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct DaemonLease {
    ends_at: Arc<AtomicU64>,
}

impl DaemonLease {
    /// Counts a renewal that was sent at `sent_at` by the daemon's own clock. A late answer never
    /// shortens the lease.
    pub fn renewed(&self, sent_at: Ms, timing: &LeaseSettings) {
        let ends_at = sent_at + timing.ttl - timing.drift;
        self.ends_at.fetch_max(ends_at.0, Ordering::SeqCst);
    }

    /// Ends the lease at once.
    pub fn void(&self) {
        self.ends_at.store(0, Ordering::SeqCst);
    }

    /// Tells if the lease holds at `now`.
    pub fn is_valid(&self, now: Ms) -> bool {
        now.0 < self.ends_at.load(Ordering::SeqCst)
    }

    /// Returns the time left at `now`.
    pub fn left(&self, now: Ms) -> Ms {
        Ms(self.ends_at.load(Ordering::SeqCst)) - now
    }
}
