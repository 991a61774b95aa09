//! Simulated overload of the owner of a hot key and of a service, with calls held back at the entry daemons.

use {
    clementinefold::{clock::Ms, route::EntryThrottle},
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

const SERVER: &str = "10.0.0.1:80";

/// Numbers of calls that arrived, were sent and were accepted.
#[derive(Debug, Default)]
struct Counts {
    arrived: u32,
    sent: u32,
    accepted: u32,
}

/// Simulates `calls` calls per second, for `seconds` from `from` ms on, to a server that accepts `capacity` per
/// second.
fn simulate_owner(
    throttle: &mut EntryThrottle,
    from: u64,
    seconds: u64,
    calls: u64,
    capacity: u64,
) -> Counts {
    let mut rng = SmallRng::seed_from_u64(from + calls);
    let mut counts = Counts::default();
    let mut free_slots = 0.0;
    for n in 0..calls * seconds {
        let now = Ms(from + n * 1000 / calls);
        free_slots = (free_slots + capacity as f64 / calls as f64).min(capacity as f64 / 10.0);
        counts.arrived += 1;
        if throttle.admit(SERVER, "read", now, &mut rng).is_err() {
            continue;
        }
        counts.sent += 1;
        if free_slots >= 1.0 {
            free_slots -= 1.0;
            counts.accepted += 1;
            throttle.record_accepted(SERVER, "read", now);
        } else {
            throttle.record_refused(SERVER, "read", Ms(120), now);
        }
    }
    counts
}

#[test]
fn nothing_held_back_below_capacity() {
    let counts = simulate_owner(&mut EntryThrottle::for_owners(), 0, 20, 100, 100);
    assert_eq!(counts.sent, counts.arrived, "{counts:?}");
    // Up to two calls are sent for each that the server accepts, so that its queue can choose among them.
    let counts = simulate_owner(&mut EntryThrottle::for_owners(), 0, 20, 100, 60);
    assert_eq!(counts.sent, counts.arrived, "{counts:?}");
}

/// At ten times the capacity of the server, few calls are sent in vain, and the server stays busy.
#[test]
fn hot_key_throttled() {
    let counts = simulate_owner(&mut EntryThrottle::for_owners(), 0, 20, 400, 40);
    assert!(counts.sent < counts.arrived / 3, "{counts:?}");
    assert!(counts.accepted > 40 * 20 * 95 / 100, "{counts:?}");
}

#[test]
fn recovers_after_overload() {
    let mut throttle = EntryThrottle::for_owners();
    simulate_owner(&mut throttle, 0, 10, 100, 1);
    simulate_owner(&mut throttle, 10_000, 8, 100, 100);
    let counts = simulate_owner(&mut throttle, 18_000, 10, 100, 100);
    assert!(counts.accepted * 100 >= counts.arrived * 95, "{counts:?}");
}

#[test]
fn kinds_and_servers_separate() {
    let mut throttle = EntryThrottle::for_owners();
    simulate_owner(&mut throttle, 0, 10, 400, 4);
    let mut rng = SmallRng::seed_from_u64(1);
    let retry_after = (0..200).find_map(|_| throttle.admit(SERVER, "read", Ms(10_000), &mut rng).err());
    assert_eq!(
        retry_after,
        Some(Ms(120)),
        "the caller gets the retry delay of the server"
    );
    assert!(throttle.admit(SERVER, "order", Ms(10_000), &mut rng).is_ok());
    assert!(throttle
        .admit("10.0.0.2:80", "read", Ms(10_000), &mut rng)
        .is_ok());
}

/// Numbers of entry daemons and servers of a service that accepts a third of the calls that arrive.
const ENTRY_DAEMONS: usize = 20;
const SERVERS: usize = 25;
/// Maximum number of servers that one call is sent to.
const TRIES_MAX: usize = 4;

/// Simulates 2,500 calls per second for 10 s to servers that accept 33 per second each. Returns the numbers of
/// calls that were sent and accepted.
fn simulate_service(throttled: bool) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut throttles = vec![EntryThrottle::for_services(); ENTRY_DAEMONS];
    let mut capacity = [0.0_f64; SERVERS];
    let (mut sent, mut accepted) = (0, 0);
    for n in 0..25_000_u64 {
        let now = Ms(1000 + n * 2 / 5);
        capacity
            .iter_mut()
            .for_each(|capacity| *capacity = (*capacity + 33.0 / 2500.0).min(2.0));
        let throttle = &mut throttles[rng.random_range(0..ENTRY_DAEMONS)];
        for _ in 0..TRIES_MAX {
            if throttled && throttle.admit("portal", "read", now, &mut rng).is_err() {
                break;
            }
            sent += 1;
            let server = rng.random_range(0..SERVERS);
            if capacity[server] >= 1.0 {
                capacity[server] -= 1.0;
                accepted += 1;
                throttle.record_accepted("portal", "read", now);
                break;
            }
            throttle.record_refused("portal", "read", Ms(120), now);
        }
    }
    (sent, accepted)
}

