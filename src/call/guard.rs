use {
    super::{CallResult, Fingerprint, Reason},
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
    },
};

/// Parts that the entries are spread over, so that an insertion moves little.
const SHARDS: usize = 256;

/// Which call a guard entry is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GuardId {
    /// Key that the guard lives with.
    pub key: Key,
    /// The caller's id of the request.
    pub request_id: String,
}

/// What is known about a guarded call.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardPhase {
    /// It was let through and has not ended.
    Running,
    /// It has ended with this result, which is given to every resend.
    Finished(CallResult),
}

/// One guarded call.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardEntry {
    /// Which call.
    pub id: GuardId,
    /// Digest of the request, by which another request under the same id is told apart.
    pub digest: Fingerprint,
    /// What is known.
    pub phase: GuardPhase,
    /// Number of the change that made this entry; it only grows within a tenure.
    pub sequence: u64,
    /// Until when the recorded answer is kept.
    pub kept_until: Ms,
}

/// Limits of a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardLimits {
    /// Most entries. A call beyond them is not run.
    pub entries: usize,
    /// Most bytes of recorded answers. The oldest beyond them are dropped, but not their ids.
    pub answer_bytes: usize,
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self {
            entries: 200_000,
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// What becomes of a guarded call.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardDecision {
    /// It runs, after this entry was copied.
    Run(GuardEntry),
    /// A call of the same id runs; its answer is waited for.
    Wait,
    /// A call of the same id has ended with this result.
    Replay(CallResult),
    /// It does not run.
    Refuse(Reason),
}

/// Memory of the non-idempotent calls of one span, which keeps each of them from running twice.
#[derive(Clone, Debug)]
pub struct Guard {
    limits: GuardLimits,
    shards: Vec<Vec<GuardEntry>>,
    count: usize,
    answer_bytes: usize,
    sequence: u64,
    /// Until when ids that are not known may have run before.
    gap_until: Ms,
}

impl Guard {
    /// Returns an empty guard.
    pub fn new(limits: GuardLimits) -> Self {
        Self {
            limits,
            shards: vec![Vec::new(); SHARDS],
            count: 0,
            answer_bytes: 0,
            sequence: 0,
            gap_until: Ms::ZERO,
        }
    }

    /// Notes that entries were lost: until `until`, an id that is not known may have run.
    pub fn record_gap(&mut self, until: Ms) {
        self.gap_until = self.gap_until.max(until);
    }

    /// Returns until when ids that are not known may have run.
    pub fn gap_until(&self) -> Ms {
        self.gap_until
    }

    /// Decides on a call whose id is known. Such a call is never run, so this needs no right to run calls.
    pub fn decide_known(&self, id: &GuardId, digest: Fingerprint) -> Option<GuardDecision> {
        let known = self.entry(id)?;
        Some(match &known.phase {
            _ if known.digest != digest => GuardDecision::Refuse(Reason::RequestIdReused),
            GuardPhase::Running => GuardDecision::Wait,
            GuardPhase::Finished(result) => GuardDecision::Replay(result.clone()),
        })
    }

    /// Decides what becomes of a call.
    pub fn begin(&mut self, id: &GuardId, digest: Fingerprint, kept_until: Ms, now: Ms) -> GuardDecision {
        if let Some(verdict) = self.decide_known(id, digest) {
            return verdict;
        }
        if now < self.gap_until {
            return GuardDecision::Refuse(Reason::GuardLost);
        }
        if self.count >= self.limits.entries {
            return GuardDecision::Refuse(Reason::Overloaded);
        }
        self.sequence += 1;
        let entry = GuardEntry {
            id: id.clone(),
            digest,
            phase: GuardPhase::Running,
            sequence: self.sequence,
            kept_until,
        };
        self.put(entry.clone());
        GuardDecision::Run(entry)
    }

    /// Records how a call has ended and returns its entry for the copy.
    pub fn finish(&mut self, id: &GuardId, result: &CallResult) -> Option<GuardEntry> {
        let mut entry = self.entry(id)?.clone();
        if entry.phase != GuardPhase::Running {
            return None;
        }
        self.sequence += 1;
        entry.sequence = self.sequence;
        entry.phase = GuardPhase::Finished(result.clone());
        self.put(entry.clone());
        self.drop_answers();
        Some(entry)
    }

