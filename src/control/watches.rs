use {
    super::schema_patch::{is_patch, strip_source},
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

/// Longest time that a watch waits for changes.
const WATCH_MAX: Ms = Ms(1000);
/// Most changes in one answer to a watch.
const WATCH_CHANGES_MAX: usize = 500;
/// Bytes of changes after which an answer to a watch ends. Schemas are large, and all daemons ask at once.
const WATCH_BYTES: usize = 64 * 1024;
/// Most changes that are kept for daemons that lag.
const HISTORY_MAX: usize = 10_000;

/// A watch that waits for changes.
struct WaitingWatch {
    req: Watch,
    until: Ms,
    tx: oneshot::Sender<WatchAnswer>,
}

/// The latest committed changes and those who wait for the next ones.
#[derive(Default)]
pub(super) struct Watches {
    /// Changes without gaps.
    history: Vec<Committed>,
    applied: u64,
    waiting: Vec<WaitingWatch>,
}

impl Watches {
    /// Takes a committed change that is not served yet.
    pub fn committed(&mut self, change: Committed) {
        self.applied = change.index;
        self.history.push(change);
        if self.history.len() >= 2 * HISTORY_MAX {
            let surplus = self.history.len() - HISTORY_MAX;
            self.history.drain(..surplus);
        }
    }

    /// Forgets the history, since the state was replaced as of `applied`.
    pub fn restart(&mut self, applied: u64) {
        self.history.clear();
        self.applied = applied;
    }

    /// Returns the log index of the first change that can still be told.
    pub fn oldest(&self) -> u64 {
        self.history.first().map_or(self.applied + 1, |c| c.index)
    }

    /// Lets someone wait for the changes after `req.applied`.
    pub fn wait(&mut self, req: &Watch, tx: oneshot::Sender<WatchAnswer>, now: Ms) {
        self.waiting.push(WaitingWatch {
            req: *req,
            until: now + WATCH_MAX,
            tx,
        });
    }

    /// Answers the watches for which there are changes or whose time is over. Returns how many, and the bytes of all
    /// their changes.
    pub fn answer(&mut self, now: Ms, control_hosts: &[String]) -> (usize, usize) {
        let due = |w: &WaitingWatch| w.req.applied != self.applied || w.until <= now;
        if !self.waiting.iter().any(due) {
            return (0, 0);
        }
        let (due, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(due);
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

    /// Declines all who wait.
    pub fn decline_all(&mut self) {
        for watch in self.waiting.drain(..) {
            drop(watch.tx.send(declined()));
        }
    }

    /// Returns the changes that a daemon lacks, in the form that it takes.
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
        let oldest = self.oldest();
        if applied > self.applied {
            // The watcher knows more than this host.
            return declined();
        }
        if applied + 1 < oldest {
            return needs_state();
        }
        let from = (applied + 1 - oldest) as usize;
        let mut bytes = 0;
        let changes = self.history[from..].iter().take(WATCH_CHANGES_MAX);
        // The change that goes over the limit is still sent: there is at least one.
        let changes = changes.take_while(|change| {
            let fits = bytes < WATCH_BYTES;
            bytes += change.encoded_len();
            fits
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
