//! A service that a schema leaves out, or declares undivided, and the next schema names as before: in clusters of real
//! processes whose servers take orders.

mod support;

use {
    clementinefold::clock::Clock,
    serde_json::{json, Value},
    std::time::Duration,
    support::{
        assert_one_owner, owner_of, schema, serves_all, start_ledger, wait_until, Answer, Cluster,
        ClusterPlan, StandinPlan, KEYS,
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Services of the test on resends: one that is divided by key and one that is not.
const SERVICES: [&str; 2] = ["ledger", "orders"];

fn pay_schema(services: &[(&str, bool)]) -> Value {
    let calls = json!([{
        "name": "pay", "method": "POST", "path": "/pay", "idempotent": false,
        "deadline_ms": 3000, "max_deadline_ms": 5000
    }]);
    let service = |(name, is_divided): &(&str, bool)| match is_divided {
        true => json!({
            "name": name, "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true, "calls": calls
        }),
        false => json!({ "name": name, "calls": calls }),
    };
    json!({ "cluster": "test", "services": services.iter().map(service).collect::<Vec<_>>() })
}

/// Sends a call again while its outcome is `not-run`.
fn pay_until_run(cluster: &Cluster, service: &str, id: &str) -> Answer {
    let headers = [("fold-key", "alpha"), ("fold-request-id", id)];
    let mut last = None;
    wait_until(&format!("{id} ends"), WAIT_TIMEOUT, || {
        last = cluster.call(0, "POST", &format!("/{service}/pay/a"), &headers);
        last.as_ref().is_some_and(|answer| answer.outcome != "not-run")
    });
    last.unwrap()
}

/// Returns how often the servers ran the call with this request id.
fn runs(cluster: &Cluster, id: &str) -> u64 {
    let reports = (0..cluster.servers.len()).filter_map(|server| cluster.report(server));
    reports.filter_map(|report| report["runs"][id].as_u64()).sum()
}

/// Guards against a resent call that runs again because its guard was forgotten with the service.
#[test]
fn resends_run_once() {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts: 3,
        services: SERVICES.map(str::to_owned).to_vec(),
        ..ClusterPlan::default()
    });
    for host in 0..3 {
        for service in SERVICES {
            cluster.start_server(StandinPlan {
                host,
                service: service.into(),
                ..StandinPlan::default()
            });
        }
    }
    let present = pay_schema(&[("ledger", true), ("orders", false)]);
    let absences = [
        pay_schema(&[("other", true)]),
        // Each of the two services is divided as the other one was.
        pay_schema(&[("ledger", false), ("orders", true)]),
    ];
    cluster.apply(0, &present);
    for (number, absent) in absences.iter().enumerate() {
        let ids = SERVICES.map(|service| (service, format!("{service}-{number}")));
        let answers = ids
            .clone()
            .map(|(service, id)| pay_until_run(&cluster, service, &id));
        assert!(answers.iter().all(|a| a.outcome == "answered"), "{answers:?}");
        cluster.apply(0, absent);
        // A round of the daemons' checks, which drop guards that are not needed any more.
        std::thread::sleep(Duration::from_millis(300));
        cluster.apply(0, &present);
        for ((service, id), answer) in ids.iter().zip(&answers) {
            assert_eq!(pay_until_run(&cluster, service, id), *answer, "{id}");
            assert_eq!(runs(&cluster, id), 1, "{id}");
        }
    }
}

/// Guards against a range that counts as given up while its server holds it: a server of an undivided service gets no
/// orders, and is never told to give it up.
#[test]
fn revoked_once_leases_end() {
    let cluster = start_ledger(true);
    wait_until("both ranges are granted", WAIT_TIMEOUT, || {
        serves_all(&cluster, 0)
    });
    let owner = owner_of(&cluster, KEYS[0]).unwrap();
    let host = &cluster.hosts[cluster.servers[owner].plan.host].name;
    let revoked = || cluster.log(host).matches("CF4008").count();
    let before = revoked();
    let mut undivided = schema(true, 400);
    undivided["services"][0]["divided_by_key"] = json!(false);
    undivided["services"][0]["boundaries"] = json!([]);
    cluster.apply(0, &undivided);
    wait_until("both ranges count as given up", WAIT_TIMEOUT, || {
        revoked() == before + 2
    });
    let now = Clock::System.now();
    let report = cluster.report(owner).unwrap();
    let leases = report["leases"].as_array().unwrap();
    let lease_end = leases.iter().filter_map(|lease| lease["until_ms"].as_u64()).max();
    assert!(lease_end.is_some_and(|end| end <= now.0), "at {now:?}: {report}");
    cluster.apply(0, &schema(true, 400));
    wait_until("all keys are served", WAIT_TIMEOUT, || serves_all(&cluster, 0));
    assert_eq!(owner_of(&cluster, KEYS[0]), Some(owner));
    assert_one_owner(&cluster);
}
