use {
    super::{Candidate, Target},
    crate::{clock::Ms, wire::peer::ServerLoad},
};

/// Consecutive failures after which a server is ejected, i.e. gets no calls for a while.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Length of the first ejection of a server. It doubles with each further ejection.
const EJECTION_MIN: Ms = Ms(1_000);
/// Length of the longest ejection.
const EJECTION_MAX: Ms = Ms(30_000);
/// Time over which the load of a server that is new or returns from an ejection rises to its full share.
pub(super) const SLOW_START_TIME: Ms = Ms(5_000);
/// Share of its full load that a server gets at the beginning of its slow start.
const SLOW_START_SHARE_MIN: f64 = 0.1;
/// Time in which the load that a server's daemon reported decays to zero. In a large cluster, a daemon calls the same
/// server only every few seconds.
const REPORTED_LOAD_FADE_TIME: Ms = Ms(4_000);
/// Share of the slots in use from which calls are expected to queue.
const NEARLY_FULL_SHARE: f64 = 0.75;
/// Expected wait, in mean call times, for each unit of the slot share in use above `NEARLY_FULL_SHARE`.
const QUEUE_COST_FACTOR: f64 = 8.0;
/// Expected wait, in mean call times, for each unit of the slot share in use. It spreads calls over equal servers.
const BUSY_COST_FACTOR: f64 = 0.2;
/// Time in which a reported share of refused calls decays to zero, so that the server is tried again.
const REFUSAL_FADE_TIME: Ms = Ms(4_000);
/// Time in which a reported pace of a server's work decays to the usual one: that of a phase in which a server that shares
/// its machine is slow.
const PACE_FADE_TIME: Ms = Ms(400);
/// Lower bound of the share of calls that a server is assumed to accept.
const ACCEPTED_SHARE_MIN: f64 = 0.05;
/// Share of its capacity that a cold server is assumed to have while no call time is known.
const COLD_SHARE_UNKNOWN: f64 = 0.1;

/// Statistics that this daemon keeps about one server.
#[derive(Clone, Debug)]
pub(super) struct ServerStats {
    pub target: Target,
    pub in_flight: u32,
    pub mean_ms: f64,
    pub failures: u32,
    pub ejections: u32,
    pub ejected_until: Ms,
    /// The load that the server's daemon reported last, and when.
    pub reported: Option<(ServerLoad, Ms)>,
    /// When the slow start began, or `None` if the server gets its full share.
    pub slow_start_since: Option<Ms>,
    /// When a call to the server was cancelled last because another server answered first.
    pub cancelled_at: Option<Ms>,
    pub last_used: Ms,
}

impl ServerStats {
    pub fn new(target: Target, now: Ms) -> Self {
        Self {
            target,
            in_flight: 0,
            mean_ms: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: Ms::ZERO,
            reported: None,
            slow_start_since: None,
            cancelled_at: None,
            last_used: now,
        }
    }