    /// Forgets a call that was certainly not run, so that a resend may run it. Returns the sequence of the
    /// removal for the copy.
    pub fn forget(&mut self, id: &GuardId) -> u64 {
        self.sequence += 1;
        self.remove(id);
        self.sequence
    }

    /// Takes over an entry of the guard before. Nobody can tell any more how a running call ends.
    pub fn adopt(&mut self, mut entry: GuardEntry) {
        if entry.phase == GuardPhase::Running {
            entry.phase = GuardPhase::Finished(CallResult::failed(Reason::PeerLost));
        }
        self.sequence = self.sequence.max(entry.sequence);
        self.put(entry);
    }

    /// Puts the copy of an entry in place, unless a newer one is known.
    pub fn apply_copy(&mut self, entry: GuardEntry) {
        let newer = self
            .entry(&entry.id)
            .is_some_and(|known| known.sequence > entry.sequence);
        if !newer {
            self.sequence = self.sequence.max(entry.sequence);
            self.put(entry);
        }
    }

    /// Removes the copy of an entry that was removed at `sequence`, unless a newer one is known.
    pub fn apply_removal(&mut self, id: &GuardId, sequence: u64) {
        if self.entry(id).is_some_and(|known| known.sequence <= sequence) {
            self.remove(id);
        }
    }

    /// Returns the entry of a call.
    pub fn entry(&self, id: &GuardId) -> Option<&GuardEntry> {
        let shard = &self.shards[shard_of(id)];
        let found = shard.binary_search_by(|entry| entry.id.cmp(id));
        found.ok().map(|i| &shard[i])
    }

    /// Returns all entries with a key of `span`.
    pub fn entries_of(&self, span: &KeyRange) -> Vec<GuardEntry> {
        let all = self.shards.iter().flatten();
        all.filter(|entry| span.contains(&entry.id.key))
            .cloned()
            .collect()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the finished calls of one part of the entries whose time is over.
    pub fn expire(&mut self, part: usize, now: Ms) {
        let shard = &mut self.shards[part % SHARDS];
        let before = shard.len();
        let mut freed = 0;
        shard.retain(|entry| {
            let kept = entry.phase == GuardPhase::Running || now < entry.kept_until;
            if !kept {
                freed += answer_bytes(entry);
            }
            kept
        });
        self.count -= before - shard.len();
        self.answer_bytes -= freed;
    }

    fn put(&mut self, entry: GuardEntry) {
        let shard = &mut self.shards[shard_of(&entry.id)];
        self.answer_bytes += answer_bytes(&entry);
        match shard.binary_search_by(|other| other.id.cmp(&entry.id)) {
            Ok(i) => {
                self.answer_bytes -= answer_bytes(&shard[i]);
                shard[i] = entry;
            }
            Err(i) => {
                shard.insert(i, entry);
                self.count += 1;
            }
        }
    }

    fn remove(&mut self, id: &GuardId) {
        let shard = &mut self.shards[shard_of(id)];
        if let Ok(i) = shard.binary_search_by(|entry| entry.id.cmp(id)) {
            self.answer_bytes -= answer_bytes(&shard.remove(i));
            self.count -= 1;
        }
    }

    /// Drops the oldest recorded answers beyond the limit. Their ids stay.
    fn drop_answers(&mut self) {
        if self.answer_bytes <= self.limits.answer_bytes {
            return;
        }
        let mut by_age: Vec<&mut GuardEntry> = self
            .shards
            .iter_mut()
            .flatten()
            .filter(|entry| answer_bytes(entry) > 0)
            .collect();
        by_age.sort_by_key(|entry| entry.sequence);
        // More is dropped than is needed, so that this is rarely done.
        let target = self.limits.answer_bytes / 10 * 9;
        for entry in by_age {
            if self.answer_bytes <= target {
                break;
            }
            self.answer_bytes -= answer_bytes(entry);
            entry.phase = GuardPhase::Finished(CallResult::failed(Reason::AnswerNotKept));
        }
    }
}

/// Returns the bytes of a recorded answer.
fn answer_bytes(entry: &GuardEntry) -> usize {
    match &entry.phase {
        GuardPhase::Running => 0,
        GuardPhase::Finished(result) => {
            let headers = result.headers.iter().map(|h| h.name.len() + h.value.len());
            result.body.len() + headers.sum::<usize>()
        }
    }
}

fn shard_of(id: &GuardId) -> usize {
    let bytes = id.request_id.bytes().chain(id.key.as_bytes().iter().copied());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 32) as usize % SHARDS
}
