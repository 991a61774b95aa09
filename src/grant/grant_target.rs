use crate::control::{RangeTable, Server, Session, State};

/// A server behind a daemon, with what the daemon knows of its own lists of servers that concerns the grants of the server.
///
/// A list without a server ends its ownerships. A daemon that lists the server again must not grant from a state that
/// lacks the earlier list, even if it does not know whether that list was committed or is still on its way.
#[derive(Clone, Copy, Debug)]
pub struct GrantTarget<'a> {
    /// Session of the daemon, if it has one.
    pub session: Option<u64>,
    /// The server as it announced itself.
    pub server: &'a Server,
    /// Number of the first list that names the server since the daemon added it, or `None` if it was not sent yet. Lists
    /// after that one name the server until the daemon removes it.
    pub listed_in: Option<u64>,
}

impl GrantTarget<'_> {
    /// Returns whether `state` has the effect of every list without the server. A list that is committed after one
    /// with a higher number has no effect, so a state with `listed_in` or a later list has them all.
    pub fn is_known(&self, state: &State) -> bool {
        let session = self.session.and_then(|id| state.session(id));
        session.is_some_and(|s| self.listed_in.is_some_and(|number| number <= s.servers_number))
    }

    /// Returns the session and the ranges of the service if `state` lists this very process of the server. A new process
    /// gets nothing that was assigned to the previous one at its address.
    pub(super) fn listed<'s>(&self, state: &'s State) -> Option<(&'s Session, &'s RangeTable)> {
        let session = state.session(self.session?)?;
        let listed = session.server(&self.server.service, &self.server.address)?;
        let is_same_process = listed.incarnation == self.server.incarnation;
        let table = state.table(&self.server.service)?;
        (is_same_process && self.is_known(state)).then_some((session, table))
    }
}
