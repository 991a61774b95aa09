//! Simulates a cell of several consensus cores in one thread, with a seeded network and faults, and checks the
//! invariants after each step.

// No test uses all of it.
#![allow(dead_code, unused_imports)]

mod faults;
pub mod mem_disk;

pub use faults::DiskCopy;

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

/// Virtual time of one step, in ms.
pub const STEP_MS: u64 = 5;
/// Number of entries kept before a snapshot.
const KEPT_ENTRIES: u64 = 3;
/// Virtual time within which a cell without faults must make progress, in ms.
const SETTLE_MAX_MS: u64 = 30_000;

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
    pub is_frozen: bool,
    /// Time that a batch of writes takes, in ms.
    pub disk_delay: u64,
    disk_ready_at: u64,
    /// Drift of the local clock, in parts per thousand.
    pub drift: i64,
    starts: u64,
    /// Member that this disk must replace, until it has done so.
    replaces: Option<u64>,
    /// Set by a fault after which the disk must not be used again.
    pub is_disk_unusable: bool,
}

pub struct CellSim {
    timing: LeaseSettings,
    pub hosts: Vec<Host>,
    pub now: u64,
    pub events: Vec<(usize, CoreEvent)>,
    /// If `cut[a][b]` is true, no message from `a` reaches `b`.
    pub cut: Vec<Vec<bool>>,
    /// Share of messages that are lost, duplicated or delayed, in parts per thousand.
    pub disturbed_per_mille: u32,
    /// Messages on their way: delivery time, receiving host and envelope.
    in_transit: Vec<(u64, usize, Envelope)>,
    rng: SmallRng,
    hosts_by_id: BTreeMap<u64, usize>,
    /// Every entry that some host has committed, in order.
    committed_log: Vec<Entry>,
    snapshots: BTreeMap<u64, Bytes>,
    leaders_by_term: BTreeMap<u64, u64>,
    /// Candidate that got the vote of a voter in a term.
    votes: BTreeMap<(u64, u64), u64>,
    /// Index, term and payload of each proposed change.
    proposed: Vec<(u64, u64, u64)>,
    /// Payloads of the proposed changes that were committed.
    pub acknowledged: Vec<u64>,
    next_payload: u64,
}

impl CellSim {
    /// Starts `count` hosts with empty disks that form one cell.
    pub fn new(seed: u64, count: usize) -> Self {
        Self::with_timing(seed, count, LeaseSettings::default())
    }

    /// Starts `count` hosts with empty disks that form one cell with the timing `timing`.
    pub fn with_timing(seed: u64, count: usize, timing: LeaseSettings) -> Self {
        let mut sim = Self {
            timing,
            hosts: Vec::new(),
            now: 0,
            events: Vec::new(),
            cut: vec![vec![false; count]; count],
            disturbed_per_mille: 0,
            in_transit: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            hosts_by_id: BTreeMap::new(),
            committed_log: Vec::new(),
            snapshots: BTreeMap::new(),
            leaders_by_term: BTreeMap::new(),
            votes: BTreeMap::new(),
            proposed: Vec::new(),
            acknowledged: Vec::new(),
            next_payload: 1,
        };
        for host in 0..count {
            let id = sim.rng.random_range(1..u64::MAX);
            sim.hosts.push(Host {
                disk: MemDisk::default(),
                id,
                running: None,
                is_frozen: false,
                disk_delay: 1,
                disk_ready_at: 0,
                drift: 0,
                starts: 0,
                replaces: None,
                is_disk_unusable: false,
            });
            sim.hosts_by_id.insert(id, host);
            sim.start(host);
        }
        let members = sim.hosts.iter().enumerate().map(|(i, h)| Member {
            id: h.id,
            address: format!("h{i}"),
            voter: true,
            replaces: 0,
        });
        let membership = Membership::new(members.collect());
        if let Some(running) = &mut sim.hosts[0].running {
            running.core.bootstrap(7, membership);
        }
        sim.process_outputs(0);
        sim
    }

    /// Runs until every host has committed the first members of the cell.
    pub fn wait_until_bootstrapped(&mut self) {
        self.run_until("the cell is not bootstrapped", |sim| {
            (0..sim.hosts.len()).all(|h| sim.core(h).is_some_and(|c| c.commit() > 1))
        });
    }

    pub fn local_time(&self, host: usize) -> Ms {
        let now = self.now as i64;
        Ms((1_000_000 + now + now * self.hosts[host].drift / 1000) as u64)
    }

    pub fn core(&self, host: usize) -> Option<&Core> {
        self.hosts[host].running.as_ref().map(|r| &r.core)
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.core(host).is_some_and(|c| !c.is_stopped())
    }

