use {
    super::{
        server_stats::{cold_share, ServerStats, SLOW_START_TIME},
        Candidate,
    },
    crate::{call::Outcome, clock::Ms, settings::BalanceSettings, wire::peer::ServerLoad},
    rand::Rng,
};

/// Number of servers that are compared for one call. All but the last one are in the daemon's failure domain, if there
/// are enough.
const CANDIDATES_COMPARED: usize = 4;
/// Weight of the latest call in the exponential moving average of call times.
const CALL_TIME_WEIGHT: f64 = 0.2;
/// Time that a cancelled call would have taken, relative to the time until it was cancelled.
const CANCELLED_TIME_FACTOR: f64 = 2.0;
/// Time that a call must have had for its failure to count against the server. A shorter deadline may expire at a
/// healthy server too.
const FAILED_TIME_MIN: Ms = Ms(200);
/// Weight of the latest delay in the exponential moving average of a link's delay.
const DELAY_WEIGHT: f64 = 0.3;
/// Time in which a measured delay of a link decays to zero, so that a link that was full is tried again.
const DELAY_FADE_TIME: Ms = Ms(4_000);
/// Delay from which a link counts as full. Calls then spend much of their latency objective in transit, and each
/// further call delays everything else on the link, including the messages of control hosts.
const LINK_FULL_DELAY: Ms = Ms(300);
/// Highest share of refused calls of a server that gets a hedged request. Even servers with some room refuse single calls.
const HEDGE_REFUSED_SHARE_MAX: f64 = 0.1;
/// Time after which the record of an unused server or link is dropped.
const UNUSED_RECORD_TTL: Ms = Ms(120_000);

/// A server of an undivided service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Session of the daemon in front of the server.
    pub session: u64,
    /// Address of the server.
    pub server: String,
}

/// What the end of a call reveals about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The server answered after this time.
    Answered(Ms),
    /// The server was lost, or did not answer within this time.
    Failed(Ms),
    /// The server refused the call because it was overloaded.
    Refused,
    /// The end of the call reveals nothing about the server.
    None,
}

impl Signal {
    /// Returns what an attempt that took `took` reveals about the server.
    pub fn of(outcome: Outcome, overloaded: bool, took: Ms) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered(took),
            Outcome::NotRun if overloaded => Self::Refused,
            Outcome::NotRun => Self::None,
            Outcome::Unknown => Self::Failed(took),
        }
    }
}

/// Measured time that calls spend in transit to a daemon and back.
#[derive(Clone, Debug)]
struct LinkDelay {
    peer: String,
    mean_ms: f64,
    measured_at: Ms,
}

impl LinkDelay {
    /// Returns the mean delay, which decays with its age.
    fn ms(&self, now: Ms) -> f64 {
        let age = (now - self.measured_at).0 as f64 / DELAY_FADE_TIME.0 as f64;
        self.mean_ms * (1.0 - age).max(0.0)
    }
}

/// Chooses servers by the calls in flight, call times, failures and reported load of each, and by the delay of the
/// links to them.
///
/// The link delay matters when large calls go to few hosts with slow links: a free server behind a full link does
/// not answer in time.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Sorted by target.
    servers: Vec<ServerStats>,
    /// Delays of the links to other daemons, sorted by peer address.
    links: Vec<LinkDelay>,
    /// When the first servers were learnt. Servers learnt soon after them get no slow start.
    started: Option<Ms>,
    settings: BalanceSettings,
}

