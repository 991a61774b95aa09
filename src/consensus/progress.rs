use crate::clock::Ms;

/// What the leader knows of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub id: u64,
    /// Next index to send.
    pub next: u64,
    /// Everything up to here is synced there and equal to the leader's log.
    pub matched: u64,
    /// Latest send time, by the leader's clock, of a message that was answered in this term.
    pub echoed_at: Ms,
    /// When the leader began to count the member.
    pub met_at: Ms,
    /// Last index of entries that are on their way, and when they were sent.
    pub awaiting: Option<(u64, Ms)>,
    /// Snapshot that is being sent: its index, the offset, and when the part was sent.
    pub snapshot: Option<(u64, u64, Ms)>,
    /// Process of the member that has stated its start; 0 while none has.
    pub process: u64,
    /// When it did, by the leader's clock. Answers to earlier messages may be of an earlier process.
    pub process_since: Ms,
}

impl Progress {
    /// Returns the progress of a member of which nothing is known.
    pub fn new(id: u64, next: u64, now: Ms) -> Self {
        Self {
            id,
            next,
            matched: 0,
            echoed_at: Ms::ZERO,
            met_at: now,
            awaiting: None,
            snapshot: None,
            process: 0,
            process_since: Ms::ZERO,
        }
    }

    /// Forgets what an earlier process of the member acknowledged, since the disk that the present one was
    /// started with may lack it.
    pub fn returned(&mut self, process: u64, now: Ms) {
        if self.process != process {
            *self = Self {
                echoed_at: self.echoed_at,
                process,
                process_since: now,
                ..Self::new(self.id, self.next, self.met_at)
            };
        }
    }

    /// Counts that everything up to `index` is synced.
    pub fn accepted(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        if self.awaiting.is_some_and(|(awaited, _)| self.matched >= awaited) {
            self.awaiting = None;
        }
    }

    /// Steps back after a refusal.
    pub fn refused(&mut self, hint: u64) {
        self.next = self.next.min(hint + 1).max(self.matched + 1);
        self.awaiting = None;
    }

    /// Tells if something sent at `since` may be lost.
    pub fn is_overdue(since: Ms, now: Ms, patience: Ms) -> bool {
        now >= since + patience
    }
}
