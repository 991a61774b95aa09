//! Drives several consensus cores through one seeded exchange in one thread and checks after each step.

// Each test uses a part of it.
#![allow(dead_code, unused_imports)]

mod faults;
pub mod mem_disk;

pub use faults::CopiedDisk;

use {
    self::mem_disk::MemDisk,
    bytes::Bytes,
    clementinefold::{
        clock::Ms,
        consensus::{Apply, Core, CoreConfig, CoreEvent, Storage, Write},
        settings::LeaseSettings,
        wire::consensus::{entry, envelope, Entry, Envelope, Member, Membership},
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::collections::{BTreeMap, VecDeque},
};

/// Virtual time of one step.
pub const STEP: u64 = 5;
/// Entries before a snapshot that are kept.
const KEPT_ENTRIES: u64 = 3;
/// Longest virtual time until a healed exchange has to make progress.
const SETTLE_MAX: u64 = 30_000;

struct Running {
    core: Core,
    storage: Storage<MemDisk>,
    queue: VecDeque<(u64, Write)>,
    applied: u64,
}

pub struct Host {
    pub disk: MemDisk,
    pub id: u64,
    running: Option<Running>,
    pub frozen: bool,
    /// Time that a write takes.
    pub disk_delay: u64,
    disk_ready_at: u64,
    /// Drift of the local clock in thousandths.
    pub drift: i64,
    starts: u64,
    /// A member that this disk replaces, until it has.
    replaces: Option<u64>,
    /// Set by a fault whose disk must not be used again.
    pub unsound: bool,
}

pub struct Exchange {
    timing: LeaseSettings,
    pub hosts: Vec<Host>,
    pub now: u64,
    pub events: Vec<(usize, CoreEvent)>,
    /// `cut[a][b]`: nothing from `a` reaches `b`.
    pub cut: Vec<Vec<bool>>,
    /// Messages in a thousand that are lost, doubled, or late.
    pub trouble: u32,
    net: Vec<(u64, usize, Envelope)>,
    rng: SmallRng,
    ids: BTreeMap<u64, usize>,
    canon: Vec<Entry>,
    snapshots: BTreeMap<u64, Bytes>,
    leaders: BTreeMap<u64, u64>,
    votes: BTreeMap<(u64, u64), u64>,
    proposed: Vec<(u64, u64, u64)>,
    pub acknowledged: Vec<u64>,
    next_payload: u64,
}

impl Exchange {
    /// Starts `count` hosts with empty disks that form one cell.
    pub fn new(seed: u64, count: usize) -> Self {
        Self::with_timing(seed, count, LeaseSettings::default())
    }

    /// Starts `count` hosts with empty disks that form one cell and run by `timing`.
    pub fn with_timing(seed: u64, count: usize, timing: LeaseSettings) -> Self {
        let mut exchange = Self {
            timing,
            hosts: Vec::new(),
            now: 0,
            events: Vec::new(),
            cut: vec![vec![false; count]; count],
            trouble: 0,
            net: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            ids: BTreeMap::new(),
            canon: Vec::new(),
            snapshots: BTreeMap::new(),
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            proposed: Vec::new(),
            acknowledged: Vec::new(),
            next_payload: 1,
        };
        for host in 0..count {
            let id = exchange.rng.random_range(1..u64::MAX);
            exchange.hosts.push(Host {
                disk: MemDisk::default(),
                id,
                running: None,
                frozen: false,
                disk_delay: 1,
                disk_ready_at: 0,
                drift: 0,
                starts: 0,
                replaces: None,
                unsound: false,
            });
            exchange.ids.insert(id, host);
            exchange.start(host);
        }
        let members = exchange.hosts.iter().enumerate().map(|(i, h)| Member {
            id: h.id,
            address: format!("h{i}"),
            voter: true,
            replaces: 0,
        });
        let membership = Membership::new(members.collect());
        if let Some(running) = &mut exchange.hosts[0].running {
            running.core.bootstrap(7, membership);
        }
        exchange.drain(0);
        exchange
    }

    /// Runs until the cell is founded: every host knows the members.
    pub fn found(&mut self) {
        self.run_until("the cell is not founded", |x| {
            (0..x.hosts.len()).all(|h| x.core(h).is_some_and(|c| c.commit() > 1))
        });
    }

    pub fn local(&self, host: usize) -> Ms {
        let now = self.now as i64;
        Ms((1_000_000 + now + now * self.hosts[host].drift / 1000) as u64)
    }

    pub fn core(&self, host: usize) -> Option<&Core> {
        self.hosts[host].running.as_ref().map(|r| &r.core)
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.core(host).is_some_and(|c| !c.is_stopped())
    }

    /// Returns the host that leads with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |h: &usize| self.core(*h).is_some_and(Core::is_leader);
        let hosts = (0..self.hosts.len()).filter(leads);
        hosts.max_by_key(|h| self.core(*h).map(Core::term))
    }

    /// Starts a host from its disk. False: its storage refuses.
    pub fn start(&mut self, host: usize) -> bool {
        if self.hosts[host].running.is_some() {
            return true;
        }
        let now = self.local(host);
        let (id, disk) = (self.hosts[host].id, self.hosts[host].disk.clone());
        self.hosts[host].starts += 1;
        let Ok((storage, saved)) = Storage::open(disk, id) else {
            return false;
        };
        let seed = self.rng.random();
        let config = CoreConfig {
            address: format!("h{host}"),
            timing: self.timing,
            seed,
            kept_entries: KEPT_ENTRIES,
        };
        let core = Core::new(config, saved, now);
        self.hosts[host].running = Some(Running {
            applied: core.log().snapshot_index(),
            core,
            storage,
            queue: VecDeque::new(),
        });
        self.drain(host);
        true
    }

    /// Tells if every host is a voter with its present disk.
    pub fn is_whole(&self) -> bool {
        self.hosts.iter().all(|h| h.replaces.is_none() && !h.unsound)
    }

    /// Proposes a change at the leader.
    pub fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        let now = self.local(leader);
        let payload = self.next_payload;
        self.next_payload += 1;
        let Some(running) = &mut self.hosts[leader].running else {
            return;
        };
        let change = Bytes::copy_from_slice(&payload.to_le_bytes());
        if let Some(index) = running.core.propose(vec![change], now) {
            self.proposed.push((index, running.core.term(), payload));
        }
        self.drain(leader);
    }

    /// Lets a host take a snapshot of what it applied.
    pub fn compact(&mut self, host: usize) {
        let Some(running) = &mut self.hosts[host].running else {
            return;
        };
        let index = running.applied;
        let image = self.snapshots.entry(index).or_insert_with(|| {
            let seed = index.to_le_bytes();
            Bytes::from(seed.repeat(50_000 + index as usize))
        });
        running.core.compact(index, image.clone());
        self.drain(host);
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `done` holds. Panics if that takes too long.
    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let until = self.now + SETTLE_MAX;
        while !done(self) {
            assert!(self.now < until, "no progress: {what}; {}", self.describe());
            self.step();
        }
    }

    fn describe(&self) -> String {
        let mut text = String::new();
        for (i, host) in self.hosts.iter().enumerate() {
            let Some(core) = self.core(i) else {
                text += &format!("\n h{i} is down, replaces {:x?}", host.replaces);
                continue;
            };
            let members = core.membership().members.iter();
            let members: Vec<String> = members
                .map(|m| format!("{:x}{}", m.id >> 48, if m.voter { "" } else { "?" }))
                .collect();
            text += &format!(
                "\n h{i} {:x} replaces {:x?}: term {} leads {} stopped {} commit {} last {:?} members {} {members:?}",
                host.id >> 48,
                host.replaces.map(|r| r >> 48),
                core.term(),
                core.is_leader(),
                core.is_stopped(),
                core.commit(),
                (core.log().last_term(), core.log().last_index()),
                core.membership_index(),
            );
        }
        text
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for host in 0..self.hosts.len() {
            if self.hosts[host].frozen {
                continue;
            }
            self.write(host);
            let now = self.local(host);
            if let Some(running) = &mut self.hosts[host].running {
                running.core.tick(now);
            }
            self.drain(host);
        }
        self.operate();
        self.check_leaders();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen: Vec<bool> = self.hosts.iter().map(|h| h.frozen).collect();
        let due = |m: &(u64, usize, Envelope)| m.0 <= now && !frozen[m.1];
        let (mut due, waiting): (Vec<_>, Vec<_>) = self.net.drain(..).partition(due);
        self.net = waiting;
        due.sort_by_key(|m| m.0);
        for (_, host, envelope) in due {
            let now = self.local(host);
            if let Some(running) = &mut self.hosts[host].running {
                running.core.receive(envelope, now);
            }
            self.drain(host);
        }
    }

    /// Carries out the writes of a host together, as one batch.
    fn write(&mut self, host: usize) {
        let now = self.local(host);
        let slot = &mut self.hosts[host];
        let Some(running) = &mut slot.running else { return };
        let Some((last, _)) = running.queue.back() else {
            slot.disk_ready_at = self.now + slot.disk_delay;
            return;
        };
        if self.now < slot.disk_ready_at {
            return;
        }
        let last = *last;
        slot.disk_ready_at = self.now + slot.disk_delay;
        let writes: Vec<Write> = running.queue.drain(..).map(|(_, w)| w).collect();
        match running.storage.write(&writes) {
            Ok(()) => running.core.writes_synced(last, now),
            Err(_) => running.core.disk_failed(),
        }
        self.drain(host);
    }

    /// Takes the outputs of a host and checks them.
    fn drain(&mut self, host: usize) {
        let Some(running) = &mut self.hosts[host].running else {
            return;
        };
        let outputs = running.core.take_outputs();
        running.queue.extend(outputs.writes);
        let mut applied = running.applied;
        for apply in outputs.applies {
            match apply {
                Apply::Entry(entry) => {
                    assert_eq!(entry.index, applied + 1, "a committed entry is left out");
                    applied = entry.index;
                    self.commit(entry);
                }
                Apply::Snapshot(snapshot) => {
                    assert!(snapshot.index > applied, "the committed index falls");
                    assert!(snapshot.index <= self.canon.len() as u64);
                    assert_eq!(self.snapshots.get(&snapshot.index), Some(&snapshot.image));
                    applied = snapshot.index;
                }
            }
        }
        if let Some(running) = &mut self.hosts[host].running {
            running.applied = applied;
        }
        for event in outputs.events {
            assert!(
                !matches!(event, CoreEvent::CommittedEntryContradicted { .. }),
                "a committed entry is contradicted"
            );
            self.events.push((host, event));
        }
        for envelope in outputs.messages {
            self.post(host, envelope);
        }
    }

    fn commit(&mut self, entry: Entry) {
        let position = entry.index as usize - 1;
        if let Some(known) = self.canon.get(position) {
            assert_eq!(*known, entry, "two entries are committed at one index");
            return;
        }
        assert_eq!(position, self.canon.len());
        let proposed = payload(&entry).map(|p| (entry.index, entry.term, p));
        if let Some(proposal) = proposed.filter(|p| self.proposed.contains(p)) {
            self.acknowledged.push(proposal.2);
        }
        self.canon.push(entry);
    }

    fn post(&mut self, from: usize, envelope: Envelope) {
        if let Some(envelope::Body::VoteAnswer(answer)) = &envelope.body {
            if answer.granted && !answer.pre {
                self.check_vote(envelope.from, answer.for_term, envelope.to);
            }
        }
        let Some(to) = self.ids.get(&envelope.to).copied() else {
            return;
        };
        if self.cut[from][to] {
            return;
        }
        let mut delay = self.rng.random_range(1..=STEP);
        let dice = self.rng.random_range(0..1000);
        if dice < self.trouble {
            match dice % 3 {
                0 => return,
                1 => delay += self.rng.random_range(0..600),
                _ => {
                    let late = self.now + self.rng.random_range(0..1500);
                    self.net.push((late, to, envelope.clone()));
                }
            }
        }
        self.net.push((self.now + delay, to, envelope));
    }

    fn check_vote(&mut self, voter: u64, term: u64, candidate: u64) {
        let vote = *self.votes.entry((voter, term)).or_insert(candidate);
        assert_eq!(vote, candidate, "a vote is doubled");
    }

    fn check_leaders(&mut self) {
        let mut holders = 0;
        for host in 0..self.hosts.len() {
            let now = self.local(host);
            let Some(core) = self.core(host).filter(|c| c.is_leader()) else {
                continue;
            };
            let (term, id) = (core.term(), core.id());
            holders += usize::from(core.holds_lease(now));
            let leader = *self.leaders.entry(term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {term}");
        }
        assert!(holders <= 1, "two leaders hold a lease at {}", self.now);
    }
}

fn payload(entry: &Entry) -> Option<u64> {
    match &entry.body {
        Some(entry::Body::Change(change)) => Some(u64::from_le_bytes(change.as_ref().try_into().ok()?)),
        Some(entry::Body::Membership(_)) | None => None,
    }
}
