use {
    super::{Server, Session, State},
    crate::wire::control::EvacuationImage,
    std::collections::BTreeSet,
};

/// Maximum number of failure domains whose evacuations are recorded. It bounds the state where the settings list no
/// failure domains, so that any name is accepted; clusters have 14.
const EVACUATIONS_MAX: usize = 256;

/// The parts of a cluster that an evacuation affects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationScope {
    /// Service, address and host of each server of the failure domain.
    pub servers: Vec<(String, String, String)>,
    /// Number of ranges that servers of the failure domain own.
    pub ranges: usize,
    /// Services whose servers are all in the failure domain or drained, so that no server is left for their calls.
    pub services_without_servers: Vec<String>,
}

impl State {
    /// Returns the last evacuation of each failure domain that ever had one, sorted by failure domain.
    pub fn evacuations(&self) -> &[EvacuationImage] {
        &self.evacuations
    }

    /// Returns the last evacuation of a failure domain, which may have ended.
    pub fn last_evacuation(&self, failure_domain: &str) -> Option<&EvacuationImage> {
        let position = self.evacuation_position(failure_domain);
        position.ok().map(|i| &self.evacuations[i])
    }

    /// Returns whether nothing is to be sent to the servers of a failure domain.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.last_evacuation(failure_domain).is_some_and(|e| e.ended == 0)
    }

    /// Returns the failure domains whose evacuations are in force.
    pub fn evacuated_domains(&self) -> Vec<&str> {
        let in_force = self.evacuations.iter().filter(|e| e.ended == 0);
        in_force.map(|e| e.failure_domain.as_str()).collect()
    }

    /// Returns what an evacuation of a failure domain affects, whether it is in force or not.
    pub fn evacuation_scope(&self, failure_domain: &str) -> EvacuationScope {
        let mut scope = EvacuationScope::default();
        let mut affected = BTreeSet::new();
        let mut usable = BTreeSet::new();
        for session in &self.sessions {
            let is_inside = session.open.failure_domain == failure_domain;
            for server in &session.servers {
                if is_inside {
                    affected.insert(server.service.as_str());
                    scope.servers.push(server_entry(session, server));
                } else if !self.is_drained(session, server) {
                    usable.insert(server.service.as_str());
                }
            }
        }
        let ranges = self.range_tables.iter().flat_map(|table| table.ranges());
        let owners = ranges.filter_map(|range| range.owner.as_ref());
        let is_inside = |session: &Session| session.open.failure_domain == failure_domain;
        scope.ranges = owners
            .filter(|owner| self.session(owner.session).is_some_and(is_inside))
            .count();
        scope.services_without_servers = affected.difference(&usable).map(|s| (*s).to_owned()).collect();
        scope
    }

    /// Starts the evacuation of a failure domain at log index `index`. Returns whether this changes anything, or `None`
    /// if no further failure domain can be recorded.
    pub(super) fn start_evacuation(&mut self, index: u64, failure_domain: &str) -> Option<bool> {
        let started = EvacuationImage {
            failure_domain: failure_domain.to_owned(),
            since: index,
            ended: 0,
        };
        match self.evacuation_position(failure_domain) {
            Ok(i) if self.evacuations[i].ended == 0 => Some(false),
            Ok(i) => {
                self.evacuations[i] = started;
                Some(true)
            }
            Err(_) if self.evacuations.len() >= EVACUATIONS_MAX => None,
            Err(i) => {
                self.evacuations.insert(i, started);
                Some(true)
            }
        }
    }

    /// Ends the evacuation of a failure domain at log index `index`. Returns whether one was in force.
    pub(super) fn end_evacuation(&mut self, index: u64, failure_domain: &str) -> bool {
        let Ok(i) = self.evacuation_position(failure_domain) else {
            return false;
        };
        let evacuation = &mut self.evacuations[i];
        let was_in_force = evacuation.ended == 0;
        if was_in_force {
            evacuation.ended = index;
        }
        was_in_force
    }

    fn evacuation_position(&self, failure_domain: &str) -> Result<usize, usize> {
        self.evacuations
            .binary_search_by(|e| e.failure_domain.as_str().cmp(failure_domain))
    }
}

fn server_entry(session: &Session, server: &Server) -> (String, String, String) {
    (
        server.service.clone(),
        server.address.clone(),
        session.open.host.clone(),
    )
}
