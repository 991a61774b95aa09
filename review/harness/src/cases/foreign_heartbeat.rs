//! Another writer sends a heartbeat that names a service which no configuration has.

use {
    super::{services, Deployment, MACHINES},
    crate::{
        client::{Clients, Load},
        http::exchange,
        record::Record,
        server::{wall_ms, Held},
        Verdict,
    },
    std::{
        net::SocketAddr,
        path::PathBuf,
        sync::Arc,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Machine whose daemon gets the heartbeat.
const MACHINE: usize = 6;
/// Longest time for which two servers may hold the same key.
const OVERLAP_MAX: Duration = Duration::from_millis(500);

/// Sends one heartbeat of another writer to the daemon of a machine.
fn send_foreign_heartbeat(record: &Record, to: SocketAddr, address: SocketAddr) {
    let body = format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"unnamed0\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":12}},\
         \"status\":{{\"state\":\"ready\",\"sequence\":1,\"warmupLeft\":\"0ms\"}},\"born\":{},\"holds\":[],\"freed\":[]}}",
        wall_ms()
    );
    let head = "POST /v1/instances/i-other/heartbeat HTTP/1.1\r\nhost: d\r\ncontent-type: application/json";
    let status = exchange(to, head, body.as_bytes(), Duration::from_secs(1)).map(|m| m.status());
    record.say(&format!("another writer: sends {body}, answer {status:?}"));
}

fn start(record: &Arc<Record>, root: PathBuf) -> Result<(Deployment, Clients), String> {
    let deployment = Deployment::start(record, root, &services(), &MACHINES)?;
    let mut clients = Clients::default();
    for machine in 0..MACHINES.len() {
        clients.start(
            &deployment.fleet,
            Load {
                machine,
                route: "/ucty/".to_owned(),
                method: "DELETE",
                is_keyed: true,
                interval: Duration::from_millis(100),
                deadline: Duration::from_millis(1200),
            },
        );
        clients.start(
            &deployment.fleet,
            Load {
                machine,
                route: "/portal-stav/".to_owned(),
                method: "GET",
                is_keyed: false,
                interval: Duration::from_millis(200),
                deadline: Duration::from_millis(1500),
            },
        );
    }
    sleep(Duration::from_secs(6));
    Ok((deployment, clients))
}

/// The heartbeat has the address of the server beside the daemon. Checks that no key is held by two servers.
pub fn run_keys(record: &Arc<Record>, root: PathBuf, is_disrupted: bool) -> Verdict {
    let (deployment, clients) = match start(record, root) {
        Ok(started) => started,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    if is_disrupted {
        let to = deployment.fleet.heartbeat_address(MACHINE);
        send_foreign_heartbeat(record, to, deployment.servers[MACHINE].address);
    }
    sleep(Duration::from_secs(8));
    clients.stop();
    let held: Vec<(String, Vec<Held>)> = deployment
        .servers
        .iter()
        .map(|s| (s.id.clone(), s.held()))
        .collect();
    deployment.stop();
    let mut overlaps = 0;
    for (i, (a, of_a)) in held.iter().enumerate() {
        for (b, of_b) in &held[i + 1..] {
            for (x, y) in of_a.iter().flat_map(|x| of_b.iter().map(move |y| (x, y))) {
                let shares_keys = x.span.0 <= y.span.1 && y.span.0 <= x.span.1;
                let (from, until) = (x.from.max(y.from), x.until.min(y.until));
                let both: Duration = until.saturating_duration_since(from);
                if shares_keys && both > OVERLAP_MAX {
                    overlaps += 1;
                    record.line_at(
                        from,
                        &format!(
                            "broken: {a} holds {:?} and {b} holds {:?} for {} ms",
                            x.span,
                            y.span,
                            both.as_millis()
                        ),
                    );
                }
            }
        }
    }
    record.say(&format!(
        "{overlaps} pairs of holds of the same keys lasted longer than {} ms",
        OVERLAP_MAX.as_millis()
    ));
    match overlaps {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// The heartbeat has an address at which nothing listens. Checks the name of the calling service on all requests.
pub fn run_caller(record: &Arc<Record>, root: PathBuf, is_disrupted: bool) -> Verdict {
    let (deployment, clients) = match start(record, root) {
        Ok(started) => started,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let at = Instant::now();
    if is_disrupted {
        let to = deployment.fleet.heartbeat_address(MACHINE);
        send_foreign_heartbeat(record, to, SocketAddr::new(to.ip(), 8399));
    }
    sleep(Duration::from_secs(8));
    let sent = clients.stop();
    let runs: Vec<_> = deployment.servers.iter().flat_map(|s| s.runs()).collect();
    deployment.stop();
    let mut wrong = 0;
    for run in &runs {
        let Some(request) = sent.iter().find(|s| s.attempt == run.attempt) else {
            continue;
        };
        if run.origin != MACHINES[request.machine] {
            wrong += 1;
            record.line_at(
                run.at,
                &format!(
                    "broken: {} runs for {:?}; it began beside a server of {:?}",
                    run.attempt, run.origin, MACHINES[request.machine]
                ),
            );
        }
    }
    record.line_at(at, "the heartbeat of the other writer was due");
    record.say(&format!(
        "{wrong} of {} runs were told another calling service than that of the machine",
        runs.len()
    ));
    match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
