//! A request that crashes every server which runs it is quarantined after two crashes, whichever daemon gets it.

mod support;

use {
    serde_json::{json, Value},
    std::{thread, time::Duration},
    support::{wait_until, Answer, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of times that the caller sends the request.
const SEND_COUNT: usize = 10;
/// Number of crashes after which the request is quarantined.
const CRASHES_MAX: usize = 2;

fn cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        services: vec!["orders".into()],
        ..ClusterPlan::default()
    });
    for host in 0..3 {
        cluster.start_server(StandinPlan {
            host,
            service: "orders".into(),
            work_ms: 20,
            crash_on: Some("crash".into()),
            ..StandinPlan::default()
        });
    }
    wait_until("all servers are announced", WAIT_TIMEOUT, || {
        announced_servers(&cluster) == 3
    });
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "orders", "divided_by_key": false, "calls": [
            { "name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline_ms": 3000 }
        ]}]
    });
    cluster.apply(0, &schema);
    wait_until("calls run", WAIT_TIMEOUT, || {
        read(&cluster, 0, "fine").outcome == "answered"
    });
    cluster
}

fn announced_servers(cluster: &Cluster) -> usize {
    let status = cluster.ask(0, "status").unwrap_or_default();
    let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
    let count = |s: &Value| s["servers"].as_array().map_or(0, Vec::len);
    sessions.iter().map(count).sum()
}

fn read(cluster: &Cluster, host: usize, path: &str) -> Answer {
    cluster
        .call(host, "GET", &format!("/orders/read/{path}"), &[])
        .unwrap()
}

/// Sends the request through all daemons in turn. Returns the number of crashes and the last answer.
fn send_crashing_request(cluster: &mut Cluster) -> (usize, Answer) {
    let mut crashes = 0;
    let mut last = None;
    for number in 0..SEND_COUNT {
        last = Some(read(cluster, number % 3, "crash"));
        crashes += cluster.restart_ended_servers();
        wait_until("all servers are back", WAIT_TIMEOUT, || {
            crashes += cluster.restart_ended_servers();
            announced_servers(cluster) == 3
        });
    }
    (crashes, last.unwrap())
}

#[test]
fn without_other_requests() {
    let mut cluster = cluster();
    let (crashes, last) = send_crashing_request(&mut cluster);
    assert_eq!(crashes, CRASHES_MAX);
    assert_eq!(
        (last.outcome.as_str(), last.reason.as_str()),
        ("not-run", "quarantined")
    );
    assert_eq!(read(&cluster, 1, "fine").outcome, "answered");
}

#[test]
fn among_other_requests() {
    let mut cluster = cluster();
    let caller_addresses: Vec<_> = cluster.hosts.iter().map(|host| host.caller).collect();
    let stop = std::sync::atomic::AtomicBool::new(false);
    let ordering = std::sync::atomic::Ordering::SeqCst;
    let (crashes, quarantined_others) = thread::scope(|scope| {
        let stop = &stop;
        let senders = (0..6).map(|n| {
            let caller_address = caller_addresses[n % 3];
            scope.spawn(move || {
                let config = ureq::Agent::config_builder()
                    .http_status_as_error(false)
                    .proxy(None);
                let agent: ureq::Agent = config.build().into();
                let mut quarantined = 0;
                let mut sent = 0;
                while !stop.load(ordering) {
                    let url = format!("http://{caller_address}/orders/read/other-{n}-{sent}");
                    let reply = agent.get(url).call().unwrap();
                    let reason = reply.headers().get("fold-reason");
                    quarantined += usize::from(reason.is_some_and(|r| r == "quarantined"));
                    sent += 1;
                }
                quarantined
            })
        });
        let senders: Vec<_> = senders.collect();
        let (crashes, last) = send_crashing_request(&mut cluster);
        assert_eq!(last.reason, "quarantined");
        stop.store(true, ordering);
        let quarantined_others: usize = senders.into_iter().map(|s| s.join().unwrap()).sum();
        (crashes, quarantined_others)
    });
    assert_eq!(crashes, CRASHES_MAX);
    assert_eq!(quarantined_others, 0, "no other request is quarantined");
}
