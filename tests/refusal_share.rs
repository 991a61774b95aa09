//! The share of calls that a daemon refused of late.

use clementinefold::{call::RefusalShare, clock::Ms};

/// Counts `calls` calls of which every `nth` is refused, 10 ms apart.
fn counted(calls: u64, nth: u64) -> RefusalShare {
    let mut share = RefusalShare::default();
    for n in 0..calls {
        share.count(n % nth == 0, Ms(n * 10));
    }
    share
}

#[test]
fn shares() {
    // Calls, which of them are refused, least and most percent.
    let cases = [
        (3, 1, 0, 0),
        (100, 1, 100, 100),
        (100, 2, 47, 53),
        (100, 4, 22, 28),
        (100, 1000, 0, 1),
    ];
    for (calls, nth, least, most) in cases {
        let percent = counted(calls, nth).percent(Ms(calls * 10));
        assert!((least..=most).contains(&percent), "{calls} {nth}: {percent}");
    }
}

#[test]
fn fades() {
    let share = counted(100, 1);
    assert_eq!(share.percent(Ms(1500)), 100);
    assert_eq!(share.percent(Ms(10_000)), 0, "nothing is known any more");
}
