use {
    super::{core::IncomingSnapshot, Core, CoreEvent, Write},
    crate::{
        clock::Ms,
        wire::consensus::{
            entry, envelope::Body, Append, AppendAnswer, Snapshot, SnapshotAnswer, SnapshotPart,
        },
    },
    std::sync::Arc,
};

/// Size limit for a snapshot from the leader. Parts of a larger one are ignored.
const SNAPSHOT_MAX_BYTES: u64 = 1024 * 1024 * 1024;

impl Core {
    /// Handles entries or a heartbeat from a leader. The answer is sent once the entries are synced.
    pub(super) fn handle_append(&mut self, from: u64, term: u64, append: Append, now: Ms) {
        if !self.accept_leader(from, term, now) {
            return self.refuse_append(from, &append, 0);
        }
        self.record_reported(from, term, (append.last_term, append.last_index));
        if let Some(hint) = self.find_mismatch(&append) {
            return self.refuse_append(from, &append, hint);
        }
        let matched = append.prev_index + append.entries.len() as u64;
        let (commit, sent_at_ms) = (append.commit, append.sent_at_ms);
        if !self.append_new_entries(append) {
            return;
        }
        self.commit = self.commit.max(commit.min(matched));
        let answer = self.append_answer_body(true, matched, sent_at_ms);
        if matched <= self.synced_index {
            self.send(from, answer);
        } else {
            self.send_synced(from, answer);
        }
    }

    /// Follows the sender as the leader of its term. Returns `false` if its term is over or this member leads.
    fn accept_leader(&mut self, from: u64, term: u64, now: Ms) -> bool {
        if term < self.hard.term || self.is_leader() {
            return false;
        }
        self.become_follower(term, Some(from), now);
        self.reset_election_timer(now);
        self.refuse_votes_until = now + self.cfg.timing.election_timeout;
        if !self.confirmed_by.contains(&from) {
            self.send_returned(from);
        }
        true
    }

    /// Returns the index from which the leader must try again if its entries do not continue this log.
    fn find_mismatch(&self, append: &Append) -> Option<u64> {
        let prev = append.prev_index;
        if prev > self.log.last_index() {
            return Some(self.log.last_index());
        }
        match self.log.term_at(prev) {
            Some(term) if term == append.prev_term => None,
            Some(_) => Some(self.log.last_index_before_term_of(prev)),
            // All entries before the head are committed, so they match.
            None => None,
        }
    }

    fn refuse_append(&mut self, to: u64, append: &Append, hint: u64) {
        let answer = self.append_answer_body(false, hint, append.sent_at_ms);
        self.send(to, answer);
    }

    /// Appends the entries that this log lacks. Returns `false` if they contradict a committed entry, which stops
    /// the member.
    fn append_new_entries(&mut self, append: Append) -> bool {
        let head = self.log.head().index;
        let known_count = append
            .entries
            .iter()
            .take_while(|e| e.index <= head || self.log.term_at(e.index) == Some(e.term))
            .count();
        let new: Vec<_> = append.entries.into_iter().skip(known_count).collect();
        let Some(first) = new.first().map(|e| e.index) else {
            return true;
        };
        if first <= self.commit {
            self.push_event(CoreEvent::CommittedEntryContradicted { index: first });
            self.stop();
            return false;
        }
        let membership_entry = new
            .iter()
            .find(|e| matches!(e.body, Some(entry::Body::Membership(_))));
        if let Some(index) = membership_entry.map(|e| e.index) {
            self.push_event(CoreEvent::MembersChanged { index });
        }
        self.log.append(new.clone());
        self.write_log(Write::Append(new));
        true
    }

    /// Collects the parts of a snapshot from a leader and installs it once it is complete.
    pub(super) fn handle_snapshot_part(&mut self, from: u64, term: u64, part: SnapshotPart, now: Ms) {
        if !self.accept_leader(from, term, now) {
            let answer = SnapshotAnswer {
                index: part.index,
                offset: 0,
                sent_at_ms: part.sent_at_ms,
            };
            return self.send(from, Body::SnapshotAnswer(answer));
        }
        if part.index <= self.commit {
            return self.send_accepted(from, part.index.min(self.synced_index), part.sent_at_ms);
        }
        if part.total > SNAPSHOT_MAX_BYTES {
            return;
        }
        let is_same = |i: &IncomingSnapshot| (i.index, i.term) == (part.index, part.term);
        let mut incoming = self.incoming.take().filter(is_same).unwrap_or(IncomingSnapshot {
            index: part.index,
            term: part.term,
            buf: Vec::new(),
        });
        if part.offset == incoming.buf.len() as u64 {
            incoming.buf.extend_from_slice(&part.data);
        }
        if incoming.buf.len() as u64 >= part.total {
            self.install(Arc::new(Snapshot {
                index: part.index,
                term: part.term,
                membership: part.membership,
                image: incoming.buf.into(),
            }));
            self.push_event(CoreEvent::MembersChanged { index: part.index });
            return self.send_accepted(from, part.index, part.sent_at_ms);
        }
        let answer = SnapshotAnswer {
            index: part.index,
            offset: incoming.buf.len() as u64,
            sent_at_ms: part.sent_at_ms,
        };
        self.incoming = Some(incoming);
        self.send(from, Body::SnapshotAnswer(answer));
    }

    /// Confirms everything up to `index`, once it is synced.
    fn send_accepted(&mut self, to: u64, index: u64, sent_at_ms: u64) {
        let answer = self.append_answer_body(true, index, sent_at_ms);
        self.send_synced(to, answer);
    }

    /// Returns an answer that reports the synced end of this log.
    fn append_answer_body(&self, accepted: bool, index: u64, sent_at_ms: u64) -> Body {
        Body::AppendAnswer(AppendAnswer {
            accepted,
            index,
            sent_at_ms,
            last_term: self.log.term_at(self.synced_index).unwrap_or_default(),
            last_index: self.synced_index,
        })
    }
}
