use {
    super::{progress::Progress, Apply, CoreEvent, Outputs, ReplicaLog, SavedState, Write},
    crate::{
        clock::Ms,
        settings::LeaseSettings,
        wire::consensus::{
            entry, envelope::Body, Entry, Envelope, HardState, Membership, Returned, SeenBoot, Snapshot,
        },
    },
    bytes::Bytes,
    rand::{rngs::SmallRng, Rng, RngCore, SeedableRng},
    std::{collections::VecDeque, sync::Arc},
};

/// Heartbeats in one shortest election timeout.
const HEARTBEATS_PER_ELECTION: u64 = 6;

/// Time for all other voters to confirm a disk after a start, in shortest election timeouts.
const RETURN_GRACE_ELECTIONS: u64 = 4;

/// What a core needs to start.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Peer address of this host.
    pub address: String,
    /// Timing of elections and leases.
    pub timing: LeaseSettings,
    /// Seed of election timeouts and of the process number.
    pub seed: u64,
    /// Entries before a snapshot that are kept for members and daemons that lag.
    pub kept_entries: u64,
}

impl Default for CoreConfig {
    fn default() -> Self {
        Self {
            address: String::new(),
            timing: LeaseSettings::default(),
            seed: 0,
            kept_entries: 10_000,
        }
    }
}

/// Where a member stands.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate(Vec<u64>),
    /// Asks for votes.
    Candidate(Vec<u64>),
    Leader(Leadership),
    /// Takes no part any more.
    Stopped,
}

/// What a leader keeps for its term.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub peers: Vec<Progress>,
    pub elected_at: Ms,
    /// Index of the first entry of the term.
    pub first_index: u64,
}

/// The furthest that another member has stated of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stated {
    pub id: u64,
    pub term: u64,
    /// Term and index of the end of its log.
    pub end: (u64, u64),
}

/// A snapshot that arrives in parts.
#[derive(Clone, Debug)]
pub(super) struct Incoming {
    pub index: u64,
    pub term: u64,
    pub buf: Vec<u8>,
}

/// One member of the cell as a pure state machine: messages, ticks, proposals and disk results go in,
/// [`Outputs`] come out.
#[derive(Debug)]
pub struct Core {
    pub(super) cfg: CoreConfig,
    pub(super) hard: HardState,
    pub(super) log: ReplicaLog,
    pub(super) role: Role,
    pub(super) leader: Option<u64>,
    pub(super) commit: u64,
    /// No vote is given before this time, since a leader may have been heard within a timeout.
    pub(super) refuse_votes_until: Ms,
    pub(super) election_at: Ms,
    pub(super) heartbeat_at: Ms,
    pub(super) synced_index: u64,
    /// Since when nothing was synced although something waits for it, as a leader saw it.
    pub(super) stalled_since: Option<Ms>,
    pub(super) incoming: Option<Incoming>,
    pub(super) confirmed_by: Vec<u64>,
    /// Members whose disks are known to be gone.
    gone: Vec<u64>,
    /// What other members stated since this process started.
    pub(super) stated: Vec<Stated>,
    /// Until then all other voters have to confirm this disk, after it a quorum.
    pub(super) grace_ends_at: Ms,
    pub(super) process: u64,
    pub(super) handed_out: u64,
    pub(super) written: u64,
    pub(super) last_write: u64,
    pub(super) hard_write: u64,
    /// Numbers of writes under way with the last index that each leaves in the log.
    pub(super) log_writes: VecDeque<(u64, u64)>,
    pub(super) held: VecDeque<(u64, Envelope)>,
    rng: SmallRng,
    pub(super) outputs: Outputs,
}

