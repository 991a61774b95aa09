use {
    super::ServiceView,
    crate::{clock::Ms, key::KeyRange},
    std::fmt,
};

/// One decision of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Gives a span without an owner to a server.
    Assign {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
        /// Position of the server in the view of the service.
        to: usize,
        /// Why.
        reason: Reason,
    },
    /// Starts a planned move. A span within a range is split off.
    Move {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership that ends.
        epoch: u64,
        /// Position of the present owner.
        from: usize,
        /// Position of the new owner.
        to: usize,
        /// Why.
        reason: Reason,
    },
    /// Makes one range of neighbours with the same owner.
    Merge {
        /// Name of the service.
        service: String,
        /// The keys of both.
        span: KeyRange,
        /// Position of their owner.
        owner: usize,
    },
}

/// Why a range changes its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It never had an owner.
    New,
    /// Its planned move goes on.
    MoveTarget,
    /// Its last owner is back.
    OwnerBack,
    /// Its owner was lost.
    OwnerLost,
    /// Its server is being drained or leaves.
    Drain,
    /// Its server belongs to the other half of a split.
    Split,
    /// Its server has more load than others.
    Balance,
    /// One key has much of the load.
    HotKey,
    /// The new owner has less load than others.
    Fill,
    /// A former hot key goes back to the server of its neighbours.
    Cooled,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::New => "the range is new",
            Self::MoveTarget => "planned move",
            Self::OwnerBack => "the last owner is back",
            Self::OwnerLost => "the owner was lost",
            Self::Drain => "the server is being drained",
            Self::Split => "the server belongs to the other half",
            Self::Balance => "the server has more load than others",
            Self::HotKey => "hot key",
            Self::Fill => "the new owner has less load than others",
            Self::Cooled => "the key is no longer hot",
        })
    }
}

/// What the planner wants now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The decisions, in the order in which they are to be proposed.
    pub actions: Vec<Action>,
    /// Ranges without an owner that wait for their last one.
    pub waiting: usize,
    /// Ranges without an owner for which there is no server.
    pub homeless: usize,
}

/// What the planner carries from one plan to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// One entry a service, sorted by name.
    pub services: Vec<ServiceMemory>,
}

/// What the planner carries on for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceMemory {
    /// Name of the service.
    pub name: String,
    /// When it was planned last.
    pub at: Ms,
    /// Moves that the churn budget allows now.
    pub tokens: f64,
    /// One entry a server, sorted by session and address.
    pub regrets: Vec<Regret>,
}

/// Cost of imbalance that a server has gathered and that no move has paid for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Regret {
    /// Session of the daemon of the server.
    pub session: u64,
    /// Address of the server.
    pub address: String,
    /// The cost, in weighted seconds.
    pub cost: f64,
}

impl Memory {
    /// Returns the entry of a service, or a new one.
    pub(super) fn service(&self, view: &ServiceView, now: Ms) -> ServiceMemory {
        let found = self.services.iter().find(|s| s.name == view.name);
        found.cloned().unwrap_or_else(|| ServiceMemory {
            name: view.name.clone(),
            at: now,
            tokens: 1.0,
            regrets: Vec::new(),
        })
    }
}

impl ServiceMemory {
    /// Returns the cost that a server has gathered.
    pub(super) fn cost(&self, session: u64, address: &str) -> f64 {
        let found = self
            .regrets
            .binary_search_by(|r| (r.session, r.address.as_str()).cmp(&(session, address)));
        found.map_or(0.0, |i| self.regrets[i].cost)
    }
}
