use {
    super::Candidate,
    crate::{call::Outcome, clock::Ms, wire::peer::ServerLoad},
    rand::Rng,
};

/// Failures in a row after which a server is taken out.
const FAILURES_MAX: u32 = 3;
/// Time that a server is taken out for the first time. It doubles with each further time.
const EJECTION: Ms = Ms(1_000);
/// Longest time that a server is taken out.
const EJECTION_MAX: Ms = Ms(30_000);
/// Time in which a server that is new or came back is given its full share.
const SLOW_START: Ms = Ms(5_000);
/// Share of the load that a server gets at the start.
const SLOW_START_SHARE: f64 = 0.1;
/// Age from which the load that a server's daemon told says nothing any more.
const LOAD_KEPT: Ms = Ms(1_000);
/// Cost of a server in another failure domain, relative to one in the own domain. Bytes between failure domains have
/// a price, and so has a queue.
const FAR_COST: f64 = 1.3;
/// Part of the slots in use from which a server counts as nearly full.
const FULL: f64 = 0.75;
/// Cost of a server whose slots are all in use above that of a nearly full one, in times of a call.
const FULL_COST: f64 = 8.0;
/// The same for each part of the slots in use. It spreads calls over servers that are alike.
const BUSY_COST: f64 = 0.2;
/// Servers that are compared for one call. Half of them are in the own failure domain, if there are enough.
const COMPARED: usize = 4;
/// Share of the latest call in the mean time of a call.
const MEAN_SHARE: f64 = 0.2;
/// A failure by lateness counts if the call had at least this time.
const LATE_MIN: Ms = Ms(200);
/// Share of the latest delay of a link in the mean one.
const DELAY_SHARE: f64 = 0.3;
/// Time in which a measured delay of a link fades, so that a link that was full is tried again.
const DELAY_KEPT: Ms = Ms(4_000);
/// Delay from which a link counts as full: a good part of the objective of a call is spent on the way, and one more call
/// makes the delay longer for all that share the link, those of control hosts among them.
const LINK_FULL: Ms = Ms(300);
/// Time in which the share of calls that a server's daemon refused fades, for the same reason.
const REFUSED_KEPT: Ms = Ms(4_000);
/// Share of the calls that a server takes at least, however many it refuses.
const TAKEN_MIN: f64 = 0.05;
/// Time after which a server that is no longer seen is forgotten.
const FORGET: Ms = Ms(120_000);

/// A server of an undivided service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Session of the daemon in front of the server.
    pub session: u64,
    /// Address of the server.
    pub server: String,
}

/// How a call to a server has ended, as far as it tells something about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It answered after this time.
    Answered(Ms),
    /// It was lost, or late although it had this time.
    Failed(Ms),
    /// It said that it has no room.
    Refused,
    /// Nothing is known about the server.
    None,
}

impl Signal {
    /// Returns what an attempt that took `took` tells about the server.
    pub fn of(outcome: Outcome, overloaded: bool, took: Ms) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered(took),
            Outcome::NotRun if overloaded => Self::Refused,
            Outcome::NotRun => Self::None,
            Outcome::Unknown => Self::Failed(took),
        }
    }
}

/// What this daemon has seen of one server.
#[derive(Clone, Debug)]
struct Seen {
    target: Target,
    in_flight: u32,
    mean_ms: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Ms,
    /// What its daemon told, and when.
    told: Option<(ServerLoad, Ms)>,
    /// Start of the slow start. `None`: the server is known to be warm.
    fresh_since: Option<Ms>,
    last_used: Ms,
}

impl Seen {
    fn new(target: Target, now: Ms) -> Self {
        Self {
            target,
            in_flight: 0,
            mean_ms: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: Ms::ZERO,
            told: None,
            fresh_since: None,
            last_used: now,
        }
    }

    /// Returns the share of the full load that the server gets.
    fn share(&self, now: Ms) -> f64 {
        let Some(since) = self.fresh_since else {
            return 1.0;
        };
        let age = (now - since).0 as f64 / SLOW_START.0 as f64;
        age.clamp(SLOW_START_SHARE, 1.0)
    }

