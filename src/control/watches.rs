use {
    super::schema_patch::{is_patch, replaces_schema, strip_source},
    crate::{
        clock::Ms,
        wire::{
            control::Committed,
            peer::{Watch, WatchAnswer},
        },
    },
    prost::Message,
    tokio::sync::oneshot,
};

/// How long a watch waits for changes.
const WATCH_TIMEOUT: Ms = Ms(1000);
/// Limit on the changes in one answer to a watch.
const WATCH_CHANGES_MAX: usize = 500;
/// Size of the changes after which an answer to a watch takes no more. Schemas are large, and all daemons ask at
/// once.
const WATCH_BYTES_SOFT_MAX: usize = 64 * 1024;
/// Number of configurations that a daemon may lack to get the changes. A daemon that lacks more of them gets the state
/// instead, because it needs only the last one and spends milliseconds on each.
const MISSING_SCHEMAS_MAX: usize = 16;
/// Number of changes that are kept for daemons that lag. Older ones are dropped when there are twice as many.
const HISTORY_CHANGES_MAX: usize = 10_000;

/// A watch that waits for changes until a deadline.
struct WaitingWatch {
    req: Watch,
    until: Ms,
    tx: oneshot::Sender<WatchAnswer>,
}

/// The latest committed changes, and the watches that wait for the next ones.
#[derive(Default)]
pub(super) struct Watches {
    /// The latest changes, in order and without gaps.
    history: Vec<Committed>,
    /// Log indexes of the changes in the history that replace the schema, ascending.
    schemas: Vec<u64>,
    /// Log index of the last committed change.
    applied: u64,
    waiting: Vec<WaitingWatch>,
}

impl Watches {
    /// Adds the next committed change.
    pub fn add_committed(&mut self, change: Committed) {
        self.applied = change.index;
        if change.change.as_ref().is_some_and(replaces_schema) {
            self.schemas.push(change.index);
        }
        self.history.push(change);
        if self.history.len() >= 2 * HISTORY_CHANGES_MAX {
            let surplus = self.history.len() - HISTORY_CHANGES_MAX;
            self.history.drain(..surplus);
            let oldest_index = self.oldest_index();
            self.schemas.retain(|index| *index >= oldest_index);
        }
    }

    /// Drops the history, since the state was replaced by the one at `applied`.
    pub fn reset(&mut self, applied: u64) {
        self.history.clear();
        self.schemas.clear();
        self.applied = applied;
    }

    /// Returns the log index of the first change in the history, or of the next change if the history is empty.
    pub fn oldest_index(&self) -> u64 {
        self.history.first().map_or(self.applied + 1, |c| c.index)
    }

    /// Adds a watch for the changes after `req.applied`.
    pub fn add_watch(&mut self, req: &Watch, tx: oneshot::Sender<WatchAnswer>, now: Ms) {
        self.waiting.push(WaitingWatch {
            req: *req,
            until: now + WATCH_TIMEOUT,
            tx,
        });
    }

    /// Answers the watches for which there are changes or whose time is over. Returns their number and the total
    /// size of the answers in bytes.
    pub fn answer_due(&mut self, now: Ms, control_hosts: &[String]) -> (usize, usize) {
        let is_due = |w: &WaitingWatch| w.req.applied != self.applied || w.until <= now;
        if !self.waiting.iter().any(is_due) {
            return (0, 0);
        }
        let (due, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_due);
        self.waiting = waiting;
        let (count, mut bytes) = (due.len(), 0);
        for watch in due {
            let answer = WatchAnswer {
                control_hosts: control_hosts.to_vec(),
                ..self.changes_for(&watch.req)
            };
            bytes += answer.encoded_len();
            drop(watch.tx.send(answer));
        }
        (count, bytes)
    }

    /// Declines all waiting watches.
    pub fn decline_all(&mut self) {
        for watch in self.waiting.drain(..) {
            drop(watch.tx.send(declined()));
        }
    }

    /// Returns the changes that a daemon lacks, in a form that the daemon can read.
    fn changes_for(&self, req: &Watch) -> WatchAnswer {
        let mut answer = self.changes_after(req.applied);
        let mut changes = answer.changes.iter_mut().flat_map(|c| &mut c.change);
        if !req.takes_patches && changes.any(|change| is_patch(change)) {
            return needs_state();
        }
        if req.without_source {
            changes.for_each(strip_source);
        }
        answer
    }

    fn changes_after(&self, applied: u64) -> WatchAnswer {
        let oldest_index = self.oldest_index();
        if applied > self.applied {
            // The daemon has newer changes than this host.
            return declined();
        }
        let missing_schemas = self.schemas.len() - self.schemas.partition_point(|index| *index <= applied);
        if applied + 1 < oldest_index || missing_schemas > MISSING_SCHEMAS_MAX {
            return needs_state();
        }
        let from = (applied + 1 - oldest_index) as usize;
        let mut bytes = 0;
        let changes = self.history[from..].iter().take(WATCH_CHANGES_MAX);
        // The change that exceeds the limit is still included, so that an answer has at least one.
        let changes = changes.take_while(|change| {
            let is_below_limit = bytes < WATCH_BYTES_SOFT_MAX;
            bytes += change.encoded_len();
            is_below_limit
        });
        WatchAnswer {
            changes: changes.cloned().collect(),
            ..WatchAnswer::default()
        }
    }
}

fn needs_state() -> WatchAnswer {
    WatchAnswer {
        needs_state: true,
        ..WatchAnswer::default()
    }
}

/// Returns the answer of a host that cannot serve a watch.
pub(super) fn declined() -> WatchAnswer {
    WatchAnswer {
        declined: true,
        ..WatchAnswer::default()
    }
}
