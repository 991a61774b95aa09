//! Named faults of the agreement. The exchange checks its invariants after each step of each case.

mod exchange;

use {
    clementinefold::consensus::CoreEvent,
    exchange::{mem_disk::DiskFault, Exchange},
    std::panic::catch_unwind,
};

/// A cell of `count` hosts with a leader and some acknowledged changes.
fn cell(seed: u64, count: usize) -> (Exchange, usize) {
    let mut x = Exchange::new(seed, count);
    x.found();
    for _ in 0..3 {
        x.propose();
        x.run(100);
    }
    let leader = x.leader().expect("a leader");
    (x, leader)
}

/// The hosts other than `host`.
fn others(x: &Exchange, host: usize) -> Vec<usize> {
    (0..x.hosts.len()).filter(|h| *h != host).collect()
}

fn cut(x: &mut Exchange, from: usize, to: usize) {
    x.cut[from][to] = true;
}

fn isolate(x: &mut Exchange, host: usize) {
    for other in others(x, host) {
        cut(x, host, other);
        cut(x, other, host);
    }
}

fn heal(x: &mut Exchange) {
    x.cut.iter_mut().flatten().for_each(|c| *c = false);
}

fn killed_before_sync(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    x.hosts[leader].disk_delay = 1000;
    x.propose();
    x.kill(leader);
    x.settle();
}

fn killed_after_sync_before_send(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    for other in others(&x, leader) {
        cut(&mut x, leader, other);
    }
    x.propose();
    x.run(20);
    x.kill(leader);
    x.settle();
}

fn killed_after_send_before_commit(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    for other in others(&x, leader) {
        cut(&mut x, other, leader);
    }
    x.propose();
    x.run(30);
    x.kill(leader);
    x.settle();
}

fn killed_after_commit(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    x.propose();
    x.run(60);
    let acknowledged = x.acknowledged.len();
    x.kill(leader);
    x.run(1500);
    assert!(x.acknowledged.len() >= acknowledged);
    x.settle();
}

fn follower_killed_at_each_step(seed: u64) {
    for span in [5, 10, 15, 20, 30] {
        let (mut x, leader) = cell(seed, 3);
        let follower = others(&x, leader)[0];
        x.hosts[follower].disk_delay = 10;
        x.propose();
        x.run(span);
        x.kill(follower);
        x.run(200);
        assert!(x.start(follower));
        x.settle();
    }
}

/// The leader's own entry counts once it is synced: with one follower it is no quorum before.
fn leader_sync_counts(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    let [first, second] = others(&x, leader)[..] else {
        return;
    };
    isolate(&mut x, second);
    x.hosts[leader].disk_delay = 200;
    x.run(10);
    x.propose();
    x.run(100);
    x.kill(leader);
    x.kill(first);
    heal(&mut x);
    assert!(x.start(leader));
    x.run(3000);
    x.propose();
    x.run(500);
    assert!(x.start(first));
    x.settle();
}

/// A follower answers once its entries are synced: what it holds in memory is no copy.
fn follower_sync_counts(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    let [first, second] = others(&x, leader)[..] else {
        return;
    };
    isolate(&mut x, second);
    x.run(10);
    x.hosts[first].disk_delay = 200;
    x.run(10);
    x.propose();
    x.run(60);
    x.kill(first);
    x.kill(leader);
    heal(&mut x);
    assert!(x.start(first));
    x.run(3000);
    x.propose();
    x.run(500);
    assert!(x.start(leader));
    x.settle();
}

fn sync_fails(seed: u64) {
    for fault in [DiskFault::SyncFails, DiskFault::Full] {
        let (mut x, leader) = cell(seed, 3);
        x.hosts[leader].disk.0.borrow_mut().fault = fault;
        x.propose();
        x.run(100);
        assert!(!x.is_up(leader), "the role goes on after {fault:?}");
        x.hosts[leader].disk.0.borrow_mut().fault = DiskFault::None;
        let syncs = x.hosts[leader].disk.0.borrow().syncs;
        x.run(2000);
        assert_eq!(
            x.hosts[leader].disk.0.borrow().syncs,
            syncs,
            "a sync is tried again"
        );
        assert!(x.leader().is_some_and(|l| l != leader));
        x.settle();
    }
}

fn empty_disk(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    let old = x.hosts[leader].id;
    x.replace_disk(leader);
    x.run_until("the disk is a member", Exchange::is_whole);
    let members = x.core(leader).map(|c| c.membership().clone()).unwrap_or_default();
    assert!(members.member(old).is_none(), "the lost disk is still a member");
    x.settle();
}

