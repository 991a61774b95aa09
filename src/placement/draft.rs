use super::{Action, RangeView, Reason, ServerView, ServiceView, Side};

/// Least load that a range counts for, in slots. It makes the planner spread idle ranges too.
pub(super) const RANGE_LOAD_MIN_SLOTS: f64 = 0.001;

/// Working copy of one service, updated with each action that is added to its plan.
pub(super) struct Draft<'a> {
    pub view: &'a ServiceView,
    pub actions: Vec<Action>,
    /// Load of each server after all moves under way, in slots.
    pub loads: Vec<f64>,
    /// Positions of the ranges of each server that are not moving, neither before nor by this plan.
    pub ranges: Vec<Vec<usize>>,
    /// Number of planned moves under way away from each server.
    pub outgoing_moves: Vec<usize>,
    /// Load of all ranges together, in slots.
    pub total_load: f64,
    seed: u64,
}

impl<'a> Draft<'a> {
    pub fn new(view: &'a ServiceView, seed: u64) -> Self {
        let count = view.servers.len();
        let mut draft = Self {
            view,
            actions: Vec::new(),
            loads: vec![0.0; count],
            ranges: vec![Vec::new(); count],
            outgoing_moves: vec![0; count],
            total_load: 0.0,
            seed,
        };
        for (position, range) in view.ranges.iter().enumerate() {
            draft.count_range(position, range);
        }
        draft
    }

    fn count_range(&mut self, position: usize, range: &RangeView) {
        let load = effective_load(range);
        self.total_load += load;
        match (range.owner, range.is_moving) {
            (Some(owner), false) => {
                self.ranges[owner].push(position);
                self.loads[owner] += load;
            }
            (Some(owner), true) => {
                self.outgoing_moves[owner] += 1;
                if let Some(target) = range.target {
                    self.loads[target] += load;
                }
            }
            (None, _) => {}
        }
    }

    /// Returns the slots of a server, at least one.
    pub fn slots(&self, server: usize) -> f64 {
        f64::from(self.view.servers[server].slots.max(1))
    }

    /// Returns the slots that a server has at the moment: all of them unless it is cold.
    fn present_slots(&self, server: usize) -> f64 {
        let cold_slots = self.view.servers[server].cold_slots;
        cold_slots.unwrap_or_else(|| self.slots(server))
    }

    /// Returns whether a server may get `load` more: any warm one, and a cold one within its present slots.
    pub fn has_room(&self, server: usize, load: f64) -> bool {
        let cold_slots = self.view.servers[server].cold_slots;
        cold_slots.is_none_or(|slots| self.loads[server] + load <= slots)
    }

    /// Returns the load of a server as a share of its slots.
    pub fn utilisation(&self, server: usize) -> f64 {
        self.loads[server] / self.slots(server)
    }

    /// Returns the load of all ranges as a share of the slots of all servers that are not being drained.
    pub fn mean_utilisation(&self) -> f64 {
        let accepting = (0..self.loads.len()).filter(|i| !self.view.servers[*i].is_draining);
        let slots: f64 = accepting.map(|i| self.slots(i)).sum();
        self.total_load / slots.max(1.0)
    }

    /// Returns the server that would have the least utilisation of its present slots with `load` added, among those that `is_eligible`
    /// accepts and that are not being drained.
    pub fn least_loaded(&self, load: f64, is_eligible: impl Fn(usize, &ServerView) -> bool) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        let count = self.view.servers.len();
        for step in 0..count {
            // The first server wins a tie, so the seed chooses where the search starts.
            let i = (step + self.seed as usize % count) % count;
            let server = &self.view.servers[i];
            if server.is_draining || !is_eligible(i, server) {
                continue;
            }
            let after = (self.loads[i] + load) / self.present_slots(i);
            if best.is_none_or(|(_, least)| after < least) {
                best = Some((i, after));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Returns the server that a range should go to: the least loaded one of its half that `avoid` does not exclude,
    /// else of its half, else of all servers unless the split is settled. Cold servers without room are left out.
    pub fn choose_server(&self, range: &RangeView, avoid: impl Fn(&ServerView) -> bool) -> Option<usize> {
        let load = effective_load(range);
        self.choose_among(range, avoid, |i| self.has_room(i, load))
    }

    /// Like [`Self::choose_server`], but cold servers without room are not left out.
    pub fn choose_any_server(&self, range: &RangeView, avoid: impl Fn(&ServerView) -> bool) -> Option<usize> {
        self.choose_among(range, avoid, |_| true)
    }

    fn choose_among(
        &self,
        range: &RangeView,
        avoid: impl Fn(&ServerView) -> bool,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let load = effective_load(range);
        let is_on_side = |s: &ServerView| is_side_compatible(self.view, range.side, s.side);
        self.least_loaded(load, |i, s| is_allowed(i) && is_on_side(s) && !avoid(s))
            .or_else(|| self.least_loaded(load, |i, s| is_allowed(i) && is_on_side(s)))
            .or_else(|| self.least_loaded(load, |i, _| is_allowed(i) && !self.view.is_settled))
    }

    /// Assigns a range without an owner to a server.
    pub fn assign(&mut self, position: usize, to: usize, reason: Reason) {
        let range = &self.view.ranges[position];
        self.loads[to] += effective_load(range);
        self.actions.push(Action::Assign {
            service: self.view.name.clone(),
            span: range.span.clone(),
            to,
            reason,
        });
    }

    /// Starts a planned move of a whole range.
    pub fn move_range(&mut self, position: usize, to: usize, reason: Reason) {
        let range = &self.view.ranges[position];
        let Some(from) = range.owner else {
            return;
        };
        let load = effective_load(range);
        self.loads[from] -= load;
        self.loads[to] += load;
        self.outgoing_moves[from] += 1;
        self.ranges[from].retain(|p| *p != position);
        self.actions.push(Action::Move {
            service: self.view.name.clone(),
            span: range.span.clone(),
            epoch: range.epoch,
            from,
            to,
            reason,
        });
    }
}

/// Returns the load that the planner counts for a range, in slots.
pub(super) fn effective_load(range: &RangeView) -> f64 {
    range.load.max(RANGE_LOAD_MIN_SLOTS)
}

/// Returns whether a server may take keys of a half. Before a split has started, any server may take any keys.
pub(super) fn is_side_compatible(view: &ServiceView, keys: Option<Side>, server: Option<Side>) -> bool {
    let is_match = keys.is_none() || server.is_none() || keys == server;
    is_match || !(view.is_splitting || view.is_settled)
}
