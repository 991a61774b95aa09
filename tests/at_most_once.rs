//! Non-idempotent calls run at most once, in clusters of real processes: resends to any daemon, and lost hosts.

mod support;

use {
    rustix::process::Signal,
    serde_json::{json, Value},
    std::{thread, time::Duration},
    support::{move_span, owner_of, wait_until, Answer, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A service that is divided by key and one that is not.
const SERVICES: [&str; 2] = ["ledger", "orders"];

fn cluster(hosts: usize, work_ms: u32) -> Cluster {
    cluster_with(hosts, work_ms, json!({}))
}

fn cluster_with(hosts: usize, work_ms: u32, lease: Value) -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts,
        lease,
        services: SERVICES.map(str::to_owned).to_vec(),
        ..ClusterPlan::default()
    });
    for host in 0..hosts {
        for service in SERVICES {
            cluster.start_server(StandinPlan {
                host,
                service: service.into(),
                work_ms,
                ..StandinPlan::default()
            });
        }
    }
    wait_until("all servers are announced", WAIT_TIMEOUT, || {
        let status = cluster.ask(0, "status").unwrap_or_default();
        let sessions = status["sessions"].as_array().cloned().unwrap_or_default();
        let announced = |s: &Value| s["servers"].as_array().is_some_and(|s| s.len() == 2);
        sessions.len() == hosts && sessions.iter().all(announced)
    });
    cluster.apply(0, &schema());
    for (number, service) in SERVICES.into_iter().enumerate() {
        wait_until("calls run", WAIT_TIMEOUT, || {
            pay(&cluster, 0, service, &format!("warm-{number}"), "x").is_some_and(|a| a.outcome == "answered")
        });
    }
    cluster
}

fn schema() -> Value {
    schema_of(&[("ledger", true), ("orders", false)])
}

/// Returns a schema of services, each with whether it is divided by key.
fn schema_of(services: &[(&str, bool)]) -> Value {
    let calls = json!([{
        "name": "pay", "method": "POST", "path": "/pay", "idempotent": false,
        "deadline_ms": 3000, "max_deadline_ms": 5000
    }]);
    let service = |(name, is_divided): &(&str, bool)| match is_divided {
        true => json!({
            "name": name, "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true, "calls": calls
        }),
        false => json!({ "name": name, "divided_by_key": false, "calls": calls }),
    };
    json!({ "cluster": "test", "services": services.iter().map(service).collect::<Vec<_>>() })
}

fn pay(cluster: &Cluster, host: usize, service: &str, id: &str, path: &str) -> Option<Answer> {
    let headers = [("fold-key", "alpha"), ("fold-request-id", id)];
    cluster.call(host, "POST", &format!("/{service}/pay/{path}"), &headers)
}

/// Sends a call again while its outcome is `not-run`, e.g. since a lease expired on a busy machine.
fn pay_until_run(cluster: &Cluster, host: usize, service: &str, id: &str) -> Answer {
    let mut last = None;
    wait_until("the call ends", WAIT_TIMEOUT, || {
        last = pay(cluster, host, service, id, "a");
        last.as_ref().is_some_and(|answer| answer.outcome != "not-run")
    });
    last.unwrap()
}

/// Returns how often the servers ran the call with this request id.
fn runs(cluster: &Cluster, id: &str) -> u64 {
    let reports = (0..cluster.servers.len()).filter_map(|server| cluster.report(server));
    reports.filter_map(|report| report["runs"][id].as_u64()).sum()
}

#[test]
fn resends_to_any_daemon() {
    let cluster = cluster(3, 300);
    for service in SERVICES {
        let id = format!("{service}-1");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let send = |host| {
                scope.spawn({
                    let (cluster, id) = (&cluster, &id);
                    move || pay_until_run(cluster, host, service, id)
                })
            };
            let senders: Vec<_> = [0, 1, 2, 0].into_iter().map(send).collect();
            senders.into_iter().map(|sender| sender.join().unwrap()).collect()
        });
        assert!(
            answers.iter().all(|a| a.outcome == "answered"),
            "{service}: {answers:?}"
        );
        assert!(
            answers.iter().all(|a| a.body == answers[0].body),
            "{service}: {answers:?}"
        );
        let resend = pay(&cluster, 1, service, &id, "a").unwrap();
        assert_eq!(resend, answers[0], "{service}: after finishing");
        let other = pay(&cluster, 2, service, &id, "b").unwrap();
        assert_eq!(
            (other.status, other.reason.as_str()),
            (409, "request-id-reused"),
            "{service}"
        );
        assert_eq!(runs(&cluster, &id), 1, "{service}");
    }
}

