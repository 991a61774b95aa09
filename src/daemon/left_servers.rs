use crate::clock::Ms;

/// Time for which a server that has left is remembered. Its last heartbeat may arrive seconds late.
const RETENTION: Ms = Ms(120_000);
/// Limit of remembered servers. The oldest are forgotten first.
const SERVERS_MAX: usize = 64;

/// A server that has left.
#[derive(Debug)]
struct LeftServer {
    /// Name of the process.
    instance: String,
    /// Start of the process in ms since the Unix epoch.
    started_ms: u64,
    left_at: Ms,
    /// Whether the replicated state has the departure too.
    is_committed: bool,
}

/// Local servers that have announced that they leave, oldest first.
///
/// Such a server may be lost before its last heartbeat arrives, and that heartbeat must not add it again.
#[derive(Debug, Default)]
pub(super) struct LeftServers {
    servers: Vec<LeftServer>,
}

impl LeftServers {
    /// Records that the server that was started at `started_ms` leaves.
    pub fn record(&mut self, instance: &str, started_ms: u64, now: Ms) {
        self.servers.retain(|left| now < left.left_at + RETENTION);
        if self.servers.len() == SERVERS_MAX {
            self.servers.remove(0);
        }
        self.servers.push(LeftServer {
            instance: instance.to_owned(),
            started_ms,
            left_at: now,
            is_committed: false,
        });
    }

    /// Records that the departure is in the replicated state.
    pub fn record_committed(&mut self, instance: &str, started_ms: u64) {
        let found = self.servers.iter_mut().filter(|left| left.instance == instance);
        let covered = found.filter(|left| left.started_ms <= started_ms);
        covered.for_each(|left| left.is_committed = true);
    }

    /// Returns whether the replicated state has the departure of a server, as far as is known here.
    pub fn is_committed(&self, instance: &str, started_ms: u64) -> bool {
        let mut found = self.servers.iter().filter(|left| left.instance == instance);
        found.any(|left| left.is_committed && started_ms <= left.started_ms)
    }

    /// Returns the latest start of a process with this name that has left.
    pub fn started_ms(&self, instance: &str) -> Option<u64> {
        let found = self.servers.iter().filter(|left| left.instance == instance);
        found.map(|left| left.started_ms).max()
    }

    /// Returns whether a server has announced that it leaves. A server that was started later under the same name has
    /// not.
    pub fn contains(&self, instance: &str, started_ms: u64) -> bool {
        let found = self.servers.iter().filter(|left| left.instance == instance);
        found.into_iter().any(|left| started_ms <= left.started_ms)
    }
}
