//! Seeded schedules of faults; the exchange checks its invariants after each step.
//!
//! A longer run: `CONSENSUS_SCHEDULES=200000 cargo test --release --test consensus_schedules`. With
//! `CONSENSUS_FIRST_SEED` it starts at another seed.

mod exchange;

use {
    clementinefold::{clock::Ms, settings::LeaseSettings},
    exchange::{mem_disk::DiskFault, CopiedDisk, Exchange},
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{env, thread},
};

/// Schedules in a run of CI.
const SCHEDULES: u64 = 10_000;
/// Threads that run schedules.
const THREADS: u64 = 4;
/// Faults in one schedule.
const FAULTS: usize = 12;

/// Runs one schedule of faults and then mends everything.
fn run_schedule(seed: u64, timing: LeaseSettings) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = [3, 3, 3, 5, 4, 7][rng.random_range(0..6)];
    let mut x = Exchange::with_timing(seed, count, timing);
    x.found();
    for host in &mut x.hosts {
        host.drift = rng.random_range(-45..=45);
        host.disk_delay = rng.random_range(1..30);
    }
    x.trouble = [0, 30, 200][rng.random_range(0..3)];
    let mut copy = None;
    for _ in 0..FAULTS {
        inject(&mut x, &mut rng, &mut copy);
        for _ in 0..rng.random_range(0..4) {
            x.propose();
        }
        x.run(rng.random_range(10..400));
    }
    x.settle();
}

fn inject(x: &mut Exchange, rng: &mut SmallRng, copy: &mut Option<CopiedDisk>) {
    let host = rng.random_range(0..x.hosts.len());
    let other = rng.random_range(0..x.hosts.len());
    let leader = x.leader().unwrap_or(host);
    match rng.random_range(0..15) {
        0 => x.kill(host),
        1 => x.kill(leader),
        2 | 3 => {
            x.hosts[host].disk.0.borrow_mut().fault = DiskFault::None;
            if !x.is_up(host) && !x.hosts[host].unsound {
                x.kill(host);
                assert!(x.start(host), "a sound disk is refused");
            }
        }
        4 => x.hosts[host].frozen = true,
        5 => x.hosts[leader].frozen = true,
        6 => x.hosts.iter_mut().for_each(|h| h.frozen = false),
        7 => x.cut[host][other] = true,
        8 => {
            for peer in 0..x.hosts.len() {
                x.cut[host][peer] = true;
                x.cut[peer][host] = true;
            }
        }
        9 => x.cut.iter_mut().flatten().for_each(|c| *c = false),
        10 => x.compact(host),
        11 => {
            let fault = [DiskFault::SyncFails, DiskFault::Full][rng.random_range(0..2)];
            x.hosts[host].disk.0.borrow_mut().fault = fault;
        }
        12 if x.is_whole() => x.replace_disk(host),
        13 => *copy = Some(x.copy_disk(host)),
        14 => {
            if let Some(copy) = copy.take() {
                x.put_back(copy);
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

/// A schedule that failed with shorter elections.
#[test]
fn quick_elections() {
    let timing = LeaseSettings {
        election: Ms(180),
        ..LeaseSettings::default()
    };
    run_schedule(6224, timing);
}