    /// Returns the leader. If there are several, it is the one with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |h: &usize| self.core(*h).is_some_and(Core::is_leader);
        let hosts = (0..self.hosts.len()).filter(leads);
        hosts.max_by_key(|h| self.core(*h).map(Core::term))
    }

    /// Starts a host from its disk. Returns `false` if its storage cannot be opened.
    pub fn start(&mut self, host: usize) -> bool {
        if self.hosts[host].running.is_some() {
            return true;
        }
        let now = self.local_time(host);
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
        self.process_outputs(host);
        true
    }

    /// Returns whether every host is a voter with its current disk.
    pub fn all_disks_vote(&self) -> bool {
        self.hosts
            .iter()
            .all(|h| h.replaces.is_none() && !h.is_disk_unusable)
    }

    /// Proposes a change at the leader.
    pub fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        let now = self.local_time(leader);
        let payload = self.next_payload;
        self.next_payload += 1;
        let Some(running) = &mut self.hosts[leader].running else {
            return;
        };
        let change = Bytes::copy_from_slice(&payload.to_le_bytes());
        if let Some(index) = running.core.propose(vec![change], now) {
            self.proposed.push((index, running.core.term(), payload));
        }
        self.process_outputs(leader);
    }

    /// Takes a snapshot of what a host has applied.
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
        self.process_outputs(host);
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until `done` returns true. Panics if that takes too long.
    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let until = self.now + SETTLE_MAX_MS;
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
        self.now += STEP_MS;
        self.deliver();
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_frozen {
                continue;
            }
            self.write(host);
            let now = self.local_time(host);
            if let Some(running) = &mut self.hosts[host].running {
                running.core.tick(now);
            }
            self.process_outputs(host);
        }
        self.run_operator();
        self.check_leaders();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_frozen: Vec<bool> = self.hosts.iter().map(|h| h.is_frozen).collect();
        let due = |m: &(u64, usize, Envelope)| m.0 <= now && !is_frozen[m.1];
        let (mut due, waiting): (Vec<_>, Vec<_>) = self.in_transit.drain(..).partition(due);
        self.in_transit = waiting;
        due.sort_by_key(|m| m.0);
        for (_, host, envelope) in due {
            let now = self.local_time(host);
            if let Some(running) = &mut self.hosts[host].running {
                running.core.receive(envelope, now);
            }
            self.process_outputs(host);
        }
    }

    /// Carries out the queued writes of a host as one batch.
    fn write(&mut self, host: usize) {
        let now = self.local_time(host);
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
        self.process_outputs(host);
    }

    /// Takes the outputs of a host, checks them and passes them on.
    fn process_outputs(&mut self, host: usize) {
        let Some(running) = &mut self.hosts[host].running else {
            return;
        };
        let outputs = running.core.take_outputs();
        running.queue.extend(outputs.writes);
        let mut applied = running.applied;
        for apply in outputs.applies {
            match apply {
                Apply::Entry(entry) => {
                    assert_eq!(entry.index, applied + 1, "a committed entry is skipped");
                    applied = entry.index;
                    self.check_commit(entry);
                }
                Apply::Snapshot(snapshot) => {
                    assert!(snapshot.index > applied, "the committed index decreases");
                    assert!(snapshot.index <= self.committed_log.len() as u64);
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
            self.send(host, envelope);
        }
    }

    /// Checks that no other entry was committed at the same index, and records the entry.
    fn check_commit(&mut self, entry: Entry) {
        let position = entry.index as usize - 1;
        if let Some(known) = self.committed_log.get(position) {
            assert_eq!(*known, entry, "two entries are committed at one index");
            return;
        }
        assert_eq!(position, self.committed_log.len());
        let proposed = payload(&entry).map(|p| (entry.index, entry.term, p));
        if let Some(proposal) = proposed.filter(|p| self.proposed.contains(p)) {
            self.acknowledged.push(proposal.2);
        }
        self.committed_log.push(entry);
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        if let Some(envelope::Body::VoteAnswer(answer)) = &envelope.body {
            if answer.granted && !answer.pre {
                self.check_vote(envelope.from, answer.for_term, envelope.to);
            }
        }
        let Some(to) = self.hosts_by_id.get(&envelope.to).copied() else {
            return;
        };
        if self.cut[from][to] {
            return;
        }
        let mut delay = self.rng.random_range(1..=STEP_MS);
        let sample = self.rng.random_range(0..1000);
        if sample < self.disturbed_per_mille {
            match sample % 3 {
                0 => return,
                1 => delay += self.rng.random_range(0..600),
                _ => {
                    let late = self.now + self.rng.random_range(0..1500);
                    self.in_transit.push((late, to, envelope.clone()));
                }
            }
        }
        self.in_transit.push((self.now + delay, to, envelope));
    }

    fn check_vote(&mut self, voter: u64, term: u64, candidate: u64) {
        let vote = *self.votes.entry((voter, term)).or_insert(candidate);
        assert_eq!(vote, candidate, "a voter voted twice in a term");
    }

    fn check_leaders(&mut self) {
        let mut lease_holders = 0;
        for host in 0..self.hosts.len() {
            let now = self.local_time(host);
            let Some(core) = self.core(host).filter(|c| c.is_leader()) else {
                continue;
            };
            let (term, id) = (core.term(), core.id());
            lease_holders += usize::from(core.holds_lease(now));
            let leader = *self.leaders_by_term.entry(term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {term}");
        }
        assert!(lease_holders <= 1, "two leaders hold a lease at {}", self.now);
    }
}

fn payload(entry: &Entry) -> Option<u64> {
    match &entry.body {
        Some(entry::Body::Change(change)) => Some(u64::from_le_bytes(change.as_ref().try_into().ok()?)),
        Some(entry::Body::Membership(_)) | None => None,
    }
}
