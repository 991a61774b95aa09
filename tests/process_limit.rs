//! Tests the memory limit that a process without one in its settings chooses, and how it reads what its host grants.

use {
    clementinefold::{
        clock::Clock,
        memory::{HostGrant, LimitSource, MemoryBudget, ProcessLimit},
    },
    std::{fs, path::Path},
    tempfile::TempDir,
};

const MIB: u64 = 1024 * 1024;
const MEMINFO: &str = "MemTotal:        1048576 kB\nMemFree:          524288 kB\n";

#[test]
fn chosen_limits() {
    use LimitSource::{Cgroup, Default, Machine, Setting};
    let gib = |n: u64| Some(n * 1024 * MIB);
    // Setting, memory of the machine, limit of the control group, chosen limit in MiB, and its source.
    let cases = [
        (Some(64 * MIB), gib(1), Some(100 * MIB), 64, Setting),
        (Some(4096 * MIB), gib(1), None, 4096, Setting),
        (Some(64 * MIB), None, None, 64, Setting),
        (None, None, None, 128, Default),
        (None, gib(1), None, 128, Machine),
        (None, None, gib(2), 256, Cgroup),
        (None, gib(4), gib(2), 256, Cgroup),
        (None, gib(2), gib(4), 256, Machine),
        (None, gib(4), None, 512, Machine),
        (None, gib(1024), gib(64), 512, Cgroup),
        (None, Some(u64::MAX), None, 512, Machine),
        (None, Some(256 * MIB), None, 32, Machine),
        (None, gib(1), Some(1), 32, Cgroup),
    ];
    for (setting, machine_bytes, cgroup_bytes, mib, source) in cases {
        let grant = HostGrant {
            machine_bytes,
            cgroup_bytes,
        };
        let expected = ProcessLimit {
            bytes: mib * MIB,
            source,
        };
        assert_eq!(
            ProcessLimit::choose(setting, grant),
            expected,
            "{setting:?} {grant:?}"
        );
    }
}

/// Guards against a largest limit that the calls of a daemon at the size to design for would fill: 6,400 a second that
/// take 19 ms and have bodies of 1 MiB, the default size limit.
#[test]
fn full_size_fits() {
    let grant = HostGrant {
        machine_bytes: Some(u64::MAX),
        cgroup_bytes: None,
    };
    let limit = ProcessLimit::choose(None, grant);
    let budget = MemoryBudget::of_process(limit.bytes, Clock::System);
    // Large bodies use a half of the budget.
    let for_bodies = budget.limit().unwrap() as u64 / 2;
    assert!(for_bodies >= 6400 * 19 / 1000 * MIB, "{for_bodies}");
}

/// Guards against connections that use more than a quarter of the limit, and against a limit that refuses the callers of a
/// process with enough memory.
#[test]
fn fitting_connections() {
    // Limit in bytes, size limit of a head, and number of connections.
    let cases = [
        (32 * MIB, 16 * 1024, 273),
        (64 * MIB, 16 * 1024, 546),
        (256_000_000, 16 * 1024, 2083),
        (512 * MIB, 16 * 1024, 4369),
        (32 * MIB, 1024 * 1024, 7),
        (32 * MIB, 8192, 372),
        (
            u64::MAX,
            8192,
            usize::try_from(u64::MAX / 4 / (22 * 1024)).unwrap(),
        ),
        (0, 8192, 1),
    ];
    for (bytes, head_bytes, connections) in cases {
        let limit = ProcessLimit {
            bytes,
            source: LimitSource::Setting,
        };
        assert_eq!(limit.connections(head_bytes), connections, "{bytes} {head_bytes}");
    }
}

/// Paths of files below a root, and their text.
type Files<'a> = &'a [(&'a str, &'a str)];

fn root(files: Files<'_>) -> TempDir {
    let root = TempDir::new().unwrap();
    for (file, text) in files {
        let file = root.path().join(file);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(file, text).unwrap();
    }
    root
}