#[test]
fn overloaded_service_gets_three_calls_per_accepted() {
    let (unthrottled, accepted) = simulate_service(false);
    assert!(
        unthrottled > accepted * 8,
        "without throttle each call goes to four servers: {unthrottled} sent, {accepted} accepted"
    );
    let (sent, accepted_throttled) = simulate_service(true);
    // Three for each accepted call, and a few more that are never throttled.
    assert!(
        sent < accepted_throttled * 7 / 2,
        "{sent} sent, {accepted_throttled} accepted"
    );
    assert!(
        accepted_throttled * 100 > accepted * 95,
        "{accepted_throttled} accepted, {accepted} without throttle"
    );
}

/// Entry daemons that call the owner of a hot key over its link.
const LINK_ENTRIES: usize = 72;
/// Calls a second that the link of the owner carries, that arrive for the key, and that its server accepts.
const LINK_CALLS_PER_S: u64 = 170;
const HOT_CALLS_PER_S: u64 = 250;
const ACCEPTED_PER_S: u64 = 28;
/// Time after which an entry daemon gives a call up, in ms.
const CALL_TIMEOUT_MS: u64 = 1500;
const LINK_TEST_MS: u64 = 12_000;

/// Simulates a hot key whose calls need more than the link of its owner carries, so that calls and their refusals are
/// late. Returns the numbers of calls that ended late and that the server accepted in time.
fn simulate_full_link() -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut throttles = vec![EntryThrottle::for_owners(); LINK_ENTRIES];
    // Calls on the link or on their way back: when the entry daemon learns the end, its number, and whether it is
    // accepted; `None` if no answer comes in time.
    let mut pending: Vec<(u64, usize, Option<bool>)> = Vec::new();
    let (mut link_free_us, mut free_slots, mut late, mut accepted) = (0, 0.0_f64, 0, 0);
    for n in 0..HOT_CALLS_PER_S * LINK_TEST_MS / 1000 {
        let now = n * 1000 / HOT_CALLS_PER_S;
        free_slots = (free_slots + ACCEPTED_PER_S as f64 / HOT_CALLS_PER_S as f64).min(6.0);
        pending.retain(|(at, entry, end)| {
            if *at > now {
                return true;
            }
            let throttle = &mut throttles[*entry];
            match end {
                Some(true) => throttle.record_accepted(SERVER, "order", Ms(*at)),
                Some(false) => throttle.record_refused(SERVER, "order", Ms(120), Ms(*at)),
                None => throttle.record_late(SERVER, "order", Ms(*at)),
            }
            false
        });
        let entry = rng.random_range(0..LINK_ENTRIES);
        if throttles[entry]
            .admit(SERVER, "order", Ms(now), &mut rng)
            .is_err()
        {
            continue;
        }
        link_free_us = link_free_us.max(now * 1000) + 1_000_000 / LINK_CALLS_PER_S;
        let arrives_at = link_free_us / 1000;
        if arrives_at > now + CALL_TIMEOUT_MS {
            late += 1;
            pending.push((now + CALL_TIMEOUT_MS, entry, None));
            continue;
        }
        let is_accepted = free_slots >= 1.0;
        free_slots -= f64::from(u8::from(is_accepted));
        accepted += u64::from(is_accepted);
        pending.push((arrives_at, entry, Some(is_accepted)));
    }
    (late, accepted)
}

/// Guards against calls for a hot key that fill the link of its owner. They are given up without having reached a
/// server, and in a large cluster each entry daemon sends too few of them to notice.
#[test]
fn full_link_of_owner() {
    let (late, accepted) = simulate_full_link();
    let capacity = ACCEPTED_PER_S * LINK_TEST_MS / 1000;
    assert!(late * 20 <= capacity, "{late} late, {accepted} accepted");
    assert!(
        accepted * 100 >= capacity * 95,
        "{late} late, {accepted} accepted"
    );
}
