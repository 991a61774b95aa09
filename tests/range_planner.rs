//! Decisions of the planner, as pure functions of snapshots.

use {
    clementinefold::{
        clock::Ms,
        key::{Key, KeyRange},
        placement::{
            plan, Action, KeyLoad, LostOwner, PlannerState, RangeView, Reason, ServerView, ServiceView, Side,
            Snapshot, SpaceSaving,
        },
        schema::Weights,
    },
    quickcheck::quickcheck,
};

fn server(i: usize) -> ServerView {
    ServerView {
        session: i as u64,
        address: format!("10.0.0.{i}:80"),
        host: format!("h{i}"),
        failure_domain: format!("d{}", i % 3),
        slots: 12,
        ..ServerView::default()
    }
}

fn key(i: usize) -> Key {
    Key::new(vec![i as u8])
}

/// Returns a view of four servers, each with three ranges of one busy slot each.
fn balanced_view() -> ServiceView {
    let ranges = (0..12).map(|i| RangeView {
        span: KeyRange {
            start: if i == 0 { Key::default() } else { key(i * 10) },
            end: (i < 11).then(|| key((i + 1) * 10)),
        },
        owner: Some(i % 4),
        epoch: 1 + i as u64,
        load: 1.0,
        middle: Some(key(i * 10 + 5)),
        ..RangeView::default()
    });
    ServiceView {
        name: "ucty".into(),
        moves_per_minute: 60,
        settle: Ms(60_000),
        servers: (0..4).map(server).collect(),
        ranges: ranges.collect(),
        ..ServiceView::default()
    }
}

fn lose_server(view: &mut ServiceView, server: usize, at: Ms) {
    for range in &mut view.ranges {
        if range.owner == Some(server) {
            range.owner = None;
            range.epoch = 0;
            range.lost_owner = Some(LostOwner {
                at,
                host: format!("h{server}"),
                failure_domain: format!("d{}", server % 3),
            });
        }
    }
}

/// Plans once a second and returns the actions of all plans. No action is carried out, so each plan sees the same view.
fn planned_actions(view: &ServiceView, from: Ms, plans: u64) -> Vec<Action> {
    let mut planner_state = PlannerState::default();
    let mut all = Vec::new();
    for i in 0..plans {
        let snapshot = Snapshot {
            now: from + Ms(i * 1000),
            services: vec![view.clone()],
        };
        let (decided, next) = plan(&snapshot, &planner_state, 1);
        planner_state = next;
        all.extend(decided.actions);
    }
    all
}

fn reasons(actions: &[Action]) -> Vec<Reason> {
    let reason = |a: &Action| match a {
        Action::Assign { reason, .. } | Action::Move { reason, .. } => Some(*reason),
        Action::Merge { .. } => None,
    };
    actions.iter().filter_map(reason).collect()
}

const NOW: Ms = Ms(1_000_000);

type Setup = fn(&mut ServiceView);

#[test]
fn reasons_by_situation() {
    let cases: [(&str, Setup, &[Reason]); 9] = [
        ("even load", |_| {}, &[]),
        (
            "new ranges",
            |v| v.ranges.iter_mut().for_each(|r| (r.owner, r.epoch) = (None, 0)),
            &[Reason::New; 12],
        ),
        (
            "one of four servers lost",
            |v| {
                v.servers.remove(3);
                lose_server(v, 3, NOW);
            },
            &[Reason::OwnerLost; 3],
        ),
        (
            "two of four servers lost",
            |v| {
                v.servers.truncate(2);
                lose_server(v, 2, NOW);
                lose_server(v, 3, NOW);
            },
            &[],
        ),
        (
            "two of four servers lost for longer than the wait",
            |v| {
                v.servers.truncate(2);
                lose_server(v, 2, NOW - Ms(20_000));
                lose_server(v, 3, NOW - Ms(20_000));
            },
            &[Reason::OwnerLost; 6],
        ),
        (
            "lost and back",
            |v| lose_server(v, 2, NOW - Ms(1000)),
            &[Reason::OwnerBack; 3],
        ),
        (
            "drained server",
            |v| v.servers[1].is_draining = true,
            &[Reason::Drain; 3],
        ),
        (
            "every server drained",
            |v| v.servers.iter_mut().for_each(|s| s.is_draining = true),
            &[],
        ),
        (
            "planned move is completed",
            |v| {
                v.ranges[0].owner = None;
                v.ranges[0].epoch = 0;
                v.ranges[0].target = Some(3);
                v.ranges[0].is_moving = true;
            },
            &[Reason::MoveTarget],
        ),
    ];
    for (name, set_up, expected) in cases {
        let mut view = balanced_view();
        set_up(&mut view);
        assert_eq!(reasons(&planned_actions(&view, NOW, 1)), expected, "{name}");
    }
}

