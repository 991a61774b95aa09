//! Splits both example deployments while callers send calls.

mod support;

use {
    clementinefold::{
        clock::Ms,
        load::{run_load, LoadReport, LoadSettings},
        schema::Schema,
    },
    serde_json::{json, Value},
    std::{fs, thread, time::Duration},
    support::{longest_gap, overlaps, wait_until, Cluster, ClusterPlan, StandinPlan, WAIT_TIMEOUT},
};

/// Maximum time for a split with all of its moves.
const SPLIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of keys whose owners are checked in the servers' reports.
const PROBE_KEYS: u32 = 40;
/// Churn budget of the divided service. It is high because the test checks the stages, not the pace of the moves.
const MOVES_PER_MINUTE: u32 = 600;

/// One deployment of examples/, run on the hosts of a test cluster.
struct Deployment {
    name: &'static str,
    /// Name of the service that is divided by key.
    divided: &'static str,
    /// Number of hosts. The last one is the second half.
    hosts: usize,
    /// First key of the second half.
    second_half_start: &'static str,
    /// Each service with the number of its servers.
    services: &'static [(&'static str, usize)],
}

const AGENCY: Deployment = Deployment {
    name: "agency",
    divided: "ucty",
    hosts: 5,
    second_half_start: "key-3",
    services: &[("portal-stav", 3), ("prikazy", 3), ("ucty", 5)],
};
const TAILORS: Deployment = Deployment {
    name: "tailors",
    divided: "fitting-desk",
    hosts: 3,
    second_half_start: "key-3",
    services: &[("fitting-desk", 3), ("order-book", 3), ("pattern-room", 3)],
};

impl Deployment {
    fn schema(&self) -> Value {
        let path = format!(
            "{}/examples/{}/schema.json",
            env!("CARGO_MANIFEST_DIR"),
            self.name
        );
        let mut schema: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
        schema["cluster"] = json!("test");
        let services = schema["services"].as_array_mut().unwrap();
        let divided = services.iter_mut().find(|s| s["name"] == self.divided).unwrap();
        // The boundaries lie between the probe keys, which start at `key-0`.
        divided["boundaries"] =
            json!(["key-1", "key-2", "key-3", "key-4", "key-5", "key-6", "key-7", "key-8"]);
        divided["moves_per_minute"] = json!(MOVES_PER_MINUTE);
        let hosts: Vec<String> = (1..=self.hosts).map(|n| format!("host-{n}")).collect();
        let (first, second) = hosts.split_at(self.hosts - 1);
        schema["split"] = json!({
            "first": { "name": "first", "hosts": first,
                "spans": [{ "service": self.divided, "end": self.second_half_start }] },
            "second": { "name": "second", "hosts": second,
                "spans": [{ "service": self.divided, "start": self.second_half_start }] },
        });
        schema
    }

    fn start(&self) -> Cluster {
        let mut cluster = Cluster::start(&ClusterPlan {
            hosts: self.hosts,
            services: self.services.iter().map(|(name, _)| (*name).to_owned()).collect(),
            ..ClusterPlan::default()
        });
        for (service, count) in self.services {
            for host in 0..*count {
                cluster.start_server(StandinPlan {
                    host,
                    service: (*service).into(),
                    slots: 12,
                    ..StandinPlan::default()
                });
            }
        }
        wait_until("all servers are announced", WAIT_TIMEOUT, || {
            let status = cluster.ask(0, "status").unwrap_or_default();
            let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
            let servers = sessions
                .iter()
                .filter_map(|s| s["servers"].as_array())
                .map(Vec::len);
            servers.sum::<usize>() == cluster.servers.len()
        });
        cluster.apply(0, &self.schema());
        cluster
    }

    fn load(&self, cluster: &Cluster, calls: u32) -> LoadSettings {
        LoadSettings {
            addresses: cluster.hosts.iter().map(|h| h.caller).collect(),
            schema: Schema::from_json(&self.schema().to_string()).unwrap(),
            connections: 6,
            calls,
            keys: 500,
            deadline: Ms(3000),
            pause: Ms(4),
            seed: 11,
        }
    }
}

fn stage(cluster: &Cluster) -> String {
    let split = cluster.ask(0, "split").unwrap_or_default();
    split["stage"].as_str().unwrap_or_default().to_owned()
}

fn run_command(cluster: &Cluster, name: &str) {
    wait_until(name, WAIT_TIMEOUT, || {
        let base = cluster.ask(0, "show").unwrap_or_default()["revision"].clone();
        let body = json!({ "command_id": cluster.command_id(), "base": base });
        let answer = cluster.command(0, name, &body).unwrap_or_default();
        assert!(answer.get("refused").is_none(), "{name}: {answer}");
        answer.get("accepted").is_some()
    });
}

fn wait_for_stage(cluster: &Cluster, wanted: &str) {
    wait_until(wanted, SPLIT_TIMEOUT, || stage(cluster) == wanted);
}

fn reports(cluster: &Cluster, service: &str) -> Vec<Value> {
    let servers = (0..cluster.servers.len()).filter(|s| cluster.servers[*s].plan.service == service);
    servers.filter_map(|s| cluster.report(s)).collect()
}

/// Returns the number of range assignments that the control host has logged.
fn assignments(cluster: &Cluster) -> usize {
    cluster.log("host-1").matches("range assigned").count()
}

fn split_under_load(deployment: &Deployment) {
    let cluster = deployment.start();
    let warm_up = run_load(&deployment.load(&cluster, 600)).unwrap();
    assert_eq!(warm_up.wrong(), 0);
    let assignments_before = assignments(&cluster);
    let settings = deployment.load(&cluster, 9000);
    let load = thread::spawn(move || run_load(&settings).unwrap());
    run_command(&cluster, "split-start");
    run_command(&cluster, "split-pause");
    assert_eq!(stage(&cluster), "paused");
    run_command(&cluster, "split-resume");
    wait_for_stage(&cluster, "settled");
    let moved = assignments(&cluster) - assignments_before;
    let split = cluster.ask(0, "split").unwrap();
    let report: LoadReport = load.join().unwrap();
    assert_eq!(report.wrong(), 0, "{report}");
    assert_eq!(split["left"]["misplaced"], 0, "{split}");

    run_command(&cluster, "split-part");
    wait_for_stage(&cluster, "parted");
    let reports = reports(&cluster, deployment.divided);
    let probes: Vec<String> = (0..PROBE_KEYS).map(|n| format!("key-{n}")).collect();
    for key in &probes {
        assert_eq!(overlaps(&reports, key), [], "{}: {key}", deployment.name);
    }
    let kept_keys = probes
        .iter()
        .filter(|k| k.as_str() < deployment.second_half_start);
    let gap = kept_keys.map(|key| longest_gap(&reports, key)).max();
    println!(
        "{}: {moved} ranges moved, longest gap {gap:?} ms\n{report}",
        deployment.name
    );
}

#[test]
fn agency() {
    split_under_load(&AGENCY);
}

#[test]
fn tailors() {
    split_under_load(&TAILORS);
}
