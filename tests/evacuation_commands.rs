//! Runs `clementinectl evacuate` against daemons: orders, dry runs, repeats, resends and bad names.

mod support;

use {
    serde_json::{json, Value},
    std::{
        process::{Command, Output},
        time::Duration,
    },
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

/// Timeout for conditions that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const HOSTS: usize = 2;

/// Starts two hosts with a server each, in `domain-1` and `domain-2`, and waits until all ranges have owners.
fn cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts: HOSTS,
        ..ClusterPlan::default()
    });
    for host in 0..HOSTS {
        cluster.start_server(StandinPlan {
            host,
            ..StandinPlan::default()
        });
    }
    wait_until("the daemon answers", WAIT_TIMEOUT, || {
        cluster.ask(0, "show").is_some()
    });
    let schema = json!({ "cluster": "test", "services": [{
        "name": "ledger", "divided_by_key": true, "boundaries": ["g", "m", "t"], "checks_fencing": true,
        "calls": [{ "name": "read", "method": "GET", "path": "/read", "idempotent": true }]
    }] });
    cluster.apply(0, &schema);
    wait_until("both servers own ranges", WAIT_TIMEOUT, || {
        let owners = owners(&cluster);
        (1..=HOSTS).all(|host| owners.contains(&format!("host-{host}")))
    });
    cluster
}

/// Returns the host of the owner of each range, or an empty text for a range without one.
fn owners(cluster: &Cluster) -> Vec<String> {
    let status = cluster.ask(0, "status").unwrap_or_default();
    let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
    let host = |session: &Value| {
        let found = sessions.iter().find(|s| s["session"] == *session);
        found.map_or("", |s| s["host"].as_str().unwrap()).to_owned()
    };
    let ranges = status["ranges"].as_array().cloned().unwrap_or_default();
    ranges.iter().map(|range| host(&range["session"])).collect()
}

/// Runs `clementinectl evacuate` and returns its exit code and what it printed.
fn evacuate(cluster: &Cluster, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementinectl"));
    command.args(["--address", &cluster.hosts[0].operator.to_string()]);
    command.args(["--key-file", "test.keys", "evacuate"]).args(args);
    let output: Output = command.current_dir(cluster.dir.path()).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn orders_and_repeats() {
    let cluster = cluster();
    let id = cluster.command_id();
    let first = ["--command-id", &id, "start", "domain-1"];
    let cases: [(&str, Vec<&str>, i32, &str); 17] = [
        ("nothing", vec!["list"], 0, "no failure domain is evacuated"),
        (
            "dry run",
            vec!["start", "domain-1", "--dry-run"],
            0,
            "of host host-1",
        ),
        (
            "nothing changed",
            vec!["list"],
            0,
            "no failure domain is evacuated",
        ),
        (
            "finish without a start",
            vec!["finish", "domain-1"],
            0,
            "accepted",
        ),
        ("start", first.to_vec(), 0, r#""services_without_servers":[]"#),
        ("the same again", first.to_vec(), 0, "accepted"),
        ("a repeat", vec!["start", "domain-1"], 0, "accepted"),
        (
            "an older base",
            vec!["start", "domain-1", "--base", "1-0000000000000000"],
            0,
            "accepted",
        ),
        ("in force", vec!["list"], 0, "domain-1  evacuated since"),
        (
            "the last domain",
            vec!["start", "domain-2", "--dry-run"],
            0,
            "  ledger\n",
        ),
        (
            "another domain",
            vec!["list", "domain-2"],
            0,
            "domain-2  not evacuated",
        ),
        ("capital letters", vec!["start", "Domain-1"], 4, "failure_domain"),
        ("an empty name", vec!["start", ""], 4, "failure_domain"),
        (
            "a bad name in a dry run",
            vec!["start", "a b", "--dry-run"],
            1,
            "failure_domain",
        ),
        ("finish", vec!["finish", "domain-1"], 0, "accepted"),
        ("a late resend of the start", first.to_vec(), 0, "accepted"),
        (
            "it changed nothing",
            vec!["list"],
            0,
            "no failure domain is evacuated",
        ),
    ];
    for (name, args, expected, text) in cases {
        let (code, printed) = evacuate(&cluster, &args);
        assert_eq!(code, expected, "{name}: {printed}");
        assert!(printed.contains(text), "{name}: {printed}");
    }
}

#[test]
fn ranges_leave_and_return() {
    let cluster = cluster();
    assert_eq!(evacuate(&cluster, &["start", "domain-1"]).0, 0);
    wait_until("all ranges have moved", WAIT_TIMEOUT, || {
        owners(&cluster).iter().all(|host| host == "host-2")
    });
    let (_, printed) = evacuate(&cluster, &["start", "domain-2"]);
    assert!(
        printed.contains(r#""services_without_servers":["ledger"]"#),
        "{printed}"
    );
    assert!(
        owners(&cluster).iter().all(|host| host == "host-2"),
        "no server could take them"
    );
    assert_eq!(evacuate(&cluster, &["finish", "domain-1"]).0, 0);
    wait_until("all ranges have moved back", WAIT_TIMEOUT, || {
        owners(&cluster).iter().all(|host| host == "host-1")
    });
    assert_eq!(evacuate(&cluster, &["finish", "domain-2"]).0, 0);
    wait_until("both servers own ranges", WAIT_TIMEOUT, || {
        owners(&cluster).contains(&"host-2".to_owned())
    });
}
