//! The daemon beside a server sends it no calls later than an evacuation of its failure domain allows: not even those
//! that already wait, and whatever it learnt late.

use clementinefold::{
    clock::Ms,
    lease::{CallStage, EvacuationGate, GateChange, LastEvacuation},
};

const NOW: Ms = Ms(100_000);
const STARTED: LastEvacuation = LastEvacuation { since: 7, ended: 0 };
const ENDED: LastEvacuation = LastEvacuation { since: 7, ended: 9 };

/// Returns a gate that got the order at `NOW`, `age` after the last confirmation of its configuration.
fn closed_gate(age: Option<Ms>) -> (EvacuationGate, Ms) {
    let mut gate = EvacuationGate::default();
    let confirmed_at = age.map(|age| NOW - age);
    match gate.update(STARTED, confirmed_at, false, NOW) {
        Some(GateChange::Started(served)) => (gate, served),
        other => panic!("{other:?}"),
    }
}

#[test]
fn start_period_ends_in_time() {
    // The order is acknowledged after the last confirmation, so 5 s after the confirmation nothing may be sent.
    let cases = [
        ("confirmed just now", Some(Ms::ZERO), Ms(2500)),
        ("confirmed a renewal ago", Some(Ms(500)), Ms(2500)),
        ("over a slow link", Some(Ms(3000)), Ms(1500)),
        ("cut off for the whole period", Some(Ms(4500)), Ms::ZERO),
        ("cut off for a minute", Some(Ms(60_000)), Ms::ZERO),
        ("a process that has just started", None, Ms::ZERO),
    ];
    for (name, age, expected) in cases {
        let (gate, served) = closed_gate(age);
        assert_eq!(served, expected, "{name}");
        let last = NOW + served;
        for stage in [CallStage::ForOwner, CallStage::Queued] {
            assert!(!gate.allows(stage, last), "{name}: {stage:?}");
            if served > Ms::ZERO {
                assert!(gate.allows(stage, last - Ms(1)), "{name}: {stage:?}");
            }
        }
        let since_confirmation = age.map_or(Ms::ZERO, |age| age + served);
        assert!(
            served == Ms::ZERO || since_confirmation <= Ms(4500),
            "{name}: {since_confirmation:?}"
        );
    }
}

#[test]
fn arriving_calls_are_refused_at_once() {
    let (gate, _) = closed_gate(Some(Ms::ZERO));
    assert!(!gate.allows(CallStage::Arriving, NOW));
    assert!(gate.is_closing());
    assert!(EvacuationGate::default().allows(CallStage::Arriving, NOW));
}

/// The state changes many times a second, and must not extend the period with each change.
#[test]
fn repeats_do_not_extend_the_period() {
    let (mut gate, served) = closed_gate(Some(Ms::ZERO));
    let later = NOW + Ms(2000);
    assert_eq!(gate.update(STARTED, Some(later), false, later), None);
    assert!(!gate.allows(CallStage::Queued, NOW + served));
}

#[test]
fn end_is_noticed_once() {
    let (mut gate, _) = closed_gate(Some(Ms::ZERO));
    let later = NOW + Ms(9000);
    assert_eq!(
        gate.update(ENDED, Some(later), false, later),
        Some(GateChange::Ended)
    );
    assert!(gate.allows(CallStage::Arriving, later) && !gate.is_closing());
    assert_eq!(gate.update(ENDED, Some(later), false, later), None);
    let again = LastEvacuation { since: 12, ended: 0 };
    assert_eq!(
        gate.update(again, Some(later), false, later),
        Some(GateChange::Started(Ms(2500)))
    );
}

/// A daemon that was cut off during a whole evacuation must still learn that its servers may have become cold. A new
/// process has no knowledge of them that would be out of date.
#[test]
fn missed_evacuation() {
    let mut gate = EvacuationGate::default();
    assert_eq!(gate.update(LastEvacuation::default(), None, true, NOW), None);
    assert_eq!(gate.update(ENDED, None, false, NOW), Some(GateChange::Ended));
    let mut started_later = EvacuationGate::default();
    assert_eq!(started_later.update(ENDED, None, true, NOW), None);
    assert!(started_later.allows(CallStage::Arriving, NOW));
}
