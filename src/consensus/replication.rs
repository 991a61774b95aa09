use {
    super::{
        core::{Leadership, Role},
        progress::Progress,
        Core,
    },
    crate::{
        clock::Ms,
        wire::consensus::{envelope::Body, Append, AppendAnswer, SnapshotAnswer, SnapshotPart},
    },
};

/// Most bytes of entries in one message.
const APPEND_MAX_BYTES: usize = 256 * 1024;
/// Most bytes of a snapshot in one message.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;
/// A leader that heard no quorum for this many shortest election timeouts steps down.
const CHECK_QUORUM_ELECTIONS: u64 = 2;
/// A leader whose disk has synced nothing that waits for this many shortest election timeouts steps down. A slow
/// disk, of some 15 ms a sync, stays far below it.
const DISK_STALL_ELECTIONS: u64 = 5;

impl Core {
    /// Sends each member what it lacks, unless an earlier message to it is under way.
    pub(super) fn replicate(&mut self, now: Ms) {
        for id in self.peer_ids() {
            self.replicate_to(id, now);
        }
    }

    fn replicate_to(&mut self, id: u64, now: Ms) {
        let patience = self.cfg.timing.election;
        let Some(mut peer) = self.peer(id).copied() else {
            return;
        };
        let busy = peer.awaiting.map(|(_, since)| since);
        let busy = busy.or(peer.snapshot.map(|(_, _, since)| since));
        if busy.is_some_and(|since| !Progress::is_overdue(since, now, patience)) {
            return;
        }
        if peer.next <= self.log.head().index {
            return self.send_snapshot_part(id, now);
        }
        if peer.awaiting.take().is_some() {
            peer.next = peer.matched.max(self.log.head().index) + 1;
        }
        peer.snapshot = None;
        let entries = self.log.slice(peer.next, APPEND_MAX_BYTES).to_vec();
        let Some(last) = entries.last().map(|e| e.index) else {
            return self.set_peer(peer);
        };
        let prev = peer.next - 1;
        peer.awaiting = Some((last, now));
        peer.next = last + 1;
        self.set_peer(peer);
        self.send_append(id, prev, entries, now);
    }

    /// Sends an empty message to each member, and again what may be lost.
    pub(super) fn send_heartbeats(&mut self, now: Ms) {
        for id in self.peer_ids() {
            let Some(peer) = self.peer(id).copied() else {
                continue;
            };
            let prev = if peer.awaiting.is_some() {
                peer.matched
            } else {
                peer.next - 1
            };
            self.send_append(id, prev.max(self.log.head().index), Vec::new(), now);
            self.replicate_to(id, now);
        }
    }

    fn send_append(&mut self, to: u64, prev: u64, entries: Vec<crate::wire::consensus::Entry>, now: Ms) {
        let Some(prev_term) = self.log.term_at(prev) else {
            return;
        };
        let append = Append {
            prev_index: prev,
            prev_term,
            entries,
            commit: self.commit,
            sent_at_ms: now.0,
            last_term: self.log.term_at(self.synced_index).unwrap_or_default(),
            last_index: self.synced_index,
        };
        self.send(to, Body::Append(append));
    }

