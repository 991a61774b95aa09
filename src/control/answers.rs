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

/// What is known about a command id.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Known {
    /// The command was decided with this answer.
    Answered(CommandAnswer),
    /// The command may have been decided; its answer may have been forgotten.
    TooOld,
    /// The command was never decided.
    New,
}

/// The answers to operators' commands, so that a resent command runs once.
///
/// Answers are forgotten in the order of the times in their ids. The horizon lies above every forgotten id,
/// so an unknown id below it is refused, and one above it was certainly never decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Answers {
    /// Sorted by time and text of the id.
    records: Vec<(CommandId, AnsweredCommand)>,
    horizon: Ms,
}

impl Answers {
    /// Returns the answers of a snapshot.
    pub fn from_records(records: Vec<AnsweredCommand>, horizon: Ms) -> Self {
        let with_id = |record: AnsweredCommand| Some((record.command_id.parse().ok()?, record));
        let mut records: Vec<(CommandId, AnsweredCommand)> =
            records.into_iter().filter_map(with_id).collect();
        records.sort_by(|a, b| a.0.cmp(&b.0));
        Self { records, horizon }
    }

    /// Returns all records in the order of their ids.
    pub fn records(&self) -> Vec<AnsweredCommand> {
        self.records.iter().map(|(_, record)| record.clone()).collect()
    }

    /// Returns the time above which no id was ever forgotten.
    pub fn horizon(&self) -> Ms {
        self.horizon
    }

    /// Returns what is known about `id`.
    pub fn look_up(&self, id: &CommandId) -> Known {
        match self.records.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(i) => Known::Answered(self.records[i].1.answer.clone().unwrap_or_default()),
            Err(_) if id.at() < self.horizon => Known::TooOld,
            Err(_) => Known::New,
        }
    }

    /// Records the answer to a command that was decided at `now`, in ms since the Unix epoch, and forgets
    /// those that are past their retention.
    pub fn record(&mut self, id: CommandId, answer: CommandAnswer, now: Ms) {
        let record = AnsweredCommand {
            command_id: id.to_string(),
            answer: Some(answer),
            at_ms: now.0,
        };
        if let Err(i) = self.records.binary_search_by(|(known, _)| known.cmp(&id)) {
            self.records.insert(i, (id, record));
        }
        let past = |(id, record): &(CommandId, AnsweredCommand)| {
            id.at() + RETENTION < now && Ms(record.at_ms) + RETENTION < now
        };
        let surplus = self.records.len().saturating_sub(ANSWERS_MAX);
        let aged = self.records.iter().take_while(|entry| past(entry)).count();
        for (id, _) in self.records.drain(..surplus.max(aged)) {
            self.horizon = self.horizon.max(id.at() + Ms(1));
        }
    }
}
