//! Named faults of the replicated log. The simulation checks its invariants after each step of each case.

mod cell_sim;

use {
    cell_sim::{mem_disk::DiskFault, CellSim},
    clementinefold::consensus::CoreEvent,
    std::panic::catch_unwind,
};

/// Returns a cell of `count` hosts with some acknowledged changes, and its leader.
fn cell_with_leader(seed: u64, count: usize) -> (CellSim, usize) {
    let mut sim = CellSim::new(seed, count);
    sim.wait_until_bootstrapped();
    for _ in 0..3 {
        sim.propose();
        sim.run(100);
    }
    let leader = sim.leader().expect("a leader");
    (sim, leader)
}

/// Returns the hosts other than `host`.
fn others(sim: &CellSim, host: usize) -> Vec<usize> {
    (0..sim.hosts.len()).filter(|h| *h != host).collect()
}

fn cut(sim: &mut CellSim, from: usize, to: usize) {
    sim.cut[from][to] = true;
}

fn isolate(sim: &mut CellSim, host: usize) {
    for other in others(sim, host) {
        cut(sim, host, other);
        cut(sim, other, host);
    }
}

fn heal(sim: &mut CellSim) {
    sim.cut.iter_mut().flatten().for_each(|c| *c = false);
}

fn killed_before_sync(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    sim.hosts[leader].disk_delay = 1000;
    sim.propose();
    sim.kill(leader);
    sim.settle();
}

fn killed_after_sync_before_send(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    for other in others(&sim, leader) {
        cut(&mut sim, leader, other);
    }
    sim.propose();
    sim.run(20);
    sim.kill(leader);
    sim.settle();
}

fn killed_after_send_before_commit(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    for other in others(&sim, leader) {
        cut(&mut sim, other, leader);
    }
    sim.propose();
    sim.run(30);
    sim.kill(leader);
    sim.settle();
}

fn killed_after_commit(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    sim.propose();
    sim.run(60);
    let acknowledged = sim.acknowledged.len();
    sim.kill(leader);
    sim.run(1500);
    assert!(sim.acknowledged.len() >= acknowledged);
    sim.settle();
}

fn follower_killed_at_each_step(seed: u64) {
    for span in [5, 10, 15, 20, 30] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let follower = others(&sim, leader)[0];
        sim.hosts[follower].disk_delay = 10;
        sim.propose();
        sim.run(span);
        sim.kill(follower);
        sim.run(200);
        assert!(sim.start(follower));
        sim.settle();
    }
}

/// The leader's own entry counts only once it is synced. Before that, the leader and one follower are no quorum.
fn leader_sync_counts(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let [first, second] = others(&sim, leader)[..] else {
        return;
    };
    isolate(&mut sim, second);
    sim.hosts[leader].disk_delay = 200;
    sim.run(10);
    sim.propose();
    sim.run(100);
    sim.kill(leader);
    sim.kill(first);
    heal(&mut sim);
    assert!(sim.start(leader));
    sim.run(3000);
    sim.propose();
    sim.run(500);
    assert!(sim.start(first));
    sim.settle();
}

/// A follower confirms entries only once they are synced. Entries in memory would be lost with the process.
fn follower_sync_counts(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let [first, second] = others(&sim, leader)[..] else {
        return;
    };
    isolate(&mut sim, second);
    sim.run(10);
    sim.hosts[first].disk_delay = 200;
    sim.run(10);
    sim.propose();
    sim.run(60);
    sim.kill(first);
    sim.kill(leader);
    heal(&mut sim);
    assert!(sim.start(first));
    sim.run(3000);
    sim.propose();
    sim.run(500);
    assert!(sim.start(leader));
    sim.settle();
}

fn sync_fails(seed: u64) {
    for fault in [DiskFault::SyncFails, DiskFault::Full] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        sim.hosts[leader].disk.0.borrow_mut().fault = fault;
        sim.propose();
        sim.run(100);
        assert!(!sim.is_up(leader), "the host still takes part after {fault:?}");
        sim.hosts[leader].disk.0.borrow_mut().fault = DiskFault::None;
        let syncs = sim.hosts[leader].disk.0.borrow().syncs;
        sim.run(2000);
        assert_eq!(
            sim.hosts[leader].disk.0.borrow().syncs,
            syncs,
            "a failed sync was repeated"
        );
        assert!(sim.leader().is_some_and(|l| l != leader));
        sim.settle();
    }
}

fn empty_disk(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let old = sim.hosts[leader].id;
    sim.replace_disk(leader);
    sim.run_until("the disk is a member", CellSim::all_disks_vote);
    let members = sim
        .core(leader)
        .map(|c| c.membership().clone())
        .unwrap_or_default();
    assert!(members.member(old).is_none(), "the lost disk is still a member");
    sim.settle();
}

