//! Sessions of lost daemons while the leader itself is paused again and again.

use clementinefold::{
    clock::Ms,
    lease::{Renewal, SessionViews},
    settings::LeaseSettings,
};

const TIMING: LeaseSettings = LeaseSettings {
    ttl: Ms(3000),
    renew_interval: Ms(500),
    drift: Ms(100),
    election_timeout: Ms(300),
    max_config_lag: Ms(4000),
    max_config_age: Ms(1800),
};
/// Longest time for which a server may hold keys after its daemon is lost.
const HOLD_MAX: Ms = Ms(10_000);

/// Returns when a leader that checks its sessions every `pause` ms ends the only one, which was renewed at 0 for the last
/// time.
fn end_of_session(pause: u64) -> Ms {
    let mut views = SessionViews::new(TIMING, [1].into_iter(), Ms::ZERO);
    let checks = (0..).map(|number| Ms(number * pause));
    checks
        .into_iter()
        .find(|now| !views.expired(*now).is_empty())
        .unwrap()
}

#[test]
fn lost_session_ends() {
    for pause in [10, 500, 600, 1000, 1500, 2000, 2500, 3000] {
        let end = end_of_session(pause);
        assert!(end >= TIMING.ttl + TIMING.drift, "{pause} ms: {end:?}");
        assert!(end <= HOLD_MAX, "{pause} ms: {end:?}");
    }
}

/// A daemon whose renewal waits while the leader is paused keeps its session.
#[test]
fn waiting_renewal_counts() {
    let mut views = SessionViews::new(TIMING, [1].into_iter(), Ms::ZERO);
    assert_eq!(views.expired(Ms(10)), Vec::<u64>::new());
    assert_eq!(views.expired(Ms(3500)), Vec::<u64>::new());
    assert_eq!(views.renew(1, 0, Ms(3600)), Renewal::Renewed);
    assert_eq!(views.expired(Ms(3610)), Vec::<u64>::new());
    // The pauses before the renewal do not count any more.
    assert_eq!(views.expired(Ms(6000)), Vec::<u64>::new());
    assert_eq!(views.renew(1, 0, Ms(6100)), Renewal::Renewed);
}

/// A single pause of any length gives all daemons the time to renew.
#[test]
fn long_pause_ends_no_session() {
    let mut views = SessionViews::new(TIMING, [1].into_iter(), Ms::ZERO);
    assert_eq!(views.expired(Ms(0)), Vec::<u64>::new());
    assert_eq!(views.expired(Ms(20_000)), Vec::<u64>::new());
    assert_eq!(views.expired(Ms(20_400)), Vec::<u64>::new());
}