impl Core {
    /// Returns a member that starts from what its disk holds.
    pub fn new(cfg: CoreConfig, saved: SavedState, now: Ms) -> Self {
        let mut rng = SmallRng::seed_from_u64(cfg.seed);
        let process = rng.next_u64();
        let log = ReplicaLog::new(saved.head, saved.entries, saved.snapshot);
        let mut core = Self {
            hard: saved.hard,
            commit: log.snapshot_index(),
            handed_out: log.snapshot_index(),
            synced_index: log.last_index(),
            stalled_since: None,
            log,
            role: Role::Follower,
            leader: None,
            refuse_votes_until: now + cfg.timing.election,
            election_at: Ms::MAX,
            heartbeat_at: now,
            incoming: None,
            confirmed_by: Vec::new(),
            gone: Vec::new(),
            stated: Vec::new(),
            grace_ends_at: now + Ms(cfg.timing.election.0 * RETURN_GRACE_ELECTIONS),
            process,
            written: 0,
            last_write: 0,
            hard_write: 0,
            log_writes: VecDeque::new(),
            held: VecDeque::new(),
            rng,
            outputs: Outputs::default(),
            cfg,
        };
        core.hard.boot += 1;
        core.write_hard();
        core.wait_for_election(now);
        core
    }

    /// Founds a cell as its only source of the first members. The disk must be empty.
    pub fn bootstrap(&mut self, cell: u64, membership: Membership) {
        self.hard.cell = cell;
        self.hard.term = 1;
        self.write_hard();
        self.append_own(vec![Entry {
            index: 1,
            term: 1,
            body: Some(entry::Body::Membership(membership)),
        }]);
    }

    /// Returns the incarnation of the disk.
    pub fn id(&self) -> u64 {
        self.hard.id
    }

    /// Returns the cell, or 0 while the disk belongs to none.
    pub fn cell(&self) -> u64 {
        self.hard.cell
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the index up to which entries are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &ReplicaLog {
        &self.log
    }

    /// Returns the members in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the leader of this term, if it is known.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Tells if this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Tells if this member takes no part any more.
    pub fn is_stopped(&self) -> bool {
        matches!(self.role, Role::Stopped)
    }

    /// Tells if this member leads and has handed out everything committed before its term.
    pub fn is_ready(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if self.handed_out >= l.first_index)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) {
        if self.is_stopped() || self.hard.cell == 0 {
            return;
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.heartbeat();
            if self.is_leader() {
                self.send_heartbeats(now);
                self.look_after_members(now);
            }
            self.announce_return();
        }
        if self.is_leader() {
            self.check_quorum(now);
            self.check_disk(now);
        } else if now >= self.election_at {
            self.wait_for_election(now);
            self.start_pre_vote(now);
        }
    }

    /// Takes a message of another member.
    pub fn receive(&mut self, envelope: Envelope, now: Ms) {
        let for_me = envelope.to == self.hard.id && envelope.from != self.hard.id;
        if self.is_stopped() || !for_me || !self.takes_cell(envelope.cell) {
            return;
        }
        let (from, term) = (envelope.from, envelope.term);
        let Some(body) = envelope.body else {
            return;
        };
        match body {
            Body::VoteRequest(req) => {
                self.note_stated(from, term, (0, 0));
                return self.vote_request(from, term, &req, now);
            }
            Body::Returned(returned) => return self.peer_returned(from, &returned, now),
            Body::ReturnedAnswer(answer) => return self.return_answered(from, &answer),
            Body::DiskQuery(_) | Body::DiskAnswer(_) => return,
            _ => {}
        }
        self.note_stated(from, term, (0, 0));
        if term > self.hard.term {
            self.follow(term, None, now);
        }
        match body {
            Body::VoteAnswer(answer) => self.vote_answer(from, term, &answer, now),
            Body::Append(append) => self.append_request(from, term, append, now),
            Body::SnapshotPart(part) => self.snapshot_part(from, term, part, now),
            Body::AppendAnswer(answer) if term == self.hard.term => self.append_answer(from, &answer, now),
            Body::SnapshotAnswer(answer) if term == self.hard.term => {
                self.snapshot_answer(from, &answer, now);
            }
            _ => {}
        }
    }

