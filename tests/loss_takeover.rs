//! Ranges of what is lost get a new owner, and no key is ever held by two servers.

mod support;

use {
    rustix::process::Signal,
    serde_json::{json, Value},
    std::time::Duration,
    support::{overlaps, wait_until, Cluster, ClusterPlan, StandinPlan},
};

const PATIENCE: Duration = Duration::from_secs(30);
const KEYS: [&str; 2] = ["alpha", "tango"];

/// Three hosts with one server each and a schema of two ranges.
fn cluster(checks_fencing: bool) -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan::default());
    for host in 0..3 {
        cluster.start_server(StandinPlan {
            host,
            checks_fencing,
            ..StandinPlan::default()
        });
    }
    wait_until("all servers are announced", PATIENCE, || {
        let status = cluster.ask(0, "status").unwrap_or_default();
        let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
        let announced = |s: &Value| s["servers"].as_array().is_some_and(|s| !s.is_empty());
        sessions.len() == 3 && sessions.iter().all(announced)
    });
    cluster.apply(0, &schema(checks_fencing));
    wait_until("all keys are served", PATIENCE, || serves_all(&cluster, 0));
    cluster
}

fn schema(checks_fencing: bool) -> Value {
    json!({
        "cluster": "test",
        "services": [{
            "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": checks_fencing,
            "calls": [{ "name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline_ms": 500, "max_deadline_ms": 500 }]
        }]
    })
}

fn serves(cluster: &Cluster, host: usize, key: &str) -> bool {
    let answer = cluster.call(host, "GET", "/ledger/read", &[("fold-key", key)]);
    answer.is_some_and(|a| a.outcome == "answered")
}

fn serves_all(cluster: &Cluster, host: usize) -> bool {
    KEYS.iter().all(|key| serves(cluster, host, key))
}

/// Reads the reports of all servers and asserts that no key had two owners at once.
fn assert_one_owner(cluster: &Cluster) {
    let reports: Vec<Value> = (0..cluster.servers.len())
        .map(|s| cluster.report(s).unwrap())
        .collect();
    for key in KEYS {
        assert_eq!(overlaps(&reports, key), [], "key {key}");
    }
}

/// Returns the position of the server that owns the range of `KEYS[0]`.
fn owner(cluster: &Cluster) -> usize {
    let address = cluster.owner(0, "[, m)").unwrap();
    let position = cluster
        .servers
        .iter()
        .position(|s| s.address.to_string() == address);
    position.unwrap()
}

#[test]
fn killed_daemon() {
    let mut cluster = cluster(true);
    let lost = owner(&cluster).max(1);
    cluster.kill_host(lost);
    wait_until("all keys are served again", PATIENCE, || serves_all(&cluster, 0));
    assert_one_owner(&cluster);
}

#[test]
fn frozen_daemon() {
    let cluster = cluster(true);
    let lost = owner(&cluster).max(1);
    cluster.signal_host(lost, Signal::STOP);
    wait_until("all keys are served again", PATIENCE, || serves_all(&cluster, 0));
    cluster.signal_host(lost, Signal::CONT);
    wait_until("the daemon serves again", PATIENCE, || serves_all(&cluster, lost));
    assert_one_owner(&cluster);
}
