use {
    crate::wire::consensus::{Entry, Envelope, HardState, LogHead, Snapshot},
    std::sync::Arc,
};

/// Something that must be written and synced, in order.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the hard state.
    Hard(HardState),
    /// Appends entries. The first one replaces an entry with the same index and all after it.
    Append(Vec<Entry>),
    /// Writes a snapshot, then replaces the log.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// Position before the first entry of the new log.
        head: LogHead,
        /// Entries of the new log.
        entries: Vec<Entry>,
    },
}

/// Something that the applied state must follow.
#[derive(Clone, Debug)]
pub enum Apply {
    /// A committed entry, in order.
    Entry(Entry),
    /// The state is replaced by that of a snapshot.
    Snapshot(Arc<Snapshot>),
}

/// A change of role or a fault of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreEvent {
    /// This member leads from here on.
    BecameLeader {
        /// The term that it leads.
        term: u64,
    },
    /// This member leads no longer.
    SteppedDown {
        /// The term that it led.
        term: u64,
    },
    /// A leader was heard for the first time in its term.
    FollowsLeader {
        /// The leader.
        leader: u64,
        /// Its term.
        term: u64,
    },
    /// Other members have seen this disk in a newer state; this member takes no part any more.
    StaleDisk,
    /// The leader contradicts an entry that was committed; this member takes no part any more.
    CommittedEntryContradicted {
        /// Index of the entry.
        index: u64,
    },
    /// New members are in force.
    MembersChanged {
        /// Index of the entry that names them.
        index: u64,
    },
}

/// What the core wants done. Writes carry ascending numbers.
#[derive(Clone, Debug, Default)]
pub struct Outputs {
    /// Writes, in order; each is reported back by its number.
    pub writes: Vec<(u64, Write)>,
    /// Messages that may be sent now.
    pub messages: Vec<Envelope>,
    /// Committed changes, in order.
    pub applies: Vec<Apply>,
    /// Events, in order.
    pub events: Vec<CoreEvent>,
}
