use crate::schema::{Route, RouteTarget};

/// State of the round robin of one route.
#[derive(Clone, Debug)]
struct RouteState {
    route: String,
    targets: Vec<RouteTarget>,
    credits: Vec<f64>,
}

impl RouteState {
    /// Returns the index of the target that takes the next call.
    fn next(&mut self) -> usize {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut best = 0;
        for (i, target) in self.targets.iter().enumerate() {
            self.credits[i] += target.weight;
            if self.credits[i] > self.credits[best] {
                best = i;
            }
        }
        self.credits[best] -= total;
        best
    }
}

/// Distributes the calls of each route over its services by weight (smooth weighted round robin).
///
/// With each call every target gains its weight as credit. The target with the most credit takes the call and loses
/// the sum of all weights. In any sequence of calls each target's number of calls is within one of its share.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Sorted by route.
    routes: Vec<RouteState>,
    /// Number of turns that a new route skips, so that daemons don't all begin with the same target.
    phase: u32,
}

impl WeightedRoundRobin {
    /// Returns a round robin that skips the first `phase` turns of each route.
    pub fn new(phase: u32) -> Self {
        Self {
            routes: Vec::new(),
            phase,
        }
    }

    /// Returns the service that takes the next call of `route`, which must have at least one target.
    pub fn next<'a>(&mut self, route: &'a Route) -> &'a str {
        if let [only] = route.targets.as_slice() {
            return &only.service;
        }
        &route.targets[self.route_state(route).next()].service
    }

    /// Returns the state of `route`, which is reset if the targets have changed.
    fn route_state(&mut self, route: &Route) -> &mut RouteState {
        let found = self
            .routes
            .binary_search_by(|t| t.route.as_str().cmp(&route.name));
        let phase = self.phase;
        let new_state = || {
            let mut state = RouteState {
                route: route.name.clone(),
                targets: route.targets.clone(),
                credits: vec![0.0; route.targets.len()],
            };
            for _ in 0..phase {
                state.next();
            }
            state
        };
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                self.routes.insert(i, new_state());
                i
            }
        };
        if self.routes[i].targets != route.targets {
            self.routes[i] = new_state();
        }
        &mut self.routes[i]
    }
}
