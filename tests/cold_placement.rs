//! Which keys cold servers get.

#[path = "support/state_fixture.rs"]
mod state_fixture;

use {
    clementinefold::{
        clock::Ms,
        control::State,
        key::{Key, KeyRange},
        placement::{
            plan, Action, LostOwner, Placer, PlannerState, RangeView, Reason, ServerView, ServiceView,
            Snapshot,
        },
        route::candidates,
        wire::{
            control::AssignRange,
            peer::{RangeLoad, Renew},
        },
    },
    state_fixture::{Fixture, SERVICE},
};

const NOW: Ms = Ms(100_000);
const RANGES_PER_SERVER: usize = 4;

/// Returns a view of `servers` warm servers with 12 slots, each of which owns four ranges of one busy slot each.
fn view(servers: usize) -> ServiceView {
    let key = |i: usize| Key::new(vec![i as u8]);
    let count = servers * RANGES_PER_SERVER;
    let ranges = (0..count).map(|i| RangeView {
        span: KeyRange {
            start: if i == 0 { Key::default() } else { key(i) },
            end: (i + 1 < count).then(|| key(i + 1)),
        },
        owner: Some(i / RANGES_PER_SERVER),
        epoch: 1 + i as u64,
        load: 1.0,
        ..RangeView::default()
    });
    let server = |i: usize| ServerView {
        session: i as u64,
        address: format!("10.0.0.{i}:80"),
        host: format!("h{i}"),
        failure_domain: format!("d{i}"),
        slots: 12,
        ..ServerView::default()
    };
    ServiceView {
        name: "ucty".into(),
        moves_per_minute: 60,
        settle: Ms(60_000),
        servers: (0..servers).map(server).collect(),
        ranges: ranges.collect(),
        ..ServiceView::default()
    }
}

/// Takes the ranges of a server away from it.
fn lose_ranges(view: &mut ServiceView, server: usize) {
    for range in view.ranges.iter_mut().filter(|r| r.owner == Some(server)) {
        range.owner = None;
        range.epoch = 0;
        range.lost_owner = Some(LostOwner {
            at: NOW - Ms(5000),
            host: format!("h{server}"),
            failure_domain: format!("d{server}"),
        });
    }
}

/// Plans once a second and returns the actions of all plans. No action is carried out.
fn actions(view: &ServiceView, plans: u64) -> Vec<Action> {
    let mut planner_state = PlannerState::default();
    let mut all = Vec::new();
    for i in 0..plans {
        let snapshot = Snapshot {
            now: NOW + Ms(i * 1000),
            services: vec![view.clone()],
        };
        let (planned, next) = plan(&snapshot, &planner_state, 1);
        planner_state = next;
        all.extend(planned.actions);
    }
    all
}

/// Returns the number of ranges that each server is to get by assignments and moves.
fn received(actions: &[Action], servers: usize) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for action in actions {
        match action {
            Action::Assign { to, .. } | Action::Move { to, .. } => counts[*to] += 1,
            Action::Merge { .. } => {}
        }
    }
    counts
}

/// Guards against cold servers that get the keys of lost ones because they are the least loaded.
#[test]
fn keys_within_share() {
    for (cold_slots, expected) in [(0.5, 0), (1.0, 1), (2.7, 2), (12.0, 4)] {
        let mut view = view(3);
        // Server 2 has just started without ranges, and server 1 has lost its ranges with its host.
        lose_ranges(&mut view, 1);
        view.ranges.truncate(2 * RANGES_PER_SERVER);
        view.ranges.last_mut().unwrap().span.end = None;
        view.servers[1].is_draining = true;
        view.servers[2].cold_slots = Some(cold_slots);
        // Server 0 is full, so that only the share of server 2 keeps the ranges away from it.
        view.servers[0].slots = 4;
        view.ranges.iter_mut().for_each(|r| {
            r.lost_owner = r.lost_owner.take().map(|o| LostOwner {
                host: "gone".into(),
                ..o
            })
        });
        let counts = received(&actions(&view, 1), 3);
        assert_eq!(
            counts,
            [RANGES_PER_SERVER - expected, 0, expected],
            "{cold_slots} slots"
        );
    }
}

/// Guards against a last owner that is back, but cold, and gets all of its keys at once.
#[test]
fn last_owner_is_cold() {
    let mut view = view(3);
    lose_ranges(&mut view, 1);
    view.servers[1].cold_slots = Some(1.5);
    let planned = actions(&view, 1);
    assert_eq!(received(&planned, 3)[1], 1, "{planned:?}");
    let reasons = planned.iter().map(|action| match action {
        Action::Assign { reason, .. } => *reason,
        other => panic!("{other:?}"),
    });
    let reasons: Vec<Reason> = reasons.collect();
    assert_eq!(reasons.iter().filter(|r| **r == Reason::OwnerBack).count(), 1);
    assert_eq!(reasons.len(), RANGES_PER_SERVER, "no key stays without an owner");
}

