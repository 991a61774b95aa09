//! A planned stop of a daemon must not interrupt calls: every call gets its complete response, and none runs twice.

mod support;

use {
    serde_json::{json, Value},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan::default());
    for host in 0..3 {
        cluster.start_server(StandinPlan {
            host,
            work_ms: 20,
            ..StandinPlan::default()
        });
    }
    wait_until("all servers are announced", WAIT_TIMEOUT, || {
        let status = cluster.ask(0, "status").unwrap_or_default();
        let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
        let announced = |s: &Value| s["servers"].as_array().is_some_and(|s| !s.is_empty());
        sessions.len() == 3 && sessions.iter().all(announced)
    });
    let schema = json!({
        "cluster": "test",
        "services": [{
            "name": "ledger", "divided_by_key": true, "boundaries": ["g", "m", "t"], "checks_fencing": true,
            "park_ms": 3000,
            "calls": [{ "name": "pay", "method": "POST", "path": "/pay", "idempotent": false, "deadline_ms": 5000 }]
        }]
    });
    cluster.apply(0, &schema);
    wait_until("all keys are served", WAIT_TIMEOUT, || {
        ["a", "h", "n", "u"].iter().all(|key| {
            let headers = [("fold-key", *key), ("fold-request-id", "warm")];
            let answer = cluster.call(0, "POST", "/ledger/pay", &headers);
            answer.is_some_and(|a| a.outcome == "answered" || a.reason == "request-id-reused")
        })
    });
    cluster
}

/// The calls of one caller.
#[derive(Default)]
struct CallerRecord {
    /// Request ids and outcomes.
    outcomes: Vec<(String, String)>,
    /// Number of requests whose connection ended without a response.
    unanswered: usize,
}

/// Sends calls over one connection after another until `stop` is set or the address refuses connections.
fn send_calls(name: &str, caller: SocketAddr, stop: &AtomicBool) -> CallerRecord {
    let mut record = CallerRecord::default();
    let mut number = 0;
    while let Ok(mut stream) = TcpStream::connect(caller) {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        loop {
            if stop.load(Ordering::SeqCst) {
                return record;
            }
            let id = format!("{name}-{number}");
            let key = ["a", "h", "n", "u"][number % 4];
            number += 1;
            let request = format!(
                "POST /ledger/pay HTTP/1.1\r\nhost: a\r\nfold-key: {key}\r\nfold-request-id: {id}\r\n\
                 content-length: 0\r\n\r\n"
            );
            let sent = stream.write_all(request.as_bytes());
            let Some(answer) = sent.ok().and_then(|()| read_answer(&mut stream)) else {
                record.unanswered += 1;
                break;
            };
            let outcome = answer.split("fold-outcome: ").nth(1).unwrap();
            record
                .outcomes
                .push((id, outcome.lines().next().unwrap().to_owned()));
            if answer.contains("connection: close") {
                break;
            }
        }
    }
    record
}

/// Reads a response to the end of its body. Returns `None` if the connection ends before.
fn read_answer(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 2048];
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
        let length = head
            .split("content-length: ")
            .nth(1)
            .and_then(|l| l.lines().next());
        if length.is_some_and(|l| l.parse() == Ok(body.len())) {
            return Some(text);
        }
    }
}

/// Returns how often the servers ran the call `id`.
fn run_count(reports: &[Value], id: &str) -> u64 {
    reports
        .iter()
        .filter_map(|report| report["runs"][id].as_u64())
        .sum()
}

#[test]
fn no_call_interrupted() {
    let mut cluster = cluster();
    let stop = AtomicBool::new(false);
    let callers: Vec<SocketAddr> = cluster.hosts.iter().map(|host| host.caller).collect();
    let records: Vec<CallerRecord> = thread::scope(|scope| {
        let stop = &stop;
        let senders: Vec<_> = (0..6)
            .map(|n| {
                let caller = callers[n % 3];
                scope.spawn(move || send_calls(&format!("caller-{n}"), caller, stop))
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        let exited_successfully = cluster.stop_host(1);
        thread::sleep(Duration::from_millis(200));
        stop.store(true, Ordering::SeqCst);
        assert!(exited_successfully);
        senders.into_iter().map(|sender| sender.join().unwrap()).collect()
    });
    let unanswered: usize = records.iter().map(|r| r.unanswered).sum();
    assert_eq!(unanswered, 0, "no connection ends without a response");
    let reports: Vec<Value> = (0..cluster.servers.len())
        .map(|server| cluster.report(server).unwrap())
        .collect();
    for (id, outcome) in records.iter().flat_map(|r| &r.outcomes) {
        match (outcome.as_str(), run_count(&reports, id)) {
            ("answered", 1) | ("not-run", 0) => {}
            (outcome, runs) => panic!("{id}: reported {outcome}, ran {runs} times"),
        }
    }
    let all = records.iter().flat_map(|r| &r.outcomes);
    let refused = all.clone().filter(|(_, outcome)| outcome == "not-run").count();
    eprintln!("{} calls, {refused} refused", all.count());
}
