//! Calls that are routed by host and path, and schemas with versions, on the project's own HTTP interface.

mod support;

use {
    serde_json::{json, Value},
    std::time::Duration,
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn schema(timeout_ms: u64) -> Value {
    let route = |name: &str, prefix: &str, service: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": prefix, "idempotent": true,
            "timeout_ms": timeout_ms, "objective_ms": 1000, "attempts": 2, "priority": 5,
            "targets": [{ "service": service, "weight": 1.0 }]
        })
    };
    json!({
        "cluster": "test",
        "services": [
            { "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true },
            { "name": "desk", "divided_by_key": false, "checks_fencing": true }
        ],
        "routes": [route("all", "/", "desk"), route("books", "/books/", "ledger")]
    })
}

fn replace(cluster: &Cluster, version: u64, schema: &Value) -> Option<Value> {
    let shown = cluster.ask(0, "show")?;
    let body = json!({
        "command_id": cluster.command_id(), "base": shown["revision"], "schema": schema, "version": version
    });
    cluster.command(0, "apply", &body)
}

fn start_cluster() -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        services: vec!["ledger".into(), "desk".into()],
        ..ClusterPlan::default()
    });
    for (host, service) in [(0, "ledger"), (1, "ledger"), (2, "desk")] {
        cluster.start_server(StandinPlan {
            host,
            service: service.into(),
            ..StandinPlan::default()
        });
    }
    wait_until("the schema is accepted", WAIT_TIMEOUT, || {
        replace(&cluster, 7, &schema(5000)).is_some_and(|answer| answer.get("accepted").is_some())
    });
    cluster
}

fn call(
    cluster: &Cluster,
    host: usize,
    path: &str,
    extra_headers: &[(&str, &str)],
) -> Option<support::Answer> {
    let headers = [&[("fold-host", "Shop.example")], extra_headers].concat();
    cluster.call(host, "GET", path, &headers)
}

#[test]
fn longest_prefix_taken() {
    let cluster = start_cluster();
    for host in 0..3 {
        for (path, extra_headers) in [("/any/path", &[][..]), ("/books/1", &[("fold-key", "a")])] {
            wait_until("the call is answered", WAIT_TIMEOUT, || {
                call(&cluster, host, path, extra_headers).is_some_and(|a| a.outcome == "answered")
            });
        }
    }
    let refused = |path: &str, headers: &[(&str, &str)]| {
        let answer = cluster.call(0, "GET", path, headers).unwrap();
        (answer.status, answer.reason)
    };
    let host = ("fold-host", "shop.example");
    assert_eq!(refused("/books/1", &[host]), (400, "missing-key".into()));
    let unknown = refused("/books/1", &[("fold-host", "other.example")]);
    assert_eq!(unknown, (404, "unknown-route".into()));
    assert_eq!(
        refused("/any", &[host, ("fold-deadline-ms", "0")]),
        (400, "bad-header".into())
    );
}

#[test]
fn highest_version_stays() {
    let cluster = start_cluster();
    let timeout = || {
        let shown = cluster.ask(0, "show").unwrap();
        (
            shown["version"].clone(),
            shown["schema"]["routes"][0]["timeout_ms"].clone(),
        )
    };
    assert_eq!(timeout(), (json!(7), json!(5000)));
    for (version, timeout_ms) in [(6, 100), (7, 200)] {
        let answer = replace(&cluster, version, &schema(timeout_ms)).unwrap();
        assert!(answer.get("accepted").is_some(), "{answer}");
        assert_eq!(timeout(), (json!(7), json!(5000)));
    }
    let answer = replace(&cluster, 9, &schema(0)).unwrap();
    assert!(answer.get("refused").is_some(), "{answer}");
    assert!(replace(&cluster, 9, &schema(300))
        .unwrap()
        .get("accepted")
        .is_some());
    assert_eq!(timeout(), (json!(9), json!(300)));
}
