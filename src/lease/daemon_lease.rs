use {
    crate::{clock::Ms, settings::LeaseSettings},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

/// The lease of a daemon's session, measured by the daemon's own clock. Clones share the same lease.
///
/// One thread renews and voids it; any thread may read it.
#[derive(Clone, Debug, Default)]
pub struct DaemonLease {
    ends_at: Arc<AtomicU64>,
    /// Renewals that were sent before this time are ignored.
    not_before: Arc<AtomicU64>,
}

impl DaemonLease {
    /// Extends the lease after a successful renewal that was sent at `sent_at` by the daemon's own clock. A late
    /// answer never shortens the lease, and the answer to a renewal from before [`Self::void`] never revives it.
    pub fn record_renewal(&self, sent_at: Ms, timing: &LeaseSettings) {
        if sent_at.0 < self.not_before.load(Ordering::SeqCst) {
            return;
        }
        let ends_at = sent_at + timing.ttl - timing.drift;
        self.ends_at.fetch_max(ends_at.0, Ordering::SeqCst);
    }

    /// Ends the lease at `now`. Only a renewal that is sent after `now` starts it again.
    pub fn void(&self, now: Ms) {
        self.not_before.store(now.0 + 1, Ordering::SeqCst);
        self.ends_at.store(0, Ordering::SeqCst);
    }

    /// Returns whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Ms) -> bool {
        now < self.ends_at()
    }

    /// Returns the time from `now` to the end of the lease, or zero if it has ended.
    pub fn remaining(&self, now: Ms) -> Ms {
        self.ends_at() - now
    }

    /// Returns the end of the lease by the daemon's own clock, or zero if there is none.
    pub fn ends_at(&self) -> Ms {
        Ms(self.ends_at.load(Ordering::SeqCst))
    }
}
