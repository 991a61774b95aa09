use {
    crate::wire::consensus::{entry::Body, Entry, LogHead, Membership, Snapshot},
    std::sync::Arc,
};

/// The log in memory: the latest snapshot and the entries after the head. The head may be older than the snapshot.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    head: LogHead,
    entries: Vec<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    /// Memberships with the index of the entry or snapshot that contains them, ascending.
    memberships: Vec<(u64, Membership)>,
}

impl ReplicaLog {
    /// Creates a log from what was read from the disk.
    pub fn new(head: LogHead, entries: Vec<Entry>, snapshot: Option<Arc<Snapshot>>) -> Self {
        let mut log = Self {
            head,
            entries: Vec::new(),
            memberships: Vec::new(),
            snapshot,
        };
        log.append(entries);
        log.rebase_memberships();
        log
    }

    /// Returns the position just before the first entry.
    pub fn head(&self) -> LogHead {
        self.head
    }

    /// Returns the latest snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the index of the latest snapshot, or 0 if there is none.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.head.index, |e| e.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.head.term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, or `None` if the log does not reach there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.head.index {
            return Some(self.head.term);
        }
        self.position(index).map(|i| self.entries[i].term)
    }

    /// Returns the entries from `first` on, limited to `max_bytes`. The first entry is returned whatever its size.
    pub fn slice(&self, first: u64, max_bytes: usize) -> &[Entry] {
        let Some(from) = self.position(first) else {
            return &[];
        };
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry_bytes(entry);
            is_first || bytes <= max_bytes
        };
        let count = self.entries[from..].iter().take_while(fits).count();
        &self.entries[from..from + count]
    }

    /// Returns the entries after index `after`, up to and including `until`.
    pub fn between(&self, after: u64, until: u64) -> &[Entry] {
        let from = (after.max(self.head.index) - self.head.index) as usize;
        let to = (until.max(self.head.index) - self.head.index) as usize;
        &self.entries[from.min(to)..to.min(self.entries.len())]
    }

    /// Returns the last index before the run of entries that have the same term as the entry at `index`.
    pub fn last_index_before_term_of(&self, index: u64) -> u64 {
        let Some(position) = self.position(index) else {
            return index.saturating_sub(1).max(self.head.index);
        };
        let term = self.entries[position].term;
        let earlier = self.entries[..position].iter().rev().find(|e| e.term != term);
        earlier.map_or(self.head.index, |e| e.index)
    }

    /// Appends entries. The first one replaces any entry with the same index and all later ones.
    pub fn append(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first().map(|e| e.index) {
            let keep = (first - 1).saturating_sub(self.head.index) as usize;
            self.entries.truncate(keep);
            self.memberships.retain(|(index, _)| *index < first);
        }
        for entry in entries {
            if let Some(Body::Membership(membership)) = &entry.body {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Returns the current members, which are those of the last membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        static EMPTY: Membership = Membership { members: Vec::new() };
        self.memberships.last().map_or(&EMPTY, |(_, m)| m)
    }

    /// Returns the index of the entry or snapshot with the current members, or 0 if there is none.
    pub fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the members that were current at `index`.
    pub fn membership_at(&self, index: u64) -> Membership {
        let earlier = self.memberships.iter().rev().find(|(i, _)| *i <= index);
        earlier.map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// Sets a snapshot of this log's own entries and drops the entries up to it except for the last
    /// `kept`.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, kept: u64) {
        let head = snapshot.index.saturating_sub(kept).max(self.head.index);
        if let Some(term) = self.term_at(head) {
            self.entries.drain(..(head - self.head.index) as usize);
            self.head = LogHead { index: head, term };
        }
        self.snapshot = Some(snapshot);
        self.rebase_memberships();
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let head = LogHead {
            index: snapshot.index,
            term: snapshot.term,
        };
        *self = Self::new(head, Vec::new(), Some(snapshot));
    }

    /// Returns all entries after the head.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Replaces all memberships up to the snapshot by that of the snapshot.
    fn rebase_memberships(&mut self) {
        if let Some(first) = self.snapshot_membership() {
            self.memberships.retain(|(index, _)| *index > first.0);
            self.memberships.insert(0, first);
        }
    }

    fn snapshot_membership(&self) -> Option<(u64, Membership)> {
        let snapshot = self.snapshot.as_ref()?;
        Some((snapshot.index, snapshot.membership.clone()?))
    }

    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.head.index + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }
}

/// Returns the approximate size of an entry in a message.
fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD_BYTES: usize = 24;
    match &entry.body {
        Some(Body::Change(change)) => change.len() + OVERHEAD_BYTES,
        Some(Body::Membership(membership)) => membership.members.len() * 64 + OVERHEAD_BYTES,
        None => OVERHEAD_BYTES,
    }
}
