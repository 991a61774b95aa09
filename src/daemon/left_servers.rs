use crate::clock::Ms;

/// Time for which a server that has left is remembered. A heartbeat of it may come seconds late.
const KEPT: Ms = Ms(120_000);
/// Most servers that are remembered; the oldest are forgotten first.
const SERVERS_MAX: usize = 64;

/// Incarnations of local servers that said that they leave, oldest first.
///
/// Such a server may be lost before its last heartbeat comes, which must not bring it back.
#[derive(Debug, Default)]
pub(super) struct LeftServers {
    list: Vec<(String, Ms)>,
}

impl LeftServers {
    /// Notes that a server has said that it leaves.
    pub fn note(&mut self, incarnation: &str, now: Ms) {
        self.list.retain(|(_, at)| now < *at + KEPT);
        if self.list.len() == SERVERS_MAX {
            self.list.remove(0);
        }
        self.list.push((incarnation.to_owned(), now));
    }

    /// Tells if a server has said that it leaves.
    pub fn contains(&self, incarnation: &str) -> bool {
        self.list.iter().any(|(left, _)| left == incarnation)
    }
}
