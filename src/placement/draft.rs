use super::{Action, RangeView, Reason, ServerView, ServiceView, Side};

/// Load in slots that each range counts for at least, so that idle ranges are spread too.
pub(super) const RANGE_LOAD_MIN: f64 = 0.001;

/// The state of one service while a plan for it is made.
pub(super) struct Draft<'a> {
    pub view: &'a ServiceView,
    pub actions: Vec<Action>,
    /// Load of each server with all moves under way done.
    pub loads: Vec<f64>,
    /// Positions of the ranges of each server that are not moving.
    pub ranges: Vec<Vec<usize>>,
    /// Planned moves under way away from each server.
    pub leaving: Vec<usize>,
    /// Load of all ranges together.
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
            leaving: vec![0; count],
            total_load: 0.0,
            seed,
        };
        for (position, range) in view.ranges.iter().enumerate() {
            draft.count_range(position, range);
        }
        draft
    }

    fn count_range(&mut self, position: usize, range: &RangeView) {
        let load = load_of(range);
        self.total_load += load;
        match (range.owner, range.is_moving) {
            (Some(owner), false) => {
                self.ranges[owner].push(position);
                self.loads[owner] += load;
            }
            (Some(owner), true) => {
                self.leaving[owner] += 1;
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

    /// Returns the load of a server in parts of its slots.
    pub fn utilisation(&self, server: usize) -> f64 {
        self.loads[server] / self.slots(server)
    }

    /// Returns the load of all ranges in parts of the slots of all servers that take ranges.
    pub fn mean_utilisation(&self) -> f64 {
        let taking = (0..self.loads.len()).filter(|i| !self.view.servers[*i].is_draining);
        let slots: f64 = taking.map(|i| self.slots(i)).sum();
        self.total_load / slots.max(1.0)
    }

    /// Returns the server that has the least load among those that `suits` accepts.
    pub fn least_loaded(&self, load: f64, suits: impl Fn(usize, &ServerView) -> bool) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        let count = self.view.servers.len();
        for step in 0..count {
            // The seed decides between equals.
            let i = (step + self.seed as usize % count) % count;
            let server = &self.view.servers[i];
            if server.is_draining || !suits(i, server) {
                continue;
            }
            let after = (self.loads[i] + load) / self.slots(i);
            if best.is_none_or(|(_, least)| after < least) {
                best = Some((i, after));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Returns the server for a range that needs one, apart from those that `avoid` names. A server
    /// of the same half goes before all others.
    pub fn home_for(&self, range: &RangeView, avoid: impl Fn(&ServerView) -> bool) -> Option<usize> {
        let load = load_of(range);
        let on_side = |s: &ServerView| is_same_side(self.view, range.side, s.side);
        self.least_loaded(load, |_, s| on_side(s) && !avoid(s))
            .or_else(|| self.least_loaded(load, |_, s| on_side(s)))
            .or_else(|| self.least_loaded(load, |_, _| !self.view.is_settled))
    }

    /// Gives a range without an owner to a server.
    pub fn assign(&mut self, position: usize, to: usize, reason: Reason) {
        let range = &self.view.ranges[position];
        self.loads[to] += load_of(range);
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
        let load = load_of(range);
        self.loads[from] -= load;
        self.loads[to] += load;
        self.leaving[from] += 1;
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

/// Returns the load that the planner counts for a range.
pub(super) fn load_of(range: &RangeView) -> f64 {
    range.load.max(RANGE_LOAD_MIN)
}

/// Tells if a server may take keys of a half.
pub(super) fn is_same_side(view: &ServiceView, keys: Option<Side>, server: Option<Side>) -> bool {
    let matches = keys.is_none() || server.is_none() || keys == server;
    matches || !(view.is_splitting || view.is_settled)
}