#[test]
fn caller_disconnects() {
    let cluster = cluster(3, 300);
    for service in SERVICES {
        let id = format!("{service}-1");
        let mut stream = std::net::TcpStream::connect(cluster.hosts[0].caller).unwrap();
        let request = format!(
            "POST /{service}/pay/a HTTP/1.1\r\nhost: a\r\nfold-key: alpha\r\nfold-request-id: {id}\r\n\
             content-length: 0\r\n\r\n"
        );
        std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
        wait_until("the call runs", WAIT_TIMEOUT, || runs(&cluster, &id) == 1);
        drop(stream);
        let answer = pay(&cluster, 1, service, &id, "a").unwrap();
        assert_eq!(answer.outcome, "answered", "{service}: {answer:?}");
        assert_eq!(runs(&cluster, &id), 1, "{service}");
    }
}

/// Returns a key whose owner is not on the control host, and the index of the owner's server.
fn key_off_control(cluster: &Cluster) -> (&'static str, usize) {
    let position = |key| {
        let address = cluster.owner_of_key(0, key)?;
        let mut servers = cluster.servers.iter();
        servers.position(|s| s.address.to_string() == address)
    };
    let owned = ["alpha", "tango"].map(|key| (key, position(key).unwrap()));
    let off_control = |(_, server): &(_, usize)| cluster.servers[*server].plan.host != 0;
    owned.into_iter().find(off_control).unwrap()
}

/// An admitted call ends when its owner may not run calls any more, since its lease has expired or its range is
/// being released. A waiting resend still gets the recorded answer.
#[test]
fn resend_gets_answer_without_lease_or_range() {
    type Disturbance = fn(&Cluster, usize);
    let cases: [(&str, Disturbance); 2] = [
        ("control-host-frozen", |cluster, _| {
            cluster.signal_host(0, Signal::STOP);
        }),
        ("owner-drained", |cluster, owner| {
            let host = &cluster.hosts[owner].name;
            let base = &cluster.ask(0, "show").unwrap()["revision"];
            let body = json!({ "command_id": cluster.command_id(), "base": base, "host": host });
            let answer = cluster.command(0, "drain", &body).unwrap();
            assert!(answer.get("accepted").is_some(), "{answer}");
        }),
    ];
    for (name, disturbance) in cases {
        let cluster = cluster(3, 1500);
        let (key, server) = key_off_control(&cluster);
        let owner = cluster.servers[server].plan.host;
        let headers = [("fold-key", key), ("fold-request-id", name)];
        let send = || cluster.call(owner, "POST", "/ledger/pay/a", &headers).unwrap();
        let (first, resend) = thread::scope(|scope| {
            let first = scope.spawn(send);
            wait_until("the call runs", WAIT_TIMEOUT, || runs(&cluster, name) == 1);
            let resend = scope.spawn(send);
            // Time for the resend to arrive before the disturbance. If it arrives later, the answer is the same.
            thread::sleep(Duration::from_millis(200));
            disturbance(&cluster, owner);
            (first.join().unwrap(), resend.join().unwrap())
        });
        assert_eq!(first.outcome, "answered", "{name}: {first:?}");
        assert_eq!(resend, first, "{name}");
        assert_eq!(runs(&cluster, name), 1, "{name}");
    }
}

/// Sends 30 calls to each service, one after the other, and runs `disturbance` after the first 10. Returns the ids
/// with their services and outcomes.
fn send_during(
    cluster: &mut Cluster,
    disturbance: impl FnOnce(&mut Cluster),
) -> Vec<(String, &'static str, String)> {
    let mut ids = Vec::new();
    let mut disturbance = Some(disturbance);
    for number in 0..30 {
        if number == 10 {
            disturbance.take().unwrap()(cluster);
        }
        for service in SERVICES {
            let id = format!("{service}-{number}");
            let first = pay(cluster, 0, service, &id, "a").unwrap();
            ids.push((id, service, first.outcome));
        }
    }
    ids
}

