//! The ranges of a lost server or daemon get a new owner, and no key is ever owned by two servers.

mod support;

use {
    rustix::process::Signal,
    serde_json::Value,
    support::{
        assert_one_owner, owner_of, serves, serves_all, start_ledger, wait_until, Cluster, KEYS, WAIT_TIMEOUT,
    },
};

/// Host and server that own all ranges at first.
const OWNER: usize = 1;
/// A host without ranges.
const OTHER: usize = 2;

fn wait_for_service(cluster: &Cluster, host: usize) {
    wait_until("all keys are served again", WAIT_TIMEOUT, || {
        serves_all(cluster, host)
    });
}

#[test]
fn killed_daemon() {
    let mut cluster = start_ledger(true);
    cluster.kill_host(OWNER);
    wait_for_service(&cluster, 0);
    assert_ne!(owner_of(&cluster, KEYS[0]), Some(OWNER));
    assert_one_owner(&cluster);
}

#[test]
fn killed_daemon_unfenced() {
    let mut cluster = start_ledger(false);
    cluster.kill_host(OWNER);
    wait_for_service(&cluster, 0);
    assert_one_owner(&cluster);
}

#[test]
fn restarted_daemon() {
    // The daemon keeps nothing on disk and restarts before its old session has ended.
    let mut cluster = start_ledger(true);
    cluster.kill_host(OWNER);
    assert!(!cluster.hosts[OWNER].data_dir.exists());
    cluster.start_host(OWNER);
    wait_for_service(&cluster, OWNER);
    wait_for_service(&cluster, 0);
    wait_until("the host has a session again", WAIT_TIMEOUT, || {
        let status = cluster.ask(OWNER, "status").unwrap_or_default();
        status["session"].is_u64() && status["lease_left_ms"].as_u64().is_some_and(|ms| ms > 0)
    });
    assert_one_owner(&cluster);
}

#[test]
fn frozen_daemon() {
    let cluster = start_ledger(true);
    cluster.signal_host(OWNER, Signal::STOP);
    wait_for_service(&cluster, 0);
    cluster.signal_host(OWNER, Signal::CONT);
    wait_for_service(&cluster, OWNER);
    let log = cluster.log("host-2");
    assert!(
        log.contains("lease voided"),
        "the daemon noticed its pause: {log}"
    );
    assert_one_owner(&cluster);
}

#[test]
fn killed_server() {
    let mut cluster = start_ledger(true);
    cluster.kill_server(OWNER);
    wait_for_service(&cluster, 0);
    assert_ne!(owner_of(&cluster, KEYS[0]), Some(OWNER));
    // Only the server was killed: its daemon keeps its session.
    let ended = cluster.log("host-1");
    assert!(
        !ended.contains("session ended by control"),
        "no session had to end: {ended}"
    );
    assert_one_owner(&cluster);
}

#[test]
fn restarted_server() {
    let mut cluster = start_ledger(true);
    cluster.restart_server(OWNER);
    wait_for_service(&cluster, 0);
    assert_one_owner(&cluster);
}

#[test]
fn frozen_server() {
    for checks_fencing in [true, false] {
        let cluster = start_ledger(checks_fencing);
        cluster.signal_server(OWNER, Signal::STOP);
        wait_for_service(&cluster, 0);
        assert_ne!(owner_of(&cluster, KEYS[0]), Some(OWNER));
        cluster.signal_server(OWNER, Signal::CONT);
        wait_until("the server answers again", WAIT_TIMEOUT, || {
            cluster.report(OWNER).is_some()
        });
        wait_for_service(&cluster, OTHER);
        assert_one_owner(&cluster);
    }
}

#[test]
fn stopped_daemon() {
    let mut cluster = start_ledger(true);
    assert!(cluster.stop_host(OWNER), "a graceful stop exits with success");
    wait_for_service(&cluster, 0);
    assert_one_owner(&cluster);
}

#[test]
fn two_daemons_per_host() {
    let mut cluster = start_ledger(true);
    let twin = cluster.start_twin(OWNER);
    wait_until("the second one is refused", WAIT_TIMEOUT, || {
        cluster.log("host-2-twin").contains("session refused")
    });
    assert!(serves(&cluster, 0, KEYS[0]));
    assert_eq!(
        owner_of(&cluster, KEYS[0]),
        Some(OWNER),
        "the first one keeps its ranges"
    );
    cluster.kill_host(OWNER);
    wait_until("the second one gets a session", WAIT_TIMEOUT, || {
        let status = cluster.ask(twin, "status").unwrap_or_default();
        status["session"].is_u64()
    });
    wait_for_service(&cluster, 0);
    assert_one_owner(&cluster);
}

#[test]
fn restarted_control_host() {
    let mut cluster = start_ledger(true);
    let before = cluster.ask(0, "status").unwrap_or_default();
    cluster.kill_host(0);
    cluster.start_host(0);
    wait_for_service(&cluster, OTHER);
    wait_until("the control host has the state", WAIT_TIMEOUT, || {
        let shown = cluster.ask(0, "show").unwrap_or_default();
        shown["revision"] == before["revision"]
    });
    let status: Value = cluster.ask(0, "status").unwrap_or_default();
    assert_eq!(status["ranges"], before["ranges"], "no assignment is lost");
    assert_one_owner(&cluster);
}
