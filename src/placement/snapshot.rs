use crate::{
    clock::Ms,
    key::{Key, KeyRange},
    schema::{LossPolicy, Weights},
};

/// Input of the planner.
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
    /// Weights of imbalance, churn and unavailable time.
    pub weights: Weights,
    /// Maximum number of moves per minute that the churn budget allows.
    pub moves_per_minute: u32,
    /// Whether neighbouring ranges with the same owner may be joined.
    pub joins_ranges: bool,
    /// Whether its ranges got their first owners a short time ago.
    pub is_new: bool,
    /// Minimum time between two moves of a range, except for losses, drains and splits.
    pub settle: Ms,
    /// Policy for ranges whose servers are lost.
    pub loss: LossPolicy,
    /// Whether a split has been started, so that ranges of one half move to servers of that half.
    pub is_splitting: bool,
    /// Whether the split is paused, so that its moves wait.
    pub is_paused: bool,
    /// Whether the split is settled, so that ranges of one half never go to a server of the other.
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
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Slots that count while it is cold, or `None` if it is warm. Ranges without an owner are assigned to a cold server
    /// only within them, and rebalancing moves nothing to it.
    pub cold_slots: Option<f64>,
    /// Whether it is being drained: its ranges move away and it takes no new ones.
    pub is_draining: bool,
    /// Whether its failure domain is evacuated, or was.
    pub domain_use: DomainUse,
    /// The half that it belongs to, if a split has been started.
    pub side: Option<Side>,
}

/// Whether the servers of a failure domain may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DomainUse {
    /// It was never evacuated.
    #[default]
    Normal,
    /// It is evacuated. Its servers also count as being drained.
    Evacuated,
    /// Its evacuation has ended, and its servers get ranges back.
    Restored,
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
    /// Keys of the range.
    pub span: KeyRange,
    /// Position of the server that owns it, if that server is still in the view.
    pub owner: Option<usize>,
    /// Epoch of the ownership. Zero means that the range has no owner.
    pub epoch: u64,
    /// Position of the server that a planned move under way goes to.
    pub target: Option<usize>,
    /// Whether a planned move is under way.
    pub is_moving: bool,
    /// Smoothed load in busy slots.
    pub load: f64,
    /// Number of keys in use. Zero means that it is not known.
    pub keys: u64,
    /// Keys with the most load in the range, as last reported.
    pub top: Vec<KeyLoad>,
    /// Key below which about half of the load of the range lies.
    pub middle: Option<Key>,
    /// When a planned move of the range was last under way.
    pub moved_at: Option<Ms>,
    /// Its last owner, for a range without an owner.
    pub lost_owner: Option<LostOwner>,
    /// The half that it belongs to, if a split has been started and the range lies in one half.
    pub side: Option<Side>,
}

/// A key with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLoad {
    /// The single key.
    pub key: Key,
    /// Load of its calls, in busy slots.
    pub load: f64,
}

/// The last owner of a range that has lost it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostOwner {
    /// When it was lost.
    pub at: Ms,
    /// Host of the owner.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
}