#[test]
fn loss_avoids_failure_domain() {
    let mut view = balanced_view();
    view.servers.truncate(3);
    lose_server(&mut view, 3, NOW);
    // The lost server 3 was in failure domain d0, as server 0 is.
    for action in planned_actions(&view, NOW, 1) {
        assert!(matches!(action, Action::Assign { to: 1 | 2, .. }), "{action:?}");
    }
}

#[test]
fn hot_key_moves_alone() {
    let mut view = balanced_view();
    let hot = |i| KeyLoad {
        key: key(i),
        load: 4.0,
    };
    view.ranges[4].load = 9.0;
    view.ranges[4].top = vec![hot(43), hot(44)];
    let moved = planned_actions(&view, NOW, 120);
    let first = &moved[0];
    let singles = [43, 44].map(|i| KeyRange::single(key(i)));
    assert!(
        matches!(first, Action::Move { span, from: 0, reason: Reason::HotKey, .. } if singles.contains(span)),
        "{first:?}"
    );
}

/// The first server that announces itself gets all ranges of a new service, so they must be spread once others follow.
#[test]
fn idle_ranges_are_spread() {
    let mut view = balanced_view();
    view.is_new = true;
    view.moves_per_minute = 0;
    view.weights = Weights {
        imbalance: 0,
        ..Weights::default()
    };
    for range in &mut view.ranges {
        range.owner = Some(0);
        range.load = 0.0;
    }
    let mut count = [12, 0, 0, 0];
    for action in planned_actions(&view, NOW, 1) {
        let Action::Move { from, to, reason, .. } = action else {
            panic!("{action:?}");
        };
        assert_eq!(reason, Reason::Fill);
        count[from] -= 1;
        count[to] += 1;
    }
    assert_eq!(count, [3, 3, 3, 3]);
    // No ranges are joined while the service is new, or the numbers of ranges would differ again.
    view.joins_ranges = true;
    view.settle = Ms::ZERO;
    view.ranges.iter_mut().for_each(|range| range.owner = Some(0));
    view.servers.truncate(1);
    let mut many = view.clone();
    many.ranges = (0..40)
        .map(|i| RangeView {
            span: KeyRange {
                start: key(i),
                end: (i < 39).then(|| key(i + 1)),
            },
            ..view.ranges[0].clone()
        })
        .collect();
    many.ranges[0].span.start = Key::default();
    assert_eq!(planned_actions(&many, NOW, 3), []);
    many.is_new = false;
    assert_ne!(planned_actions(&many, NOW, 3), []);
    view.servers = (0..4).map(server).collect();
    // A difference of one range is left as it is. Nothing moves once there is load or the service is no longer new.
    for (i, range) in view.ranges.iter_mut().enumerate() {
        range.owner = Some(i % 4);
    }
    view.ranges.pop();
    assert_eq!(planned_actions(&view, NOW, 3), []);
    view.ranges[0].load = 0.5;
    view.ranges.iter_mut().for_each(|range| range.owner = Some(0));
    assert_eq!(planned_actions(&view, NOW, 3), []);
    view.ranges[0].load = 0.0;
    view.is_new = false;
    assert_eq!(planned_actions(&view, NOW, 3), []);
}

