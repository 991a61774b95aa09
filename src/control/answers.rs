use {
    super::CommandId,
    crate::{
        clock::Ms,
        wire::control::{AnsweredCommand, CommandAnswer},
    },
};

/// Time that the answer to an operator's command is kept for resends.
const RETENTION: Ms = Ms(24 * 3_600_000);
/// Most answers to operators' commands that are kept.
const ANSWERS_MAX: usize = 20_000;
/// Answers that are forgotten at once when there are too many.
const ANSWERS_FORGOTTEN: usize = 1000;

/// What is known about a command.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Known {
    /// The command was decided with this answer.
    Answered(CommandAnswer),
    /// The command may have been decided; its answer may have been forgotten.
    TooOld,
    /// The command was not decided, and there is no room for another answer.
    NoRoom,
    /// The command was never decided.
    New,
}

/// Above which commands no answer was ever forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Horizon {
    /// Time in the ids, in ms since the Unix epoch.
    pub made_at: Ms,
    /// Log index of the base.
    pub base: u64,
}

/// The answers to operators' commands, so that a resent command runs once.
///
/// Only answers to commands with another base than the revision in force are forgotten: a resend of such a
/// command with its own base can never be accepted, and one with a new base is found by the time in its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Answers {
    /// Sorted by id.
    records: Vec<AnsweredCommand>,
    horizon: Horizon,
}

impl Answers {
    /// Returns the answers of a snapshot.
    pub fn from_records(mut records: Vec<AnsweredCommand>, horizon: Horizon) -> Self {
        records.sort_by(|a, b| a.command_id.cmp(&b.command_id));
        Self { records, horizon }
    }

    /// Returns all records in the order of their ids.
    pub fn records(&self) -> &[AnsweredCommand] {
        &self.records
    }

    /// Returns above which commands no answer was ever forgotten.
    pub fn horizon(&self) -> Horizon {
        self.horizon
    }

    /// Returns what is known about the command `id` with the base at log index `base`, while the
    /// configuration in force has the index `in_force`.
    pub fn look_up(&self, id: &CommandId, base: u64, in_force: u64) -> Known {
        if let Ok(i) = self.position(id.as_str()) {
            return Known::Answered(self.records[i].answer.clone().unwrap_or_default());
        }
        let made_before = id.at().is_some_and(|at| at < self.horizon.made_at);
        if made_before || base < self.horizon.base {
            return Known::TooOld;
        }
        if self.records.len() >= ANSWERS_MAX && self.records.iter().all(|r| r.base >= in_force) {
            return Known::NoRoom;
        }
        Known::New
    }

    /// Records an answer and forgets those that are past their retention or too many. `in_force` is the log
    /// index of the configuration in force.
    pub fn record(&mut self, record: AnsweredCommand, in_force: u64) {
        let now = Ms(record.at_ms);
        if let Err(i) = self.position(&record.command_id) {
            self.records.insert(i, record);
        }
        let forgotten_until = self.forgotten_until(now, in_force);
        if forgotten_until == Ms::ZERO {
            return;
        }
        let horizon = &mut self.horizon;
        self.records.retain(|r| {
            let kept = r.base >= in_force || Ms(r.at_ms) >= forgotten_until;
            if !kept {
                horizon.base = horizon.base.max(r.base + 1);
                horizon.made_at = horizon.made_at.max(made_before(r));
            }
            kept
        });
    }

    /// Returns the time of decision before which answers with another base than `in_force` are forgotten.
    /// Zero: none is forgotten.
    fn forgotten_until(&self, now: Ms, in_force: u64) -> Ms {
        let forgettable = self.records.iter().filter(|r| r.base < in_force);
        let times = forgettable.map(|r| Ms(r.at_ms));
        if self.records.len() > ANSWERS_MAX {
            let mut times: Vec<Ms> = times.collect();
            times.sort_unstable();
            let last = times.len().min(ANSWERS_FORGOTTEN).checked_sub(1);
            return last.map_or(Ms::ZERO, |i| times[i] + Ms(1));
        }
        let oldest_kept = now - RETENTION;
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

/// Returns the time that commands with ids as old as this one were made before. An id from a clock that runs
/// ahead counts as made when it was decided.
fn made_before(record: &AnsweredCommand) -> Ms {
    let id: Option<CommandId> = record.command_id.parse().ok();
    let made_at = id.and_then(|id| id.at());
    made_at.map_or(Ms::ZERO, |at| at.min(Ms(record.at_ms)) + Ms(1))
}
