use {
    crate::wire::consensus::{Entry, Envelope, HardState, LogHead, Snapshot},
    std::sync::Arc,
};

/// A write to the disk. Writes must be carried out and synced in order.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the hard state.
    Hard(HardState),
    /// Appends entries. The first one replaces any entry with the same index and all later ones.
    Append(Vec<Entry>),
    /// Writes a snapshot and then replaces the log.
    Snapshot {
        /// Snapshot to write.
        snapshot: Arc<Snapshot>,
        /// Position before the first entry of the new log.
        head: LogHead,
        /// Entries of the new log.
        entries: Vec<Entry>,
    },
}

/// A change to be made to the applied state.
#[derive(Clone, Debug)]
pub enum Apply {
    /// Applies a committed entry. Entries come in order.
    Entry(Entry),
    /// Replaces the whole state by that of a snapshot.
    Snapshot(Arc<Snapshot>),
}

/// A change of role or membership, or a fault, that the caller logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreEvent {
    /// This member has become the leader.
    BecameLeader {
        /// Its term as leader.
        term: u64,
    },
    /// This member is no longer the leader.
    SteppedDown {
        /// Its term as leader.
        term: u64,
    },
    /// A leader has made contact for the first time in its term.
    FollowsLeader {
        /// Id of the leader.
        leader: u64,
        /// Term of the leader.
        term: u64,
    },
    /// Other members have seen this disk in a newer state. This member has stopped for good.
    StaleDisk,
    /// The leader contradicts a committed entry. This member has stopped for good.
    CommittedEntryContradicted {
        /// Index of the entry.
        index: u64,
    },
    /// The membership has changed.
    MembersChanged {
        /// Index of the entry or snapshot with the new members.
        index: u64,
    },
}

/// Actions that a [`Core`](super::Core) requests. Writes have ascending numbers.
#[derive(Clone, Debug, Default)]
pub struct Outputs {
    /// Writes with their numbers, in order. [`Core::writes_synced`](super::Core::writes_synced) reports them back.
    pub writes: Vec<(u64, Write)>,
    /// Messages that may be sent now.
    pub messages: Vec<Envelope>,
    /// Committed changes, in order.
    pub applies: Vec<Apply>,
    /// Events, in order.
    pub events: Vec<CoreEvent>,
}