    /// Returns the share of the calls to the server that its daemon refuses.
    fn refused(&self, now: Ms) -> f64 {
        let told = self.told.as_ref();
        told.map_or(0.0, |(load, at)| {
            let age = (now - *at).0 as f64 / REFUSED_KEPT.0 as f64;
            f64::from(load.refused_percent) / 100.0 * (1.0 - age).max(0.0)
        })
    }

    /// Returns the expected time of one more call, relative to other servers. `delay_ms` is that of the way.
    fn cost(&self, candidate: &Candidate, delay_ms: f64, now: Ms) -> f64 {
        let told = self.told.as_ref().filter(|(_, at)| now < *at + LOAD_KEPT);
        let (calls, mean_ms) = told.map_or((0, self.mean_ms), |(load, _)| {
            (load.running + load.waiting, f64::from(load.mean_ms))
        });
        let slots = f64::from(candidate.slots.max(1));
        let busy = f64::from(calls.max(self.in_flight) + 1) / slots;
        // A call waits only for a server that is nearly full; what is told of it lags.
        let wait = (busy - FULL).max(0.0) * FULL_COST + busy * BUSY_COST;
        let distance = if candidate.is_same_domain { 1.0 } else { FAR_COST };
        // Calls that are refused after all take as many tries.
        let tries = 1.0 / (1.0 - self.refused(now)).max(TAKEN_MIN);
        (1.0 + wait) * (1.0 + mean_ms) * distance * tries / self.share(now) + delay_ms
    }
}

/// Time that calls spend on the way to a daemon and back, by what was measured.
#[derive(Clone, Debug)]
struct LinkDelay {
    peer: String,
    mean_ms: f64,
    at: Ms,
}

impl LinkDelay {
    fn ms(&self, now: Ms) -> f64 {
        let age = (now - self.at).0 as f64 / DELAY_KEPT.0 as f64;
        self.mean_ms * (1.0 - age).max(0.0)
    }
}

/// Chooses servers by what this daemon has seen of them: calls in flight, their time, their failures, and the delay of
/// the links to them. The load that it answers is large calls to few hosts with thin links: a server that is free is no
/// use behind a link that is full.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Sorted by target.
    seen: Vec<Seen>,
    /// Delays of the links to other daemons, sorted by peer address.
    links: Vec<LinkDelay>,
    /// When the first server was seen. Servers seen then are not fresh.
    started: Option<Ms>,
}

