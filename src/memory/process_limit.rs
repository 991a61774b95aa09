use super::HostGrant;

/// Smallest memory limit of a process in bytes. With less, little would be left beside the tables of a large cluster.
pub const MEMORY_MIN_BYTES: u64 = 32 * 1024 * 1024;
/// Largest limit that a process chooses for itself. Its budget has room for the large bodies of 6,400 calls a second that
/// have 1 MiB each and end within 19 ms, the load of a daemon at the size to design for; more is needed only by clients
/// that do not behave.
const CHOSEN_MAX_BYTES: u64 = 512 * 1024 * 1024;
/// Part of the granted memory that a process uses. The backend servers and sometimes other daemons share it: the three
/// daemons of an example take three eighths of their host.
const GRANT_DIVISOR: u64 = 8;
/// Limit of a process that cannot learn what the host grants: that of a host with 1 GiB.
const UNKNOWN_GRANT_BYTES: u64 = 128 * 1024 * 1024;

/// Part of the limit that the connections of callers use. The budget takes a half, the process itself the rest.
const CONNECTIONS_DIVISOR: u64 = 4;
/// Memory of a connection besides its head: received bytes and the state of the HTTP library.
const CONNECTION_BYTES: u64 = 14 * 1024;

/// Where the memory limit of a process comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// The settings.
    Setting,
    /// The memory of the machine.
    Machine,
    /// The limit of the control group of the process, or of one of its parents.
    Cgroup,
    /// A fixed value, since what the host grants could not be read.
    Default,
}

impl LimitSource {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Setting => "setting",
            Self::Machine => "machine",
            Self::Cgroup => "cgroup",
            Self::Default => "default",
        }
    }
}

/// The memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimit {
    /// Limit in bytes.
    pub bytes: u64,
    /// Where the limit comes from.
    pub source: LimitSource,
}

impl ProcessLimit {
    /// Returns the number of connections of callers that fit into the limit if each holds a head of `head_bytes`: 2,000 or
    /// more with 256 MB and heads of 16 KiB.
    pub fn connections(self, head_bytes: usize) -> usize {
        let fitting = self.bytes / CONNECTIONS_DIVISOR / (CONNECTION_BYTES + head_bytes as u64);
        usize::try_from(fitting).unwrap_or(usize::MAX).max(1)
    }

    /// Returns the limit from the settings or, without one, a part of what the host grants.
    pub fn choose(setting: Option<u64>, grant: HostGrant) -> Self {
        if let Some(bytes) = setting {
            return Self {
                bytes,
                source: LimitSource::Setting,
            };
        }
        let machine = grant.machine_bytes.map(|bytes| (bytes, LimitSource::Machine));
        let cgroup = grant.cgroup_bytes.map(|bytes| (bytes, LimitSource::Cgroup));
        let smallest = machine.into_iter().chain(cgroup).min_by_key(|(bytes, _)| *bytes);
        smallest.map_or(
            Self {
                bytes: UNKNOWN_GRANT_BYTES,
                source: LimitSource::Default,
            },
            |(bytes, source)| Self {
                bytes: (bytes / GRANT_DIVISOR).clamp(MEMORY_MIN_BYTES, CHOSEN_MAX_BYTES),
                source,
            },
        )
    }
}
