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

/// Heartbeats within one minimum election timeout.
const HEARTBEATS_PER_ELECTION: u64 = 6;

/// How long after a start this member waits for every other voter to confirm its disk, in minimum election
/// timeouts. After that, one confirmation is enough.
const CONFIRMATION_GRACE_ELECTIONS: u64 = 4;

/// Configuration of a [`Core`].
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Peer address of this host.
    pub address: String,
    /// Timing of elections and leases.
    pub timing: LeaseSettings,
    /// Seed of the random election timeouts and of the process number.
    pub seed: u64,
    /// Number of entries kept before a snapshot, for members and daemons that lag.
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

/// Role of a member in the current term.
#[derive(Clone, Debug)]
pub(super) enum Role {
    Follower,
    /// Asks the other voters whether they would vote for it. Holds the ids that agreed.
    PreCandidate(Vec<u64>),
    /// Asks the other voters for their votes. Holds the ids that granted theirs.
    Candidate(Vec<u64>),
    Leader(Leadership),
    /// No longer takes part in the cell.
    Stopped,
}

/// State that a leader keeps for its term.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub peers: Vec<Progress>,
    pub elected_at: Ms,
    /// Index of the first entry of its term.
    pub first_index: u64,
}

/// Highest term and log position that another member has reported since this process started.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedPosition {
    pub id: u64,
    pub term: u64,
    /// Term and index of the last entry in its log.
    pub end: (u64, u64),
}

/// A snapshot that is being received in parts.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    pub index: u64,
    pub term: u64,
    pub buf: Vec<u8>,
}

/// One member of the cell as a state machine without I/O. Its inputs are messages, ticks, proposals and disk
/// results; its results are collected in [`Outputs`].
#[derive(Debug)]
pub struct Core {
    pub(super) cfg: CoreConfig,
    pub(super) hard: HardState,
    pub(super) log: ReplicaLog,
    pub(super) role: Role,
    pub(super) leader: Option<u64>,
    pub(super) commit: u64,
    /// Until this time the member refuses votes, because it may have had contact with a leader within the last
    /// election timeout.
    pub(super) refuse_votes_until: Ms,
    /// When the member starts a pre-vote unless a leader contacts it before.
    pub(super) election_at: Ms,
    pub(super) heartbeat_at: Ms,
    /// Index of the last entry that is synced to this disk.
    pub(super) synced_index: u64,
    /// Time at which a leader first noticed pending writes since its last completed sync.
    pub(super) stalled_since: Option<Ms>,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Members that have confirmed that they have not seen a newer state of this disk.
    pub(super) confirmed_by: Vec<u64>,
    /// Members whose disks are known to be lost.
    lost_disks: Vec<u64>,
    /// Positions that other members reported since this process started.
    pub(super) reported: Vec<ReportedPosition>,
    /// Until this time all other voters must confirm this disk. After it, one confirmation is enough.
    pub(super) grace_ends_at: Ms,
    /// Random number that identifies this process to the other members.
    pub(super) process: u64,
    /// Index of the last committed entry that was handed out to be applied.
    pub(super) delivered_index: u64,
    /// Number of the last write that is synced.
    pub(super) synced_write: u64,
    /// Number of the last write that was issued.
    pub(super) last_write: u64,
    /// Number of the last write of the hard state.
    pub(super) last_hard_write: u64,
    /// Pending log writes: the number of each and the last index that the log has after it.
    pub(super) log_writes: VecDeque<(u64, u64)>,
    /// Messages that are held back until the write with the given number is synced, sorted by that number.
    pub(super) pending_messages: VecDeque<(u64, Envelope)>,
    rng: SmallRng,
    pub(super) outputs: Outputs,
}

impl Core {
    /// Creates a member from the state on its disk. The start itself is recorded as a new boot.
    pub fn new(cfg: CoreConfig, saved: SavedState, now: Ms) -> Self {
        let mut rng = SmallRng::seed_from_u64(cfg.seed);
        let process = rng.next_u64();
        let log = ReplicaLog::new(saved.head, saved.entries, saved.snapshot);
        let mut core = Self {
            hard: saved.hard,
            commit: log.snapshot_index(),
            delivered_index: log.snapshot_index(),
            synced_index: log.last_index(),
            stalled_since: None,
            log,
            role: Role::Follower,
            leader: None,
            refuse_votes_until: now + cfg.timing.election_timeout,
            election_at: Ms::MAX,
            heartbeat_at: now,
            incoming: None,
            confirmed_by: Vec::new(),
            lost_disks: Vec::new(),
            reported: Vec::new(),
            grace_ends_at: now + Ms(cfg.timing.election_timeout.0 * CONFIRMATION_GRACE_ELECTIONS),
            process,
            synced_write: 0,
            last_write: 0,
            last_hard_write: 0,
            log_writes: VecDeque::new(),
            pending_messages: VecDeque::new(),
            rng,
            outputs: Outputs::default(),
            cfg,
        };
        core.hard.boot += 1;
        core.write_hard();
        core.reset_election_timer(now);
        core
    }

    /// Creates the cell `cell` with its first members. Exactly one host calls this for a cell, and its disk must
    /// be empty.
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

    /// Returns the incarnation of the disk, which is the id of this member.
    pub fn id(&self) -> u64 {
        self.hard.id
    }

    /// Returns the id of the cell, or 0 if the disk belongs to none yet.
    pub fn cell(&self) -> u64 {
        self.hard.cell
    }

    /// Returns the current term.
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

