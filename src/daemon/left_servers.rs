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
        });
    }

    /// Returns whether a server has announced that it leaves. A server that was started later under the same name has
    /// not.
    pub fn contains(&self, instance: &str, started_ms: u64) -> bool {
        let found = self.servers.iter().filter(|left| left.instance == instance);
        found.into_iter().any(|left| started_ms <= left.started_ms)
    }
}
