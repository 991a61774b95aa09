//! The share of calls that a daemon refused recently.

use clementinefold::{call::RefusalShare, clock::Ms};

/// Counts `calls` calls, 10 ms apart, of which every `every_nth` is refused.
fn share_after(calls: u64, every_nth: u64) -> RefusalShare {
    let mut share = RefusalShare::default();
    for n in 0..calls {
        share.count(n % every_nth == 0, Ms(n * 10));
    }
    share
}

#[test]
fn share_by_refused_calls() {
    // Number of calls, which of them are refused (every nth), lower and upper bound of the percentage.
    let cases = [
        (3, 1, 0, 0),
        (100, 1, 100, 100),
        (100, 2, 47, 53),
        (100, 4, 22, 28),
        (100, 1000, 0, 1),
    ];
    for (calls, every_nth, least_percent, most_percent) in cases {
        let percent = share_after(calls, every_nth).percent(Ms(calls * 10));
        assert!(
            (least_percent..=most_percent).contains(&percent),
            "{calls} {every_nth}: {percent}"
        );
    }
}

#[test]
fn share_decays() {
    let share = share_after(100, 1);
    assert_eq!(share.percent(Ms(1500)), 100);
    assert_eq!(
        share.percent(Ms(10_000)),
        0,
        "too few calls are left after the decay"
    );
}
