use {
    crate::{
        call::Reason,
        control::{Session, State},
        key::Key,
        schema::Service,
    },
    rand::Rng,
};

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a server behind this daemon.
    Local {
        /// Address of the server.
        server: String,
        /// Epoch of the ownership; 0 for a service that is not divided by key.
        epoch: u64,
    },
    /// To the daemon of another session.
    Forward {
        /// Session of the other daemon.
        session: u64,
        /// Its peer address.
        peer_address: String,
    },
    /// Nowhere now.
    Nowhere(Reason),
}

/// Decides where a call goes. `own_session` is the session of this daemon, if it has one.
pub fn route(
    state: &State,
    own_session: Option<u64>,
    service: &Service,
    key: &Key,
    rng: &mut impl Rng,
) -> Route {
    if service.divided_by_key {
        route_by_key(state, own_session, service, key)
    } else {
        route_to_any(state, own_session, service, rng)
    }
}

fn route_by_key(state: &State, own_session: Option<u64>, service: &Service, key: &Key) -> Route {
    let Some(table) = state.table(&service.name) else {
        return Route::Nowhere(Reason::UnknownService);
    };
    let Some(owner) = &table.range_of(key).owner else {
        return Route::Nowhere(Reason::NoOwner);
    };
    if own_session == Some(owner.session) {
        return Route::Local {
            server: owner.server.clone(),
            epoch: owner.epoch,
        };
    }
    match state.session(owner.session) {
        Some(session) => forward(session),
        None => Route::Nowhere(Reason::NoOwner),
    }
}

/// Any server will do: one of them is taken at random.
fn route_to_any(state: &State, own_session: Option<u64>, service: &Service, rng: &mut impl Rng) -> Route {
    let usable = |session: &'_ Session| -> Vec<String> {
        let servers = session.servers_of(&service.name);
        let servers = servers.filter(|server| !state.is_drained(session, server));
        servers.map(|server| server.address.clone()).collect()
    };
    let mut targets = Vec::new();
    for session in state.sessions() {
        for server in usable(session) {
            targets.push((session, server));
        }
    }
    if targets.is_empty() {
        return Route::Nowhere(Reason::NoServer);
    }
    let (session, server) = &targets[rng.random_range(0..targets.len())];
    if own_session == Some(session.id) {
        return Route::Local {
            server: server.clone(),
            epoch: 0,
        };
    }
    forward(session)
}

fn forward(session: &Session) -> Route {
    Route::Forward {
        session: session.id,
        peer_address: session.open.peer_address.clone(),
    }
}
