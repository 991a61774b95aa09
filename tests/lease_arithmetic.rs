//! Arithmetic of leases, as measured by the daemon, the leader and the backend server.

use {
    clementinefold::{
        clock::Ms,
        key::KeyRange,
        lease::{ClockVerdict, DaemonLease, Renewal, SessionViews, SleepDetector},
        settings::LeaseSettings,
        standin::Ownership,
    },
    quickcheck::{Gen, QuickCheck},
};

const TIMING: LeaseSettings = LeaseSettings {
    ttl: Ms(600),
    renew_interval: Ms(150),
    drift: Ms(30),
    election_timeout: Ms(300),
    max_config_lag: Ms(4000),
    max_config_age: Ms(1800),
};

const NO_SESSIONS: [u64; 0] = [];

/// Returns a lease after renewals that were sent at these times, in the order of their answers.
fn lease(sent_at: &[u64]) -> DaemonLease {
    let lease = DaemonLease::default();
    for at in sent_at {
        lease.record_renewal(Ms(*at), &TIMING);
    }
    lease
}

#[test]
fn lease_of_daemon() {
    // Name, send times of the renewals in the order of their answers, end of the lease.
    let cases: &[(&str, &[u64], u64)] = &[
        ("counts from the send time", &[1000], 1000 + 600 - 30),
        ("a later renewal extends", &[1000, 1150], 1150 + 570),
        ("a late answer does not shorten", &[1150, 1000], 1150 + 570),
        ("no renewal, no lease", &[], 0),
    ];
    for (name, sent_at, ends_at) in cases {
        let lease = lease(sent_at);
        assert_eq!(lease.ends_at(), Ms(*ends_at), "{name}");
        assert!(!lease.is_valid(Ms(*ends_at)), "{name}: at its end");
        assert_eq!(
            lease.is_valid(Ms(ends_at.saturating_sub(1))),
            *ends_at > 0,
            "{name}: before its end"
        );
    }
}

#[test]
fn void_ignores_earlier_renewals() {
    // Name, time of the void, send time of the renewal that is answered after it, whether the lease is valid then.
    let cases: &[(&str, u64, u64, bool)] = &[
        ("answer to a renewal from before", 1100, 1050, false),
        ("answer to a renewal from the same ms", 1100, 1100, false),
        ("answer to a renewal from after", 1100, 1101, true),
    ];
    for (name, void_at, sent_at, is_valid) in cases {
        let lease = lease(&[1000]);
        lease.void(Ms(*void_at));
        assert!(!lease.is_valid(Ms(*void_at)), "{name}: right after the void");
        lease.record_renewal(Ms(*sent_at), &TIMING);
        assert_eq!(lease.is_valid(Ms(1200)), *is_valid, "{name}");
    }
}

#[test]
fn lease_at_leader() {
    let mut views = SessionViews::new(TIMING, [7].into_iter(), Ms(1000));
    assert_eq!(views.expired(Ms(1000 + 600 + 30 - 1)), NO_SESSIONS);
    let mut views = SessionViews::new(TIMING, [7].into_iter(), Ms(1000));
    assert_eq!(views.expired(Ms(1000 + 600 + 30)), [7]);
    // At the leader, a lease counts from the receipt of the renewal.
    assert_eq!(views.renew(7, 0, Ms(1400)), Renewal::Renewed);
    assert_eq!(views.expired(Ms(1400 + 630 - 1)), NO_SESSIONS);
    let mut elected = SessionViews::new(TIMING, [7].into_iter(), Ms(1500));
    assert_eq!(
        elected.expired(Ms(1500 + 630 - 1)),
        NO_SESSIONS,
        "a new leader counts from its election"
    );
}

#[test]
fn leader_pause_extends_leases() {
    let mut views = SessionViews::new(TIMING, [7].into_iter(), Ms(1000));
    assert_eq!(views.expired(Ms(1020)), NO_SESSIONS);
    // The leader was paused, so renewals may be waiting for it.
    assert_eq!(views.expired(Ms(9000)), NO_SESSIONS);
    for now in (9020..9460).step_by(20) {
        assert_eq!(views.expired(Ms(now)), NO_SESSIONS, "at {now}");
    }
    assert_eq!(views.expired(Ms(9480)), [7], "the session still ends");
}