impl Balancer {
    /// Returns the position of the best of some random candidates, of which half are near. Servers that are taken out, or
    /// whose links are full, are passed over unless there is no other.
    pub fn choose(&mut self, candidates: &[Candidate], now: Ms, rng: &mut impl Rng) -> Option<usize> {
        let mut drawn = Vec::with_capacity(COMPARED);
        for n in 0..COMPARED.min(candidates.len()) {
            let is_wanted = |c: &Candidate| n % 2 == 1 || c.is_same_domain;
            drawn.extend(self.draw(candidates, &drawn, is_wanted, now, rng));
        }
        let mut best: Option<(usize, (bool, f64))> = None;
        for i in drawn {
            let target = &candidates[i].target;
            let delay_ms = self.delay_ms(&candidates[i].peer_address, now);
            let rank = (
                self.is_ejected(target, now) || delay_ms >= LINK_FULL.0 as f64,
                self.seen(target, now).cost(&candidates[i], delay_ms, now),
            );
            if best.is_none_or(|(_, least)| rank < least) {
                best = Some((i, rank));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Draws a candidate that was not `drawn`, if possible one that is wanted and not taken out.
    fn draw(
        &self,
        candidates: &[Candidate],
        drawn: &[usize],
        is_wanted: impl Fn(&Candidate) -> bool,
        now: Ms,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let count = candidates.len();
        let start = rng.random_range(0..count.max(1));
        let others = (0..count)
            .map(|step| (start + step) % count)
            .filter(|i| !drawn.contains(i));
        let is_usable = |i: &usize| !self.is_ejected(&candidates[*i].target, now);
        let usable = others.clone().filter(is_usable);
        let wanted = usable.clone().find(|i| is_wanted(&candidates[*i]));
        wanted
            .or_else(|| usable.clone().next())
            .or_else(|| others.clone().next())
    }

    /// Counts a call that is sent to a server.
    pub fn record_sent(&mut self, target: &Target, now: Ms) {
        let seen = self.seen(target, now);
        seen.in_flight += 1;
        seen.last_used = now;
    }

    /// Takes the load that the daemon of a server told with an answer.
    pub fn record_load(&mut self, target: &Target, load: &ServerLoad, now: Ms) {
        self.seen(target, now).told = Some((*load, now));
    }

    /// Takes the time that a call to the daemon at `peer` and its answer spent on the way.
    pub fn record_delay(&mut self, peer: &str, delay: Ms, now: Ms) {
        let delay_ms = delay.0 as f64;
        match self.link(peer) {
            Ok(i) => {
                let mean_ms = self.links[i].ms(now);
                let link = &mut self.links[i];
                link.mean_ms = mean_ms + (delay_ms - mean_ms) * DELAY_SHARE;
                link.at = now;
            }
            Err(i) => self.links.insert(
                i,
                LinkDelay {
                    peer: peer.to_owned(),
                    mean_ms: delay_ms,
                    at: now,
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

    /// Counts the end of a call. True: the server is taken out from now on.
    pub fn record_end(&mut self, target: &Target, signal: Signal, now: Ms) -> bool {
        let seen = self.seen(target, now);
        seen.in_flight = seen.in_flight.saturating_sub(1);
        match signal {
            Signal::Answered(took) => {
                seen.mean_ms += (took.0 as f64 - seen.mean_ms) * MEAN_SHARE;
                seen.failures = 0;
                if now > seen.ejected_until + SLOW_START {
                    seen.ejections = 0;
                }
                false
            }
            Signal::Failed(took) if took >= LATE_MIN.max(Ms(seen.mean_ms as u64 * 4)) => seen.fail(now),
            Signal::Failed(_) | Signal::Refused | Signal::None => false,
        }
    }

    /// Tells if a server is taken out.
    pub fn is_ejected(&self, target: &Target, now: Ms) -> bool {
        match self.position(target) {
            Ok(i) => now < self.seen[i].ejected_until,
            Err(_) => false,
        }
    }

    /// Forgets servers that have not been used for long.
    pub fn forget_unused(&mut self, now: Ms) {
        self.seen
            .retain(|seen| seen.in_flight > 0 || now < seen.last_used + FORGET);
        self.links.retain(|link| now < link.at + FORGET);
    }

    fn position(&self, target: &Target) -> Result<usize, usize> {
        self.seen.binary_search_by(|seen| seen.target.cmp(target))
    }

    fn seen(&mut self, target: &Target, now: Ms) -> &mut Seen {
        let started = *self.started.get_or_insert(now);
        let i = match self.position(target) {
            Ok(i) => i,
            Err(i) => {
                // A daemon that has just started knows no server, which does not make them new.
                let is_new = now > started + SLOW_START;
                let seen = Seen {
                    fresh_since: is_new.then_some(now),
                    ..Seen::new(target.clone(), now)
                };
                self.seen.insert(i, seen);
                i
            }
        };
        &mut self.seen[i]
    }
}

impl Seen {
    /// Counts a failure. True: the server is taken out, and starts slowly when it comes back.
    fn fail(&mut self, now: Ms) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_MAX || now < self.ejected_until {
            return false;
        }
        let span = Ms(EJECTION.0 << self.ejections.min(8)).min(EJECTION_MAX);
        self.ejections += 1;
        self.ejected_until = now + span;
        self.fresh_since = Some(self.ejected_until);
        // One more failure after the return takes it out again.
        self.failures = FAILURES_MAX - 1;
        true
    }
}
