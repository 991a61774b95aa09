//! A service that a schema declares undivided and the next one divides by key again, in clusters of real processes whose
//! servers take orders.

mod support;

use {
    clementinefold::clock::Clock,
    serde_json::json,
    std::time::Duration,
    support::{assert_one_owner, owner_of, schema, serves_all, start_ledger, wait_until, KEYS},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

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