/// A host that starts with a copy of another host's disk is never confirmed, so it never votes.
fn disk_of_another_host(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let [first, second] = others(&sim, leader)[..] else {
        return;
    };
    sim.kill(first);
    sim.hosts[first].disk = sim.hosts[second].disk.copy();
    sim.hosts[first].is_disk_unusable = true;
    assert!(sim.start(first));
    sim.propose();
    sim.run(3000);
    sim.kill(first);
    sim.settle();
}

fn old_disk_put_back(seed: u64) {
    for as_leader in [false, true] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let host = if as_leader {
            leader
        } else {
            others(&sim, leader)[0]
        };
        let copy = sim.copy_disk(host);
        sim.propose();
        sim.run(100);
        assert!(
            sim.restore_disk(copy),
            "the outdated disk is not detected; leader: {as_leader}"
        );
        assert!(sim.events.contains(&(host, CoreEvent::StaleDisk)));
        sim.settle();
    }
}

fn old_disk_from_before_joining(seed: u64) {
    let mut sim = CellSim::new(seed, 3);
    let copy = sim.copy_disk(1);
    sim.wait_until_bootstrapped();
    sim.propose();
    sim.run(100);
    assert!(sim.restore_disk(copy), "the outdated disk is not detected");
    sim.settle();
}

/// A host that was cut off for longer than any lease does not disturb the cell when it returns, since pre-votes do
/// not raise its term.
fn cut_for_long(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let follower = others(&sim, leader)[0];
    let term = sim.core(leader).map(|c| c.term());
    isolate(&mut sim, follower);
    sim.run(5000);
    heal(&mut sim);
    sim.run(2000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(
        sim.core(follower).map(|c| c.term()),
        term,
        "the term of the cut host has risen"
    );
    sim.settle();
}

fn leader_cut_one_way(seed: u64) {
    for outgoing in [false, true] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        for other in others(&sim, leader) {
            let (from, to) = if outgoing {
                (leader, other)
            } else {
                (other, leader)
            };
            cut(&mut sim, from, to);
        }
        sim.run(1000);
        assert!(!sim.core(leader).unwrap().holds_lease(sim.local_time(leader)));
        sim.run_until("another leader", |sim| sim.leader().is_some_and(|l| l != leader));
        sim.run(3000);
        sim.settle();
    }
}

fn leader_cut_both_ways(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    isolate(&mut sim, leader);
    sim.propose();
    sim.run(1500);
    assert!(
        !sim.core(leader).unwrap().is_leader(),
        "a leader without a quorum still leads"
    );
    sim.run(5000);
    sim.propose();
    sim.run(500);
    sim.settle();
}

fn frozen_at_each_step(seed: u64) {
    for span in [0, 5, 10, 15, 20, 25, 40] {
        for as_leader in [false, true] {
            let (mut sim, leader) = cell_with_leader(seed, 3);
            let host = if as_leader {
                leader
            } else {
                others(&sim, leader)[0]
            };
            sim.propose();
            sim.run(span);
            sim.hosts[host].is_frozen = true;
            sim.run(2000);
            sim.propose();
            sim.run(300);
            sim.hosts[host].is_frozen = false;
            sim.run(300);
            sim.settle();
        }
    }
}

fn delayed_and_duplicated(seed: u64) {
    let (mut sim, _) = cell_with_leader(seed, 5);
    sim.disturbed_per_mille = 500;
    for _ in 0..30 {
        sim.propose();
        sim.run(150);
    }
    sim.settle();
}

/// Restarted voters may have had contact with a leader just before, so they refuse votes for an election timeout.
fn voters_restarted_under_lease(seed: u64) {
    for wait in [0, 40, 80, 120, 160, 200, 240] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let [first, second] = others(&sim, leader)[..] else {
            return;
        };
        cut(&mut sim, first, leader);
        cut(&mut sim, second, leader);
        cut(&mut sim, leader, first);
        cut(&mut sim, leader, second);
        sim.run(wait);
        for host in [first, second] {
            sim.kill(host);
            assert!(sim.start(host));
        }
        sim.run(3000);
        sim.settle();
    }
}

/// A restarted voter without contact to the leader still counts in the leader's lease, so it must not elect another
/// leader too early.
fn voter_restarted_between_heartbeats(seed: u64) {
    for wait in (0..600).step_by(20) {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let [first, second] = others(&sim, leader)[..] else {
            return;
        };
        cut(&mut sim, leader, second);
        cut(&mut sim, second, leader);
        sim.run(600 + wait);
        sim.kill(first);
        assert!(sim.start(first));
        sim.run(20);
        cut(&mut sim, leader, first);
        sim.run(1500);
        sim.settle();
    }
}