#[test]
fn read_machine() {
    let too_large = format!("MemTotal: {} kB\n", u64::MAX);
    let cases = [
        (MEMINFO, Some(1024 * MIB)),
        ("MemFree: 1 kB\nMemTotal:\t2048 kB", Some(2 * MIB)),
        ("", None),
        ("MemTotal:", None),
        ("MemTotal: kB", None),
        ("MemTotal: -5 kB", None),
        ("MemTotal: 0 kB", None),
        ("MemTotal: 2048 MB", None),
        ("\u{0}\u{1}garbled", None),
        (&too_large, None),
    ];
    for (text, machine_bytes) in cases {
        let root = root(&[("proc/meminfo", text)]);
        let expected = HostGrant {
            machine_bytes,
            cgroup_bytes: None,
        };
        assert_eq!(HostGrant::read(root.path()), expected, "{text:?}");
    }
}

#[test]
fn read_cgroups() {
    const V1_UNLIMITED: &str = "9223372036854771712\n";
    const V2_GROUP: &str = "0::/a.slice/b\n";
    const V1_GROUP: &str = "9:name=systemd:/\n4:cpu,memory:/a/b\n0::/\n";
    let v2_own = "sys/fs/cgroup/a.slice/b/memory.max";
    let v2_parent = "sys/fs/cgroup/a.slice/memory.max";
    let v2_top = "sys/fs/cgroup/memory.max";
    let v1_own = "sys/fs/cgroup/memory/a/b/memory.limit_in_bytes";
    let v1_top = "sys/fs/cgroup/memory/memory.limit_in_bytes";
    let unified = "sys/fs/cgroup/unified/memory.max";
    let cases: &[(&str, Files<'_>, Option<u64>)] = &[
        (V2_GROUP, &[], None),
        (V2_GROUP, &[(v2_own, "max\n")], None),
        (V2_GROUP, &[(v2_own, "5000000\n")], Some(5_000_000)),
        (
            V2_GROUP,
            &[(v2_own, "max\n"), (v2_parent, "5000000\n")],
            Some(5_000_000),
        ),
        (
            V2_GROUP,
            &[(v2_own, "9000000\n"), (v2_parent, "5000000\n")],
            Some(5_000_000),
        ),
        // In a container, only the top of the hierarchy can be read.
        (V2_GROUP, &[(v2_top, "7000000\n")], Some(7_000_000)),
        (V2_GROUP, &[(v2_own, "garbled"), (v2_top, "")], None),
        (
            V2_GROUP,
            &[(v2_own, "garbled"), (v2_top, "7000000")],
            Some(7_000_000),
        ),
        (V2_GROUP, &[(v2_own, "0\n")], None),
        (V2_GROUP, &[(v2_own, "99999999999999999999999\n")], None),
        (V1_GROUP, &[(v1_own, "6000000\n")], Some(6_000_000)),
        (V1_GROUP, &[(v1_own, V1_UNLIMITED), (v1_top, V1_UNLIMITED)], None),
        (
            V1_GROUP,
            &[(v1_own, V1_UNLIMITED), (v1_top, "8000000\n")],
            Some(8_000_000),
        ),
        (
            V1_GROUP,
            &[(v1_own, "6000000\n"), (unified, "5000000\n")],
            Some(5_000_000),
        ),
        // Files of a hierarchy that the process is not in.
        ("3:cpuset:/\n", &[(v1_top, "6000000\n")], None),
        ("garbled", &[(v2_top, "6000000\n")], None),
        ("", &[(v2_top, "6000000\n")], None),
        // A group outside the namespace of the process.
        (
            "0::/../../a.slice\n",
            &[(v2_parent, "5000000\n")],
            Some(5_000_000),
        ),
    ];
    for (groups, files, cgroup_bytes) in cases {
        let mut all = vec![("proc/meminfo", MEMINFO), ("proc/self/cgroup", *groups)];
        all.extend_from_slice(files);
        let root = root(&all);
        let expected = HostGrant {
            machine_bytes: Some(1024 * MIB),
            cgroup_bytes: *cgroup_bytes,
        };
        assert_eq!(HostGrant::read(root.path()), expected, "{groups:?} {files:?}");
    }
}

#[test]
fn nothing_readable() {
    let grant = HostGrant::read(Path::new("/nonexistent"));
    assert_eq!(grant, HostGrant::default());
    assert_eq!(ProcessLimit::choose(None, grant).source, LimitSource::Default);
    // Folders where files are expected.
    let root = TempDir::new().unwrap();
    fs::create_dir_all(root.path().join("proc/meminfo")).unwrap();
    fs::create_dir_all(root.path().join("proc/self/cgroup")).unwrap();
    assert_eq!(HostGrant::read(root.path()), HostGrant::default());
}
