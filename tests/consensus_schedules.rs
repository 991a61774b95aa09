//! Seeded random schedules of faults. The simulation checks its invariants after each step.
//!
//! For a longer run: `CONSENSUS_SCHEDULES=200000 cargo test --release --test consensus_schedules`. The variable
//! `CONSENSUS_FIRST_SEED` sets another first seed.

mod cell_sim;

use {
    cell_sim::{mem_disk::DiskFault, CellSim, DiskCopy},
    clementinefold::{clock::Ms, settings::LeaseSettings},
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{env, thread},
};

/// Number of schedules by default, as in CI.
const SCHEDULES: u64 = 10_000;
/// Number of threads that run schedules.
const THREADS: u64 = 4;
/// Number of faults in one schedule.
const FAULTS_PER_SCHEDULE: usize = 12;

/// Runs one schedule of faults, and then repairs everything and checks the result.
fn run_schedule(seed: u64, timing: LeaseSettings) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = [3, 3, 3, 5, 4, 7][rng.random_range(0..6)];
    let mut sim = CellSim::with_timing(seed, count, timing);
    sim.wait_until_bootstrapped();
    for host in &mut sim.hosts {
        host.drift = rng.random_range(-45..=45);
        host.disk_delay = rng.random_range(1..30);
    }
    sim.disturbed_per_mille = [0, 30, 200][rng.random_range(0..3)];
    let mut copy = None;
    for _ in 0..FAULTS_PER_SCHEDULE {
        inject(&mut sim, &mut rng, &mut copy);
        for _ in 0..rng.random_range(0..4) {
            sim.propose();
        }
        sim.run(rng.random_range(10..400));
    }
    sim.settle();
}

fn inject(sim: &mut CellSim, rng: &mut SmallRng, copy: &mut Option<DiskCopy>) {
    let host = rng.random_range(0..sim.hosts.len());
    let other = rng.random_range(0..sim.hosts.len());
    let leader = sim.leader().unwrap_or(host);
    match rng.random_range(0..15) {
        0 => sim.kill(host),
        1 => sim.kill(leader),
        2 | 3 => {
            sim.hosts[host].disk.0.borrow_mut().fault = DiskFault::None;
            if !sim.is_up(host) && !sim.hosts[host].is_disk_unusable {
                sim.kill(host);
                assert!(sim.start(host), "an intact disk is refused");
            }
        }
        4 => sim.hosts[host].is_frozen = true,
        5 => sim.hosts[leader].is_frozen = true,
        6 => sim.hosts.iter_mut().for_each(|h| h.is_frozen = false),
        7 => sim.cut[host][other] = true,
        8 => {
            for peer in 0..sim.hosts.len() {
                sim.cut[host][peer] = true;
                sim.cut[peer][host] = true;
            }
        }
        9 => sim.cut.iter_mut().flatten().for_each(|c| *c = false),
        10 => sim.compact(host),
        11 => {
            let fault = [DiskFault::SyncFails, DiskFault::Full][rng.random_range(0..2)];
            sim.hosts[host].disk.0.borrow_mut().fault = fault;
        }
        12 if sim.all_disks_vote() => sim.replace_disk(host),
        13 => *copy = Some(sim.copy_disk(host)),
        14 => {
            if let Some(copy) = copy.take() {
                sim.restore_disk(copy);
            }
        }
        _ => {}
    }
}

#[test]
fn invariants_hold() {
    let number = |name: &str| env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let first = number("CONSENSUS_FIRST_SEED").unwrap_or(0);
    let schedules = number("CONSENSUS_SCHEDULES").unwrap_or(SCHEDULES);
    let run = move |thread: u64| {
        let seeds = (first + thread..first + schedules).step_by(THREADS as usize);
        let fails =
            |seed: &u64| std::panic::catch_unwind(|| run_schedule(*seed, LeaseSettings::default())).is_err();
        seeds.filter(fails).collect::<Vec<u64>>()
    };
    let threads: Vec<_> = (0..THREADS).map(|t| thread::spawn(move || run(t))).collect();
    let failed = threads.into_iter().flat_map(|t| t.join().unwrap());
    let failed: Vec<u64> = failed.collect();
    assert!(
        failed.is_empty(),
        "{} schedules failed, by seed: {failed:?}",
        failed.len()
    );
}

/// Replays a schedule that failed with a short election timeout.
#[test]
fn short_election_timeout() {
    let timing = LeaseSettings {
        election_timeout: Ms(180),
        ..LeaseSettings::default()
    };
    run_schedule(6224, timing);
}
