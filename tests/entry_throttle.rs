//! Calls that are held back at the entry daemon, replayed with the load of a hot key.

use {
    clementinefold::{clock::Ms, route::EntryThrottle},
    rand::{rngs::SmallRng, SeedableRng},
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
        if throttle.send(SERVER, "read", now, &mut rng).is_err() {
            continue;
        }
        counts.sent += 1;
        if left >= 1.0 {
            left -= 1.0;
            counts.taken += 1;
            throttle.taken(SERVER, "read", now);
        } else {
            throttle.refused(SERVER, "read", Ms(120), now);
        }
    }
    counts
}

#[test]
fn nothing_held_back_with_room() {
    let counts = run(&mut EntryThrottle::default(), 0, 20, 100, 100);
    assert_eq!(counts.sent, counts.came, "{counts:?}");
    // The server's own queue chooses among up to two calls for each that it takes.
    let counts = run(&mut EntryThrottle::default(), 0, 20, 100, 60);
    assert_eq!(counts.sent, counts.came, "{counts:?}");
}

/// Ten times as many calls as the server can take: few go out in vain, and the server stays as busy as it can be.
#[test]
fn hot_key_held_back() {
    let counts = run(&mut EntryThrottle::default(), 0, 20, 400, 40);
    assert!(counts.sent < counts.came / 3, "{counts:?}");
    assert!(counts.taken > 40 * 20 * 95 / 100, "{counts:?}");
}

#[test]
fn room_is_found_again() {
    let mut throttle = EntryThrottle::default();
    run(&mut throttle, 0, 10, 100, 1);
    run(&mut throttle, 10_000, 8, 100, 100);
    let counts = run(&mut throttle, 18_000, 10, 100, 100);
    assert!(counts.taken * 100 >= counts.came * 95, "{counts:?}");
}

#[test]
fn kinds_and_servers_apart() {
    let mut throttle = EntryThrottle::default();
    run(&mut throttle, 0, 10, 400, 4);
    let mut rng = SmallRng::seed_from_u64(1);
    let held_back = (0..200).find_map(|_| throttle.send(SERVER, "read", Ms(10_000), &mut rng).err());
    assert_eq!(
        held_back,
        Some(Ms(120)),
        "the caller is told what the server said"
    );
    assert!(throttle.send(SERVER, "order", Ms(10_000), &mut rng).is_ok());
    assert!(throttle.send("10.0.0.2:80", "read", Ms(10_000), &mut rng).is_ok());
}
