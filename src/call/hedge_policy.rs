use {
    super::{response_times::ResponseTimes, RetryBudget},
    crate::clock::Ms,
};

/// Quantiles of the response times after which a hedged request may be sent. Below the 90th percentile, most of the
/// calls concerned are not late. Above the 99th, too few samples are left to tell the quantile.
const QUANTILES: [f64; 4] = [0.90, 0.95, 0.98, 0.99];
/// Number of recorded calls that must exceed a quantile before it is used.
const SAMPLES_ABOVE_MIN: f64 = 2.0;
/// Share of the late calls that must last longer than a hedged request would. It limits the extra work to about five hedged
/// requests for each one that wins. In a service whose times vary little, no quantile fulfils it, and hedged requests
/// would not help.
const WIN_SHARE_MIN: f64 = 0.2;
/// Shortest delay of a hedged request. Times are measured in whole milliseconds, so that a shorter delay would be within
/// the error of measurement.
const DELAY_MIN: Ms = Ms(2);
/// Time that must be left before the deadline. It is the same as for a retry.
const TIME_LEFT_MIN: Ms = Ms(40);
/// Share of refused attempts above which the service counts as refusing calls for lack of room. Below it, single servers
/// are full for a moment while others have room, which is usual at 0.7 of the capacity.
const REFUSED_SHARE_MAX: f64 = 0.1;
/// Weight of the latest attempt in the share of refused attempts. About the last 20 attempts count, so that a few refusals
/// in a row have effect at once.
const REFUSED_WEIGHT: f64 = 0.05;
/// Time after the last call of a route after which its response times are not relied on any more.
const UNUSED_TTL: Ms = Ms(60_000);
/// Number of calls between two updates of the delay of a route, to save processor time.
const UPDATE_CALLS: u32 = 16;
/// Maximum number of routes whose response times are kept. Beyond it, the one that was not used for longest is dropped.
const ROUTES_MAX: usize = 64;

/// The facts about a call that decide whether a hedged request may be sent for it.
#[derive(Clone, Copy, Debug)]
pub struct HedgeContext {
    /// Current time.
    pub now: Ms,
    /// When the call ends at the latest, counted from its first attempt.
    pub deadline: Ms,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether only the owner of the key may take the call.
    pub divided_by_key: bool,
    /// Number of servers that the call was sent to, with the attempt that is late.
    pub sent: u32,
    /// Maximum number of servers that it may be sent to.
    pub sent_max: u32,
}

/// Why no hedged request is sent for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoHedge {
    /// Hedged requests are disabled.
    Disabled,
    /// The call is not idempotent, or only the owner of its key may take it.
    NotAllowed,
    /// The call was sent to as many servers as its route allows.
    AttemptsUsed,
    /// Too little time is left before the deadline.
    NoTime,
    /// Servers of the service refuse calls for lack of room.
    Refusing,
    /// The share for hedged requests or the retry budget is spent.
    BudgetSpent,
    /// No other server is expected to be faster and has room.
    NoServer,
}

impl NoHedge {
    /// Returns the text that the metric contains.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Disabled => "disabled",
            Self::NotAllowed => "not-allowed",
            Self::AttemptsUsed => "attempts-used",
            Self::NoTime => "no-time",
            Self::Refusing => "refusing",
            Self::BudgetSpent => "budget-spent",
            Self::NoServer => "no-server",
        }
    }
}

/// Response times of the calls of one route.
#[derive(Clone, Debug)]
struct RouteTimes {
    route: String,
    times: ResponseTimes,
    last_used: Ms,
    /// Delay of hedged requests, as of the last update; `None` while too few calls are recorded, or if hedged requests would
    /// rarely win.
    delay: Option<Ms>,
    /// Median time as of the last update, or zero while no call is recorded.
    median: Ms,
    /// Time after the delay that at least [`WIN_SHARE_MIN`] of the late calls last, as of the last update.
    left: Ms,
    /// Number of calls since the last update of `delay`.
    calls_since_update: u32,
}

impl RouteTimes {
    /// Derives the delay from the recorded times: the lowest quantile that at most `share` of the calls exceed and at
    /// which hedged requests win often enough.
    fn update(&mut self, share: f64) {
        self.calls_since_update = 0;
        let times = self.times.recent();
        self.median = times.quantile(0.5);
        let usable = QUANTILES.iter().filter(|q| 1.0 - **q <= share + f64::EPSILON);
        let mut delays = usable.map(|q| times.quantile(*q).max(DELAY_MIN));
        self.delay = delays.find(|delay| {
            let late = times.count_above(*delay) as f64;
            let lasting_share = late / times.len() as f64 * WIN_SHARE_MIN;
            self.left = times.quantile(1.0 - lasting_share) - *delay;
            late >= SAMPLES_ABOVE_MIN && self.left >= self.median
        });
    }
}

