//! Measures the latency, rate and processor time of the call path, and the goodput above capacity. The figures of one
//! run are meant to be compared as ratios.
//!
//! Usage: `cargo bench --bench call_path [-- latency|overload]`

#[path = "../tests/support/mod.rs"]
mod support;

mod load;

use {
    load::{closed_loop, open_loop, CallStats, Target},
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const MEASUREMENT_DURATION: Duration = Duration::from_millis(2500);
const CONNECTIONS: [usize; 4] = [1, 16, 64, 256];
/// Calls per second of a daemon at full size.
const FULL_SIZE_CALLS_PER_S: u64 = 6400;
/// Time that a server works on a call in the overload part.
const WORK_MS: u32 = 20;
/// Slots of each server in the overload part.
const SLOTS: u32 = 12;
/// Deadline of the calls in the overload part.
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

fn start_cluster(
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
    // Gives all servers time to be announced before ranges are assigned.
    std::thread::sleep(Duration::from_secs(1));
    cluster.apply(0, &json!({ "cluster": "test", "services": [service] }));
    std::thread::sleep(Duration::from_secs(1));
    cluster
}

fn latency(log_level: &'static str, connections: &[usize]) {
    let call_kind = |name: &str, idempotent: bool| {
        let path = format!("/{name}");
        json!({ "name": name, "method": "*", "path": path, "idempotent": idempotent, "deadline_ms": 5000 })
    };
    let service = json!({
        "name": "ledger", "divided_by_key": true, "boundaries": ["m"],
        "calls": [call_kind("read", true), call_kind("pay", false)]
    });
    let cluster = start_cluster(2, 300, 0, &service, log_level);
    let caller = cluster.hosts[0].caller;
    let own_server = cluster.servers[0].address;
    wait_until("all keys are served", WAIT_TIMEOUT, || {
        ["alpha", "tango"].iter().all(|key| {
            let answer = cluster.call(0, "GET", "/ledger/read", &[("fold-key", *key)]);
            answer.is_some_and(|a| a.outcome == "answered")
        })
    });
    let owns_first_range = cluster.owner(0, "[, m)") == Some(own_server.to_string());
    let (local_key, forwarded_key) = if owns_first_range {
        ("alpha", "tango")
    } else {
        ("tango", "alpha")
    };
    let targets = [
        ("direct", Target::new(own_server, "/read", local_key, false)),
        ("local", Target::new(caller, "/ledger/read", local_key, false)),
        (
            "forwarded",
            Target::new(caller, "/ledger/read", forwarded_key, false),
        ),
        ("guarded", Target::new(caller, "/ledger/pay", local_key, true)),
    ];
    println!(
        "path       conns  calls/s    p50 us   p99 us p99.9 us  entry daemon us/call  other daemon us/call"
    );
    println!("log level {log_level}");
    for connections in connections.iter().copied() {
        for (name, target) in &targets {
            let cpu_before_ms = [0, 1].map(|host| cluster.host_cpu_ms(host));
            let stats = closed_loop(target, connections, MEASUREMENT_DURATION);
            let cpu_after_ms = [0, 1].map(|host| cluster.host_cpu_ms(host));
            print_row(name, connections, &stats, cpu_before_ms, cpu_after_ms);
        }
    }
    println!("open loop at {FULL_SIZE_CALLS_PER_S} calls/s, latency from the planned start");
    for (name, target) in &targets {
        let cpu_before_ms = [0, 1].map(|host| cluster.host_cpu_ms(host));
        let stats = open_loop(
            std::slice::from_ref(target),
            FULL_SIZE_CALLS_PER_S,
            MEASUREMENT_DURATION,
        );
        let cpu_after_ms = [0, 1].map(|host| cluster.host_cpu_ms(host));
        print_row(name, 0, &stats, cpu_before_ms, cpu_after_ms);
    }
}

fn print_row(
    name: &str,
    connections: usize,
    stats: &CallStats,
    cpu_before_ms: [u64; 2],
    cpu_after_ms: [u64; 2],
) {
    let answered = stats.answered.max(1);
    let cpu_us_per_call =
        |host: usize| (cpu_after_ms[host] - cpu_before_ms[host]) as f64 * 1000.0 / answered as f64;
    println!(
        "{name:<10} {connections:>5} {:>8.0} {:>9} {:>8} {:>8} {:>21.1} {:>21.1}   other outcomes {}",
        answered as f64 / MEASUREMENT_DURATION.as_secs_f64(),
        stats.latency.value_at_quantile(0.5),
        stats.latency.value_at_quantile(0.99),
        stats.latency.value_at_quantile(0.999),
        cpu_us_per_call(0),
        cpu_us_per_call(1),
        stats.other,
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
        let cluster = start_cluster(3, SLOTS, WORK_MS, &service, "info");
        wait_until("calls are answered", WAIT_TIMEOUT, || {
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
            let via_daemons: Vec<Target> = (0..3)
                .map(|host| {
                    Target::new(cluster.hosts[host].caller, "/orders/read", "", false)
                        .with_deadline(DEADLINE_MS)
                })
                .collect();
            let stats = open_loop(&via_daemons, rate, MEASUREMENT_DURATION);
            let direct: Vec<Target> = (0..3)
                .map(|server| {
                    Target::new(cluster.servers[server].address, "/read", "", false)
                        .with_deadline(DEADLINE_MS)
                })
                .collect();
            let baseline = open_loop(&direct, rate, MEASUREMENT_DURATION);
            let per_second = |count: u64| count as f64 / MEASUREMENT_DURATION.as_secs_f64();
            println!(
                "{fault:<8} {factor:>5}x  {:>11.0} {:>41.0} {:>11.0} {:>9.0}",
                per_second(stats.answered),
                per_second(baseline.answered),
                per_second(stats.refused),
                per_second(stats.other - stats.refused),
            );
        }
        if fault == "frozen" {
            cluster.signal_server(2, Signal::CONT);
        }
    }
}
