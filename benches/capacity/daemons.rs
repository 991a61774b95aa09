use {
    super::{
        measure::{process_cpu_ms, resident_bytes},
        support::{wait_until, Cluster, ClusterPlan, StandinPlan},
    },
    clementinefold::{
        clock::Ms,
        load::{run_load, LoadSettings},
        schema::Schema,
    },
    serde_json::{json, Value},
    std::{
        fs, thread,
        time::{Duration, Instant},
    },
};

/// Time for which idle daemons are measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);
/// Number of calls that are timed on each path.
const CALLS_PER_PATH: usize = 3000;
/// Longest wait for a condition of the cluster.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn schema() -> Value {
    json!({ "cluster": "test", "services": [{
        "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true,
        "calls": [{ "name": "read", "method": "GET", "path": "/read", "idempotent": true }]
    }] })
}

/// Starts two daemons with one server each, and waits until both ranges are served.
fn start_cluster(log_level: &str) -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts: 2,
        daemon_args: vec!["--log-level".into(), log_level.into()],
        ..ClusterPlan::default()
    });
    for host in 0..2 {
        cluster.start_server(StandinPlan {
            host,
            slots: 12,
            work_ms: 0,
            ..StandinPlan::default()
        });
    }
    wait_until("both servers are announced", WAIT_TIMEOUT, || {
        let status = cluster.ask(1, "status").unwrap_or_default();
        let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
        let has_server = |s: &Value| s["servers"].as_array().is_some_and(|s| !s.is_empty());
        sessions.len() == 2 && sessions.iter().all(has_server)
    });
    cluster.apply(0, &schema());
    for key in ["a", "z"] {
        wait_until("every key is served", WAIT_TIMEOUT, || is_served(&cluster, key));
    }
    cluster
}

fn is_served(cluster: &Cluster, key: &str) -> bool {
    let answer = cluster.call(1, "GET", "/ledger/read", &[("fold-key", key)]);
    answer.is_some_and(|a| a.outcome == "answered")
}

/// Prints the processor time, memory, threads and descriptors of idle daemons. Host 1 is the leader, host 2 has no
/// control role.
pub fn idle() {
    let cluster = start_cluster("info");
    let pids: Vec<u32> = (0..2).map(|host| cluster.pid(host)).collect();
    let cpu_before_ms: Vec<f64> = pids.iter().map(|pid| process_cpu_ms(*pid)).collect();
    thread::sleep(IDLE_DURATION);
    for (host, pid) in pids.iter().enumerate() {
        let cpu_ms = process_cpu_ms(*pid) - cpu_before_ms[host];
        println!(
            "{}: {:.2}% of a core, {:.1} MiB resident, {} threads, {} descriptors",
            ["leader and daemon", "daemon"][host],
            cpu_ms / IDLE_DURATION.as_millis() as f64 * 100.0,
            resident_bytes(&pid.to_string()) as f64 / 1_048_576.0,
            count_proc_entries(*pid, "task"),
            count_proc_entries(*pid, "fd")
        );
    }
}

fn count_proc_entries(pid: u32, folder: &str) -> usize {
    fs::read_dir(format!("/proc/{pid}/{folder}")).unwrap().count()
}

/// Prints the processor time of the daemons per call, with one call at a time on one connection, by path and log level.
pub fn calls() {
    println!("log  path  entry-us  owner-us  wall-us");
    for level in ["info", "warning"] {
        let cluster = start_cluster(level);
        let keys_local_first = if cluster.owner(0, "[, m)") == Some(cluster.servers[0].address.to_string()) {
            ["a", "z"]
        } else {
            ["z", "a"]
        };
        for (path, key) in [("local", keys_local_first[0]), ("forwarded", keys_local_first[1])] {
            let pids = [cluster.pid(0), cluster.pid(1)];
            let cpu_before_ms = pids.map(process_cpu_ms);
            let started = Instant::now();
            for _ in 0..CALLS_PER_PATH {
                let answer = cluster.call(0, "GET", "/ledger/read", &[("fold-key", key)]);
                assert!(answer.is_some_and(|a| a.outcome == "answered"));
            }
            let wall_us = started.elapsed().as_secs_f64() * 1e6 / CALLS_PER_PATH as f64;
            let cpu_us_per_call =
                |i: usize| (process_cpu_ms(pids[i]) - cpu_before_ms[i]) * 1000.0 / CALLS_PER_PATH as f64;
            println!(
                "{level}  {path}  {:.0}  {:.0}  {wall_us:.0}",
                cpu_us_per_call(0),
                cpu_us_per_call(1)
            );
        }
    }
}

/// Prints the processor time of both daemons per call over several connections, with half of the calls forwarded.
pub fn load() {
    println!("log  connections  answered  us-of-both-daemons  calls-a-second");
    for level in ["info", "warning"] {
        let cluster = start_cluster(level);
        for connections in [4, 32] {
            let settings = LoadSettings {
                addresses: cluster.hosts.iter().map(|host| host.caller).collect(),
                schema: Schema::from_json(&schema().to_string()).unwrap(),
                connections,
                calls: 20_000,
                keys: 1000,
                deadline: Ms(5000),
                pause: Ms(0),
                seed: 1,
            };
            let cpu_before_ms: f64 = (0..2).map(|host| process_cpu_ms(cluster.pid(host))).sum();
            let started = Instant::now();
            let report = run_load(&settings).unwrap();
            let seconds = started.elapsed().as_secs_f64();
            let cpu_after_ms: f64 = (0..2).map(|host| process_cpu_ms(cluster.pid(host))).sum();
            let cpu_us = (cpu_after_ms - cpu_before_ms) * 1000.0 / report.calls() as f64;
            let rate = report.calls() as f64 / seconds;
            println!(
                "{level}  {connections}  {}  {cpu_us:.0}  {rate:.0}",
                report.answered()
            );
        }
    }
}