/// A host that starts from a copy of another host's disk is never confirmed, so it never votes.
fn disk_of_another_host(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    let [first, second] = others(&x, leader)[..] else {
        return;
    };
    x.kill(first);
    x.hosts[first].disk = x.hosts[second].disk.copied();
    x.hosts[first].unsound = true;
    assert!(x.start(first));
    x.propose();
    x.run(3000);
    x.kill(first);
    x.settle();
}

fn old_disk_put_back(seed: u64) {
    for as_leader in [false, true] {
        let (mut x, leader) = cell(seed, 3);
        let host = if as_leader { leader } else { others(&x, leader)[0] };
        let copy = x.copy_disk(host);
        x.propose();
        x.run(100);
        assert!(
            x.put_back(copy),
            "the old disk is not found out; leader: {as_leader}"
        );
        assert!(x.events.contains(&(host, CoreEvent::StaleDisk)));
        x.settle();
    }
}

fn old_disk_from_before_joining(seed: u64) {
    let mut x = Exchange::new(seed, 3);
    let copy = x.copy_disk(1);
    x.found();
    x.propose();
    x.run(100);
    assert!(x.put_back(copy), "the old disk is not found out");
    x.settle();
}

/// A host cut off for longer than any lease disturbs nobody on its return, since pre-votes pass no terms.
fn cut_for_long(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    let follower = others(&x, leader)[0];
    let term = x.core(leader).map(|c| c.term());
    isolate(&mut x, follower);
    x.run(5000);
    heal(&mut x);
    x.run(2000);
    assert_eq!(x.leader(), Some(leader));
    assert_eq!(
        x.core(follower).map(|c| c.term()),
        term,
        "terms passed at the cut host"
    );
    x.settle();
}

fn leader_cut_one_way(seed: u64) {
    for outgoing in [false, true] {
        let (mut x, leader) = cell(seed, 3);
        for other in others(&x, leader) {
            let (from, to) = if outgoing {
                (leader, other)
            } else {
                (other, leader)
            };
            cut(&mut x, from, to);
        }
        x.run(1000);
        assert!(!x.core(leader).unwrap().holds_lease(x.local(leader)));
        x.run_until("another leader", |x| x.leader().is_some_and(|l| l != leader));
        x.run(3000);
        x.settle();
    }
}

fn leader_cut_both_ways(seed: u64) {
    let (mut x, leader) = cell(seed, 3);
    isolate(&mut x, leader);
    x.propose();
    x.run(1500);
    assert!(
        !x.core(leader).unwrap().is_leader(),
        "a leader without a quorum goes on"
    );
    x.run(5000);
    x.propose();
    x.run(500);
    x.settle();
}

fn frozen_at_each_step(seed: u64) {
    for span in [0, 5, 10, 15, 20, 25, 40] {
        for as_leader in [false, true] {
            let (mut x, leader) = cell(seed, 3);
            let host = if as_leader { leader } else { others(&x, leader)[0] };
            x.propose();
            x.run(span);
            x.hosts[host].frozen = true;
            x.run(2000);
            x.propose();
            x.run(300);
            x.hosts[host].frozen = false;
            x.run(300);
            x.settle();
        }
    }
}

fn delayed_and_doubled(seed: u64) {
    let (mut x, _) = cell(seed, 5);
    x.trouble = 500;
    for _ in 0..30 {
        x.propose();
        x.run(150);
    }
    x.settle();
}

/// Voters that start anew may have heard a leader just before, so they refuse votes for a timeout.
fn voters_restarted_under_lease(seed: u64) {
    for wait in [0, 40, 80, 120, 160, 200, 240] {
        let (mut x, leader) = cell(seed, 3);
        let [first, second] = others(&x, leader)[..] else {
            return;
        };
        cut(&mut x, first, leader);
        cut(&mut x, second, leader);
        cut(&mut x, leader, first);
        cut(&mut x, leader, second);
        x.run(wait);
        for host in [first, second] {
            x.kill(host);
            assert!(x.start(host));
        }
        x.run(3000);
        x.settle();
    }
}

/// A voter that starts anew and hears nothing of the leader still counts in the leader's lease.
fn voter_restarted_between_heartbeats(seed: u64) {
    for wait in (0..600).step_by(20) {
        let (mut x, leader) = cell(seed, 3);
        let [first, second] = others(&x, leader)[..] else {
            return;
        };
        cut(&mut x, leader, second);
        cut(&mut x, second, leader);
        x.run(600 + wait);
        x.kill(first);
        assert!(x.start(first));
        x.run(20);
        cut(&mut x, leader, first);
        x.run(1500);
        x.settle();
    }
}

