use crate::clock::Ms;

/// Time for which the last heartbeat of a removed server is remembered. Earlier ones may arrive seconds late.
const RETENTION: Ms = Ms(120_000);
/// Limit of remembered heartbeats. The oldest are forgotten first.
const HEARTBEATS_MAX: usize = 64;

/// The last heartbeat of a server that this daemon has removed.
#[derive(Debug)]
struct LastHeartbeat {
    /// Text that identifies the start of the server process.
    incarnation: String,
    sequence: u64,
    removed_at: Ms,
}

/// The last heartbeats of the servers that this daemon has removed, oldest removal first.
///
/// A removed server may come back, but not with a heartbeat that it sent before the last known one.
#[derive(Debug, Default)]
pub(super) struct RemovedHeartbeats {
    last: Vec<LastHeartbeat>,
}

impl RemovedHeartbeats {
    /// Records that the server was removed at `now`, after its heartbeat with this sequence number.
    pub fn record(&mut self, incarnation: &str, sequence: u64, now: Ms) {
        self.last
            .retain(|l| l.incarnation != incarnation && now < l.removed_at + RETENTION);
        if self.last.len() == HEARTBEATS_MAX {
            self.last.remove(0);
        }
        self.last.push(LastHeartbeat {
            incarnation: incarnation.to_owned(),
            sequence,
            removed_at: now,
        });
    }

    /// Returns whether a heartbeat of the server is not later than the last one before its removal.
    pub fn is_late(&self, incarnation: &str, sequence: u64) -> bool {
        let found = self.last.iter().find(|l| l.incarnation == incarnation);
        found.is_some_and(|l| sequence <= l.sequence)
    }
}
