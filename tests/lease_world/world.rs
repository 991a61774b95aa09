use {
    super::{
        daemon_actor::DaemonActor,
        leader_actor::LeaderActor,
        server_actor::{Run, ServerActor},
    },
    clementinefold::{
        clock::Ms,
        grant::GrantAction,
        key::{Key, KeyRange},
        settings::LeaseSettings,
        wire::{
            control::{change, Committed, RangeReleased, SetServers},
            peer::{Renew, RenewAnswer},
        },
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

const DAEMONS: usize = 3;
const KEYS: [&str; 2] = ["alpha", "tango"];
/// True time at which a schedule ends, in ms.
const END_MS: i64 = 5000;
/// True time of one step, in ms.
const STEP_MS: i64 = 5;
/// Longest deadline of a call, in ms. It is longer than a lease, so that calls can outlast the lease.
const DEADLINE_MS: i64 = 1500;

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct WorldConfig {
    pub checks_fencing: bool,
    /// Largest deviation of a clock's speed from true time, in parts per thousand.
    pub drift: i64,
}

impl Default for WorldConfig {
    fn default() -> Self {
        Self {
            checks_fencing: true,
            drift: 0,
        }
    }
}

/// A message between two actors. The number is that of the daemon or server involved.
#[derive(Clone, Debug)]
enum Msg {
    Open(usize),
    Opened(usize, u64),
    Servers(SetServers),
    Renew(usize, Renew),
    Renewed(usize, RenewAnswer),
    Changes(usize, Vec<Committed>),
    Released(usize, u64, GrantAction, RangeReleased),
    /// The number after that of the server is that of the removals before the order.
    Order(usize, u64, GrantAction, Ms),
    Extend(usize, Ms),
    Confirmed(usize, u64, GrantAction, bool),
    GrantsLost(usize),
    Call(usize, Key, u64, i64),
}

/// All actors, the messages in transit, and the true time.
pub struct LeaseWorld {
    config: WorldConfig,
    rng: SmallRng,
    now: i64,
    leader: LeaderActor,
    leader_frozen_until: i64,
    /// Time at which the service is named again, while the schema leaves it out.
    absent_until: Option<i64>,
    /// Times at which removed servers announce themselves again.
    removed_until: [Option<i64>; DAEMONS],
    daemons: Vec<DaemonActor>,
    servers: Vec<ServerActor>,
    leases_end_at: [Ms; DAEMONS],
    /// Speeds of the hosts' clocks and, last, of the leader's clock, in parts per thousand.
    speeds: [i64; DAEMONS + 1],
    /// Messages in transit with the true times of their delivery.
    messages: Vec<(i64, Msg)>,
    served: u64,
}

impl LeaseWorld {
    /// Runs the schedule of `seed` and returns the first violation of an invariant, if there is one.
    pub fn run(config: &WorldConfig, seed: u64) -> Option<String> {
        let mut world = Self::new(*config, seed);
        while world.now < END_MS {
            world.step();
            if let Some(violation) = world.violation() {
                return Some(format!("at {} ms: {violation}", world.now));
            }
        }
        None
    }

    /// Runs the schedule of `seed` and returns the number of calls that were served.
    pub fn served(config: &WorldConfig, seed: u64) -> u64 {
        let mut world = Self::new(*config, seed);
        while world.now < END_MS {
            world.step();
        }
        world.served
    }

    fn new(config: WorldConfig, seed: u64) -> Self {
        let timing = LeaseSettings::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        let speeds = std::array::from_fn(|_| 1000 + rng.random_range(-config.drift..=config.drift));
        let schema = schema("ledger", true, config.checks_fencing);
        Self {
            config,
            rng,
            now: 0,
            leader: LeaderActor::new(timing, &schema, Ms(1_000_000)),
            leader_frozen_until: 0,
            absent_until: None,
            removed_until: [None; DAEMONS],
            daemons: (0..DAEMONS)
                .map(|number| DaemonActor::new(number, timing, config.checks_fencing))
                .collect(),
            servers: (0..DAEMONS).map(|_| ServerActor::default()).collect(),
            leases_end_at: [Ms::ZERO; DAEMONS],
            speeds,
            messages: Vec::new(),
            served: 0,
        }
    }

    /// Returns the time by the clock of a host, or by the leader's clock if `actor` is `DAEMONS`.
    fn clock(&self, actor: usize) -> Ms {
        Ms((1_000_000 + self.now * self.speeds[actor] / 1000) as u64)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.inject_faults();
        self.deliver();
        if self.now >= self.leader_frozen_until {
            let now = self.clock(DAEMONS);
            self.leader.tick(now);
        }
        for number in 0..DAEMONS {
            if self.now >= self.daemons[number].frozen_until {
                self.step_daemon(number);
            }
        }
    }

    /// Occasionally freezes an actor, elects another leader, starts a move, removes a server from its daemon's list, or
    /// leaves the service out of the schema.
    fn inject_faults(&mut self) {
        let length = self.rng.random_range(20..1500);
        let actor = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..600) {
            0..=2 => self.daemons[actor].frozen_until = self.now + length,
            9 => self.servers[actor].frozen_until = self.now + length,
            3 => self.leader_frozen_until = self.now + length,
            4 => {
                // Answers of the old leader may still be in transit.
                self.leader_frozen_until = 0;
                let now = self.clock(DAEMONS);
                self.leader.elect(now);
            }
            5..=8 => {
                let key = key(self.rng.random_range(0..KEYS.len()));
                let now = self.clock(DAEMONS);
                self.leader.start_move(&key, actor, now);
            }
            10 | 11 if self.absent_until.is_none() => {
                let absent = [("other", true), ("ledger", false)][actor % 2];
                let schema = schema(absent.0, absent.1, self.config.checks_fencing);
                let now = self.clock(DAEMONS);
                self.leader.apply_schema(&schema, now);
                self.absent_until = Some(self.now + length);
            }
            12..=14 if self.removed_until[actor].is_none() => {
                self.daemons[actor].remove_server();
                self.removed_until[actor] = Some(self.now + length);
            }
            _ => {}
        }
        for (daemon, until) in self.daemons.iter_mut().zip(&mut self.removed_until) {
            if self.now >= daemon.frozen_until && until.is_some_and(|until| until <= self.now) {
                daemon.restore_server();
                *until = None;
            }
        }
        if self.absent_until.is_some_and(|until| until <= self.now) {
            let schema = schema("ledger", true, self.config.checks_fencing);
            let now = self.clock(DAEMONS);
            self.leader.apply_schema(&schema, now);
            self.absent_until = None;
        }
    }

    /// Sends a message that may be delayed, duplicated or lost.
    fn send(&mut self, msg: Msg) {
        let late = if self.rng.random_range(0..20) == 0 { 700 } else { 8 };
        let sample = self.rng.random_range(0..60);
        if sample != 0 {
            let at = self.now + self.rng.random_range(1..=late);
            self.messages.push((at, msg.clone()));
        }
        if sample == 1 {
            let at = self.now + self.rng.random_range(1..=1500);
            self.messages.push((at, msg));
        }
    }

    /// Sends a message within a host, which is delayed but neither duplicated nor lost.
    fn send_local(&mut self, msg: Msg) {
        let at = self.now + self.rng.random_range(0..5);
        self.messages.push((at, msg));
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        for (at, msg) in messages {
            if at > self.now || self.is_frozen(&msg) {
                self.messages.push((at, msg));
            } else {
                self.handle(msg);
            }
        }
    }

    /// Returns whether the receiver of the message is frozen.
    fn is_frozen(&self, msg: &Msg) -> bool {
        let until = match msg {
            Msg::Open(_) | Msg::Servers(_) | Msg::Renew(..) | Msg::Released(..) => self.leader_frozen_until,
            Msg::Opened(d, _)
            | Msg::Renewed(d, _)
            | Msg::Changes(d, _)
            | Msg::Confirmed(d, ..)
            | Msg::GrantsLost(d) => self.daemons[*d].frozen_until,
            Msg::Order(s, ..) | Msg::Extend(s, _) | Msg::Call(s, ..) => self.servers[*s].frozen_until,
        };
        self.now < until
    }

    fn handle(&mut self, msg: Msg) {
        let leader_now = self.clock(DAEMONS);
        match msg {
            Msg::Open(d) => {
                let session = self.leader.open(d, self.daemons[d].process, leader_now);
                self.send(Msg::Opened(d, session));
            }
            Msg::Opened(d, session) => self.daemons[d].opened(session),
            Msg::Servers(set) => self.leader.set_servers(set, leader_now),
            Msg::Renew(d, renew) => {
                let answer = self.leader.renew(&renew, leader_now);
                self.send(Msg::Renewed(d, answer));
            }
            Msg::Renewed(d, answer) => {
                let now = self.clock(d);
                self.daemons[d].handle_renewal_answer(&answer, now);
            }
            Msg::Changes(d, changes) => self.daemons[d].apply(&changes),
            Msg::Released(d, removals, action, released) => {
                self.leader
                    .commit(change::Body::RangeReleased(released), leader_now);
                self.send(Msg::Confirmed(d, removals, action, true));
            }
            Msg::Confirmed(d, removals, action, confirmed) => {
                if removals == self.daemons[d].removals {
                    self.daemons[d].grants.complete(&action, confirmed);
                }
            }
            Msg::GrantsLost(d) => self.daemons[d].grants.mark_all_lost(),
            Msg::Order(s, removals, action, until) => self.handle_order(s, removals, action, until),
            Msg::Extend(s, until) => {
                let now = self.clock(s);
                if !self.servers[s].ownership.extend(until, now) {
                    self.send_local(Msg::GrantsLost(s));
                }
            }
            Msg::Call(s, key, epoch, ends_at) => self.handle_call(s, key, epoch, ends_at),
        }
    }

    fn handle_order(&mut self, s: usize, removals: u64, action: GrantAction, until: Ms) {
        let now = self.clock(s);
        let confirmed = match &action {
            GrantAction::Grant { span, epoch } => self.servers[s].grant(span, *epoch, until, now),
            GrantAction::Revoke { span, epoch } => {
                self.servers[s].revoke(span, *epoch, now);
                if self.servers[s].is_busy(span, self.now) {
                    // The revoke is confirmed once no call of the span runs.
                    self.messages
                        .push((self.now + STEP_MS, Msg::Order(s, removals, action, until)));
                    return;
                }
                true
            }
            GrantAction::Report { .. } => false,
        };
        self.send_local(Msg::Confirmed(s, removals, action, confirmed));
    }

    fn handle_call(&mut self, s: usize, key: Key, epoch: u64, ends_at: i64) {
        if self.now >= ends_at {
            return;
        }
        let now = self.clock(s);
        let admitted = self.servers[s].ownership.admit(&key, epoch, now).is_ok();
        if admitted || !self.config.checks_fencing {
            self.served += 1;
            // Some calls run until their deadline.
            let shortest = if self.rng.random_range(0..3) == 0 {
                ends_at
            } else {
                self.now
            };
            let until = self.rng.random_range(shortest..=ends_at);
            self.servers[s].runs.push(Run { key, epoch, until });
        }
    }

    fn step_daemon(&mut self, d: usize) {
        let now = self.clock(d);
        if now < self.daemons[d].next_step {
            return;
        }
        self.daemons[d].step(now);
        if now >= self.daemons[d].next_renewal {
            self.renew(d, now);
        }
        let changes = self.leader.changes_after(self.daemons[d].state.applied());
        if !changes.is_empty() && self.now >= self.leader_frozen_until {
            self.send(Msg::Changes(d, changes));
        }
        let server = &self.servers[d];
        let true_now = self.now;
        let messages = &self.messages;
        let is_busy = |span: &KeyRange| {
            let is_in_transit =
                |msg: &Msg| matches!(msg, Msg::Call(s, key, ..) if *s == d && span.contains(key));
            server.is_busy(span, true_now) || messages.iter().any(|(_, msg)| is_in_transit(msg))
        };
        let actions = self.daemons[d].next_actions(self.leases_end_at[d], now, is_busy);
        for action in actions {
            self.start(d, action, now);
        }
        if now >= self.daemons[d].next_extension && self.daemons[d].may_extend() {
            self.daemons[d].next_extension = now + Ms(150);
            let until = self.daemons[d].lease.ends_at();
            if until > now {
                self.leases_end_at[d] = self.leases_end_at[d].max(until);
                self.send_local(Msg::Extend(d, until));
            }
        }
        self.dispatch(d, now);
    }

    fn renew(&mut self, d: usize, now: Ms) {
        match self.daemons[d].session {
            Some(session) => {
                let renew = self.daemons[d].renewal(session, now);
                self.send(Msg::Renew(d, renew));
                let leases_end_at = self.leases_end_at[d];
                let list = self.daemons[d].next_list(session, &self.leader.state, leases_end_at, now);
                if let Some(list) = list {
                    self.send(Msg::Servers(list));
                }
            }
            None => {
                self.daemons[d].next_renewal = now + Ms(50);
                self.send(Msg::Open(d));
            }
        }
    }

    fn start(&mut self, d: usize, action: GrantAction, now: Ms) {
        let removals = self.daemons[d].removals;
        if let GrantAction::Report { span, epoch, release } = &action {
            let released = RangeReleased {
                service: "ledger".into(),
                start: span.start.to_bytes(),
                epoch: *epoch,
                release: *release,
                handover: String::new(),
            };
            // If the report is lost, it fails after 400 ms and is sent again.
            self.messages
                .push((self.now + 400, Msg::Confirmed(d, removals, action.clone(), false)));
            self.send(Msg::Released(d, removals, action, released));
            return;
        }
        let until = self.daemons[d].lease.ends_at();
        if matches!(action, GrantAction::Grant { .. }) {
            if until <= now {
                self.send_local(Msg::Confirmed(d, removals, action, false));
                return;
            }
            self.leases_end_at[d] = self.leases_end_at[d].max(until);
        }
        self.send_local(Msg::Order(d, removals, action, until));
    }

    /// Sends a call. Its daemon may be frozen between its last check of the lease and the first byte that it sends.
    fn dispatch(&mut self, d: usize, now: Ms) {
        let key = key(self.rng.random_range(0..KEYS.len()));
        let Some(epoch) = self.daemons[d].may_dispatch(&key, now) else {
            return;
        };
        // Only a server that checks fencing epochs is safe from a call that is sent after its deadline.
        let late = if self.rng.random_range(0..10) == 0 {
            2000
        } else {
            3
        };
        let at = self.now + self.rng.random_range(0..=late);
        let ends_at = match self.config.checks_fencing {
            true => at + DEADLINE_MS,
            // A server measures the deadline by the clock of its host.
            false => self.now + DEADLINE_MS * 1000 / self.speeds[d],
        };
        self.messages.push((at, Msg::Call(d, key, epoch, ends_at)));
    }

    /// Returns the violation of an invariant at the current time, if there is one.
    fn violation(&mut self) -> Option<String> {
        let now = self.now;
        for server in &mut self.servers {
            server.runs.retain(|run| run.until > now);
        }
        KEYS.iter()
            .enumerate()
            .find_map(|(i, _)| self.violation_for(&key(i)))
    }

    fn violation_for(&self, key: &Key) -> Option<String> {
        let holders: Vec<(usize, u64)> = (0..DAEMONS)
            .filter_map(|d| Some((d, self.daemons[d].may_dispatch(key, self.clock(d))?)))
            .collect();
        if holders.len() > 1 {
            return Some(format!("{key} has holders {holders:?}"));
        }
        let granted = |s: usize| {
            let held = self.servers[s].held.iter().find(|(span, _)| span.contains(key));
            held.map(|(_, epoch)| *epoch).filter(|epoch| {
                self.servers[s]
                    .ownership
                    .admit(key, *epoch, self.clock(s))
                    .is_ok()
            })
        };
        let grants: Vec<(usize, u64)> = (0..DAEMONS).filter_map(|s| Some((s, granted(s)?))).collect();
        if grants.len() > 1 {
            return Some(format!("{key} is granted at {grants:?}"));
        }
        let (holder, epoch) = *grants.first()?;
        for s in (0..DAEMONS).filter(|s| *s != holder) {
            let mut runs = self.servers[s].runs.iter().filter(|run| run.key == *key);
            // On a server that checks fencing epochs, calls that started while its owner held the key may still finish.
            if let Some(run) = runs.find(|_| !self.config.checks_fencing) {
                return Some(format!(
                    "{key} of epoch {} runs at {s}, but {holder} holds it at {epoch}",
                    run.epoch
                ));
            }
        }
        None
    }
}

/// Returns a schema with one service.
fn schema(name: &str, divided_by_key: bool, checks_fencing: bool) -> String {
    let division = match divided_by_key {
        true => r#""divided_by_key": true, "boundaries": ["m"],"#,
        false => "",
    };
    format!(
        r#"{{"cluster": "test", "services": [{{"name": "{name}", {division} "checks_fencing": {checks_fencing},
            "calls": [{{"name": "read", "method": "GET", "path": "/", "idempotent": true,
                "deadline_ms": {DEADLINE_MS}, "max_deadline_ms": {DEADLINE_MS}}}]}}]}}"#
    )
}

fn key(i: usize) -> Key {
    Key::new(KEYS[i].as_bytes().to_vec())
}