    /// Returns the current members.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Returns whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member has stopped for good.
    pub fn is_stopped(&self) -> bool {
        matches!(self.role, Role::Stopped)
    }

    /// Returns whether this member leads and has handed out all entries committed before its term.
    pub fn is_ready(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if self.delivered_index >= l.first_index)
    }

    /// Sends the heartbeats and runs the timeouts that are due at `now`.
    pub fn tick(&mut self, now: Ms) {
        if self.is_stopped() || self.hard.cell == 0 {
            return;
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.heartbeat_interval();
            if self.is_leader() {
                self.send_heartbeats(now);
                self.advance_member_changes(now);
            }
            self.announce_restart();
        }
        if self.is_leader() {
            self.check_quorum(now);
            self.check_disk(now);
        } else if now >= self.election_at {
            self.reset_election_timer(now);
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another member. Messages for another disk or another cell are ignored.
    pub fn receive(&mut self, envelope: Envelope, now: Ms) {
        let is_for_this_disk = envelope.to == self.hard.id && envelope.from != self.hard.id;
        if self.is_stopped() || !is_for_this_disk || !self.adopt_cell(envelope.cell) {
            return;
        }
        let (from, term) = (envelope.from, envelope.term);
        let Some(body) = envelope.body else {
            return;
        };
        match body {
            Body::VoteRequest(req) => {
                self.record_reported(from, term, (0, 0));
                return self.handle_vote_request(from, term, &req, now);
            }
            Body::Returned(returned) => return self.handle_returned(from, &returned, now),
            Body::ReturnedAnswer(answer) => return self.handle_returned_answer(from, &answer),
            Body::DiskQuery(_) | Body::DiskAnswer(_) => return,
            _ => {}
        }
        self.record_reported(from, term, (0, 0));
        if term > self.hard.term {
            self.become_follower(term, None, now);
        }
        match body {
            Body::VoteAnswer(answer) => self.handle_vote_answer(from, term, &answer, now),
            Body::Append(append) => self.handle_append(from, term, append, now),
            Body::SnapshotPart(part) => self.handle_snapshot_part(from, term, part, now),
            Body::AppendAnswer(answer) if term == self.hard.term => {
                self.handle_append_answer(from, &answer, now)
            }
            Body::SnapshotAnswer(answer) if term == self.hard.term => {
                self.handle_snapshot_answer(from, &answer, now);
            }
            _ => {}
        }
    }

    /// Proposes changes and returns the index of the first one, or `None` if this member does not lead.
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

    /// Records that the disk of member `id` has been replaced by another one. The member can no longer confirm
    /// this disk.
    pub fn peer_disk_lost(&mut self, id: u64) {
        if !self.lost_disks.contains(&id) {
            self.lost_disks.push(id);
        }
    }

    /// Reports that the disk of this member failed. The member stops for good.
    pub fn disk_failed(&mut self) {
        self.stop();
    }

    /// Records `image` as the snapshot of the applied state at a committed `index` and drops older entries.
    pub fn compact(&mut self, index: u64, image: Bytes) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.delivered_index) else {
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

    /// Returns the actions that have accumulated since the last call.
    pub fn take_outputs(&mut self) -> Outputs {
        self.deliver_committed();
        std::mem::take(&mut self.outputs)
    }

    pub(super) fn heartbeat_interval(&self) -> Ms {
        Ms((self.cfg.timing.election_timeout.0 / HEARTBEATS_PER_ELECTION).max(1))
    }

    /// Schedules the next election after a random delay of one to two minimum election timeouts.
    pub(super) fn reset_election_timer(&mut self, now: Ms) {
        let election = self.cfg.timing.election_timeout;
        self.election_at = now + election + Ms(self.rng.random_range(0..=election.0));
    }

    /// Becomes a follower in a newer term, or of a leader of the current term.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<u64>, now: Ms) {
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
            self.reset_election_timer(now);
        }
    }

    pub(super) fn stop(&mut self) {
        if self.is_leader() {
            let event = CoreEvent::SteppedDown { term: self.hard.term };
            self.outputs.events.push(event);
        }
        self.role = Role::Stopped;
        self.leader = None;
        self.pending_messages.clear();
        self.outputs.messages.clear();
    }

    pub(super) fn push_event(&mut self, event: CoreEvent) {
        self.outputs.events.push(event);
    }

    /// Announces the start of this process to the other voters that have not confirmed the disk yet.
    fn announce_restart(&mut self) {
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

    /// Returns the other voters that can still confirm this disk: those whose own disks are not lost.
    pub(super) fn confirming_voters(&self) -> Vec<u64> {
        let mut voters = self.other_voters();
        voters.retain(|id| !self.lost_disks.contains(id));
        voters
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let voters = self.membership().voters().map(|m| m.id);
        voters.filter(|id| *id != self.hard.id).collect()
    }

    /// Records a start of another member. Returns `false` if a different process has already used this boot
    /// number or a later one.
    pub(super) fn record_boot(&mut self, boot: SeenBoot) -> bool {
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

    /// Returns whether `cell` is the cell of this disk. A disk without a cell adopts the first one that addresses
    /// its incarnation.
    fn adopt_cell(&mut self, cell: u64) -> bool {
        if self.hard.cell == 0 && cell != 0 {
            self.hard.cell = cell;
            self.write_hard();
        }
        self.hard.cell == cell
    }

    fn deliver_committed(&mut self) {
        let entries = self.log.between(self.delivered_index, self.commit).to_vec();
        self.delivered_index = self.commit.max(self.delivered_index);
        self.outputs.applies.extend(entries.into_iter().map(Apply::Entry));
    }
}
