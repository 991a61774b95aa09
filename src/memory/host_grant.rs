use std::{
    fs,
    path::{Component, Path, PathBuf},
};

/// Values from which on a limit of a control group means that there is none. Version 1 has a number close to 2^63 for
/// that.
const NO_LIMIT_MIN_BYTES: u64 = 1 << 60;

/// The memory that the host grants to this process, as far as it can be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostGrant {
    /// Memory of the machine in bytes.
    pub machine_bytes: Option<u64>,
    /// Smallest limit of the control group of the process and its parents, in bytes.
    pub cgroup_bytes: Option<u64>,
}

impl HostGrant {
    /// Reads the grant from the files of the kernel below `root`, which is `/` on a host. What is missing or malformed
    /// is left out.
    pub fn read(root: &Path) -> Self {
        Self {
            machine_bytes: machine_bytes(root),
            cgroup_bytes: cgroup_bytes(root),
        }
    }
}

fn machine_bytes(root: &Path) -> Option<u64> {
    let text = read_text(&root.join("proc/meminfo"))?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib = total.trim().strip_suffix("kB")?;
    let bytes = kib.trim_end().parse::<u64>().ok()?.checked_mul(1024);
    bytes.filter(|bytes| *bytes > 0)
}

/// Returns the smallest limit in both versions of control groups, which a host may use side by side.
fn cgroup_bytes(root: &Path) -> Option<u64> {
    let text = read_text(&root.join("proc/self/cgroup"))?;
    let mounted = root.join("sys/fs/cgroup");
    let limits = text.lines().filter_map(|line| {
        let mut fields = line.splitn(3, ':').skip(1);
        let (controllers, group) = (fields.next()?, fields.next()?);
        if controllers.is_empty() {
            let pure = smallest_limit(&mounted, group, "memory.max");
            let beside_version_1 = smallest_limit(&mounted.join("unified"), group, "memory.max");
            return pure.into_iter().chain(beside_version_1).min();
        }
        let has_memory = controllers.split(',').any(|name| name == "memory");
        has_memory
            .then(|| smallest_limit(&mounted.join("memory"), group, "memory.limit_in_bytes"))
            .flatten()
    });
    limits.min()
}

/// Returns the smallest limit of a group and its parents. In a container, the path of the group may be that of the host, and
/// only the top, which is the group of the container, can be read.
fn smallest_limit(mounted: &Path, group: &str, file: &str) -> Option<u64> {
    let components = Path::new(group).components();
    let group: PathBuf = components.filter(|c| matches!(c, Component::Normal(_))).collect();
    let limits = group.ancestors().filter_map(|group| {
        let text = read_text(&mounted.join(group).join(file))?;
        text.trim().parse::<u64>().ok()
    });
    limits.filter(|n| (1..NO_LIMIT_MIN_BYTES).contains(n)).min()
}

fn read_text(file: &Path) -> Option<String> {
    let bytes = fs::read(file).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
