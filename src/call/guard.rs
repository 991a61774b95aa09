use {
    super::{CallResult, Fingerprint, Reason},
    crate::{
        clock::Ms,
        key::{Key, KeyRange},
    },
};

/// Number of sorted lists that the entries are spread over, so that an insertion moves few of them.
const SHARDS: usize = 256;

/// Identifies the call of a guard entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GuardId {
    /// Key whose owner keeps the guard entry.
    pub key: Key,
    /// Request id that the caller gave.
    pub request_id: String,
}

/// State of a guarded call.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardPhase {
    /// The call was admitted and has not ended.
    Running,
    /// The call has ended with this result, which every resend gets too.
    Finished(CallResult),
}

/// One guarded call.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardEntry {
    /// Key and request id of the call.
    pub id: GuardId,
    /// Digest of the request, by which a different request with the same id is detected.
    pub digest: Fingerprint,
    /// State of the call.
    pub phase: GuardPhase,
    /// Sequence number of the change that made this entry. It increases with each change within a tenure.
    pub sequence: u64,
    /// Until when the recorded answer is kept.
    pub kept_until: Ms,
}

/// Memory limits of a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardLimits {
    /// Maximum number of entries. Further calls are refused.
    pub entries: usize,
    /// Maximum bytes of recorded answers. Beyond it the oldest answers are dropped, but their ids stay.
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

/// What is done with a guarded call.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardDecision {
    /// The call is run after this entry has been copied.
    Run(GuardEntry),
    /// A call with the same id is running. Its result is awaited.
    Wait,
    /// A call with the same id has ended with this result.
    Replay(CallResult),
    /// The call is not run, for this reason.
    Refuse(Reason),
}

/// Record of the non-idempotent calls of one span. It keeps each of them from running twice.
#[derive(Clone, Debug)]
pub struct Guard {
    limits: GuardLimits,
    shards: Vec<Vec<GuardEntry>>,
    count: usize,
    answer_bytes: usize,
    sequence: u64,
    /// Until when a call with an unknown id may have run before, since entries were lost.
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

    /// Records that entries were lost. Until `until`, a call with an unknown id may have run before.
    pub fn record_gap(&mut self, until: Ms) {
        self.gap_until = self.gap_until.max(until);
    }

    /// Returns until when a call with an unknown id may have run before.
    pub fn gap_until(&self) -> Ms {
        self.gap_until
    }

    /// Decides on a call whose id is known, and returns `None` for any other. A call with a known id is never run
    /// again, so this is allowed without a lease too.
    pub fn decide_known(&self, id: &GuardId, digest: Fingerprint) -> Option<GuardDecision> {
        let known = self.entry(id)?;
        Some(match &known.phase {
            _ if known.digest != digest => GuardDecision::Refuse(Reason::RequestIdReused),
            GuardPhase::Running => GuardDecision::Wait,
            GuardPhase::Finished(result) => GuardDecision::Replay(result.clone()),
        })
    }

    /// Decides on a call, and adds an entry if the call may run.
    pub fn begin(&mut self, id: &GuardId, digest: Fingerprint, kept_until: Ms, now: Ms) -> GuardDecision {
        if let Some(decision) = self.decide_known(id, digest) {
            return decision;
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

    /// Records the result of a running call and returns its entry for the copy.
    pub fn finish(&mut self, id: &GuardId, result: &CallResult) -> Option<GuardEntry> {
        let mut entry = self.entry(id)?.clone();
        if entry.phase != GuardPhase::Running {
            return None;
        }
        self.sequence += 1;
        entry.sequence = self.sequence;
        entry.phase = GuardPhase::Finished(result.clone());
        self.put(entry.clone());
        self.drop_oldest_answers();
        Some(entry)
    }

    /// Removes the entry of a call that was certainly not run, so that a resend may run it. Returns the sequence
    /// number of the removal for the copy.
    pub fn forget(&mut self, id: &GuardId) -> u64 {
        self.sequence += 1;
        self.remove(id);
        self.sequence
    }

    /// Adds an entry of the previous owner's guard. A running call gets the result `PeerLost`, since its end is no
    /// longer reported to anyone.
    pub fn adopt(&mut self, mut entry: GuardEntry) {
        if entry.phase == GuardPhase::Running {
            entry.phase = GuardPhase::Finished(CallResult::failed(Reason::PeerLost));
        }
        self.sequence = self.sequence.max(entry.sequence);
        self.put(entry);
        self.drop_oldest_answers();
    }

    /// Adds the copy of an entry, unless a newer one is known.
    pub fn apply_copy(&mut self, entry: GuardEntry) {
        let is_newer_known = self
            .entry(&entry.id)
            .is_some_and(|known| known.sequence > entry.sequence);
        if !is_newer_known {
            self.sequence = self.sequence.max(entry.sequence);
            self.put(entry);
            self.drop_oldest_answers();
        }
    }

    /// Removes the copy of an entry that the owner removed at `sequence`, unless a newer one is known.
    pub fn apply_removal(&mut self, id: &GuardId, sequence: u64) {
        if self.entry(id).is_some_and(|known| known.sequence <= sequence) {
            self.remove(id);
        }
    }

    /// Returns the entry of a call, or `None` if there is none.
    pub fn entry(&self, id: &GuardId) -> Option<&GuardEntry> {
        let shard = &self.shards[shard_of(id)];
        let found = shard.binary_search_by(|entry| entry.id.cmp(id));
        found.ok().map(|i| &shard[i])
    }

    /// Returns all entries whose keys are in `span`.
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

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Removes the finished calls of one shard whose answers need not be kept any longer. `shard_number` may exceed
    /// the number of shards and wraps around.
    pub fn expire(&mut self, shard_number: usize, now: Ms) {
        let shard = &mut self.shards[shard_number % SHARDS];
        let before = shard.len();
        let mut freed = 0;
        shard.retain(|entry| {
            let is_kept = entry.phase == GuardPhase::Running || now < entry.kept_until;
            if !is_kept {
                freed += answer_bytes(entry);
            }
            is_kept
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

    /// Drops the oldest recorded answers if the limit is exceeded. Their ids stay.
    fn drop_oldest_answers(&mut self) {
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
        // Dropping more than needed makes this expensive step rare.
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

/// Returns the size of a recorded answer in bytes.
fn answer_bytes(entry: &GuardEntry) -> usize {
    match &entry.phase {
        GuardPhase::Running => 0,
        GuardPhase::Finished(result) => {
            let headers = result.headers.iter().map(|h| h.name.len() + h.value.len());
            result.body.len() + headers.sum::<usize>()
        }
    }
}

/// Returns the shard of a call, by an FNV-1a hash of its id.
fn shard_of(id: &GuardId) -> usize {
    let bytes = id.request_id.bytes().chain(id.key.as_bytes().iter().copied());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 32) as usize % SHARDS
}
