//! Kills a daemon under load. Every call must end as answered, not run or unknown, and no outcome may be wrong.

mod support;

use {
    clementinefold::{
        clock::Ms,
        load::{run_load, LoadSettings},
        schema::Schema,
    },
    serde_json::{json, Value},
    std::{thread, time::Duration},
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

/// Number of calls in the run with a kill.
const CALLS: u32 = 2000;
/// Time for which calls are sent before the kill.
const TIME_BEFORE_KILL: Duration = Duration::from_millis(200);
/// Timeout of every condition that the tests wait for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a schema with a service that is divided by key and one that is not.
fn schema() -> Value {
    let calls = json!([
        { "name": "state", "method": "GET", "path": "/stav", "idempotent": true },
        { "name": "closure", "method": "POST", "path": "/zrusenie" }
    ]);
    json!({ "cluster": "test", "services": [
        { "name": "ucty", "divided_by_key": true, "boundaries": ["g", "n", "t"], "checks_fencing": true, "calls": calls },
        { "name": "prikazy", "checks_fencing": true, "calls": calls }
    ] })
}

fn cluster(hosts: usize) -> Cluster {
    let services = ["prikazy", "ucty"];
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts,
        services: services.map(String::from).to_vec(),
        ..ClusterPlan::default()
    });
    for host in 0..hosts {
        for service in services {
            cluster.start_server(StandinPlan {
                host,
                service: service.into(),
                ..StandinPlan::default()
            });
        }
    }
    wait_until("the daemon answers", WAIT_TIMEOUT, || {
        cluster.ask(0, "show").is_some()
    });
    cluster.apply(0, &schema());
    for host in 0..hosts {
        wait_until("everything is owned", WAIT_TIMEOUT, || is_owned(&cluster, host));
    }
    wait_until("every key is served", WAIT_TIMEOUT, || {
        ["a", "h", "o", "z"].iter().all(|key| {
            let answer = cluster.call(0, "GET", "/ucty/stav", &[("fold-key", *key)]);
            answer.is_some_and(|a| a.outcome == "answered")
        })
    });
    cluster
}

/// Returns whether every range has an owner and every server is known, according to the daemon of `host`.
fn is_owned(cluster: &Cluster, host: usize) -> bool {
    let status = cluster.ask(host, "status").unwrap_or_default();
    let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    let ranges = list("ranges");
    let servers = list("sessions")
        .iter()
        .map(|s| s["servers"].as_array().map_or(0, Vec::len))
        .sum::<usize>();
    !ranges.is_empty() && ranges.iter().all(|r| !r["server"].is_null()) && servers == cluster.servers.len()
}

fn load(cluster: &Cluster, calls: u32, seed: u64) -> LoadSettings {
    LoadSettings {
        addresses: cluster.hosts.iter().map(|host| host.caller).collect(),
        schema: Schema::from_json(&schema().to_string()).unwrap(),
        connections: 8,
        calls,
        keys: 100,
        deadline: Ms(5000),
        pause: Ms(2),
        seed,
    }
}

#[test]
fn no_wrong_outcome_after_kill() {
    let mut cluster = cluster(3);
    let settings = load(&cluster, CALLS, 7);
    let load = thread::spawn(move || run_load(&settings));
    thread::sleep(TIME_BEFORE_KILL);
    cluster.kill_host(2);
    let report = load.join().unwrap().unwrap();
    assert_eq!(report.wrong(), 0, "{report}");
    assert_eq!(report.calls(), u64::from(CALLS), "{report}");
    assert!(report.answered() > 0, "{report}");
    assert!(
        !report.all_answered(),
        "the kill came after the last call\n{report}"
    );
}

#[test]
fn all_answered_without_a_kill() {
    let cluster = cluster(2);
    let report = run_load(&load(&cluster, 500, 8)).unwrap();
    assert!(report.all_answered(), "{report}");
    // CF2002 shows that a daemon forwarded calls of keys that it did not own.
    let forwarded = |name: &str| cluster.log(name).contains("CF2002");
    assert!(forwarded("host-1") || forwarded("host-2"));
}
