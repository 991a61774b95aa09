use crate::{
    clock::Ms,
    key::{Key, KeyRange},
    schema::{LossPolicy, Weights},
};

/// All that the planner looks at.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub now: Ms,
    /// The services that are divided by key.
    pub services: Vec<ServiceView>,
}

/// One service that is divided by key.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Name of the service.
    pub name: String,
    /// Weights of the three measures.
    pub weights: Weights,
    /// Most moves for balance in a minute.
    pub moves_per_minute: u32,
    /// True: neighbouring ranges with the same owner may be joined.
    pub joins_ranges: bool,
    /// True: its ranges got their first owners a short time ago.
    pub is_new: bool,
    /// Time for which a range that was moved stays where it is, but for losses and drains.
    pub settle: Ms,
    /// What is done when servers are lost.
    pub loss: LossPolicy,
    /// True: ranges of one half move to servers of that half.
    pub is_splitting: bool,
    /// True: the ranges of the halves stay where they are for now.
    pub is_paused: bool,
    /// True: ranges of one half never go to a server of the other.
    pub is_settled: bool,
    /// The servers, sorted by session and address.
    pub servers: Vec<ServerView>,
    /// The ranges in the order of their keys, without gap or overlap.
    pub ranges: Vec<RangeView>,
}

/// One backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerView {
    /// Session of its daemon.
    pub session: u64,
    /// Address of the server.
    pub address: String,
    /// Name of its host.
    pub host: String,
    /// Failure domain of its host.
    pub failure_domain: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// True: its ranges move away and it takes no new ones.
    pub is_draining: bool,
    /// The half that it belongs to.
    pub side: Option<Side>,
}

/// One of the two halves of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The half that keeps the present control cell.
    First,
    /// The half that gets a control cell of its own.
    Second,
}

/// One range of keys.
#[derive(Clone, Debug, Default)]
pub struct RangeView {
    /// The keys.
    pub span: KeyRange,
    /// Position of the server that owns it.
    pub owner: Option<usize>,
    /// Epoch of the ownership; 0 without an owner.
    pub epoch: u64,
    /// Position of the server that a planned move under way goes to.
    pub target: Option<usize>,
    /// True: a planned move is under way.
    pub is_moving: bool,
    /// Smoothed load in busy slots.
    pub load: f64,
    /// Keys in use. 0: not known.
    pub keys: u64,
    /// Heaviest keys of the range with their smoothed load.
    pub top: Vec<KeyLoad>,
    /// A key with about half of the load below it.
    pub middle: Option<Key>,
    /// Last change of owner that the planner wanted.
    pub moved_at: Option<Ms>,
    /// Who lost it, for a range without an owner.
    pub vacated: Option<Vacated>,
    /// The half that it belongs to.
    pub side: Option<Side>,
}

/// A key with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLoad {
    /// The key.
    pub key: Key,
    /// Load in busy slots.
    pub load: f64,
}

/// The owner that a range lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vacated {
    /// When it was lost.
    pub at: Ms,
    /// Host of the owner.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
}
