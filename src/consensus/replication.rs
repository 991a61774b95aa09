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

/// Size limit for the entries in one message.
const APPEND_MAX_BYTES: usize = 256 * 1024;
/// Size of one part of a snapshot.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;
/// A leader that has had no contact with a quorum for this many minimum election timeouts steps down.
const CHECK_QUORUM_ELECTIONS: u64 = 2;
/// A leader whose pending writes have not been synced for this many minimum election timeouts steps down. The
/// limit is far above the sync time of a slow disk, which is about 15 ms.
const DISK_STALL_ELECTIONS: u64 = 5;

impl Core {
    /// Sends each member the entries that it lacks, unless an earlier message to it is still unanswered.
    pub(super) fn replicate(&mut self, now: Ms) {
        for id in self.peer_ids() {
            self.replicate_to(id, now);
        }
    }

    fn replicate_to(&mut self, id: u64, now: Ms) {
        let timeout = self.cfg.timing.election_timeout;
        let Some(mut peer) = self.peer(id).copied() else {
            return;
        };
        let in_flight_since = peer.in_flight.map(|(_, since)| since);
        let in_flight_since = in_flight_since.or(peer.snapshot.map(|(_, _, since)| since));
        if in_flight_since.is_some_and(|since| !Progress::is_overdue(since, now, timeout)) {
            return;
        }
        if peer.next <= self.log.head().index {
            return self.send_snapshot_part(id, now);
        }
        if peer.in_flight.take().is_some() {
            peer.next = peer.matched.max(self.log.head().index) + 1;
        }
        peer.snapshot = None;
        let entries = self.log.slice(peer.next, APPEND_MAX_BYTES).to_vec();
        let Some(last) = entries.last().map(|e| e.index) else {
            return self.set_peer(peer);
        };
        let prev = peer.next - 1;
        peer.in_flight = Some((last, now));
        peer.next = last + 1;
        self.set_peer(peer);
        self.send_append(id, prev, entries, now);
    }

    /// Sends a heartbeat to each member and repeats messages that may have been lost.
    pub(super) fn send_heartbeats(&mut self, now: Ms) {
        for id in self.peer_ids() {
            let Some(peer) = self.peer(id).copied() else {
                continue;
            };
            let prev = if peer.in_flight.is_some() {
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
        let resumed = peer.snapshot.filter(|(index, ..)| *index == snapshot.index);
        let offset = resumed.map_or(0, |(_, offset, _)| offset);
        peer.snapshot = Some((snapshot.index, offset, now));
        peer.in_flight = None;
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

    pub(super) fn handle_append_answer(&mut self, from: u64, answer: &AppendAnswer, now: Ms) {
        let Some(mut peer) = self.peer(from).copied() else {
            return;
        };
        if Ms(answer.sent_at_ms) < peer.process_since {
            return;
        }
        peer.last_contact = peer.last_contact.max(Ms(answer.sent_at_ms));
        if answer.accepted {
            peer.record_accepted(answer.index);
            if peer.snapshot.is_some_and(|(index, ..)| peer.matched >= index) {
                peer.snapshot = None;
            }
        } else {
            peer.record_refused(answer.index);
        }
        self.set_peer(peer);
        self.record_reported(from, self.hard.term, (answer.last_term, answer.last_index));
        self.advance_commit(now);
        self.replicate_to(from, now);
    }

    pub(super) fn handle_snapshot_answer(&mut self, from: u64, answer: &SnapshotAnswer, now: Ms) {
        let Some(mut peer) = self.peer(from).copied() else {
            return;
        };
        peer.last_contact = peer.last_contact.max(Ms(answer.sent_at_ms));
        let is_current = peer.snapshot.is_some_and(|(index, ..)| index == answer.index);
        if is_current {
            peer.snapshot = Some((answer.index, answer.offset, Ms::ZERO));
        }
        self.set_peer(peer);
        if is_current {
            self.replicate_to(from, now);
        }
    }

    /// Commits what a quorum has synced. Only entries of the current term are counted; they commit all earlier ones.
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
            let is_idle = self
                .peer(id)
                .is_some_and(|p| p.in_flight.is_none() && p.snapshot.is_none());
            if let (true, Some(next)) = (is_idle, self.peer(id).map(|p| p.next)) {
                self.send_append(id, next - 1, Vec::new(), now);
            }
        }
        if !self.membership().is_voter(self.hard.id) && self.membership_index() <= self.commit {
            self.become_follower(self.hard.term, None, now);
        }
    }

    /// Returns when the leader's lease ends, or `None` if there is none. No other member can be elected before.
    pub fn lease_ends_at(&self, now: Ms) -> Option<Ms> {
        let timing = self.cfg.timing;
        let last_contact_at = self.quorum_last_contact(now)?;
        (last_contact_at > Ms::ZERO).then(|| last_contact_at + timing.election_timeout - timing.drift)
    }

    /// Returns whether this member leads and no other one can lead at `now`.
    pub fn holds_lease(&self, now: Ms) -> bool {
        self.lease_ends_at(now).is_some_and(|end| now < end)
    }

    /// Steps down if the leader has had no contact with a quorum for too long.
    pub(super) fn check_quorum(&mut self, now: Ms) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let elected_at = leadership.elected_at;
        let last_contact_at = self.quorum_last_contact(now).unwrap_or_default().max(elected_at);
        if now >= last_contact_at + Ms(self.cfg.timing.election_timeout.0 * CHECK_QUORUM_ELECTIONS) {
            self.step_down(now);
        }
    }

    /// Steps down if the disk no longer syncs, so that a member with a working disk can lead. This member cannot be
    /// elected again before its own vote is synced.
    pub(super) fn check_disk(&mut self, now: Ms) {
        if self.synced_write >= self.last_write {
            self.stalled_since = None;
            return;
        }
        let since = *self.stalled_since.get_or_insert(now);
        if now >= since + Ms(self.cfg.timing.election_timeout.0 * DISK_STALL_ELECTIONS) {
            self.step_down(now);
        }
    }

    fn step_down(&mut self, now: Ms) {
        self.become_follower(self.hard.term, None, now);
        self.leader = None;
        self.stalled_since = None;
        self.reset_election_timer(now);
    }

    fn quorum_last_contact(&self, now: Ms) -> Option<Ms> {
        let last_contact_at = |core: &Self, id: u64| match core.peer(id) {
            Some(peer) => peer.last_contact.0,
            None if id == core.hard.id => now.0,
            None => 0,
        };
        self.quorum_value(last_contact_at).map(Ms)
    }

    /// Returns the highest value that a quorum of voters has reached, or `None` if this member does not lead.
    fn quorum_value(&self, value: impl Fn(&Self, u64) -> u64) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let mut values: Vec<u64> = self.membership().voters().map(|m| value(self, m.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.membership().quorum() - 1).copied()
    }

    /// Returns how many entries another member lacks and the time of the last contact with it, or `None` if `id` is
    /// no other member or this one does not lead.
    pub fn peer_state(&self, id: u64) -> Option<(u64, Ms)> {
        let peer = self.peer(id)?;
        let lag = self.log.last_index().saturating_sub(peer.matched);
        Some((lag, peer.last_contact))
    }

    /// Returns the time since the last contact with another member, counted at most from when the leader began to
    /// track it. Returns zero if `id` is no other member or this one does not lead.
    pub fn peer_silence(&self, id: u64, now: Ms) -> Ms {
        let peer = self.peer(id);
        peer.map_or(Ms::ZERO, |peer| now - peer.last_contact.max(peer.tracked_since))
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