    /// Proposes changes. Returns the index of the first one, or `None` if this member does not lead.
    pub fn propose(&mut self, changes: Vec<Bytes>, now: Ms) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let first = self.log.last_index() + 1;
        let term = self.hard.term;
        let entries = changes.into_iter().zip(first..).map(|(change, index)| Entry {
            index,
            term,
            body: Some(entry::Body::Change(change)),
        });
        self.append_own(entries.collect());
        self.replicate(now);
        Some(first)
    }

    /// Takes note that another disk stands in the place of a member's. Nothing it knew can be asked any more.
    pub fn peer_disk_lost(&mut self, id: u64) {
        if !self.gone.contains(&id) {
            self.gone.push(id);
        }
    }

    /// Reports that the disk failed. This member takes no part any more.
    pub fn disk_failed(&mut self) {
        self.stop();
    }

    /// Records a snapshot of the applied state at a committed `index` and drops older entries.
    pub fn compact(&mut self, index: u64, image: Bytes) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.handed_out) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            membership: Some(self.log.membership_at(index)),
            image,
        });
        self.log.compact(snapshot.clone(), self.cfg.kept_entries);
        self.write_log(Write::Snapshot {
            snapshot,
            head: self.log.head(),
            entries: self.log.entries().to_vec(),
        });
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Outputs {
        self.hand_out();
        std::mem::take(&mut self.outputs)
    }

    pub(super) fn heartbeat(&self) -> Ms {
        Ms((self.cfg.timing.election.0 / HEARTBEATS_PER_ELECTION).max(1))
    }

    /// Draws the time of the next election, one to two timeouts from now.
    pub(super) fn wait_for_election(&mut self, now: Ms) {
        let election = self.cfg.timing.election;
        self.election_at = now + election + Ms(self.rng.random_range(0..=election.0));
    }

    /// Follows a newer term, or a leader of the present one.
    pub(super) fn follow(&mut self, term: u64, leader: Option<u64>, now: Ms) {
        if let Role::Leader(_) = &self.role {
            let event = CoreEvent::SteppedDown { term: self.hard.term };
            self.outputs.events.push(event);
        }
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = 0;
            self.write_hard();
            self.leader = None;
            self.incoming = None;
        }
        if let (Some(leader), true) = (leader, self.leader != leader) {
            self.outputs
                .events
                .push(CoreEvent::FollowsLeader { leader, term });
        }
        self.leader = leader.or(self.leader);
        self.role = Role::Follower;
        if self.election_at == Ms::MAX {
            self.wait_for_election(now);
        }
    }

    pub(super) fn stop(&mut self) {
        if self.is_leader() {
            let event = CoreEvent::SteppedDown { term: self.hard.term };
            self.outputs.events.push(event);
        }
        self.role = Role::Stopped;
        self.leader = None;
        self.held.clear();
        self.outputs.messages.clear();
    }

    pub(super) fn event(&mut self, event: CoreEvent) {
        self.outputs.events.push(event);
    }

    /// States to the other voters that this member has started, until each has answered.
    fn announce_return(&mut self) {
        for id in self.other_voters() {
            if !self.confirmed_by.contains(&id) {
                self.send_returned(id);
            }
        }
    }

    pub(super) fn send_returned(&mut self, to: u64) {
        let returned = Returned {
            boot: self.hard.boot,
            process: self.process,
        };
        self.send_synced(to, Body::Returned(returned));
    }

    /// Returns the other voters that can still say what they have seen of this disk.
    pub(super) fn witnesses(&self) -> Vec<u64> {
        let mut voters = self.other_voters();
        voters.retain(|id| !self.gone.contains(id));
        voters
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let voters = self.membership().voters().map(|m| m.id);
        voters.filter(|id| *id != self.hard.id).collect()
    }

    /// Remembers a start of another member. False: the member was seen with a newer disk.
    pub(super) fn see_boot(&mut self, boot: SeenBoot) -> bool {
        let found = self.hard.seen.binary_search_by_key(&boot.id, |s| s.id);
        match found {
            Ok(i) if self.hard.seen[i] == boot => return true,
            Ok(i) if self.hard.seen[i].boot >= boot.boot => return false,
            Ok(i) => self.hard.seen[i] = boot,
            Err(i) => self.hard.seen.insert(i, boot),
        }
        self.write_hard();
        true
    }

    /// A disk that belongs to no cell takes the first one that names its incarnation.
    fn takes_cell(&mut self, cell: u64) -> bool {
        if self.hard.cell == 0 && cell != 0 {
            self.hard.cell = cell;
            self.write_hard();
        }
        self.hard.cell == cell
    }

    fn hand_out(&mut self) {
        let entries = self.log.between(self.handed_out, self.commit).to_vec();
        self.handed_out = self.commit.max(self.handed_out);
        self.outputs.applies.extend(entries.into_iter().map(Apply::Entry));
    }
}
