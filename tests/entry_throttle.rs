//! Calls that are held back at the entry daemon, replayed with the load of a hot key.

use {
    clementinefold::{clock::Ms, route::EntryThrottle},
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

const SERVER: &str = "10.0.0.1:80";

/// Calls that came, were sent and were taken.
#[derive(Debug, Default)]
struct Counts {
    came: u32,
    sent: u32,
    taken: u32,
}

/// Sends `calls` calls a second for a time to a server that takes `room` a second.
fn run(throttle: &mut EntryThrottle, from: u64, seconds: u64, calls: u64, room: u64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(from + calls);
    let mut counts = Counts::default();
    let mut left = 0.0;
    for n in 0..calls * seconds {
        let now = Ms(from + n * 1000 / calls);
        left = (left + room as f64 / calls as f64).min(room as f64 / 10.0);
        counts.came += 1;
        if throttle.admit(SERVER, "read", now, &mut rng).is_err() {
            continue;
        }
        counts.sent += 1;
        if left >= 1.0 {
            left -= 1.0;
            counts.taken += 1;
            throttle.record_accepted(SERVER, "read", now);
        } else {
            throttle.record_refused(SERVER, "read", Ms(120), now);
        }
    }
    counts
}

#[test]
fn nothing_held_back_with_room() {
    let counts = run(&mut EntryThrottle::for_owners(), 0, 20, 100, 100);
    assert_eq!(counts.sent, counts.came, "{counts:?}");
    // The server's own queue chooses among up to two calls for each that it takes.
    let counts = run(&mut EntryThrottle::for_owners(), 0, 20, 100, 60);
    assert_eq!(counts.sent, counts.came, "{counts:?}");
}

/// Ten times as many calls as the server can take: few go out in vain, and the server stays as busy as it can be.
#[test]
fn hot_key_held_back() {
    let counts = run(&mut EntryThrottle::for_owners(), 0, 20, 400, 40);
    assert!(counts.sent < counts.came / 3, "{counts:?}");
    assert!(counts.taken > 40 * 20 * 95 / 100, "{counts:?}");
}

#[test]
fn room_is_found_again() {
    let mut throttle = EntryThrottle::for_owners();
    run(&mut throttle, 0, 10, 100, 1);
    run(&mut throttle, 10_000, 8, 100, 100);
    let counts = run(&mut throttle, 18_000, 10, 100, 100);
    assert!(counts.taken * 100 >= counts.came * 95, "{counts:?}");
}

#[test]
fn kinds_and_servers_apart() {
    let mut throttle = EntryThrottle::for_owners();
    run(&mut throttle, 0, 10, 400, 4);
    let mut rng = SmallRng::seed_from_u64(1);
    let held_back = (0..200).find_map(|_| throttle.admit(SERVER, "read", Ms(10_000), &mut rng).err());
    assert_eq!(
        held_back,
        Some(Ms(120)),
        "the caller is told what the server said"
    );
    assert!(throttle.admit(SERVER, "order", Ms(10_000), &mut rng).is_ok());
    assert!(throttle
        .admit("10.0.0.2:80", "read", Ms(10_000), &mut rng)
        .is_ok());
}

/// Entry daemons and servers of a service that takes a third of the calls that come.
const ENTRIES: usize = 20;
const SERVERS: usize = 25;
/// Most servers that one call tries.
const TRIES: usize = 4;

/// Sends 2,500 calls a second for 10 s to servers that take 33 a second each. Returns the calls that were sent on and
/// those that were taken.
fn run_service(throttled: bool) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut throttles = vec![EntryThrottle::for_services(); ENTRIES];
    let mut room = [0.0_f64; SERVERS];
    let (mut sent, mut taken) = (0, 0);
    for n in 0..25_000_u64 {
        let now = Ms(1000 + n * 2 / 5);
        room.iter_mut()
            .for_each(|room| *room = (*room + 33.0 / 2500.0).min(2.0));
        let throttle = &mut throttles[rng.random_range(0..ENTRIES)];
        for _ in 0..TRIES {
            if throttled && throttle.admit("portal", "read", now, &mut rng).is_err() {
                break;
            }
            sent += 1;
            let server = rng.random_range(0..SERVERS);
            if room[server] >= 1.0 {
                room[server] -= 1.0;
                taken += 1;
                throttle.record_accepted("portal", "read", now);
                break;
            }
            throttle.record_refused("portal", "read", Ms(120), now);
        }
    }
    (sent, taken)
}

#[test]
fn full_service_gets_three_calls_for_one_taken() {
    let (all, taken) = run_service(false);
    assert!(
        all > taken * 8,
        "without it each call goes to four servers: {all} for {taken}"
    );
    let (sent, taken_now) = run_service(true);
    // Three, and those that are free.
    assert!(sent < taken_now * 7 / 2, "{sent} for {taken_now}");
    assert!(taken_now * 100 > taken * 95, "{taken_now} taken, {taken} before");
}
