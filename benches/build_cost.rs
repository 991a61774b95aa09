//! Compares the processor time and the latency of small calls between builds of the daemon. The builds take turns within
//! one run, so that the load of the machine is the same for all of them. A build that is listed twice shows the noise.
//!
//! Usage: `cargo bench --bench build_cost -- LOG_LEVEL CONNECTIONS NAME=PROGRAM...`

#[path = "../tests/support/mod.rs"]
mod support;

mod load;

use {
    load::{closed_loop, Target},
    serde_json::json,
    std::time::Duration,
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const SAMPLE_DURATION: Duration = Duration::from_millis(1000);
/// Number of samples of each build and kind of call.
const ROUNDS: usize = 10;
/// Body of a small call that has one.
const BODY_BYTES: usize = 1024;
/// Slots of each server, more than connections, so that no call waits for one.
const SLOTS: u32 = 300;

/// A build of the daemon with the cluster that runs it, and the calls that are sent to it.
struct Build {
    name: String,
    cluster: Cluster,
    targets: Vec<(&'static str, Target)>,
    /// Samples of each target.
    samples: Vec<Vec<Sample>>,
}

/// Processor time and latency of the calls of one sample.
struct Sample {
    cpu_us_per_call: f64,
    p50_us: f64,
    p99_us: f64,
    other: u64,
}

impl Build {
    fn start(name: &str, program: &str, log_level: &'static str) -> Self {
        // Each service has one server, so that no keys move between the daemons.
        let services = ["near", "far"];
        let mut cluster = Cluster::start(&ClusterPlan {
            hosts: 2,
            services: services.map(Into::into).to_vec(),
            log_level,
            daemon_program: program.into(),
            ..ClusterPlan::default()
        });
        for (host, service) in services.into_iter().enumerate() {
            cluster.start_server(StandinPlan {
                host,
                service: service.into(),
                slots: SLOTS,
                work_ms: 0,
                checks_fencing: false,
                ..StandinPlan::default()
            });
        }
        let schema = services.map(|name| {
            let kind = json!({
                "name": "read", "method": "*", "path": "/read", "idempotent": true, "deadline_ms": 5000
            });
            json!({ "name": name, "divided_by_key": false, "calls": [kind] })
        });
        cluster.apply(0, &json!({ "cluster": "test", "services": schema }));
        let paths = ["/near/read", "/far/read"];
        wait_until("both services are served", WAIT_TIMEOUT, || {
            paths.iter().all(|path| {
                let answer = cluster.call(0, "GET", path, &[]);
                answer.is_some_and(|a| a.outcome == "answered")
            })
        });
        let [local, forwarded] = paths.map(|path| Target::new(cluster.hosts[0].caller, path, "", false));
        let targets = vec![
            ("local GET", local.clone()),
            ("local POST", local.with_body(BODY_BYTES)),
            ("forwarded GET", forwarded.clone()),
            ("forwarded POST", forwarded.with_body(BODY_BYTES)),
        ];
        Self {
            name: name.into(),
            samples: targets.iter().map(|_| Vec::new()).collect(),
            targets,
            cluster,
        }
    }

    fn cpu_ms(&self) -> u64 {
        (0..2).map(|host| self.cluster.host_cpu_ms(host)).sum()
    }

    fn sample(&mut self, position: usize, connections: usize) {
        let before_ms = self.cpu_ms();
        let stats = closed_loop(&self.targets[position].1, connections, SAMPLE_DURATION);
        let used_us = (self.cpu_ms() - before_ms) * 1000;
        self.samples[position].push(Sample {
            cpu_us_per_call: used_us as f64 / stats.answered.max(1) as f64,
            p50_us: stats.latency.value_at_quantile(0.5) as f64,
            p99_us: stats.latency.value_at_quantile(0.99) as f64,
            other: stats.other,
        });
    }

    fn print_row(&self, position: usize) {
        let samples = &self.samples[position];
        let (low, median, high) = spread(samples, |s| s.cpu_us_per_call);
        println!(
            "{:<15} {:<10} {median:>7.1} ({low:.1} to {high:.1}) {:>7.0} {:>7.0} {:>6}",
            self.targets[position].0,
            self.name,
            spread(samples, |s| s.p50_us).1,
            spread(samples, |s| s.p99_us).1,
            samples.iter().map(|s| s.other).sum::<u64>(),
        );
    }
}

/// Returns the quartiles of a figure.
fn spread(samples: &[Sample], figure: fn(&Sample) -> f64) -> (f64, f64, f64) {
    let mut figures: Vec<f64> = samples.iter().map(figure).collect();
    figures.sort_unstable_by(f64::total_cmp);
    let at = |quarter: usize| figures[(figures.len() - 1) * quarter / 4];
    (at(1), at(2), at(3))
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|arg| arg != "--bench").collect();
    let [log_level, connections, programs @ ..] = args.as_slice() else {
        eprintln!("usage: cargo bench --bench build_cost -- LOG_LEVEL CONNECTIONS NAME=PROGRAM...");
        return;
    };
    let log_level = if log_level == "info" { "info" } else { "warning" };
    let connections: usize = connections.parse().unwrap();
    let builds = programs.iter().map(|program| {
        let (name, program) = program.split_once('=').unwrap();
        Build::start(name, program, log_level)
    });
    let mut builds: Vec<Build> = builds.collect();
    let kinds = builds.first().map_or(0, |build| build.targets.len());
    for round in 0..ROUNDS {
        for kind in 0..kinds {
            for i in 0..builds.len() {
                // Each build is the first of a round in turn.
                let position = (i + round) % builds.len();
                builds[position].sample(kind, connections);
            }
        }
    }
    println!("log level {log_level}, {connections} connections, {ROUNDS} samples of {SAMPLE_DURATION:?}");
    println!("call            build      us of both daemons per call, median (quartiles); p50 us, p99 us, other outcomes");
    for kind in 0..kinds {
        builds.iter().for_each(|build| build.print_row(kind));
    }
}