/// Guards against keys without an owner for as long as all servers are cold.
#[test]
fn all_servers_cold() {
    let mut view = view(2);
    lose_ranges(&mut view, 0);
    lose_ranges(&mut view, 1);
    view.servers.iter_mut().for_each(|s| s.cold_slots = Some(1.5));
    let counts = received(&actions(&view, 1), 2);
    assert_eq!(counts.iter().sum::<usize>(), 2 * RANGES_PER_SERVER, "{counts:?}");
    assert!(
        counts.iter().all(|n| *n >= RANGES_PER_SERVER - 1),
        "uneven: {counts:?}"
    );
}

/// Guards against rebalancing moves to a cold server, which looks empty.
#[test]
fn no_moves_to_cold() {
    let mut view = view(3);
    // Server 2 owns nothing; the others have twice their load.
    for (i, range) in view.ranges.iter_mut().enumerate() {
        range.owner = Some(i % 2);
    }
    let moved = |view: &ServiceView| received(&actions(view, 30), 3)[2];
    assert!(moved(&view) > 0, "a warm server gets ranges");
    view.servers[2].cold_slots = Some(3.0);
    assert_eq!(moved(&view), 0);
}

/// The ranges of a drained server go to a cold one only within its share, and stay if there is no other.
#[test]
fn drained_with_cold_target() {
    for (cold_slots, expected) in [(Some(4.5), 0), (Some(6.5), 2), (None, RANGES_PER_SERVER)] {
        let mut view = view(2);
        view.servers[0].is_draining = true;
        view.servers[1].cold_slots = cold_slots;
        assert_eq!(
            received(&actions(&view, 1), 2),
            [0, expected],
            "{cold_slots:?} slots"
        );
    }
}

/// Returns a fixture with two hosts whose servers need a warm-up, the second of which is cold.
fn cold_fixture() -> Fixture {
    let mut f = Fixture::with_hosts(2, true, 1000);
    let schema = state_fixture::schema(true, 1000).replace(
        r#""boundaries""#,
        r#""warmup_ms": 3000, "warmup_per_s": 6.5, "boundaries""#,
    );
    f.apply_schema(&schema);
    let session = f.session(2);
    let mut cold = state_fixture::server(2, true);
    cold.cold = true;
    f.set_servers(session, vec![cold], &[]);
    f
}

/// The share follows from the rate of the schema and the reported time of calls: at 400 ms, 6.5 calls a second keep 2.6
/// of the four slots busy.
#[test]
fn share_by_call_time() {
    let owner_hosts = |state: &State, placer: &mut Placer| -> Vec<String> {
        let assigned = placer.changes(state, Ms(50_000)).assignments;
        let host = |a: &AssignRange| state.session(a.session).unwrap().open.host.clone();
        assigned.iter().map(host).collect()
    };
    for (busy_slots, expected) in [(2.0, 1), (2.7, 0)] {
        let f = cold_fixture();
        let mut placer = Placer::new(1);
        let load = |start: &str| RangeLoad {
            service: SERVICE.into(),
            start: start.as_bytes().to_vec().into(),
            calls_per_second: busy_slots / 0.4,
            busy_slots,
            ..RangeLoad::default()
        };
        let renew = Renew {
            loads: vec![load(""), load("m")],
            ..Renew::default()
        };
        placer.record_loads(&renew, Ms(49_000));
        let hosts = owner_hosts(&f.state, &mut placer);
        assert_eq!(hosts.len(), 2);
        let cold = hosts.iter().filter(|h| *h == "host-2").count();
        assert_eq!(cold, expected, "ranges with {busy_slots} busy slots: {hosts:?}");
    }
}

/// Entry daemons know from the list of servers which ones are cold, and services without a warm-up have none.
#[test]
fn candidates_tell_cold() {
    let f = cold_fixture();
    let rates = |state: &State| -> Vec<Option<f64>> {
        let found = candidates(state, SERVICE, "d1");
        found.iter().map(|c| c.warmup_per_s).collect()
    };
    assert_eq!(rates(&f.state), [None, Some(6.5)]);
    let mut without = cold_fixture();
    without.apply_schema(&state_fixture::schema(true, 1000));
    assert_eq!(rates(&without.state), [None, None]);
}
