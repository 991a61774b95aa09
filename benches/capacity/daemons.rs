use {
    super::{
        measure::{process_cpu_ms, resident},
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

/// Time over which an idle daemon is watched.
const IDLE_SPAN: Duration = Duration::from_secs(10);
/// Calls that are timed for each way.
const CALLS: usize = 3000;
/// Time for what must happen at some point.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn schema() -> Value {
    json!({ "cluster": "test", "services": [{
        "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true,
        "calls": [{ "name": "read", "method": "GET", "path": "/read", "idempotent": true }]
    }] })
}

/// Two daemons with a server each; both ranges are owned.
fn cluster(log_level: &str) -> Cluster {
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
        let announced = |s: &Value| s["servers"].as_array().is_some_and(|s| !s.is_empty());
        sessions.len() == 2 && sessions.iter().all(announced)
    });
    cluster.apply(0, &schema());
    for key in ["a", "z"] {
        wait_until("every key is served", WAIT_TIMEOUT, || serves(&cluster, key));
    }
    cluster
}

fn serves(cluster: &Cluster, key: &str) -> bool {
    let answer = cluster.call(1, "GET", "/ledger/read", &[("fold-key", key)]);
    answer.is_some_and(|a| a.outcome == "answered")
}

/// An idle daemon: processor time, memory and threads. Host 1 is the leader, host 2 has no control role.
pub fn idle() {
    let cluster = cluster("info");
    let pids: Vec<u32> = (0..2).map(|host| cluster.pid(host)).collect();
    let before: Vec<f64> = pids.iter().map(|pid| process_cpu_ms(*pid)).collect();
    thread::sleep(IDLE_SPAN);
    for (host, pid) in pids.iter().enumerate() {
        let cpu = process_cpu_ms(*pid) - before[host];
        println!(
            "{}: {:.2}% of a core, {:.1} MiB resident, {} threads, {} descriptors",
            ["leader and daemon", "daemon"][host],
            cpu / IDLE_SPAN.as_millis() as f64 * 100.0,
            resident(&pid.to_string()) as f64 / 1_048_576.0,
            entries(*pid, "task"),
            entries(*pid, "fd")
        );
    }
}

fn entries(pid: u32, what: &str) -> usize {
    fs::read_dir(format!("/proc/{pid}/{what}")).unwrap().count()
}

/// Processor time of the daemons for a call, one at a time on one connection, by way and log level.
pub fn calls() {
    println!("log  way  entry-us  owner-us  wall-us");
    for level in ["info", "warning"] {
        let cluster = cluster(level);
        let own = if cluster.owner(0, "[, m)") == Some(cluster.servers[0].address.to_string()) {
            ["a", "z"]
        } else {
            ["z", "a"]
        };
        for (way, key) in [("local", own[0]), ("forwarded", own[1])] {
            let pids = [cluster.pid(0), cluster.pid(1)];
            let before = pids.map(process_cpu_ms);
            let started = Instant::now();
            for _ in 0..CALLS {
                let answer = cluster.call(0, "GET", "/ledger/read", &[("fold-key", key)]);
                assert!(answer.is_some_and(|a| a.outcome == "answered"));
            }
            let wall = started.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
            let per_call = |i: usize| (process_cpu_ms(pids[i]) - before[i]) * 1000.0 / CALLS as f64;
            println!(
                "{level}  {way}  {:.0}  {:.0}  {wall:.0}",
                per_call(0),
                per_call(1)
            );
        }
    }
}

/// Processor time of both daemons for a call at many connections, half of the calls forwarded.
pub fn load() {
    println!("log  connections  answered  us-of-both-daemons  calls-a-second");
    for level in ["info", "warning"] {
        let cluster = cluster(level);
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
            let before: f64 = (0..2).map(|host| process_cpu_ms(cluster.pid(host))).sum();
            let started = Instant::now();
            let report = run_load(&settings).unwrap();
            let seconds = started.elapsed().as_secs_f64();
            let after: f64 = (0..2).map(|host| process_cpu_ms(cluster.pid(host))).sum();
            let cpu = (after - before) * 1000.0 / report.calls() as f64;
            let rate = report.calls() as f64 / seconds;
            println!(
                "{level}  {connections}  {}  {cpu:.0}  {rate:.0}",
                report.answered()
            );
        }
    }
}
