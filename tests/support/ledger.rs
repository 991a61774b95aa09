use {
    super::{overlaps, wait_until, Cluster, ClusterPlan, StandinPlan},
    serde_json::{json, Value},
    std::time::Duration,
};

/// Longest wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// One key of each range of the service.
pub const KEYS: [&str; 2] = ["alpha", "tango"];

/// Starts three hosts with one server each, and a service of two ranges that the second host owns. The first
/// host has the control role.
pub fn start_ledger(checks_fencing: bool) -> Cluster {
    let cluster = start_ledger_on(&ClusterPlan::default(), checks_fencing);
    // The control host owns no range, so that a test can lose any owner.
    for range in [(Some(""), Some("m")), (Some("m"), None)] {
        move_span(&cluster, range.0.unwrap_or_default(), range.1, 1);
    }
    cluster
}

/// Starts three hosts with one server each, and a service of two ranges.
pub fn start_ledger_on(plan: &ClusterPlan, checks_fencing: bool) -> Cluster {
    let mut cluster = Cluster::start(plan);
    for host in 0..3 {
        cluster.start_server(StandinPlan {
            host,
            checks_fencing,
            ..StandinPlan::default()
        });
    }
    wait_until("all servers are announced", WAIT_TIMEOUT, || {
        let status = cluster.ask(0, "status").unwrap_or_default();
        let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
        let announced = |s: &Value| s["servers"].as_array().is_some_and(|s| !s.is_empty());
        sessions.len() == 3 && sessions.iter().all(announced)
    });
    cluster.apply(0, &schema(checks_fencing, 500));
    wait_until("all keys are served", WAIT_TIMEOUT, || serves_all(&cluster, 0));
    cluster
}

/// Returns the schema of the ledger service.
pub fn schema(checks_fencing: bool, max_deadline_ms: u32) -> Value {
    json!({
        "cluster": "test",
        "services": [{
            "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": checks_fencing,
            "calls": [
                { "name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline_ms": 300,
                  "max_deadline_ms": max_deadline_ms }
            ]
        }]
    })
}

/// Moves a span to a host and waits until the host owns it.
pub fn move_span(cluster: &Cluster, start: &str, end: Option<&str>, host: usize) {
    let base = cluster.ask(0, "show").unwrap()["revision"].clone();
    let body = json!({
        "command_id": cluster.command_id(), "base": base, "service": "ledger", "start": start, "end": end,
        "host": cluster.hosts[host].name
    });
    let moved = cluster.command(0, "move", &body).unwrap();
    assert!(moved.get("accepted").is_some(), "{moved}");
    let is_moved = |key: &&&str| start <= **key && end.is_none_or(|end| **key < end);
    wait_until("the keys have moved", WAIT_TIMEOUT, || {
        let mut moved = KEYS.iter().filter(|key| is_moved(key));
        moved.all(|key| owner_of(cluster, key) == Some(host))
    });
}

/// Returns the position of the server that owns a key.
pub fn owner_of(cluster: &Cluster, key: &str) -> Option<usize> {
    let address = cluster.owner_of_key(0, key)?;
    cluster
        .servers
        .iter()
        .position(|s| s.address.to_string() == address)
}

/// Returns whether a call for `key` through `host` is answered.
pub fn serves(cluster: &Cluster, host: usize, key: &str) -> bool {
    let answer = cluster.call(host, "GET", "/ledger/read", &[("fold-key", key)]);
    answer.is_some_and(|a| a.outcome == "answered")
}

/// Returns whether calls for all keys through `host` are answered.
pub fn serves_all(cluster: &Cluster, host: usize) -> bool {
    KEYS.iter().all(|key| serves(cluster, host, key))
}

/// Asserts that no key was owned by two servers at the same time, according to the reports of all running servers.
///
/// # Panics
/// Panics if a key was owned by two servers at the same time.
pub fn assert_one_owner(cluster: &Cluster) {
    let reports = (0..cluster.servers.len()).filter_map(|s| cluster.report(s));
    let reports: Vec<Value> = reports.collect();
    for key in KEYS {
        assert_eq!(overlaps(&reports, key), [], "key {key}");
    }
}