#[test]
fn owner_lost() {
    for lost in [1, 2] {
        let mut cluster = cluster(3, 5);
        let ids = send_during(&mut cluster, |cluster| cluster.kill_host(lost));
        assert_outcomes_match_runs(&cluster, &ids);
        // Answers that were recorded before the loss are kept.
        let resend = |id: &str, service| pay(&cluster, 0, service, id, "a").unwrap();
        for (id, service, outcome) in &ids {
            if outcome == "answered" {
                wait_until("the guard is back", WAIT_TIMEOUT, || {
                    resend(id, service).outcome != "not-run"
                });
            }
            assert!(runs(&cluster, id) <= 1, "{id}");
        }
    }
}

/// A part of a range moves. The owner still serves the other keys, and no call of either part is lost or run again.
#[test]
fn part_of_range_moved() {
    const KEYS: [&str; 2] = ["alpha", "bravo"];
    let cluster = cluster(3, 5);
    let pay = |key: &str, id: &str| {
        let headers = [("fold-key", key), ("fold-request-id", id)];
        cluster.call(0, "POST", "/ledger/pay/a", &headers).unwrap()
    };
    let pay_until_run = |key: &str, id: &str| {
        let mut last = None;
        wait_until(&format!("{id} ends"), WAIT_TIMEOUT, || {
            last = Some(pay(key, id));
            last.as_ref().is_some_and(|answer| answer.outcome != "not-run")
        });
        last.unwrap()
    };
    let mut answers = Vec::new();
    for round in 0..4 {
        for key in KEYS {
            let id = format!("{key}-{round}");
            answers.push((key, pay_until_run(key, &id), id));
        }
        let owner = owner_of(&cluster, "bravo").unwrap();
        let target = (cluster.servers[owner].plan.host + 1) % cluster.hosts.len();
        move_span(&cluster, "b", Some("m"), target);
        wait_until("the part has moved", WAIT_TIMEOUT, || {
            owner_of(&cluster, "bravo").is_some_and(|server| cluster.servers[server].plan.host == target)
        });
    }
    for (key, answer, id) in &answers {
        assert_eq!(answer.outcome, "answered", "{id}: {answer:?}");
        assert_eq!(pay_until_run(key, id), *answer, "{id}");
        assert_eq!(runs(&cluster, id), 1, "{id}");
    }
}

/// The owner is lost while its server runs a call. The copy, which was made before the call was sent, keeps a
/// resend from running it again.
#[test]
fn owner_lost_while_running() {
    let mut cluster = cluster(3, 800);
    let (key, server) = key_off_control(&cluster);
    let caller = cluster.hosts[0].caller;
    let sender = thread::spawn(move || {
        let request = ureq::post(format!("http://{caller}/ledger/pay/a"));
        let request = request.config().http_status_as_error(false).build();
        drop(
            request
                .header("fold-key", key)
                .header("fold-request-id", "once")
                .send(""),
        );
    });
    wait_until("the call runs", WAIT_TIMEOUT, || runs(&cluster, "once") == 1);
    cluster.kill_host(cluster.servers[server].plan.host);
    let headers = [("fold-key", key), ("fold-request-id", "once")];
    let mut last = String::new();
    wait_until("the resend ends", WAIT_TIMEOUT, || {
        let answer = cluster.call(0, "POST", "/ledger/pay/a", &headers).unwrap();
        last = answer.outcome;
        last != "not-run"
    });
    sender.join().unwrap();
    assert_eq!(last, "unknown");
    assert_eq!(runs(&cluster, "once"), 1);
}

