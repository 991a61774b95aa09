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
    /// Name of the cluster.
    pub cluster: String,
    /// Name of this host, unique in the cluster.
    pub host: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Address for callers. `None`: callers are not served.
    pub caller_address: Option<SocketAddr>,
    /// Address for the local backend servers. `None`: there are none.
    pub server_address: Option<SocketAddr>,
    /// Address for operators. `None`: operators are not served here.
    pub operator_address: Option<SocketAddr>,
    /// Address for questions about readiness. `None`: none are answered.
    pub readiness_address: Option<SocketAddr>,
    /// Address on which metrics are served as text. `None`: they are not.
    pub metrics_address: Option<SocketAddr>,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Peer addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Services that local backend servers may announce, sorted.
    pub services: Vec<String>,
    /// Control role of this host.
    pub control: Option<ControlSettings>,
    /// File with the keys that peers share. `None`: links are not authenticated.
    pub peer_key_file: Option<PathBuf>,
    /// File with the operators' keys. `None`: operators are not authenticated by the daemon.
    pub operator_key_file: Option<PathBuf>,
    /// Address that metrics are sent to.
    pub statsd_address: Option<SocketAddr>,
    /// What is logged, and how.
    pub log: LogSettings,
    /// Limits of the callers' side.
    pub caller_limits: CallerLimits,
    /// Timing of sessions and leases.
    pub lease: LeaseSettings,
}

/// Settings of the control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Folder of the log, the votes and the snapshots.
    pub data_dir: PathBuf,
    /// Peer addresses of the first voters, read while the folder is empty.
    pub first_voters: Vec<SocketAddr>,
    /// Voters that the cell keeps by itself. `None`: operators change the members.
    pub voters: Option<usize>,
}

/// Limits of the callers' side of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most open connections.
    pub connections: usize,
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Most bytes of all answers' bodies that are read from one server at the same time.
    pub answer_bytes: usize,
    /// Longest time for a caller to send the body after the head.
    pub read: Ms,
    /// Longest time for a caller to send the head, from its first byte.
    pub head: Ms,
    /// Longest time that a connection may be idle.
    pub idle: Ms,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 2000,
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            answer_bytes: 8 * 1024 * 1024,
            read: Ms(10_000),
            head: Ms(10_000),
            idle: Ms(60_000),
        }
    }
}

/// Timing of sessions and leases, the same on every host of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time that a renewal is good for.
    pub ttl: Ms,
    /// Time between two renewals.
    pub renew: Ms,
    /// Allowance for clock drift over one `ttl`.
    pub drift: Ms,
    /// Shortest election timeout of control hosts.
    pub election: Ms,
    /// A daemon whose configuration lags for longer than this is not renewed.
    pub config_lag: Ms,
    /// A daemon that may lack a configuration for longer than this, though a leader is in reach, refuses calls.
    pub config_fresh: Ms,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl: Ms(600),
            renew: Ms(150),
            drift: Ms(30),
            election: Ms(180),
            config_lag: Ms(4000),
            config_fresh: Ms(1800),
        }
    }
}

impl Settings {
    /// Reads and checks a file of settings.
    ///
    /// # Errors
    /// The file cannot be read, or one of its fields is refused.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let json = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
            file: path.display().to_string(),
            reason: e.to_string(),
        })?;
        Self::from_json(&json)
    }

    /// Reads and checks settings from their JSON text.
    ///
    /// # Errors
    /// One of the fields is refused.
    pub fn from_json(json: &str) -> Result<Self, SettingsError> {
        settings_checks::check(&SettingsError::read_json(json)?)
    }
}

impl Default for Settings {
    /// Settings of a single host on loopback with free ports, as tests use them.
    fn default() -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            cluster: "test".into(),
            host: "host-1".into(),
            failure_domain: "domain-1".into(),
            region: "region-1".into(),
            caller_address: Some(any),
            server_address: Some(any),
            operator_address: Some(any),
            readiness_address: None,
            metrics_address: None,
            peer_address: any,
            control_hosts: Vec::new(),
            services: Vec::new(),
            control: None,
            peer_key_file: None,
            operator_key_file: None,
            statsd_address: None,
            log: LogSettings::default(),
            caller_limits: CallerLimits::default(),
            lease: LeaseSettings::default(),
        }
    }
}
