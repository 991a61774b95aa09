//! Garbled, oversized and slow requests to every listening address are refused or cut off, none of them is run, and
//! the daemon keeps serving.

mod support;

use {
    rand::{rngs::SmallRng, Rng, RngCore, SeedableRng},
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const SEED: u64 = 11;
const GARBLED_REQUESTS: usize = 1000;
/// Header of complete requests.
const CLOSE: &[u8] = b"connection: close";

fn cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts: 1,
        services: vec!["orders".into()],
        ..ClusterPlan::default()
    });
    cluster.start_server(StandinPlan {
        service: "orders".into(),
        ..StandinPlan::default()
    });
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "orders", "divided_by_key": false, "calls": [
            { "name": "read", "method": "GET", "path": "/read", "idempotent": true, "deadline_ms": 3000 }
        ]}]
    });
    cluster.apply(0, &schema);
    wait_until("calls run", WAIT_TIMEOUT, || serves(&cluster));
    cluster
}

fn serves(cluster: &Cluster) -> bool {
    let answer = cluster.call(0, "GET", "/orders/read/a", &[]);
    answer.is_some_and(|a| a.outcome == "answered")
}

/// Sends bytes and returns the answer. The sending side is closed unless the request is complete.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let _ = stream.write_all(bytes);
    // A caller that closes its sending side after a complete request counts as gone.
    if !bytes.windows(CLOSE.len()).any(|w| w == CLOSE) {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a request that has a few random bytes, is truncated or has a part doubled, or consists of random bytes.
fn garbled(rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes =
        b"POST /orders/write HTTP/1.1\r\nhost: a\r\nfold-key: k\r\ncontent-length: 4\r\n\r\nbody".to_vec();
    match rng.random_range(0..4) {
        0 => {
            for _ in 0..rng.random_range(1..8) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
        }
        1 => bytes.truncate(rng.random_range(0..bytes.len())),
        2 => {
            let at = rng.random_range(0..bytes.len());
            bytes.extend_from_within(at..);
        }
        _ => {
            bytes = vec![0; rng.random_range(1..300)];
            rng.fill_bytes(&mut bytes);
        }
    }
    bytes
}

#[test]
fn still_serves() {
    let cluster = cluster();
    let host = &cluster.hosts[0];
    let mut rng = SmallRng::seed_from_u64(SEED);
    for address in [host.caller, host.server, host.operator, host.peer] {
        for _ in 0..GARBLED_REQUESTS {
            exchange(address, &garbled(&mut rng));
        }
        assert!(serves(&cluster), "after garbled requests to {address}");
    }
    let status = cluster.ask(0, "status").unwrap();
    assert_eq!(status["sessions"].as_array().unwrap().len(), 1);
}

struct Row {
    name: &'static str,
    request: String,
    status: &'static str,
    reason: &'static str,
}

#[test]
fn refused_with_outcome() {
    let cluster = cluster();
    let row = |name, request: &str, status, reason| Row {
        name,
        request: request.to_owned(),
        status,
        reason,
    };
    let big_head = format!(
        "GET /orders/read HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    let big_body = "POST /orders/write HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n".to_owned()
        + &"x".repeat(2_000_000);
    let rows = [
        row("no HTTP", "what is this?\r\n\r\n", "400", "bad-header"),
        row("bad version", "GET / HTTP/9.9\r\n\r\n", "400", "bad-header"),
        row(
            "bad length",
            "GET /orders/read HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n",
            "400",
            "bad-header",
        ),
        row("head too large", &big_head, "431", "bad-header"),
        row("body too large", &big_body, "413", "too-large"),
        row(
            "body cut",
            "GET /orders/read HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc",
            "400",
            "incomplete-request",
        ),
        row(
            "unknown service",
            "GET /nothing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            "404",
            "unknown-service",
        ),
        row(
            "unknown kind",
            "PUT /orders/read HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            "404",
            "unknown-kind",
        ),
        row(
            "bad deadline",
            "GET /orders/read HTTP/1.1\r\nhost: a\r\nfold-deadline-ms: soon\r\nconnection: close\r\n\r\n",
            "400",
            "bad-header",
        ),
        row(
            "bad request id",
            "GET /orders/read HTTP/1.1\r\nhost: a\r\nfold-request-id: a b\r\nconnection: close\r\n\r\n",
            "400",
            "bad-header",
        ),
    ];
    for row in rows {
        let answer = exchange(cluster.hosts[0].caller, row.request.as_bytes());
        let head = answer.split("\r\n\r\n").next().unwrap().to_lowercase();
        assert!(
            head.starts_with(&format!("http/1.1 {}", row.status)),
            "{}: {head}",
            row.name
        );
        assert!(head.contains("fold-outcome: not-run"), "{}: {head}", row.name);
        assert!(
            head.contains(&format!("fold-reason: {}", row.reason)),
            "{}: {head}",
            row.name
        );
    }
    let report = cluster.report(0).unwrap();
    let before = report["calls"].as_u64().unwrap();
    assert!(serves(&cluster));
    assert_eq!(
        cluster.report(0).unwrap()["calls"].as_u64().unwrap(),
        before + 1,
        "nothing else was run"
    );
}

/// Callers that send nothing or a part of a request, or that never read the answer, do not delay others.
#[test]
fn slow_callers() {
    let cluster = cluster();
    let caller = cluster.hosts[0].caller;
    let sent_bytes: [&[u8]; 3] = [
        b"",
        b"GET /orders/read HTTP/1.1\r\nho",
        b"GET /orders/read HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    let connections: Vec<TcpStream> = (0..150)
        .map(|n| {
            let mut stream = TcpStream::connect(caller).unwrap();
            stream.write_all(sent_bytes[n % 3]).unwrap();
            stream
        })
        .collect();
    for _ in 0..20 {
        assert!(serves(&cluster));
    }
    drop(connections);
    assert!(serves(&cluster));
}
