//! Moves ranges and applies schemas while calls run.

mod support;

use {
    rustix::process::Signal,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
    },
    support::{assert_one_owner, move_span, schema, start_ledger, wait_until, Cluster, KEYS, WAIT_TIMEOUT},
};

/// Sends calls through `host` until `stop` is set. Returns the number of calls and those that were not answered.
fn call_until(cluster: &Cluster, host: usize, key: &str, stop: &AtomicBool) -> (usize, Vec<String>) {
    let mut failed = Vec::new();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let answer = cluster.call(host, "GET", "/ledger/read", &[("fold-key", key)]);
        match answer {
            Some(answer) if answer.outcome == "answered" => {}
            other => failed.push(format!("{other:?}")),
        }
    }
    (count, failed)
}

#[test]
fn moves_under_load() {
    let cluster = start_ledger(true);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .flat_map(|host| KEYS.map(|key| (host, key)))
            .map(|(host, key)| {
                scope.spawn({
                    let (cluster, stop) = (&cluster, &stop);
                    move || call_until(cluster, host, key, stop)
                })
            })
            .collect();
        for round in 0..8 {
            move_span(&cluster, "", Some("m"), round % 3);
        }
        stop.store(true, Ordering::SeqCst);
        for caller in callers {
            let (count, failed) = caller.join().unwrap();
            assert!(count > 0);
            assert_eq!(failed, Vec::<String>::new(), "of {count} calls");
        }
    });
    assert_one_owner(&cluster);
}

#[test]
fn revision_in_force() {
    let cluster = start_ledger(true);
    let in_force = || {
        let answer = cluster.ask(0, "in-force").unwrap_or_default();
        answer["in_force"] == true
    };
    cluster.apply(0, &schema(true, 400));
    wait_until("the revision is in force", WAIT_TIMEOUT, in_force);
    // A stopped daemon does not apply the revision, which is in force only after the session of that daemon has ended.
    cluster.signal_host(2, Signal::STOP);
    cluster.apply(0, &schema(true, 300));
    wait_until("its session has ended", WAIT_TIMEOUT, in_force);
    cluster.signal_host(2, Signal::CONT);
    wait_until("the resumed daemon has the revision", WAIT_TIMEOUT, || {
        let ask = |host| cluster.ask(host, "show").map(|shown| shown["revision"].clone());
        ask(2).is_some() && ask(2) == ask(0)
    });
    assert_one_owner(&cluster);
}
