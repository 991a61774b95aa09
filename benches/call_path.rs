//! Latency, calls a second and processor time of the call path, and goodput above capacity, as ratios in one run.
//!
//! `cargo bench --bench call_path [-- latency|overload]`

#[path = "../tests/support/mod.rs"]
mod support;

mod load;

use {
    load::{closed_loop, open_loop, Tally, Target},
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const RUN: Duration = Duration::from_millis(2500);
const CONNECTIONS: [usize; 4] = [1, 16, 64, 256];
/// Calls a second of a daemon at full size.
const FULL_SIZE_RATE: u64 = 6400;
/// Work of a call and slots of a server in the overload part.
const WORK_MS: u32 = 20;
const SLOTS: u32 = 12;
const DEADLINE_MS: u32 = 300;

fn main() {
    let part = std::env::args().find(|arg| ["latency", "overload"].contains(&arg.as_str()));
    if part.as_deref() != Some("overload") {
        latency("info", &CONNECTIONS);
        latency("warning", &[64]);
    }
    if part.as_deref() != Some("latency") {
        overload();
    }
}

fn cluster(
    hosts: usize,
    slots: u32,
    work_ms: u32,
    service: &serde_json::Value,
    log_level: &'static str,
) -> Cluster {
    let name = service["name"].as_str().unwrap().to_owned();
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts,
        services: vec![name.clone()],
        log_level,
        ..ClusterPlan::default()
    });
    for host in 0..hosts {
        cluster.start_server(StandinPlan {
            host,
            service: name.clone(),
            slots,
            work_ms,
            checks_fencing: false,
            ..StandinPlan::default()
        });
    }
    // Every server is announced before ranges are given out.
    std::thread::sleep(Duration::from_secs(1));
    cluster.apply(0, &json!({ "cluster": "test", "services": [service] }));
    std::thread::sleep(Duration::from_secs(1));
    cluster
}

fn latency(log_level: &'static str, connections: &[usize]) {
    let kind = |name: &str, idempotent: bool| {
        let path = format!("/{name}");
        json!({ "name": name, "method": "*", "path": path, "idempotent": idempotent, "deadline_ms": 5000 })
    };
    let service = json!({
        "name": "ledger", "divided_by_key": true, "boundaries": ["m"],
        "calls": [kind("read", true), kind("pay", false)]
    });
    let cluster = cluster(2, 300, 0, &service, log_level);
    let caller = cluster.hosts[0].caller;
    let own = cluster.servers[0].address;
    wait_until("all keys are served", WAIT_TIMEOUT, || {
        ["alpha", "tango"].iter().all(|key| {
            let answer = cluster.call(0, "GET", "/ledger/read", &[("fold-key", *key)]);
            answer.is_some_and(|a| a.outcome == "answered")
        })
    });
    let is_own = cluster.owner(0, "[, m)") == Some(own.to_string());
    let (near, far) = if is_own {
        ("alpha", "tango")
    } else {
        ("tango", "alpha")
    };
    let rows = [
        ("direct", Target::new(own, "/read", near, false)),
        ("local", Target::new(caller, "/ledger/read", near, false)),
        ("forwarded", Target::new(caller, "/ledger/read", far, false)),
        ("guarded", Target::new(caller, "/ledger/pay", near, true)),
    ];
    println!(
        "path       conns  calls/s    p50 us   p99 us p99.9 us  entry daemon us/call  other daemon us/call"
    );
    println!("log level {log_level}");
    for connections in connections.iter().copied() {
        for (name, target) in &rows {
            let before = [0, 1].map(|host| cluster.host_cpu_ms(host));
            let tally = closed_loop(target, connections, RUN);
            let after = [0, 1].map(|host| cluster.host_cpu_ms(host));
            print_row(name, connections, &tally, before, after);
        }
    }
    println!("open loop at {FULL_SIZE_RATE} calls/s, latency from the planned start");
    for (name, target) in &rows {
        let before = [0, 1].map(|host| cluster.host_cpu_ms(host));
        let tally = open_loop(std::slice::from_ref(target), FULL_SIZE_RATE, RUN);
        let after = [0, 1].map(|host| cluster.host_cpu_ms(host));
        print_row(name, 0, &tally, before, after);
    }
}

fn print_row(name: &str, connections: usize, tally: &Tally, before: [u64; 2], after: [u64; 2]) {
    let calls = tally.answered.max(1);
    let per_call = |host: usize| (after[host] - before[host]) as f64 * 1000.0 / calls as f64;
    println!(
        "{name:<10} {connections:>5} {:>8.0} {:>9} {:>8} {:>8} {:>21.1} {:>21.1}   other outcomes {}",
        calls as f64 / RUN.as_secs_f64(),
        tally.latency.value_at_quantile(0.5),
        tally.latency.value_at_quantile(0.99),
        tally.latency.value_at_quantile(0.999),
        per_call(0),
        per_call(1),
        tally.other,
    );
}

fn overload() {
    let service = json!({
        "name": "orders", "divided_by_key": false,
        "calls": [{ "name": "read", "method": "*", "path": "/read", "idempotent": true, "deadline_ms": DEADLINE_MS }]
    });
    let capacity = u64::from(SLOTS) * 3 * 1000 / u64::from(WORK_MS + 1);
    println!("goodput of 3 servers with {SLOTS} slots, {WORK_MS} ms a call, deadline {DEADLINE_MS} ms, capacity {capacity}/s");
    println!("fault    offered   answered/s  round-robin without limits, answered/s   refused/s  failed/s");
    for fault in ["none", "frozen"] {
        let cluster = cluster(3, SLOTS, WORK_MS, &service, "info");
        wait_until("calls run", WAIT_TIMEOUT, || {
            let answer = cluster.call(0, "GET", "/orders/read", &[]);
            answer.is_some_and(|a| a.outcome == "answered")
        });
        if fault == "frozen" {
            cluster.signal_server(2, Signal::STOP);
        }
        for (factor, rate) in [
            (0.5, capacity / 2),
            (1.0, capacity),
            (2.0, capacity * 2),
            (4.0, capacity * 4),
        ] {
            let through: Vec<Target> = (0..3)
                .map(|host| {
                    Target::new(cluster.hosts[host].caller, "/orders/read", "", false).within(DEADLINE_MS)
                })
                .collect();
            let tally = open_loop(&through, rate, RUN);
            let direct: Vec<Target> = (0..3)
                .map(|server| {
                    Target::new(cluster.servers[server].address, "/read", "", false).within(DEADLINE_MS)
                })
                .collect();
            let baseline = open_loop(&direct, rate, RUN);
            let a_second = |count: u64| count as f64 / RUN.as_secs_f64();
            println!(
                "{fault:<8} {factor:>5}x  {:>11.0} {:>41.0} {:>11.0} {:>9.0}",
                a_second(tally.answered),
                a_second(baseline.answered),
                a_second(tally.refused),
                a_second(tally.other - tally.refused),
            );
        }
        if fault == "frozen" {
            cluster.signal_server(2, Signal::CONT);
        }
    }
}