#[test]
fn moves_are_limited() {
    let moves_with = |weights: Weights, moves_per_minute: u32| {
        let mut view = balanced_view();
        view.weights = weights;
        view.moves_per_minute = moves_per_minute;
        for range in view.ranges.iter_mut().filter(|r| r.owner == Some(0)) {
            range.load = 2.0;
        }
        planned_actions(&view, NOW, 30).len()
    };
    let heavy_churn = Weights {
        churn: 50,
        ..Weights::default()
    };
    assert_eq!(moves_with(heavy_churn, 60), 0);
    assert!(moves_with(Weights::default(), 60) > 0);
    // The budget starts with one move, and at most one more is added in 30 s.
    assert!((1..=2).contains(&moves_with(Weights::default(), 1)));
}

#[test]
fn split_separates_sides() {
    let mut view = balanced_view();
    view.is_splitting = true;
    for (i, server) in view.servers.iter_mut().enumerate() {
        server.side = Some(if i < 2 { Side::First } else { Side::Second });
    }
    for range in &mut view.ranges[..6] {
        range.side = Some(Side::First);
    }
    for range in &mut view.ranges[6..] {
        range.side = Some(Side::Second);
    }
    let snapshot = |view: &ServiceView| Snapshot {
        now: NOW,
        services: vec![view.clone()],
    };
    let mut planner_state = plan(&snapshot(&view), &PlannerState::default(), 1).1;
    planner_state.services[0].tokens = 60.0;
    let (decided, _) = plan(&snapshot(&view), &planner_state, 1);
    assert_eq!(reasons(&decided.actions), [Reason::Split; 4]);
    for action in &decided.actions {
        let Action::Move { span, to, .. } = action else {
            panic!("{action:?}");
        };
        let range = view.ranges.iter().find(|r| r.span == *span).unwrap();
        assert_eq!(view.servers[*to].side, range.side);
    }
    view.is_settled = true;
    view.servers.truncate(2);
    lose_server(&mut view, 2, Ms::ZERO);
    lose_server(&mut view, 3, Ms::ZERO);
    let (decided, _) = plan(&snapshot(&view), &planner_state, 1);
    let crosses_sides = |a: &Action| matches!(a, Action::Assign { span, .. } if span.start >= key(60));
    assert!(
        !decided.actions.iter().any(crosses_sides),
        "{:?}",
        decided.actions
    );
    assert!(decided.unassignable > 0);
}

quickcheck! {
    /// The same input gives the same plan. No plan assigns to a drained server or uses a range twice.
    fn plans_are_valid(loads: Vec<u8>, drained: Vec<bool>, seed: u64) -> bool {
        let mut view = balanced_view();
        for (range, load) in view.ranges.iter_mut().zip(&loads) {
            range.load = f64::from(*load) / 16.0;
            if load % 7 == 0 {
                range.owner = None;
                range.epoch = 0;
            }
        }
        for (server, drained) in view.servers.iter_mut().zip(&drained) {
            server.is_draining = *drained;
        }
        let snapshot = Snapshot { now: NOW, services: vec![view.clone()] };
        let (decided, planner_state) = plan(&snapshot, &PlannerState::default(), seed);
        let mut spans = Vec::new();
        for action in &decided.actions {
            match action {
                Action::Assign { span, to, .. } | Action::Move { span, to, .. } => {
                    if view.servers[*to].is_draining || spans.contains(span) {
                        return false;
                    }
                    spans.push(span.clone());
                }
                Action::Merge { .. } => {}
            }
        }
        plan(&snapshot, &PlannerState::default(), seed) == (decided, planner_state)
    }

    /// A key with more than `total / capacity` of the work is counted, and its count is right within the error.
    fn heavy_keys_are_counted(keys: Vec<u8>) -> bool {
        const CAPACITY: usize = 8;
        let mut sketch = SpaceSaving::new(CAPACITY);
        for byte in &keys {
            sketch.add(&key(usize::from(*byte)), 1.0);
        }
        (0..=255u8).all(|k| {
            let exact = keys.iter().filter(|a| **a == k).count() as f64;
            let counted = sketch.counts().iter().find(|c| c.key == key(usize::from(k)));
            match counted {
                Some(c) => c.count >= exact && c.count - c.error <= exact,
                None => exact <= keys.len() as f64 / CAPACITY as f64,
            }
        })
    }
}