    fn send_snapshot_part(&mut self, to: u64, now: Ms) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let Some(mut peer) = self.peer(to).copied() else {
            return;
        };
        let same = peer.snapshot.filter(|(index, ..)| *index == snapshot.index);
        let offset = same.map_or(0, |(_, offset, _)| offset);
        peer.snapshot = Some((snapshot.index, offset, now));
        peer.awaiting = None;
        self.set_peer(peer);
        let from = (offset as usize).min(snapshot.image.len());
        let until = (from + SNAPSHOT_PART_BYTES).min(snapshot.image.len());
        let part = SnapshotPart {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            total: snapshot.image.len() as u64,
            offset: from as u64,
            data: snapshot.image.slice(from..until),
            sent_at_ms: now.0,
        };
        self.send(to, Body::SnapshotPart(part));
    }

    pub(super) fn append_answer(&mut self, from: u64, answer: &AppendAnswer, now: Ms) {
        let Some(mut peer) = self.peer(from).copied() else {
            return;
        };
        if Ms(answer.sent_at_ms) < peer.process_since {
            return;
        }
        peer.echoed_at = peer.echoed_at.max(Ms(answer.sent_at_ms));
        if answer.accepted {
            peer.accepted(answer.index);
            if peer.snapshot.is_some_and(|(index, ..)| peer.matched >= index) {
                peer.snapshot = None;
            }
        } else {
            peer.refused(answer.index);
        }
        self.set_peer(peer);
        self.note_stated(from, self.hard.term, (answer.last_term, answer.last_index));
        self.advance_commit(now);
        self.replicate_to(from, now);
    }

    pub(super) fn snapshot_answer(&mut self, from: u64, answer: &SnapshotAnswer, now: Ms) {
        let Some(mut peer) = self.peer(from).copied() else {
            return;
        };
        peer.echoed_at = peer.echoed_at.max(Ms(answer.sent_at_ms));
        let sending = peer.snapshot.is_some_and(|(index, ..)| index == answer.index);
        if sending {
            peer.snapshot = Some((answer.index, answer.offset, Ms::ZERO));
        }
        self.set_peer(peer);
        if sending {
            self.replicate_to(from, now);
        }
    }

    /// Commits what a quorum has synced, counting entries of the present term only.
    pub(super) fn advance_commit(&mut self, now: Ms) {
        let Some(index) = self.quorum_value(|core, id| match core.peer(id) {
            Some(peer) => peer.matched,
            None if id == core.hard.id => core.synced_index,
            None => 0,
        }) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        for id in self.peer_ids() {
            let idle = self
                .peer(id)
                .is_some_and(|p| p.awaiting.is_none() && p.snapshot.is_none());
            if let (true, Some(next)) = (idle, self.peer(id).map(|p| p.next)) {
                self.send_append(id, next - 1, Vec::new(), now);
            }
        }
        if !self.membership().is_voter(self.hard.id) && self.membership_index() <= self.commit {
            self.follow(self.hard.term, None, now);
        }
    }

    /// Returns when the leader's lease ends: no other member can be elected before. `None`: there is none.
    pub fn lease_ends_at(&self, now: Ms) -> Option<Ms> {
        let timing = self.cfg.timing;
        let heard = self.quorum_heard_at(now)?;
        (heard > Ms::ZERO).then(|| heard + timing.election - timing.drift)
    }

    /// Tells if this member leads and no other one can lead at `now`.
    pub fn holds_lease(&self, now: Ms) -> bool {
        self.lease_ends_at(now).is_some_and(|end| now < end)
    }

    pub(super) fn check_quorum(&mut self, now: Ms) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let elected_at = leadership.elected_at;
        let heard = self.quorum_heard_at(now).unwrap_or_default().max(elected_at);
        if now >= heard + Ms(self.cfg.timing.election.0 * CHECK_QUORUM_ELECTIONS) {
            self.step_down(now);
        }
    }

    /// A leader whose disk syncs nothing any more gives way to one whose disk does. It is not elected again before
    /// its own vote is synced.
    pub(super) fn check_disk(&mut self, now: Ms) {
        if self.written >= self.last_write {
            self.stalled_since = None;
            return;
        }
        let since = *self.stalled_since.get_or_insert(now);
        if now >= since + Ms(self.cfg.timing.election.0 * DISK_STALL_ELECTIONS) {
            self.step_down(now);
        }
    }

    fn step_down(&mut self, now: Ms) {
        self.follow(self.hard.term, None, now);
        self.leader = None;
        self.stalled_since = None;
        self.wait_for_election(now);
    }

    fn quorum_heard_at(&self, now: Ms) -> Option<Ms> {
        let heard = |core: &Self, id: u64| match core.peer(id) {
            Some(peer) => peer.echoed_at.0,
            None if id == core.hard.id => now.0,
            None => 0,
        };
        self.quorum_value(heard).map(Ms)
    }

    /// Returns the highest value that a quorum of voters has reached.
    fn quorum_value(&self, value: impl Fn(&Self, u64) -> u64) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let mut values: Vec<u64> = self.membership().voters().map(|m| value(self, m.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.membership().quorum() - 1).copied()
    }

    /// Returns at the leader how many entries another member lacks and when it was heard.
    pub fn peer_state(&self, id: u64) -> Option<(u64, Ms)> {
        let peer = self.peer(id)?;
        let lag = self.log.last_index().saturating_sub(peer.matched);
        Some((lag, peer.echoed_at))
    }

    /// Returns at the leader for how long a member was not heard, counted from when the leader met it. Zero: it is
    /// no other member, or this one does not lead.
    pub fn peer_silence(&self, id: u64, now: Ms) -> Ms {
        let peer = self.peer(id);
        peer.map_or(Ms::ZERO, |peer| now - peer.echoed_at.max(peer.met_at))
    }

    pub(super) fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) | Role::Stopped => None,
        }
    }

    pub(super) fn peer(&self, id: u64) -> Option<&Progress> {
        let peers = &self.leadership()?.peers;
        peers.binary_search_by_key(&id, |p| p.id).ok().map(|i| &peers[i])
    }

    pub(super) fn set_peer(&mut self, peer: Progress) {
        if let Role::Leader(leadership) = &mut self.role {
            if let Ok(i) = leadership.peers.binary_search_by_key(&peer.id, |p| p.id) {
                leadership.peers[i] = peer;
            }
        }
    }

    fn peer_ids(&self) -> Vec<u64> {
        self.leadership()
            .map(|l| l.peers.iter().map(|p| p.id).collect())
            .unwrap_or_default()
    }
}