/// The leader's view of a lease never ends before the daemon's, as long as no clock drifts beyond the margin.
#[test]
fn view_outlasts_lease() {
    fn view_covers_lease(
        sent_at: u16,
        travel: u16,
        daemon_speed: u8,
        leader_speed: u8,
        allowed: u64,
    ) -> bool {
        // Speeds in parts per thousand around 1000.
        let speed = |s: u8| 1000 - allowed + u64::from(s) % (2 * allowed + 1);
        let (sent_at, received_at) = (u64::from(sent_at), u64::from(sent_at) + u64::from(travel));
        let lease = lease(&[sent_at]);
        let mut views = SessionViews::new(TIMING, [7].into_iter(), Ms(0));
        views.renew(7, 0, Ms(received_at));
        let view_end = (received_at..)
            .find(|now| !views.expired(Ms(*now)).is_empty())
            .unwrap();
        let lease_ms = (lease.ends_at().0 - sent_at) * 1000 / speed(daemon_speed);
        let view_ms = (view_end - received_at) * 1000 / speed(leader_speed);
        sent_at + lease_ms <= received_at + view_ms
    }
    fn covers_within_drift(sent_at: u16, travel: u16, daemon: u8, leader: u8) -> bool {
        view_covers_lease(sent_at, travel, daemon, leader, 50)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(300)
        .quickcheck(covers_within_drift as fn(u16, u16, u8, u8) -> bool);
    assert!(
        !view_covers_lease(0, 0, 0, 160, 80),
        "beyond the margin the daemon may rely on its lease for too long"
    );
}

/// A leader that checks the leases rarely still ends sessions.
#[test]
fn rare_checks_end_sessions() {
    let mut views = SessionViews::new(TIMING, [7].into_iter(), Ms(1000));
    let ended = (1000..20_000)
        .step_by(200)
        .find(|now| !views.expired(Ms(*now)).is_empty());
    assert_eq!(ended, Some(2000));
}

#[test]
fn clock_verdicts() {
    // Name, readings of the boot and the monotonic clock, verdict for the last one.
    type Case<'a> = (&'a str, &'a [(u64, u64)], ClockVerdict);
    let cases: &[Case<'_>] = &[
        ("first reading", &[(5000, 100)], ClockVerdict::Steady),
        (
            "usual interval",
            &[(5000, 100), (5010, 110)],
            ClockVerdict::Steady,
        ),
        (
            "late within the margin",
            &[(5000, 100), (5040, 140)],
            ClockVerdict::Steady,
        ),
        (
            "late beyond the margin",
            &[(5000, 100), (5041, 141)],
            ClockVerdict::Paused(Ms(31)),
        ),
        (
            "suspended",
            &[(5000, 100), (9010, 110)],
            ClockVerdict::Suspended(Ms(4000)),
        ),
        (
            "steady after a pause",
            &[(5000, 100), (9010, 110), (9020, 120)],
            ClockVerdict::Steady,
        ),
    ];
    for (name, readings, verdict) in cases {
        let mut detector = SleepDetector::new(Ms(10), Ms(30));
        let verdicts = readings
            .iter()
            .map(|(boot, monotonic)| detector.observe(Ms(*boot), Ms(*monotonic)));
        assert_eq!(verdicts.last(), Some(*verdict), "{name}");
    }
}

#[test]
fn lease_at_server() {
    let all = KeyRange::default();
    let a = clementinefold::key::Key::new(b"a".to_vec());
    let mut ownership = Ownership::default();
    assert!(ownership.grant(all.clone(), 5, Ms(1000), Ms(500)));
    assert!(ownership.admit(&a, 5, Ms(999)).is_ok());
    assert!(ownership.admit(&a, 5, Ms(1000)).is_err(), "the lease has ended");
    assert!(
        !ownership.extend(Ms(2000), Ms(1000)),
        "an ended lease is not revived"
    );
    assert!(ownership.admit(&a, 5, Ms(1100)).is_err());
    assert!(
        ownership.grant(all, 5, Ms(2000), Ms(1200)),
        "the same epoch may be granted again"
    );
    assert!(
        ownership.extend(Ms(1100), Ms(1300)),
        "a shorter lease does not shorten"
    );
    assert!(ownership.admit(&a, 5, Ms(1999)).is_ok());
    assert!(ownership.admit(&a, 4, Ms(1999)).is_err(), "stale epoch");
}
