use crate::clock::Ms;

/// Replication progress of another member, as the leader knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub id: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// Index up to which the member's log is synced and equal to the leader's.
    pub matched: u64,
    /// Latest send time, by the leader's clock, of a message that the member answered in this term.
    pub last_contact: Ms,
    /// When the leader began to track the member.
    pub tracked_since: Ms,
    /// Last index of the entries that were sent and not answered yet, and when they were sent.
    pub in_flight: Option<(u64, Ms)>,
    /// Snapshot that is being sent: its index, the offset of the current part, and when that part was sent.
    pub snapshot: Option<(u64, u64, Ms)>,
    /// Process of the member that last announced its start, or 0 if none has.
    pub process: u64,
    /// When it announced its start, by the leader's clock. Answers to earlier messages may come from an earlier
    /// process and are ignored.
    pub process_since: Ms,
}

impl Progress {
    /// Creates the progress of a member whose log is not known yet.
    pub fn new(id: u64, next: u64, now: Ms) -> Self {
        Self {
            id,
            next,
            matched: 0,
            last_contact: Ms::ZERO,
            tracked_since: now,
            in_flight: None,
            snapshot: None,
            process: 0,
            process_since: Ms::ZERO,
        }
    }

    /// Discards what an earlier process of the member acknowledged, since the disk that the new process was
    /// started with may lack it.
    pub fn record_restart(&mut self, process: u64, now: Ms) {
        if self.process != process {
            *self = Self {
                last_contact: self.last_contact,
                process,
                process_since: now,
                ..Self::new(self.id, self.next, self.tracked_since)
            };
        }
    }

    /// Records that the member has synced everything up to `index`.
    pub fn record_accepted(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        if self.in_flight.is_some_and(|(awaited, _)| self.matched >= awaited) {
            self.in_flight = None;
        }
    }

    /// Moves back to the entry after `hint` once the member has refused entries.
    pub fn record_refused(&mut self, hint: u64) {
        self.next = self.next.min(hint + 1).max(self.matched + 1);
        self.in_flight = None;
    }

    /// Returns whether a message that was sent at `since` and is not answered yet counts as lost at `now`.
    pub fn is_overdue(since: Ms, now: Ms, timeout: Ms) -> bool {
        now >= since + timeout
    }
}
