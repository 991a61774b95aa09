use {
    super::Target,
    crate::{
        call::{Call, Reason},
        control::{Session, State},
        key::Key,
    },
};

/// Destination of a call that only the owner of its key may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRoute {
    /// To a server of this daemon.
    Local {
        /// Address of the server.
        server: String,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// To the daemon of another session.
    Forward {
        /// Session of the other daemon.
        session: u64,
        /// Peer address of the other daemon.
        peer_address: String,
    },
    /// The call cannot be sent now, for this reason.
    Unavailable(Reason),
}

/// A server that can take the calls of an undivided service.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server and the session of its daemon.
    pub target: Target,
    /// Number of calls that the server runs at once.
    pub slots: u32,
    /// Peer address of the daemon in front of it.
    pub peer_address: String,
    /// Whether the server is in the failure domain of this daemon.
    pub is_same_domain: bool,
    /// Calls a second that it takes from all daemons together because it is cold, or `None` if it is warm.
    pub warmup_per_s: Option<f64>,
}

/// Returns the destination of a call that only the owner of `key` may take. `own_session` is the session of this
/// daemon, if it has one.
pub fn route_by_key(state: &State, own_session: Option<u64>, service: &str, key: &Key) -> KeyRoute {
    let Some(table) = state.table(service) else {
        return KeyRoute::Unavailable(Reason::UnknownService);
    };
    let Some(owner) = &table.range_of(key).owner else {
        return KeyRoute::Unavailable(Reason::NoOwner);
    };
    if own_session == Some(owner.session) {
        return KeyRoute::Local {
            server: owner.server.clone(),
            epoch: owner.epoch,
        };
    }
    match state.session(owner.session) {
        Some(session) => forward(session),
        None => KeyRoute::Unavailable(Reason::NoOwner),
    }
}

/// Returns whether the state of this daemon is too old to decide on a call that a daemon with a newer state sent.
pub fn is_too_old(state: &State, own_session: Option<u64>, call: &Call) -> bool {
    if state.applied() >= call.revision {
        return false;
    }
    match (&call.route, state.schema().service(&call.service)) {
        // The sender has chosen the route, and for an undivided service the server too.
        (Some(_), Some(service)) if !service.divided_by_key => false,
        (Some(_), Some(service)) => {
            let key = Key::new(call.key.clone());
            let route = route_by_key(state, own_session, &service.name, &key);
            !matches!(route, KeyRoute::Local { .. })
        }
        (None, _) | (Some(_), None) => true,
    }
}

/// Returns the servers that can take the calls of an undivided service, for a daemon in `failure_domain`.
pub fn candidates(state: &State, service: &str, failure_domain: &str) -> Vec<Candidate> {
    let warmup = state.schema().service(service).and_then(|s| s.warmup);
    let mut candidates = Vec::new();
    for session in state.sessions() {
        for server in session.servers_of(service) {
            if state.is_drained(session, server) {
                continue;
            }
            candidates.push(Candidate {
                target: Target {
                    session: session.id,
                    server: server.address.clone(),
                },
                slots: server.slots,
                peer_address: session.open.peer_address.clone(),
                is_same_domain: session.open.failure_domain == failure_domain,
                warmup_per_s: warmup.filter(|_| server.cold).map(|w| w.per_s),
            });
        }
    }
    candidates
}

fn forward(session: &Session) -> KeyRoute {
    KeyRoute::Forward {
        session: session.id,
        peer_address: session.open.peer_address.clone(),
    }
}
