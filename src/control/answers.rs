use {
    super::CommandId,
    crate::{
        clock::Ms,
        wire::control::{AnsweredCommand, CommandAnswer},
    },
};

/// How long the answer to an operator's command is kept for resends.
const ANSWER_RETENTION: Ms = Ms(24 * 3_600_000);
/// Limit on the answers that are kept.
const ANSWERS_MAX: usize = 20_000;
/// Number of answers that are evicted together once there are more than [`ANSWERS_MAX`].
const EVICTED_AT_ONCE: usize = 1000;

/// Whether a command has been decided, as far as the recorded answers show.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CommandStatus {
    /// The command was decided and got this answer.
    Answered(CommandAnswer),
    /// The command may have been decided and its answer evicted since.
    TooOld,
    /// The command was not decided, and its answer could not be recorded.
    TableFull,
    /// The command was not decided.
    New,
}

/// Bounds of the evicted answers. The answer to a command at or above both bounds was never evicted; an id without
/// a time counts as above the bound on the time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Horizon {
    /// Bound on the time in the command id, in ms since the Unix epoch.
    pub made_at: Ms,
    /// Bound on the log index of the base revision.
    pub base: u64,
}

/// The answers to operators' commands, which make resends idempotent.
///
/// Only answers to commands whose base is not the revision in force are evicted. A resend of such a command with
/// the same base is never accepted, and a resend with a newer base is recognized by the time in its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Answers {
    /// Sorted by id.
    records: Vec<AnsweredCommand>,
    horizon: Horizon,
}

impl Answers {
    /// Returns the answers with the records and the horizon of a snapshot.
    pub fn from_records(mut records: Vec<AnsweredCommand>, horizon: Horizon) -> Self {
        records.sort_by(|a, b| a.command_id.cmp(&b.command_id));
        Self { records, horizon }
    }

    /// Returns all records, sorted by command id.
    pub fn records(&self) -> &[AnsweredCommand] {
        &self.records
    }

    /// Returns the bounds of the evicted answers.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Returns whether the command `id` with the base at log index `base` has been decided. `in_force` is the log
    /// index of the configuration in force.
    pub fn look_up(&self, id: &CommandId, base: u64, in_force: u64) -> CommandStatus {
        if let Ok(i) = self.position(id.as_str()) {
            return CommandStatus::Answered(self.records[i].answer.clone().unwrap_or_default());
        }
        let is_older = id.issued_at().is_some_and(|at| at < self.horizon.made_at);
        if is_older || base < self.horizon.base {
            return CommandStatus::TooOld;
        }
        if self.records.len() >= ANSWERS_MAX && self.records.iter().all(|r| r.base >= in_force) {
            return CommandStatus::TableFull;
        }
        CommandStatus::New
    }

    /// Records an answer, and evicts answers that are past their retention or over the limit. `in_force` is the log
    /// index of the configuration in force.
    pub fn record(&mut self, record: AnsweredCommand, in_force: u64) {
        let now = Ms(record.at_ms);
        if let Err(i) = self.position(&record.command_id) {
            self.records.insert(i, record);
        }
        let eviction_cutoff = self.eviction_cutoff(now, in_force);
        if eviction_cutoff == Ms::ZERO {
            return;
        }
        let horizon = &mut self.horizon;
        self.records.retain(|r| {
            let is_kept = r.base >= in_force || Ms(r.at_ms) >= eviction_cutoff;
            if !is_kept {
                horizon.base = horizon.base.max(r.base + 1);
                horizon.made_at = horizon.made_at.max(made_at_bound(r));
            }
            is_kept
        });
    }

    /// Returns the cutoff of an eviction: the answers that were recorded before it, and whose base is older than
    /// `in_force`, are evicted. Zero means that none is evicted.
    fn eviction_cutoff(&self, now: Ms, in_force: u64) -> Ms {
        let evictable = self.records.iter().filter(|r| r.base < in_force);
        let times = evictable.map(|r| Ms(r.at_ms));
        if self.records.len() > ANSWERS_MAX {
            let mut times: Vec<Ms> = times.collect();
            times.sort_unstable();
            let last = times.len().min(EVICTED_AT_ONCE).checked_sub(1);
            return last.map_or(Ms::ZERO, |i| times[i] + Ms(1));
        }
        let oldest_kept = now - ANSWER_RETENTION;
        if times.min().is_some_and(|oldest| oldest < oldest_kept) {
            oldest_kept
        } else {
            Ms::ZERO
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.command_id.as_str().cmp(id))
    }
}

/// Returns the bound on the time in command ids that covers this record, or zero if its id has no time. The time is
/// capped at the time of the decision, since the clock that made the id may be ahead.
fn made_at_bound(record: &AnsweredCommand) -> Ms {
    let id: Option<CommandId> = record.command_id.parse().ok();
    let made_at = id.and_then(|id| id.issued_at());
    made_at.map_or(Ms::ZERO, |at| at.min(Ms(record.at_ms)) + Ms(1))
}
