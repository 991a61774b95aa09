use {
    super::{core::Role, Apply, Core, CoreEvent, Write},
    crate::{
        clock::Ms,
        wire::consensus::{entry, envelope::Body, Entry, Envelope, Snapshot},
    },
    std::sync::Arc,
};

impl Core {
    /// Reports that all writes up to `number` are synced, and releases the messages that waited for them.
    pub fn writes_synced(&mut self, number: u64, now: Ms) {
        if self.is_stopped() {
            return;
        }
        self.synced_write = self.synced_write.max(number);
        self.stalled_since = None;
        while let Some((write, end)) = self.log_writes.front().copied() {
            if write > self.synced_write {
                break;
            }
            self.synced_index = end;
            self.log_writes.pop_front();
        }
        while self
            .pending_messages
            .front()
            .is_some_and(|(write, _)| *write <= self.synced_write)
        {
            if let Some((_, envelope)) = self.pending_messages.pop_front() {
                self.outputs.messages.push(envelope);
            }
        }
        if matches!(self.role, Role::Candidate(_)) {
            self.count_own_vote(now);
        }
        self.advance_commit(now);
    }

    /// Replaces the log and the applied state by a snapshot from the leader.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.log.install(snapshot.clone());
        self.write_log(Write::Snapshot {
            snapshot: snapshot.clone(),
            head: self.log.head(),
            entries: Vec::new(),
        });
        self.commit = self.commit.max(snapshot.index);
        self.delivered_index = snapshot.index;
        self.outputs.applies.push(Apply::Snapshot(snapshot));
    }

    /// Appends entries that this member proposes itself.
    pub(super) fn append_own(&mut self, entries: Vec<Entry>) {
        let membership_entry = entries
            .iter()
            .find(|e| matches!(e.body, Some(entry::Body::Membership(_))));
        if let Some(index) = membership_entry.map(|e| e.index) {
            self.outputs.events.push(CoreEvent::MembersChanged { index });
        }
        self.log.append(entries.clone());
        self.write_log(Write::Append(entries));
    }

    pub(super) fn write_hard(&mut self) {
        self.last_write += 1;
        self.last_hard_write = self.last_write;
        self.outputs
            .writes
            .push((self.last_write, Write::Hard(self.hard.clone())));
    }

    /// Issues a write of the log. Entries that it replaces no longer count as synced.
    pub(super) fn write_log(&mut self, write: Write) {
        let end = self.log.last_index();
        let first_changed = match &write {
            Write::Append(entries) => entries.first().map_or(u64::MAX, |e| e.index),
            Write::Snapshot { .. } | Write::Hard(_) => u64::MAX,
        };
        let still_synced = first_changed.saturating_sub(1).min(end);
        self.synced_index = self.synced_index.min(still_synced);
        for (_, synced) in &mut self.log_writes {
            *synced = (*synced).min(still_synced);
        }
        self.last_write += 1;
        self.log_writes.push_back((self.last_write, end));
        self.outputs.writes.push((self.last_write, write));
    }

    /// Sends a message once the hard state is synced.
    pub(super) fn send(&mut self, to: u64, body: Body) {
        self.send_after(self.last_hard_write, to, body);
    }

    /// Sends a message once all writes issued so far are synced.
    pub(super) fn send_synced(&mut self, to: u64, body: Body) {
        self.send_after(self.last_write, to, body);
    }

    fn send_after(&mut self, write: u64, to: u64, body: Body) {
        let envelope = Envelope {
            cell: self.hard.cell,
            from: self.hard.id,
            to,
            term: self.hard.term,
            from_address: self.cfg.address.clone(),
            body: Some(body),
        };
        if write <= self.synced_write {
            self.outputs.messages.push(envelope);
        } else {
            let at = self
                .pending_messages
                .partition_point(|(other, _)| *other <= write);
            self.pending_messages.insert(at, (write, envelope));
        }
    }

    pub(super) fn is_hard_synced(&self) -> bool {
        self.synced_write >= self.last_hard_write
    }
}