impl Balancer {
    /// Returns a balancer that knows no servers.
    pub fn new(settings: BalanceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the servers that may be chosen from now on. Those that join later than the first ones get a slow start.
    pub fn learn(&mut self, candidates: &[Candidate], now: Ms) {
        let started = *self.started.get_or_insert(now);
        // To a daemon that has just started every server is unknown, but not newly started.
        let is_new = now > started + SLOW_START_TIME;
        for candidate in candidates {
            match self.position(&candidate.target) {
                Ok(i) => self.servers[i].last_used = now,
                Err(i) => {
                    let stats = ServerStats {
                        slow_start_since: is_new.then_some(now),
                        ..ServerStats::new(candidate.target.clone(), now)
                    };
                    self.servers.insert(i, stats);
                }
            }
        }
    }

    /// Returns the index of the best of a few random candidates, most of them in this failure domain. Servers that
    /// are ejected or behind a full link are chosen only if there is no other.
    ///
    /// A daemon of a large cluster knows little about most servers. One that it has not called yet counts as an average
    /// one, since a server that looks free only because it is unknown would draw calls into other failure domains.
    pub fn choose(&mut self, candidates: &[Candidate], now: Ms, rng: &mut impl Rng) -> Option<usize> {
        let sampled = self.sample(candidates, now, rng);
        let mut sampled = self.without_slow(candidates, sampled, now, rng);
        let typical_ms = self.typical_time_ms(candidates, &sampled, now);
        let domain_cost = self.domain_cost();
        skip_cold(candidates, &mut sampled, typical_ms, rng);
        let mut best: Option<(usize, (bool, f64))> = None;
        for i in sampled {
            let target = &candidates[i].target;
            let delay_ms = self.delay_ms(&candidates[i].peer_address, now);
            let rank = (
                self.is_ejected(target, now) || delay_ms >= LINK_FULL_DELAY.0 as f64,
                self.stats(target, now)
                    .cost(&candidates[i], domain_cost, delay_ms, typical_ms, now),
            );
            if best.is_none_or(|(_, least)| rank < least) {
                best = Some((i, rank));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Leaves out servers that work slowly, each with the probability that its pace calls for, unless no other is left.
    fn without_slow(
        &mut self,
        candidates: &[Candidate],
        sampled: Vec<usize>,
        now: Ms,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let mut is_kept = |i: &usize| {
            let share = self.stats(&candidates[*i].target, now).pace_share(now);
            share >= 1.0 || rng.random_bool(share)
        };
        let kept: Vec<usize> = sampled.iter().copied().filter(|i| is_kept(i)).collect();
        if kept.is_empty() {
            return sampled;
        }
        kept
    }

    /// Returns the mean call time of the sampled warm servers that are known, or zero if none is.
    fn typical_time_ms(&mut self, candidates: &[Candidate], sampled: &[usize], now: Ms) -> f64 {
        let warm = sampled.iter().filter(|i| candidates[**i].warmup_per_s.is_none());
        let times = warm.map(|i| {
            let stats = self.stats(&candidates[*i].target, now);
            stats.call_time_ms(now)
        });
        let (sum, count) = times
            .filter(|ms| *ms > 0.0)
            .fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
        if count == 0 {
            return 0.0;
        }
        sum / f64::from(count)
    }

    /// Samples the candidates to compare: up to [`CANDIDATES_COMPARED`] that are not ejected, all but one of them in this
    /// failure domain, if there are enough. If all are ejected, any may be sampled.
    fn sample(&self, candidates: &[Candidate], now: Ms, rng: &mut impl Rng) -> Vec<usize> {
        let is_usable = |i: &usize| !self.is_ejected(&candidates[*i].target, now);
        let mut usable: Vec<usize> = (0..candidates.len()).filter(is_usable).collect();
        if usable.is_empty() {
            usable = (0..candidates.len()).collect();
        }
        let (mut local, mut other): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|i| candidates[*i].is_same_domain);
        let mut sampled = Vec::with_capacity(CANDIDATES_COMPARED);
        for n in 0..CANDIDATES_COMPARED {
            let prefers_local = n + 1 < CANDIDATES_COMPARED;
            let pool = match prefers_local && !local.is_empty() || other.is_empty() {
                true => &mut local,
                false => &mut other,
            };
            if !pool.is_empty() {
                sampled.push(pool.swap_remove(rng.random_range(0..pool.len())));
            }
        }
        sampled
    }

    /// Records that a call is sent to a server.
    pub fn record_sent(&mut self, target: &Target, now: Ms) {
        let stats = self.stats(target, now);
        stats.in_flight += 1;
        stats.last_used = now;
    }

    /// Records the load that the daemon of a server reported with an answer.
    pub fn record_load(&mut self, target: &Target, load: &ServerLoad, now: Ms) {
        self.stats(target, now).reported = Some((*load, now));
    }

    /// Records the time that a call to the daemon at `peer` and its answer spent in transit.
    pub fn record_delay(&mut self, peer: &str, delay: Ms, now: Ms) {
        let delay_ms = delay.0 as f64;
        match self.link(peer) {
            Ok(i) => {
                let mean_ms = self.links[i].ms(now);
                let link = &mut self.links[i];
                link.mean_ms = mean_ms + (delay_ms - mean_ms) * DELAY_WEIGHT;
                link.measured_at = now;
            }
            Err(i) => self.links.insert(
                i,
                LinkDelay {
                    peer: peer.to_owned(),
                    mean_ms: delay_ms,
                    measured_at: now,
                },
            ),
        }
    }

    fn delay_ms(&self, peer: &str, now: Ms) -> f64 {
        self.link(peer).map_or(0.0, |i| self.links[i].ms(now))
    }

    fn link(&self, peer: &str) -> Result<usize, usize> {
        self.links.binary_search_by(|link| link.peer.as_str().cmp(peer))
    }

    /// Records the end of a call. Returns whether it causes an ejection of the server.
    pub fn record_end(&mut self, target: &Target, signal: Signal, now: Ms) -> bool {
        let stats = self.stats(target, now);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match signal {
            Signal::Answered(took) => {
                let took_ms = took.0 as f64;
                stats.mean_ms = match stats.mean_ms {
                    0.0 => took_ms,
                    mean_ms => mean_ms + (took_ms - mean_ms) * CALL_TIME_WEIGHT,
                };
                stats.failures = 0;
                if now > stats.ejected_until + SLOW_START_TIME {
                    stats.ejections = 0;
                }
                false
            }
            Signal::Failed(took) if took >= FAILED_TIME_MIN.max(Ms(stats.mean_ms as u64 * 4)) => {
                stats.record_failure(now)
            }
            Signal::Failed(_) | Signal::Refused | Signal::None => false,
        }
    }

    /// Records that a call was cancelled after `took` because another server answered first. Its end is recorded separately.
    ///
    /// The call would have taken longer, on average about twice as long if slow calls have a long tail. A time below the
    /// mean reveals nothing. Without this, a server that is slow or hangs would seem fast, because only the calls that it
    /// answered first would count.
    pub fn record_cancelled(&mut self, target: &Target, took: Ms, now: Ms) {
        let stats = self.stats(target, now);
        let excess_ms = took.0 as f64 * CANCELLED_TIME_FACTOR - stats.mean_ms;
        if took.0 as f64 > stats.mean_ms {
            stats.mean_ms += excess_ms * CALL_TIME_WEIGHT;
            stats.cancelled_at = Some(now);
        }
    }

    /// Returns whether a server is ejected.
    pub fn is_ejected(&self, target: &Target, now: Ms) -> bool {
        match self.position(target) {
            Ok(i) => now < self.servers[i].ejected_until,
            Err(_) => false,
        }
    }

    /// Drops the records of servers and links that have not been used for long.
    pub fn forget_unused(&mut self, now: Ms) {
        self.servers
            .retain(|stats| stats.in_flight > 0 || now < stats.last_used + UNUSED_RECORD_TTL);
        self.links
            .retain(|link| now < link.measured_at + UNUSED_RECORD_TTL);
    }

    /// Returns the index of the server that gets a hedged request: of a few random candidates, the best one that is
    /// expected to answer within `within`, has room, and does not refuse calls. `typical` is the time of a call if that of
    /// a server is not known.
    ///
    /// Servers that are cold, ejected, in slow start or behind a full link get none, since a hedged request must not add to
    /// their load.
    pub fn choose_hedge(
        &mut self,
        candidates: &[Candidate],
        within: Ms,
        typical: Ms,
        now: Ms,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let typical_ms = typical.0 as f64;
        let domain_cost = self.domain_cost();
        let mut best: Option<(usize, f64)> = None;
        for i in self.sample(candidates, now, rng) {
            let candidate = &candidates[i];
            let delay_ms = self.delay_ms(&candidate.peer_address, now);
            let is_cold = candidate.warmup_per_s.is_some();
            if is_cold || self.is_ejected(&candidate.target, now) || delay_ms >= LINK_FULL_DELAY.0 as f64 {
                continue;
            }
            let stats = self.stats(&candidate.target, now);
            let call_ms = match stats.call_time_ms(now) {
                0.0 => typical_ms,
                mean_ms => mean_ms,
            };
            let is_faster = call_ms + delay_ms < within.0 as f64;
            let is_free = stats.busy_share(candidate, call_ms, now) <= 1.0
                && stats.refused_share(now) <= HEDGE_REFUSED_SHARE_MAX;
            let cost = stats.cost(candidate, domain_cost, delay_ms, typical_ms, now);
            if is_faster
                && is_free
                && stats.load_share(now) >= 1.0
                && best.is_none_or(|(_, least)| cost < least)
            {
                best = Some((i, cost));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Returns the cost of a server in another failure domain, relative to one in the daemon's own.
    fn domain_cost(&self) -> f64 {
        f64::from(self.settings.other_domain_percent) / 100.0
    }

    fn position(&self, target: &Target) -> Result<usize, usize> {
        self.servers.binary_search_by(|stats| stats.target.cmp(target))
    }

    fn stats(&mut self, target: &Target, now: Ms) -> &mut ServerStats {
        let i = self.position(target).unwrap_or_else(|i| {
            self.servers.insert(i, ServerStats::new(target.clone(), now));
            i
        });
        &mut self.servers[i]
    }
}

/// Leaves each cold server in the sample with the probability of its share only, unless all are cold.
///
/// The load that this addresses: many entry daemons know the same cold server, and each sees it idle. If all of them
/// compared it with the others for each call, it would get several times the calls that it takes.
fn skip_cold(candidates: &[Candidate], sampled: &mut Vec<usize>, typical_ms: f64, rng: &mut impl Rng) {
    let is_cold = |i: &usize| candidates[*i].warmup_per_s.is_some();
    if sampled.iter().all(is_cold) {
        return;
    }
    sampled.retain(|i| !is_cold(i) || rng.random::<f64>() < cold_share(&candidates[*i], typical_ms));
}