    /// Returns the share of its full load that the server gets during a slow start.
    pub fn load_share(&self, now: Ms) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let age = (now - since).0 as f64 / SLOW_START_TIME.0 as f64;
        age.clamp(SLOW_START_SHARE_MIN, 1.0)
    }

    /// Returns the share of the calls to the server that its daemon refuses, by its last report.
    pub fn refused_share(&self, now: Ms) -> f64 {
        let reported = self.reported.as_ref();
        reported.map_or(0.0, |(load, at)| {
            let age = (now - *at).0 as f64 / REFUSAL_FADE_TIME.0 as f64;
            f64::from(load.refused_percent) / 100.0 * (1.0 - age).max(0.0)
        })
    }

    /// Returns the load that the server's daemon reported, and the share of it that still counts, unless the report is
    /// too old.
    pub fn reported_load(&self, now: Ms) -> Option<(&ServerLoad, f64)> {
        let (load, at) = self.reported.as_ref()?;
        let left = 1.0 - (now - *at).0 as f64 / REPORTED_LOAD_FADE_TIME.0 as f64;
        (left > 0.0).then_some((load, left))
    }

    /// Returns the share of its usual calls that a server gets while it works slowly, by the last report of its daemon.
    ///
    /// It addresses entry daemons that learn at the same time that some servers are slow. Each leaves out such a server
    /// at random, so that their calls spread over the others, and none is preferred because it is fast just now.
    pub fn pace_share(&self, now: Ms) -> f64 {
        let Some((load, at)) = &self.reported else {
            return 1.0;
        };
        let left = 1.0 - (now - *at).0 as f64 / PACE_FADE_TIME.0 as f64;
        let slowness = f64::from(load.pace_percent) / 100.0 - 1.0;
        1.0 / (1.0 + slowness.max(0.0) * left.max(0.0))
    }

    /// Returns the mean time of a call, or zero if none is known. The daemon of the server does not count cancelled calls,
    /// so its report is too low for a server that some calls were cancelled at.
    pub fn call_time_ms(&self, now: Ms) -> f64 {
        let own_ms = self.mean_ms;
        let has_cancelled = self
            .cancelled_at
            .is_some_and(|at| now < at + REPORTED_LOAD_FADE_TIME);
        match self.reported_load(now) {
            Some((load, _)) if has_cancelled => f64::from(load.mean_ms).max(own_ms),
            Some((load, _)) => f64::from(load.mean_ms),
            None => own_ms,
        }
    }

    /// Returns the share of the slots that are in use with one more call. `mean_ms` is the time of a call.
    pub fn busy_share(&self, candidate: &Candidate, mean_ms: f64, now: Ms) -> f64 {
        let reported = self.reported_load(now);
        let reported_calls =
            reported.map_or(0.0, |(load, left)| f64::from(load.running + load.waiting) * left);
        // A server that reports fewer slots than it announced gets no more calls than that.
        let slots = reported.map_or(candidate.slots, |(load, _)| match load.slots {
            0 => candidate.slots,
            slots => slots.min(candidate.slots),
        });
        let slots = f64::from(slots.max(1));
        let calls = reported_calls.max(f64::from(self.in_flight));
        match candidate.warmup_per_s {
            // The calls that a cold server has count against its share. One more counts as at a warm server, since
            // `skip_cold` lets a cold one be compared only with the probability of its share.
            Some(_) => calls / (slots * cold_share(candidate, mean_ms)) + 1.0 / slots,
            None => (calls + 1.0) / slots,
        }
    }

    /// Returns the cost of one more call, comparable between servers. `domain_cost` is the cost of a server in another
    /// failure domain, relative to one in the daemon's own. `delay_ms` is the delay of the link, and
    /// `typical_ms` the time of a call if this server's is not known.
    pub fn cost(
        &self,
        candidate: &Candidate,
        domain_cost: f64,
        delay_ms: f64,
        typical_ms: f64,
        now: Ms,
    ) -> f64 {
        let known_ms = match candidate.warmup_per_s {
            // The time that the daemon of a cold server reports is that between two calls of its limit.
            Some(_) => self.mean_ms,
            None => self.call_time_ms(now),
        };
        let mean_ms = match known_ms {
            0.0 => typical_ms,
            mean_ms => mean_ms,
        };
        let busy = self.busy_share(candidate, mean_ms, now);
        // Calls queue only at a full server, but the reported load lags, so the wait counts from a nearly full one.
        let wait = (busy - NEARLY_FULL_SHARE).max(0.0) * QUEUE_COST_FACTOR + busy * BUSY_COST_FACTOR;
        let domain_factor = if candidate.is_same_domain {
            1.0
        } else {
            domain_cost
        };
        // The expected number of tries until the server accepts a call.
        let tries = 1.0 / (1.0 - self.refused_share(now)).max(ACCEPTED_SHARE_MIN);
        (1.0 + wait) * (1.0 + mean_ms) * domain_factor * tries / self.load_share(now) + delay_ms
    }

    /// Records a failure. Returns whether the server is ejected by it; its slow start begins when the ejection
    /// ends.
    pub fn record_failure(&mut self, now: Ms) -> bool {
        self.failures += 1;
        if self.failures < CONSECUTIVE_FAILURES_MAX || now < self.ejected_until {
            return false;
        }
        let ejection = Ms(EJECTION_MIN.0 << self.ejections.min(8)).min(EJECTION_MAX);
        self.ejections += 1;
        self.ejected_until = now + ejection;
        self.slow_start_since = Some(self.ejected_until);
        // One more failure after the ejection causes the next one.
        self.failures = CONSECUTIVE_FAILURES_MAX - 1;
        true
    }
}

/// Returns the share of its capacity that a server has at the moment if a call takes `time_ms`, or if that is not known and
/// zero is given: all of it unless the server is cold.
pub(super) fn cold_share(candidate: &Candidate, time_ms: f64) -> f64 {
    let Some(per_s) = candidate.warmup_per_s else {
        return 1.0;
    };
    if time_ms <= 0.0 {
        return COLD_SHARE_UNKNOWN;
    }
    let busy_slots = per_s * time_ms / 1000.0;
    (busy_slots / f64::from(candidate.slots.max(1))).min(1.0)
}
