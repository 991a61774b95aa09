use crate::clock::Ms;

/// Time for which a server that has left is remembered. A heartbeat of it may come seconds late.
const RETENTION: Ms = Ms(120_000);
/// Most servers that are remembered; the oldest are forgotten first.
const SERVERS_MAX: usize = 64;

/// A server that has left: its name, its start in ms since the Unix epoch, and when it left.
#[derive(Debug)]
struct LeftServer {
    instance: String,
    started_ms: u64,
    left_at: Ms,
}

/// Local servers that said that they leave, oldest first.
///
/// Such a server may be lost before its last heartbeat comes, which must not bring it back.
#[derive(Debug, Default)]
pub(super) struct LeftServers {
    servers: Vec<LeftServer>,
}

impl LeftServers {
    /// Notes that the server that was started at `started_ms` has said that it leaves.
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

    /// Tells if a server has said that it leaves. One that was started later under the same name has not.
    pub fn contains(&self, instance: &str, started_ms: u64) -> bool {
        let found = self.servers.iter().filter(|left| left.instance == instance);
        found.into_iter().any(|left| started_ms <= left.started_ms)
    }
}