/// Decides after which delay, and whether, an entry daemon sends a hedged request for a late call of one service.
///
/// It addresses a service that has room to spare and some slow responses, because single servers are slow, in grey
/// failure or noisy. Under overload, hedged requests would only add load: they stop with the first refusal for lack of
/// room. The delay follows the measured times, so that about the permitted share of calls is late by it. When the whole
/// service turns slow, most calls are late by the delay that was learnt before; until it has adapted, the share limits
/// the hedged requests.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    /// Highest share of the calls that may be late.
    share: f64,
    /// Limits hedged requests to a share of the calls.
    budget: RetryBudget,
    is_enabled: bool,
    /// Sorted by route.
    routes: Vec<RouteTimes>,
    /// Share of the latest attempts that servers refused for lack of room.
    refused_share: f64,
}

impl HedgePolicy {
    /// Returns a policy that permits hedged requests for `percent` of the calls. At most `saved_max` of those that were
    /// permitted may be saved for later.
    pub fn new(percent: u32, saved_max: f64) -> Self {
        let share = f64::from(percent) / 100.0;
        Self {
            share,
            budget: RetryBudget::new(share, saved_max),
            is_enabled: percent > 0,
            routes: Vec::new(),
            refused_share: 0.0,
        }
    }

    /// Changes how many permitted hedged requests may be saved for later.
    pub fn set_saved_max(&mut self, saved_max: f64) {
        self.budget.set_capacity(saved_max);
    }

    /// Adds the share of one call.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Records the response time of a first attempt that was not cancelled.
    pub fn record_time(&mut self, route: &str, took: Ms, now: Ms) {
        let share = self.share;
        let known = self.route(route, now);
        known.last_used = now;
        known.times.record(took, now);
        known.calls_since_update += 1;
        if known.calls_since_update >= UPDATE_CALLS {
            known.update(share);
        }
    }

    /// Records that a first attempt was cancelled after `took` because its hedged request was answered first. It counts with
    /// at least the time that late calls often reach. If the time until the cancellation counted instead, hedged requests
    /// would hide the slow responses that they are sent for.
    pub fn record_cancelled(&mut self, route: &str, took: Ms, now: Ms) {
        let known = self.known(route, now);
        let often = known.and_then(|known| Some(known.delay? + known.left));
        self.record_time(route, took.max(often.unwrap_or_default()), now);
    }

    /// Records that an attempt of the service ended, and whether its server refused it for lack of room.
    pub fn record_attempt(&mut self, refused: bool) {
        let latest = f64::from(u8::from(refused));
        self.refused_share += (latest - self.refused_share) * REFUSED_WEIGHT;
    }

    /// Returns the time after which an attempt of a call of `route` is late, or `None` if no hedged request is to be
    /// sent.
    pub fn delay(&self, route: &str, now: Ms) -> Option<Ms> {
        self.known(route, now)?.delay
    }

    /// Returns the median response time of `route`, or zero if it is not known.
    pub fn median(&self, route: &str, now: Ms) -> Ms {
        self.known(route, now).map_or(Ms::ZERO, |known| known.median)
    }

    /// Returns the time within which a hedged request for a late call of `route` must be answered to win often enough.
    pub fn time_to_win(&self, route: &str, now: Ms) -> Ms {
        self.known(route, now).map_or(Ms::ZERO, |known| known.left)
    }

    /// Checks whether a hedged request may be sent for a call of `route` that is late. Takes no token.
    ///
    /// # Errors
    /// Returns why none may be sent.
    pub fn check(&self, route: &str, context: HedgeContext, retries: &RetryBudget) -> Result<(), NoHedge> {
        if !self.is_enabled {
            return Err(NoHedge::Disabled);
        }
        if !context.idempotent || context.divided_by_key {
            return Err(NoHedge::NotAllowed);
        }
        if context.sent >= context.sent_max {
            return Err(NoHedge::AttemptsUsed);
        }
        if context.now + self.median(route, context.now).max(TIME_LEFT_MIN) >= context.deadline {
            return Err(NoHedge::NoTime);
        }
        if self.refused_share > REFUSED_SHARE_MAX {
            return Err(NoHedge::Refusing);
        }
        match self.budget.has_token() && retries.has_token() {
            true => Ok(()),
            false => Err(NoHedge::BudgetSpent),
        }
    }

    /// Takes a token of the share and one of the retry budget for a hedged request. Returns whether both had one; if
    /// not, neither is taken.
    pub fn spend(&mut self, retries: &mut RetryBudget) -> bool {
        self.budget.has_token() && retries.spend() && self.budget.spend()
    }

    fn known(&self, route: &str, now: Ms) -> Option<&RouteTimes> {
        let known = &self.routes[self.position(route).ok()?];
        (now < known.last_used + UNUSED_TTL).then_some(known)
    }

    fn position(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|known| known.route.as_str().cmp(route))
    }

    fn route(&mut self, route: &str, now: Ms) -> &mut RouteTimes {
        if let Ok(i) = self.position(route) {
            return &mut self.routes[i];
        }
        if self.routes.len() >= ROUTES_MAX {
            let oldest = (0..self.routes.len()).min_by_key(|i| self.routes[*i].last_used);
            oldest.map(|i| self.routes.remove(i));
        }
        let (Ok(i) | Err(i)) = self.position(route);
        let new = RouteTimes {
            route: route.to_owned(),
            times: ResponseTimes::new(now),
            last_used: now,
            delay: None,
            median: Ms::ZERO,
            left: Ms::ZERO,
            calls_since_update: 0,
        };
        self.routes.insert(i, new);
        &mut self.routes[i]
    }
}
