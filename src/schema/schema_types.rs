use {
    super::{schema_checks, RouteLimits, Routes, Service},
    crate::{clock::Ms, key::KeyRange, settings::SettingsError},
    std::net::SocketAddr,
};

/// The checked schema of a cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schema {
    /// Name of the cluster.
    pub cluster: String,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// The two halves of the split, if one is declared.
    pub split: Option<Split>,
    /// When ranges of lost servers move.
    pub loss: LossPolicy,
    /// Routes, for calls that name a host and a path.
    pub routes: Routes,
    /// Limits for callers of routes, if any are declared.
    pub route_limits: Option<RouteLimits>,
    /// Longest timeout of all routes, or zero if there are none.
    pub longest_timeout: Ms,
}

/// The two halves of a split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The half that keeps the present control cell.
    pub first: Half,
    /// The half that gets a control cell of its own.
    pub second: Half,
}

/// One half of a split.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Half {
    /// Name of the half.
    pub name: String,
    /// Failure domains whose hosts belong to this half, sorted.
    pub failure_domains: Vec<String>,
    /// Hosts that belong to this half regardless of their failure domain, sorted.
    pub hosts: Vec<String>,
    /// Keys that belong to this half, sorted.
    pub spans: Vec<ServiceSpan>,
    /// Peer addresses of the control hosts of this half.
    pub control_hosts: Vec<SocketAddr>,
}

/// A span of keys of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceSpan {
    /// Name of the service.
    pub service: String,
    /// Keys of the span.
    pub range: KeyRange,
}

/// When ranges of lost servers move to other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossPolicy {
    /// Share of a service's servers, in percent. If no more than these are lost, their ranges move at once.
    pub move_at_once_percent: u32,
    /// Time that ranges wait for their servers to return if more are lost.
    pub wait: Ms,
}

impl Default for LossPolicy {
    fn default() -> Self {
        Self {
            move_at_once_percent: 40,
            wait: Ms(20_000),
        }
    }
}

impl Schema {
    /// Reads and checks a schema file.
    ///
    /// # Errors
    /// Returns an error with the path of the field if a field is invalid.
    pub fn from_json(json: &str) -> Result<Self, SettingsError> {
        schema_checks::check(&SettingsError::read_json(json)?)
    }

    /// Returns the service with this name, or `None` if there is none.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self.services.binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }
}