/// A second host is lost at each step of the replacement of a first disk, and right after it.
fn second_lost_after_repair(seed: u64) {
    for span in (0..400).step_by(20) {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let [first, second] = others(&sim, leader)[..] else {
            return;
        };
        sim.replace_disk(first);
        sim.run(span);
        let is_replaced = sim.all_disks_vote();
        sim.kill(second);
        sim.run(1500);
        sim.propose();
        sim.run(200);
        if is_replaced {
            // The first disk is replaced, so the cell tolerates the loss of this one too.
            sim.replace_disk(second);
        } else {
            assert!(sim.start(second));
        }
        sim.settle();
    }
}

/// A replaced host that does not know yet that the old member was removed votes when a second host is lost.
fn lagging_member_votes(seed: u64) {
    let (mut sim, leader) = cell_with_leader(seed, 3);
    let second = others(&sim, leader)[1];
    sim.replace_disk(second);
    let id = sim.hosts[second].id;
    sim.run_until("a voter by its own log", |sim| {
        sim.core(second).is_some_and(|c| c.membership().is_voter(id))
    });
    isolate(&mut sim, second);
    sim.run_until("the old member is gone", CellSim::all_disks_vote);
    sim.kill(second);
    sim.replace_disk(leader);
    heal(&mut sim);
    assert!(sim.start(second));
    sim.settle();
}

/// A learner becomes a voter only once it has synced all committed entries, so losing a disk after that loses none
/// of them.
fn promoted_when_caught_up(seed: u64) {
    for delay in [1, 100, 300] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        let [first, second] = others(&sim, leader)[..] else {
            return;
        };
        sim.compact(leader);
        sim.compact(second);
        sim.replace_disk(first);
        sim.hosts[first].disk_delay = delay;
        let id = sim.hosts[first].id;
        let mut committed = 0;
        while !sim.core(leader).is_some_and(|c| c.membership().is_voter(id)) {
            committed = sim.core(leader).map_or(0, |c| c.commit());
            sim.step();
            assert!(sim.now < 60_000, "the learner is never promoted");
        }
        let synced = sim.core(first).map_or(0, |c| c.log().last_index());
        assert!(
            synced >= committed,
            "promoted with {synced} of {committed} entries"
        );
        sim.settle();
    }
}

fn drift_within_margin(seed: u64) {
    for drifts in [[45, -45, -45], [-45, 45, 45], [-45, 45, 0]] {
        let (mut sim, leader) = cell_with_leader(seed, 3);
        for (host, drift) in [leader].into_iter().chain(others(&sim, leader)).zip(drifts) {
            sim.hosts[host].drift = drift;
        }
        sim.run(500);
        for _ in 0..10 {
            let leader = sim.leader().unwrap_or(leader);
            isolate(&mut sim, leader);
            sim.run(1500);
            heal(&mut sim);
            sim.run(500);
        }
        sim.settle();
    }
}

/// Negative case: with clocks that drift beyond the margin two leases overlap, and the check detects it.
fn drift_past_margin(seed: u64) {
    let overlap = catch_unwind(|| {
        for seed in seed..seed + 40 {
            let (mut sim, leader) = cell_with_leader(seed, 3);
            for host in others(&sim, leader) {
                sim.hosts[host].drift = 900;
            }
            sim.hosts[leader].drift = -450;
            sim.run(100);
            isolate(&mut sim, leader);
            sim.run(1500);
        }
    });
    assert!(overlap.is_err(), "no two leases overlapped");
}

/// Name of a case, and the function that runs it with a seed.
type Case = (&'static str, fn(u64));

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
    ("follower cut off for longer than any lease", cut_for_long),
    ("leader cut off in one direction", leader_cut_one_way),
    ("leader cut off in both directions", leader_cut_both_ways),
    ("host frozen at each step", frozen_at_each_step),
    ("messages delayed and duplicated", delayed_and_duplicated),
    ("voters restarted under a lease", voters_restarted_under_lease),
    (
        "voter restarted between heartbeats",
        voter_restarted_between_heartbeats,
    ),
    ("second host lost after a replacement", second_lost_after_repair),
    ("lagging member votes after a replacement", lagging_member_votes),
    ("learner promoted once it has caught up", promoted_when_caught_up),
    ("clocks drift to the margin", drift_within_margin),
    ("clocks drift beyond the margin", drift_past_margin),
];

#[test]
fn every_case_holds() {
    let fails = |case: &&Case| (1..=5).any(|seed| catch_unwind(|| (case.1)(seed)).is_err());
    let failed: Vec<&str> = CASES.iter().filter(fails).map(|(name, _)| *name).collect();
    assert!(failed.is_empty(), "failed: {failed:?}");
}