/// Guards against a resent call that runs again because its guard was forgotten with a service that the schema left out.
#[test]
fn service_left_out() {
    let cluster = cluster(3, 5);
    let absences = [
        schema_of(&[("other", true)]),
        // Each of the two services is divided as the other one was.
        schema_of(&[("ledger", false), ("orders", true)]),
    ];
    for (number, absent) in absences.iter().enumerate() {
        let ids = SERVICES.map(|service| (service, format!("{service}-{number}")));
        let answers = ids
            .clone()
            .map(|(service, id)| pay_until_run(&cluster, 0, service, &id));
        assert!(answers.iter().all(|a| a.outcome == "answered"), "{answers:?}");
        cluster.apply(0, absent);
        // A round of the daemons' checks, which drop guards that are not needed any more.
        thread::sleep(Duration::from_millis(300));
        cluster.apply(0, &schema());
        for ((service, id), answer) in ids.iter().zip(&answers) {
            assert_eq!(pay_until_run(&cluster, 0, service, id), *answer, "{id}");
            assert_eq!(runs(&cluster, id), 1, "{id}");
        }
    }
}

/// Guards against calls that end as not run for good, because the daemon with the copy of their guard was restarted and
/// the owner learnt of the end of its session and of the next one at once. The restarted daemon has no copy.
#[test]
fn copy_holder_restarted() {
    // The owner is frozen for less than its lease.
    let lease = json!({ "ttl_ms": 3000, "renew_ms": 500, "drift_ms": 100, "election_ms": 300, "config_lag_ms": 4000 });
    let mut cluster = cluster_with(3, 5, lease);
    cluster.signal_host(1, Signal::STOP);
    assert!(cluster.stop_host(2), "the daemon stops in order");
    cluster.start_host(2);
    wait_until("the daemon has a session again", WAIT_TIMEOUT, || {
        cluster.log("host-3").matches("CF4001").count() == 2
    });
    cluster.signal_host(1, Signal::CONT);
    for service in SERVICES {
        // They reach all ranges of request ids.
        for number in 0..60 {
            let id = format!("{number}-{service}");
            let answer = pay_until_run(&cluster, 0, service, &id);
            assert_eq!(answer.outcome, "answered", "{id}: {answer:?}");
            assert_eq!(runs(&cluster, &id), 1, "{id}");
        }
    }
}

#[test]
fn owner_frozen_and_resumed() {
    let mut cluster = cluster(3, 5);
    let ids = send_during(&mut cluster, |cluster| {
        cluster.signal_host(1, Signal::STOP);
        thread::sleep(Duration::from_millis(1500));
    });
    cluster.signal_host(1, Signal::CONT);
    assert_outcomes_match_runs(&cluster, &ids);
    for (id, service, _) in &ids {
        pay(&cluster, 0, service, id, "a").unwrap();
        assert!(runs(&cluster, id) <= 1, "{id}");
    }
}

/// The hosts with the guard of a call and its copy are lost together. No call runs again.
#[test]
fn owner_and_copy_lost() {
    let mut cluster = cluster(5, 5);
    let mut ids = Vec::new();
    for number in 0..20 {
        for service in SERVICES {
            let id = format!("{service}-{number}");
            let answer = pay(&cluster, 0, service, &id, "a").unwrap();
            assert_eq!(answer.outcome, "answered");
            ids.push((id, service));
        }
    }
    (1..5).for_each(|host| cluster.kill_host(host));
    for (id, service) in &ids {
        let mut last = String::new();
        wait_until("the call ends", WAIT_TIMEOUT, || {
            last = pay(&cluster, 0, service, id, "a").unwrap().outcome;
            last != "not-run"
        });
        assert!(["answered", "unknown"].contains(&last.as_str()));
        assert_eq!(runs(&cluster, id), 1, "{id}");
    }
}

/// Checks that the outcomes that callers got agree with what the servers ran.
fn assert_outcomes_match_runs(cluster: &Cluster, ids: &[(String, &'static str, String)]) {
    for (id, _, outcome) in ids {
        match (outcome.as_str(), runs(cluster, id)) {
            ("answered", 1) | ("not-run", 0) | ("unknown", 0 | 1) => {}
            (outcome, runs) => panic!("{id}: outcome {outcome}, ran {runs} times"),
        }
    }
    assert!(ids.iter().any(|(_, _, outcome)| outcome == "answered"));
}
