use crate::clock::Ms;

/// Difference up to which two timeouts of callers count as the same.
const SAME_TIME: Ms = Ms(5);
/// Weight of the latest call in the exponential moving average of the share of calls with the longest timeout.
const SHARE_WEIGHT: f64 = 0.05;
/// Smallest share of calls with the longest timeout from which shorter timeouts are taken for those of retries. Callers
/// that retry twice still send a third of their calls with it.
const FIRST_SHARE_MIN: f64 = 0.15;

/// Estimates when the first attempt of a call arrived, from the timeouts that callers give.
///
/// A caller that retries gives the rest of its timeout. The difference to the longest timeout given for the route
/// is the time since its first attempt arrived, which the latency objective counts from.
///
/// Callers that are servers themselves give what is left of the call that they serve. Their timeouts are all
/// different, and say nothing about retries: such calls must not count as late, since other calls wait for them.
#[derive(Clone, Debug, Default)]
pub struct FirstArrivals {
    /// Sorted by route.
    routes: Vec<RouteTimes>,
}

/// The timeouts that the callers of a route have given.
#[derive(Clone, Debug)]
struct RouteTimes {
    route: String,
    longest: Ms,
    /// Share of the calls with the longest timeout.
    longest_share: f64,
}

impl RouteTimes {
    fn new(route: &str, longest: Ms) -> Self {
        Self {
            route: route.to_owned(),
            longest,
            longest_share: 1.0,
        }
    }

    fn record(&mut self, left: Ms) {
        self.longest = self.longest.max(left);
        let is_longest = self.longest - left <= SAME_TIME;
        self.longest_share += (f64::from(u8::from(is_longest)) - self.longest_share) * SHARE_WEIGHT;
    }
}

impl FirstArrivals {
    /// Returns the time since the first attempt of a call of `route` whose timeout is now `left`, or zero if the
    /// timeouts of the route don't tell.
    pub fn age(&mut self, route: &str, left: Ms) -> Ms {
        let found = self.routes.binary_search_by(|r| r.route.as_str().cmp(route));
        let i = found.unwrap_or_else(|i| {
            self.routes.insert(i, RouteTimes::new(route, left));
            i
        });
        let times = &mut self.routes[i];
        times.record(left);
        match times.longest_share >= FIRST_SHARE_MIN {
            true => times.longest - left,
            false => Ms::ZERO,
        }
    }

    /// Drops the routes for which `is_kept` is false. The others keep their times.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|r| is_kept(&r.route));
    }
}
