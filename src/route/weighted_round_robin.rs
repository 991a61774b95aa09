use crate::schema::{Route, RouteTarget};

/// The credits of the targets of one route.
#[derive(Clone, Debug)]
struct Turns {
    route: String,
    targets: Vec<RouteTarget>,
    credits: Vec<f64>,
}

impl Turns {
    /// Returns the position of the target that takes the next call.
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

/// Shares out the calls of each route among its services by their weights.
///
/// Each target gains its weight with every call, and the one with the most credit takes the call and pays the sum of
/// all weights. So any run of calls is shared to within one call of the weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Sorted by route.
    routes: Vec<Turns>,
    /// Turns that a new route is taken to have had, so that daemons don't all begin with the same target.
    phase: u32,
}

impl WeightedRoundRobin {
    /// Returns turns that begin after `phase` turns of each route.
    pub fn new(phase: u32) -> Self {
        Self {
            routes: Vec::new(),
            phase,
        }
    }

    /// Returns the service that takes the next call of `route`, which has a target.
    pub fn next<'a>(&mut self, route: &'a Route) -> &'a str {
        if let [only] = route.targets.as_slice() {
            return &only.service;
        }
        &route.targets[self.turns(route).next()].service
    }

    /// A route whose targets have changed starts anew.
    fn turns(&mut self, route: &Route) -> &mut Turns {
        let found = self
            .routes
            .binary_search_by(|t| t.route.as_str().cmp(&route.name));
        let phase = self.phase;
        let fresh = || {
            let mut turns = Turns {
                route: route.name.clone(),
                targets: route.targets.clone(),
                credits: vec![0.0; route.targets.len()],
            };
            for _ in 0..phase {
                turns.next();
            }
            turns
        };
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                self.routes.insert(i, fresh());
                i
            }
        };
        if self.routes[i].targets != route.targets {
            self.routes[i] = fresh();
        }
        &mut self.routes[i]
    }
}