/// A second host is lost at each step of the repair of a first one, and right after it.
fn second_lost_after_repair(seed: u64) {
    for span in (0..400).step_by(20) {
        let (mut x, leader) = cell(seed, 3);
        let [first, second] = others(&x, leader)[..] else {
            return;
        };
        x.replace_disk(first);
        x.run(span);
        let whole = x.is_whole();
        x.kill(second);
        x.run(1500);
        x.propose();
        x.run(200);
        if whole {
            // The repair was done, so the cell tolerates the loss of this disk too.
            x.replace_disk(second);
        } else {
            assert!(x.start(second));
        }
        x.settle();
    }
}

/// A learner votes only once it has synced all that is committed, so the loss of a disk after that loses
/// nothing.
fn promoted_when_caught_up(seed: u64) {
    for delay in [1, 100, 300] {
        let (mut x, leader) = cell(seed, 3);
        let [first, second] = others(&x, leader)[..] else {
            return;
        };
        x.compact(leader);
        x.compact(second);
        x.replace_disk(first);
        x.hosts[first].disk_delay = delay;
        let id = x.hosts[first].id;
        let mut committed = 0;
        while !x.core(leader).is_some_and(|c| c.membership().is_voter(id)) {
            committed = x.core(leader).map_or(0, |c| c.commit());
            x.step();
            assert!(x.now < 60_000, "the learner is never promoted");
        }
        let synced = x.core(first).map_or(0, |c| c.log().last_index());
        assert!(
            synced >= committed,
            "promoted with {synced} of {committed} entries"
        );
        x.settle();
    }
}

fn drift_within_margin(seed: u64) {
    for drifts in [[45, -45, -45], [-45, 45, 45], [-45, 45, 0]] {
        let (mut x, leader) = cell(seed, 3);
        for (host, drift) in [leader].into_iter().chain(others(&x, leader)).zip(drifts) {
            x.hosts[host].drift = drift;
        }
        x.run(500);
        for _ in 0..10 {
            let leader = x.leader().unwrap_or(leader);
            isolate(&mut x, leader);
            x.run(1500);
            heal(&mut x);
            x.run(500);
        }
        x.settle();
    }
}

/// The negative case: clocks that drift past the margin let two leases overlap, and the check sees it.
fn drift_past_margin(seed: u64) {
    let overlap = catch_unwind(|| {
        for seed in seed..seed + 40 {
            let (mut x, leader) = cell(seed, 3);
            for host in others(&x, leader) {
                x.hosts[host].drift = 900;
            }
            x.hosts[leader].drift = -450;
            x.run(100);
            isolate(&mut x, leader);
            x.run(1500);
        }
    });
    assert!(overlap.is_err(), "no two leases overlapped");
}

/// Name of a case, and what runs it with a seed.
type Case = (&'static str, fn(u64));

/// The named cases.
const CASES: &[Case] = &[
    ("leader killed before sync", killed_before_sync),
    (
        "leader killed after sync before sending",
        killed_after_sync_before_send,
    ),
    (
        "leader killed after sending before commit",
        killed_after_send_before_commit,
    ),
    ("leader killed after commit", killed_after_commit),
    ("follower killed at each step", follower_killed_at_each_step),
    ("leader counts its own entry only when synced", leader_sync_counts),
    ("follower answers only when synced", follower_sync_counts),
    ("sync fails or disk full", sync_fails),
    ("empty disk", empty_disk),
    ("disk of another host", disk_of_another_host),
    ("old disk put back", old_disk_put_back),
    ("old disk from before joining", old_disk_from_before_joining),
    ("follower cut for longer than any lease", cut_for_long),
    ("leader cut one way", leader_cut_one_way),
    ("leader cut both ways", leader_cut_both_ways),
    ("host frozen at each step", frozen_at_each_step),
    ("messages delayed and doubled", delayed_and_doubled),
    ("voters restarted under a lease", voters_restarted_under_lease),
    (
        "voter restarted between heartbeats",
        voter_restarted_between_heartbeats,
    ),
    ("second host lost after a repair", second_lost_after_repair),
    ("learner promoted when caught up", promoted_when_caught_up),
    ("clocks drift to the margin", drift_within_margin),
    ("clocks drift past the margin", drift_past_margin),
];

#[test]
fn every_case_holds() {
    let fails = |case: &&Case| (1..=5).any(|seed| catch_unwind(|| (case.1)(seed)).is_err());
    let failed: Vec<&str> = CASES.iter().filter(fails).map(|(name, _)| *name).collect();
    assert!(failed.is_empty(), "failed: {failed:?}");
}
