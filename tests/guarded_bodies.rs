//! What the guards of non-idempotent calls keep of their requests. Guards against entries that keep the memory of a whole
//! request until they expire: keys are read from the same buffer as the body, and nothing accounts for it then.

mod support;

use {
    serde_json::json,
    std::{
        fs,
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of the host beside the server, and of the one that is called.
const OWNER: usize = 0;
const ENTRY: usize = 1;
const CALLS: usize = 200;
/// Sizes of a body whose frame counts when it is complete, and of one whose frame counts before it is read.
const SMALL_BODY_BYTES: usize = 60_000;
const LARGE_BODY_BYTES: usize = 500_000;
/// Limit of the answers that a guard records. The stand-in server returns the body of the request in its answer.
const RECORDED_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Growth of the resident memory beyond the recorded answers.
const OTHER_GROWTH_BYTES: usize = 4_000_000;

/// Makes a call and returns the head of its answer, or an empty text.
fn pay(cluster: &Cluster, host: usize, id: &str, body: &str) -> String {
    let mut answer = String::new();
    let request = format!(
        "POST /ledger/pay/x HTTP/1.1\r\nhost: d\r\nconnection: close\r\nfold-key: key-{id}\r\n\
         fold-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    if let Ok(mut stream) = TcpStream::connect(cluster.hosts[host].caller) {
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer.to_ascii_lowercase()
}

fn pay_until_answered(cluster: &Cluster, host: usize, id: &str, body: &str) {
    wait_until("a call is answered", WAIT_TIMEOUT, || {
        pay(cluster, host, id, body).contains("fold-outcome: answered")
    });
}

fn resident_kb(cluster: &Cluster, host: usize) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", cluster.pid(host))).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.unwrap().parse().unwrap()
}

fn start() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts: 2,
        services: vec!["ledger".into()],
        ..ClusterPlan::default()
    });
    cluster.start_server(StandinPlan {
        host: OWNER,
        service: "ledger".into(),
        work_ms: 1,
        ..StandinPlan::default()
    });
    let calls = json!([{
        "name": "pay", "method": "POST", "path": "/pay", "idempotent": false,
        "deadline_ms": 3000, "max_deadline_ms": 5000
    }]);
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "ledger", "divided_by_key": true, "checks_fencing": true, "calls": calls }]
    });
    cluster.apply(0, &schema);
    cluster
}

/// Forwards calls to the owner of their keys. Its resident memory, and that of the entry daemon, which has the copy of its
/// guard, may grow by what the guard records of the answers.
fn check_growth(cluster: &Cluster, name: &str, body_bytes: usize) {
    let body = "x".repeat(body_bytes);
    for number in 0..CALLS / 10 {
        pay_until_answered(cluster, ENTRY, &format!("{name}-warm-{number}"), &body);
    }
    let before_kb = [OWNER, ENTRY].map(|host| resident_kb(cluster, host));
    for number in 0..CALLS {
        pay_until_answered(cluster, ENTRY, &format!("{name}-{number}"), &body);
    }
    let growth_kb = [OWNER, ENTRY].map(|host| resident_kb(cluster, host).saturating_sub(before_kb[host]));
    let recorded = (CALLS * body_bytes).min(RECORDED_BYTES_MAX);
    let max_kb = (recorded + OTHER_GROWTH_BYTES) as u64 / 1024;
    println!("{name}: the resident memory grows by {growth_kb:?} KiB, at most {max_kb}");
    assert!(
        growth_kb.iter().all(|growth| *growth <= max_kb),
        "{name}: it grows by {growth_kb:?} KiB"
    );
}

#[test]
fn small_forwarded() {
    check_growth(&start(), "small", SMALL_BODY_BYTES);
}

#[test]
fn large_forwarded() {
    check_growth(&start(), "large", LARGE_BODY_BYTES);
}
