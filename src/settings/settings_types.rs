use {
    super::{settings_checks, SettingsError},
    crate::{clock::Ms, event::LogSettings},
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
    },
};

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the cluster. Peers of other clusters are refused.
    pub cluster: String,
    /// Name of this host, unique in the cluster.
    pub host: String,
    /// Name of the failure domain of this host, the set of hosts that may fail together.
    pub failure_domain: String,
    /// Name of the region that the failure domain belongs to.
    pub region: String,
    /// Listening address for callers, or `None` if this daemon serves no callers.
    pub caller_address: Option<SocketAddr>,
    /// Listening address for the local backend servers, or `None` if there are none.
    pub server_address: Option<SocketAddr>,
    /// Listening address for operators, or `None` if this daemon serves no operators.
    pub operator_address: Option<SocketAddr>,
    /// Listening address for readiness probes, or `None` if they are not served.
    pub readiness_address: Option<SocketAddr>,
    /// Listening address on which metrics are served as text, or `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// Listening address for other daemons.
    pub peer_address: SocketAddr,
    /// Peer addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Services that local backend servers may announce, sorted.
    pub services: Vec<String>,
    /// Settings of the control role, or `None` if this host does not have it.
    pub control: Option<ControlSettings>,
    /// File with the keys that peers share, or `None` if links are not authenticated.
    pub peer_key_file: Option<PathBuf>,
    /// File with the operators' keys, or `None` if the daemon does not authenticate operators.
    pub operator_key_file: Option<PathBuf>,
    /// Address of the statsd listener that metrics are sent to, or `None` if there is none.
    pub statsd_address: Option<SocketAddr>,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Limits on the connections and requests of callers.
    pub caller_limits: CallerLimits,
    /// Timing of sessions and leases.
    pub lease: LeaseSettings,
    /// Longest time from a request to stop to the end of the process.
    pub stop_timeout: Ms,
    /// All failure domains of the cluster, sorted. Empty if they are not known.
    pub failure_domains: Vec<String>,
    /// Memory that the process may use in bytes, or `None` if it chooses a limit by what the host grants.
    pub memory_bytes: Option<u64>,
    /// How the daemon decides where calls go.
    pub balance: BalanceSettings,
}

/// How a daemon decides where calls go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalanceSettings {
    /// Cost of a server in another failure domain, in percent of the cost of the same server in the daemon's own one.
    /// Traffic between failure domains costs money and links, so it is weighed against the wait in a queue.
    pub other_domain_percent: u32,
    /// Maximum number of second tries of idempotent calls whose answers are late, in percent of the calls of their
    /// service.
    pub second_tries_percent: u32,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            other_domain_percent: 200,
            second_tries_percent: 0,
        }
    }
}

/// Settings of the control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Folder that holds the replicated log, the votes and the snapshots.
    pub data_dir: PathBuf,
    /// Peer addresses of the first voters, used only while the folder is empty.
    pub first_voters: Vec<SocketAddr>,
    /// Number of voters that the cell maintains automatically, or `None` if operators change the members.
    pub voters: Option<usize>,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum total size in bytes of the answer bodies that are read from one server at the same time.
    pub answer_bytes: usize,
    /// Longest time that a caller may take to send the body after the head.
    pub body_timeout: Ms,
    /// Longest time that a caller may take to send the head, measured from its first byte.
    pub head_timeout: Ms,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Ms,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 2000,
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            answer_bytes: 8 * 1024 * 1024,
            body_timeout: Ms(10_000),
            head_timeout: Ms(10_000),
            idle_timeout: Ms(60_000),
        }
    }
}

/// Timing of sessions and leases, the same on every host of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a renewal is valid.
    pub ttl: Ms,
    /// Interval between renewals.
    pub renew_interval: Ms,
    /// Allowance for clock drift over one `ttl`.
    pub drift: Ms,
    /// Minimum election timeout of control hosts.
    pub election_timeout: Ms,
    /// The leader does not renew the session of a daemon whose configuration has lagged for longer than this.
    pub max_config_lag: Ms,
    /// A daemon refuses calls once it may have lacked a new configuration for longer than this although a leader is
    /// reachable.
    pub max_config_age: Ms,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl: Ms(600),
            renew_interval: Ms(150),
            drift: Ms(30),
            election_timeout: Ms(180),
            max_config_lag: Ms(4000),
            max_config_age: Ms(1800),
        }
    }
}

impl Settings {
    /// Longest time for a stop if the settings do not state when the process is killed.
    pub const DEFAULT_STOP_TIMEOUT: Ms = Ms(30_000);

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or one of its fields is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let json = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
            file: path.display().to_string(),
            reason: e.to_string(),
        })?;
        Self::from_json(&json)
    }

    /// Parses and validates settings from their JSON text.
    ///
    /// # Errors
    /// Returns an error if one of the fields is invalid.
    pub fn from_json(json: &str) -> Result<Self, SettingsError> {
        settings_checks::check_settings(&SettingsError::read_json(json)?)
    }
}

impl Default for Settings {
    /// Returns settings for a single host on loopback with ports that the system picks. Tests use them.
    fn default() -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            cluster: "test".into(),
            host: "host-1".into(),
            failure_domain: "domain-1".into(),
            region: "region-1".into(),
            caller_address: Some(loopback),
            server_address: Some(loopback),
            operator_address: Some(loopback),
            readiness_address: None,
            metrics_address: None,
            peer_address: loopback,
            control_hosts: Vec::new(),
            services: Vec::new(),
            control: None,
            peer_key_file: None,
            operator_key_file: None,
            statsd_address: None,
            log: LogSettings::default(),
            caller_limits: CallerLimits::default(),
            lease: LeaseSettings::default(),
            stop_timeout: Self::DEFAULT_STOP_TIMEOUT,
            failure_domains: Vec::new(),
            memory_bytes: None,
            balance: BalanceSettings::default(),
        }
    }
}
