//! Replays calls over full links through the meter of their transit times.

use clementinefold::{
    clock::Ms,
    link::{Transit, TransitMeter},
};

/// Shortest transit time of the link.
const USUAL: Ms = Ms(2);

/// Records a call that is sent at `sent_at` and takes `delay` longer than usual. The clock of the receiver is `ahead` of
/// that of the sender.
fn record(meter: &mut TransitMeter, sent_at: u64, delay: u64, ahead: u64) -> Transit {
    meter.record(Ms(sent_at), Ms(sent_at + ahead) + USUAL + Ms(delay))
}

#[test]
fn usual_calls_pass() {
    let mut meter = TransitMeter::default();
    for sent_at in (0..10_000).step_by(50) {
        assert_eq!(record(&mut meter, sent_at, 0, 7), Transit::default());
    }
}

/// Guards against calls that are sent to a server long after their caller has left: the cancel message is delayed like the call.
#[test]
fn cancel_arrives_first() {
    for delay in 0..1000 {
        for left_after in 0..1000 {
            let mut meter = TransitMeter::default();
            record(&mut meter, 0, 0, 7);
            let transit = record(&mut meter, 1000, delay, 7);
            assert_eq!(transit.delay, Ms(delay));
            let call_sent = delay + transit.hold.0;
            let cancel_received = left_after + delay;
            let is_late = delay > left_after + 500;
            assert!(
                !is_late || cancel_received <= call_sent,
                "a caller left after {left_after} ms, its call was delayed by {delay} ms"
            );
        }
    }
}

#[test]
fn short_delays_not_held() {
    let mut meter = TransitMeter::default();
    record(&mut meter, 0, 0, 0);
    let transit = record(&mut meter, 1000, 500, 0);
    assert_eq!(transit.hold, Ms::ZERO);
}

/// Guards against calls that are held back for all of their time since the clock of a host has stepped.
#[test]
fn hold_is_limited() {
    let mut meter = TransitMeter::default();
    record(&mut meter, 0, 0, 0);
    assert_eq!(record(&mut meter, 1000, 100_000, 0).hold, Ms(500));
}

/// Guards against a link that counts as ever slower since the clock of its sender is slow.
#[test]
fn drift_is_forgotten() {
    let mut meter = TransitMeter::default();
    for second in 0..24 * 3600 {
        let drift = second / 20;
        let transit = record(&mut meter, second * 1000, 0, drift);
        assert!(transit.delay <= Ms(6), "{transit:?} after {second} s");
    }
}

#[test]
fn clock_behind_sender() {
    let mut meter = TransitMeter::default();
    meter.record(Ms(1_000_000), Ms(10));
    let transit = meter.record(Ms(1_001_000), Ms(1710));
    assert_eq!(transit.delay, Ms(700));
    assert_eq!(transit.hold, Ms(200));
}

/// Guards against a link that was idle for long: the transit time measured before would count the drift of the clocks since
/// then as a delay, and calls would lose their time.
#[test]
fn drift_while_idle_forgotten() {
    let mut meter = TransitMeter::default();
    record(&mut meter, 0, 0, 0);
    // Four hours at 50 ppm.
    let transit = record(&mut meter, 4 * 3_600_000, 0, 720);
    assert_eq!(transit, Transit::default());
}
