//! Three control hosts as processes. The cell survives a killed or frozen leader, a restart of all hosts and the
//! loss of one data folder.

mod support;

use {
    rustix::process::Signal,
    serde_json::{json, Value},
    std::{fs, time::Duration},
    support::{overlaps, wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const KEY: &str = "alpha";

fn schema(deadline_ms: u64) -> Value {
    json!({
        "cluster": "test",
        "services": [{
            "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true,
            "calls": [{
                "name": "read", "method": "GET", "path": "/read", "idempotent": true,
                "deadline_ms": deadline_ms, "max_deadline_ms": 2000
            }]
        }]
    })
}

/// Starts three hosts, each with the control role and a server, and puts a schema in force.
fn cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        control_hosts: 3,
        ..ClusterPlan::default()
    });
    for host in 0..3 {
        cluster.start_server(StandinPlan {
            host,
            ..StandinPlan::default()
        });
    }
    cluster.apply(0, &schema(500));
    wait_until("the key is served", WAIT_TIMEOUT, || serves(&cluster, 0));
    cluster
}

fn serves(cluster: &Cluster, host: usize) -> bool {
    let answer = cluster.call(host, "GET", "/ledger/read", &[("fold-key", KEY)]);
    answer.is_some_and(|a| a.outcome == "answered")
}

/// Returns the position of the leading host, according to the logs of all hosts.
fn leader(cluster: &Cluster) -> usize {
    let mut leader = (0, 0);
    for (position, host) in cluster.hosts.iter().enumerate() {
        for line in cluster.log(&host.name).lines().filter(|l| l.contains("CF5103")) {
            let term = line.split("term: ").nth(1).or(line.split("\"term\":").nth(1));
            let digits = term.unwrap_or_default().chars().take_while(char::is_ascii_digit);
            let term: u64 = digits.collect::<String>().parse().unwrap_or_default();
            leader = leader.max((term, position));
        }
    }
    leader.1
}

fn deadline(cluster: &Cluster, host: usize) -> Option<u64> {
    let shown = cluster.ask(host, "show")?;
    shown["schema"]["services"][0]["calls"][0]["deadline_ms"].as_u64()
}

fn assert_one_owner(cluster: &Cluster) {
    let reports: Vec<Value> = (0..cluster.servers.len())
        .map(|s| cluster.report(s).unwrap())
        .collect();
    assert_eq!(overlaps(&reports, KEY), []);
}

/// Name of a loss, and the functions that cause and end it for the leader.
type Loss = (&'static str, fn(&mut Cluster, usize), fn(&mut Cluster, usize));

const LOSSES: [Loss; 2] = [
    (
        "killed",
        |c, host| c.kill_host(host),
        |c, host| c.start_host(host),
    ),
    (
        "frozen",
        |c, host| c.signal_host(host, Signal::STOP),
        |c, host| c.signal_host(host, Signal::CONT),
    ),
];

#[test]
fn leader_lost() {
    for (name, lose, regain) in LOSSES {
        let mut cluster = cluster();
        let lost = leader(&cluster);
        let other = (lost + 1) % 3;
        lose(&mut cluster, lost);
        cluster.apply(other, &schema(600));
        wait_until("the key is served", WAIT_TIMEOUT, || serves(&cluster, other));
        regain(&mut cluster, lost);
        wait_until("the host has the new schema", WAIT_TIMEOUT, || {
            deadline(&cluster, lost) == Some(600)
        });
        assert_one_owner(&cluster);
        println!("{name}");
    }
}

#[test]
fn all_hosts_killed() {
    let mut cluster = cluster();
    for round in 0..3 {
        for host in 0..3 {
            cluster.kill_host(host);
        }
        for host in 0..3 {
            cluster.start_host(host);
        }
        wait_until("the schema is there", WAIT_TIMEOUT, || {
            deadline(&cluster, round) == Some(500 + round as u64)
        });
        cluster.apply(round, &schema(501 + round as u64));
    }
    wait_until("the key is served", WAIT_TIMEOUT, || serves(&cluster, 0));
}

#[test]
fn data_folder_lost() {
    let mut cluster = cluster();
    let lost = leader(&cluster);
    let other = (lost + 1) % 3;
    cluster.kill_host(lost);
    fs::remove_dir_all(&cluster.hosts[lost].data_dir).unwrap();
    cluster.start_host(lost);
    cluster.apply(other, &schema(600));
    let listed = || cluster.ask(other, "control").unwrap_or_default();
    let with_role = |role: &str| -> Vec<Value> {
        let members = listed()["members"].as_array().cloned().unwrap_or_default();
        members.into_iter().filter(|m| m["role"] == role).collect()
    };
    wait_until("the host without data waits", WAIT_TIMEOUT, || {
        !with_role("waiting").is_empty()
    });
    let address = cluster.hosts[lost].peer.to_string();
    let old = with_role("voter")
        .into_iter()
        .find(|m| m["address"] == address)
        .expect("the lost member");
    let replace = json!({ "replace": { "old": old["id"], "new": address } });
    let answer = cluster.command(other, "control", &replace).unwrap_or_default();
    assert_eq!(answer["refused"], Value::Null, "{answer}");
    wait_until("the old member is gone", WAIT_TIMEOUT, || {
        let members = listed()["members"].as_array().cloned().unwrap_or_default();
        members.len() == 3 && with_role("voter").len() == 2 && members.iter().all(|m| m["id"] != old["id"])
    });
    // The repaired cell must survive the loss of another host.
    let second = 3 - lost - other;
    cluster.kill_host(second);
    cluster.apply(lost, &schema(700));
    assert_one_owner(&cluster);
}
