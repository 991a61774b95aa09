use {
    super::ServiceView,
    crate::{clock::Ms, key::KeyRange},
    std::fmt,
};

/// One decision of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Assigns a span without an owner to a server.
    Assign {
        /// Name of the service.
        service: String,
        /// Keys to assign.
        span: KeyRange,
        /// Position of the new owner in the servers of the service's view.
        to: usize,
        /// Reason for the assignment.
        reason: Reason,
    },
    /// Starts a planned move. A span that is only a part of a range is split off first.
    Move {
        /// Name of the service.
        service: String,
        /// Keys to move.
        span: KeyRange,
        /// Epoch of the ownership that ends.
        epoch: u64,
        /// Position of the present owner.
        from: usize,
        /// Position of the new owner.
        to: usize,
        /// Reason for the move.
        reason: Reason,
    },
    /// Joins two neighbouring ranges with the same owner.
    Merge {
        /// Name of the service.
        service: String,
        /// Keys of both ranges.
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
    /// Its planned move is completed.
    MoveTarget,
    /// The host of its last owner has a server again.
    OwnerBack,
    /// Its owner was lost.
    OwnerLost,
    /// Its server is being drained or is leaving.
    Drain,
    /// Its server belongs to the other half of a split.
    Split,
    /// Its server has more load than the mean.
    Balance,
    /// A single hot key moves on its own.
    HotKey,
    /// The new owner has less load than the mean.
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

/// Result of one run of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The actions, in the order in which they are to be proposed.
    pub actions: Vec<Action>,
    /// Number of ranges without an owner that wait for their last owner.
    pub waiting: usize,
    /// Number of ranges without an owner that no server can take.
    pub unassignable: usize,
}

/// State that the planner passes from one plan to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerState {
    /// One entry for each service, in the order of the snapshot.
    pub services: Vec<ServicePlannerState>,
}

/// State that the planner keeps for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlannerState {
    /// Name of the service.
    pub name: String,
    /// When its last plan was made.
    pub planned_at: Ms,
    /// Moves that the churn budget allows now, as the tokens of a token bucket.
    pub tokens: f64,
    /// Accumulated cost of imbalance of each server, sorted by session and address.
    pub imbalance_costs: Vec<ImbalanceCost>,
}

/// Accumulated cost of the imbalance of a server, less the prices of the moves that it has paid for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImbalanceCost {
    /// Session of the daemon of the server.
    pub session: u64,
    /// Address of the server.
    pub address: String,
    /// Accumulated cost, in weighted seconds.
    pub cost: f64,
}

impl PlannerState {
    /// Returns the state of a service, or an initial one if there is none.
    pub(super) fn service_state(&self, view: &ServiceView, now: Ms) -> ServicePlannerState {
        let found = self.services.iter().find(|s| s.name == view.name);
        found.cloned().unwrap_or_else(|| ServicePlannerState {
            name: view.name.clone(),
            planned_at: now,
            tokens: 1.0,
            imbalance_costs: Vec::new(),
        })
    }
}

impl ServicePlannerState {
    /// Returns the accumulated cost of a server, or zero for an unknown server.
    pub(super) fn imbalance_cost(&self, session: u64, address: &str) -> f64 {
        let found = self
            .imbalance_costs
            .binary_search_by(|r| (r.session, r.address.as_str()).cmp(&(session, address)));
        found.map_or(0.0, |i| self.imbalance_costs[i].cost)
    }
}
