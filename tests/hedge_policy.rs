//! The decision whether and when a hedged request is sent.

use clementinefold::{
    call::{ends_call, CallResult, HedgeContext, HedgePolicy, NoHedge, Reason, RetryBudget},
    clock::Ms,
};

const ROUTE: &str = "r-desk";
const SAVED_MAX: f64 = 10.0;

/// Returns a policy that has recorded `calls` calls, of which 95 in 100 took 100 ms and the others `late`.
fn policy(percent: u32, calls: u64, late: Ms) -> HedgePolicy {
    let mut policy = HedgePolicy::new(percent, SAVED_MAX);
    record(&mut policy, calls, late, Ms(1));
    policy
}

fn record(policy: &mut HedgePolicy, calls: u64, late: Ms, now: Ms) {
    for n in 0..calls {
        let took = if n % 20 == 19 { late } else { Ms(100) };
        policy.record_time(ROUTE, took, now);
    }
}

fn context() -> HedgeContext {
    HedgeContext {
        now: Ms(200),
        deadline: Ms(2_000),
        idempotent: true,
        divided_by_key: false,
        sent: 1,
        sent_max: 2,
    }
}

fn check(policy: &HedgePolicy, context: HedgeContext) -> Result<(), NoHedge> {
    policy.check(ROUTE, context, &RetryBudget::default())
}

/// Guards against a delay that does not follow the measured times.
#[test]
fn delay_is_quantile() {
    let fast = policy(5, 400, Ms(1_000));
    let delay = fast.delay(ROUTE, Ms(1)).unwrap();
    assert!((Ms(100)..=Ms(106)).contains(&delay), "{delay:?}");
    // A share of 1% only permits the highest quantile, which is among the late calls; no call lasts much longer.
    assert_eq!(policy(1, 400, Ms(1_000)).delay(ROUTE, Ms(1)), None);
    // The service has become ten times as slow.
    let mut slower = fast;
    for n in 0..1_200_u64 {
        let took = if n % 20 == 19 { Ms(10_000) } else { Ms(1_000) };
        slower.record_time(ROUTE, took, Ms(2));
    }
    let delay = slower.delay(ROUTE, Ms(2)).unwrap();
    assert!((Ms(1_000)..=Ms(1_060)).contains(&delay), "{delay:?}");
}

/// Guards against hedged requests that follow from too few or too old measurements.
#[test]
fn delay_needs_calls() {
    assert_eq!(HedgePolicy::new(5, SAVED_MAX).delay(ROUTE, Ms(1)), None);
    assert_eq!(
        policy(5, 32, Ms(1_000)).delay(ROUTE, Ms(1)),
        None,
        "one late call"
    );
    let mut old = policy(5, 400, Ms(1_000));
    assert_eq!(old.delay("other", Ms(1)), None);
    assert!(old.delay(ROUTE, Ms(60_000)).is_some());
    assert_eq!(old.delay(ROUTE, Ms(60_001)), None);
    record(&mut old, 16, Ms(1_000), Ms(100_000));
    assert_eq!(
        old.delay(ROUTE, Ms(100_000)),
        None,
        "the earlier calls are forgotten"
    );
}

/// Guards against extra work where the times vary so little that a hedged request would arrive after the response.
#[test]
fn no_delay_without_long_tail() {
    assert!(policy(5, 400, Ms(300)).delay(ROUTE, Ms(1)).is_some());
    assert_eq!(policy(5, 400, Ms(180)).delay(ROUTE, Ms(1)), None);
}

#[test]
fn conditions_checked() {
    let policy = policy(5, 400, Ms(1_000));
    assert_eq!(check(&policy, context()), Ok(()));
    let cases = [
        (
            "not idempotent",
            HedgeContext {
                idempotent: false,
                ..context()
            },
            NoHedge::NotAllowed,
        ),
        (
            "has an owner",
            HedgeContext {
                divided_by_key: true,
                ..context()
            },
            NoHedge::NotAllowed,
        ),
        (
            "all attempts are used",
            HedgeContext { sent: 2, ..context() },
            NoHedge::AttemptsUsed,
        ),
        (
            "less than a median time is left",
            HedgeContext {
                deadline: Ms(290),
                ..context()
            },
            NoHedge::NoTime,
        ),
    ];
    for (name, context, expected) in cases {
        assert_eq!(check(&policy, context), Err(expected), "{name}");
    }
    let disabled = HedgePolicy::new(0, SAVED_MAX);
    assert_eq!(check(&disabled, context()), Err(NoHedge::Disabled));
}

/// Guards against hedged requests that add load to a service without room.
#[test]
fn paused_while_refusing() {
    let mut policy = policy(5, 400, Ms(1_000));
    let record = |policy: &mut HedgePolicy, accepted: u32, refused: u32| {
        (0..accepted).for_each(|_| policy.record_attempt(false));
        (0..refused).for_each(|_| policy.record_attempt(true));
    };
    for _ in 0..10 {
        record(&mut policy, 20, 1);
    }
    assert_eq!(check(&policy, context()), Ok(()), "single servers are full");
    record(&mut policy, 0, 2);
    assert_eq!(check(&policy, context()), Err(NoHedge::Refusing));
    record(&mut policy, 20, 0);
    assert_eq!(
        check(&policy, context()),
        Ok(()),
        "the servers accept calls again"
    );
    for _ in 0..10 {
        record(&mut policy, 4, 1);
    }
    assert_eq!(
        check(&policy, context()),
        Err(NoHedge::Refusing),
        "a fifth is refused"
    );
}

/// Guards against more hedged requests than the share or the retry budget permits.
#[test]
fn both_budgets_needed() {
    let mut retries = RetryBudget::new(0.15, 3.0);
    let mut hedges = HedgePolicy::new(5, SAVED_MAX);
    let spend = |hedges: &mut HedgePolicy, retries: &mut RetryBudget| {
        (0..100).filter(|_| hedges.spend(retries)).count()
    };
    assert_eq!(spend(&mut hedges, &mut retries), 3, "the retry budget is spent");
    assert_eq!(
        hedges.check(ROUTE, context(), &retries),
        Err(NoHedge::BudgetSpent)
    );
    let mut full = RetryBudget::new(0.15, 100.0);
    assert_eq!(
        spend(&mut hedges, &mut full),
        7,
        "a failed attempt to spend took no token of the share"
    );
    assert!(full.has_token());
    assert_eq!(hedges.check(ROUTE, context(), &full), Err(NoHedge::BudgetSpent));
    for _ in 0..1_000 {
        hedges.earn();
        full.earn();
    }
    hedges.set_saved_max(1.0);
    assert_eq!(spend(&mut hedges, &mut full), 1);
    let mut sent = 0;
    for _ in 0..1_000 {
        hedges.earn();
        full.earn();
        sent += spend(&mut hedges, &mut full);
    }
    assert!((49..=50).contains(&sent), "5% of 1,000 calls: {sent}");
}

/// Guards against unbounded memory if routes are renamed again and again.
#[test]
fn routes_bounded() {
    let mut policy = HedgePolicy::new(5, SAVED_MAX);
    for route in 0..200_u64 {
        for n in 0..100 {
            let took = if n % 20 == 19 { Ms(1_000) } else { Ms(100) };
            policy.record_time(&format!("r-{route}"), took, Ms(route + 1));
        }
    }
    let now = Ms(200);
    let known = (0..200).filter(|route| policy.delay(&format!("r-{route}"), now).is_some());
    assert_eq!(known.collect::<Vec<_>>(), (136..200).collect::<Vec<_>>());
}

/// Guards against a pair of attempts that ends with a failure while the other attempt may still succeed.
#[test]
fn only_answers_end_call() {
    let answered = |status| CallResult::answered(status, Vec::new(), Default::default());
    for (status, ends) in [(200, true), (404, true), (500, false), (503, false), (504, true)] {
        assert_eq!(ends_call(&answered(status)), ends, "{status}");
    }
    for reason in Reason::ALL {
        assert!(!ends_call(&CallResult::failed(*reason)), "{reason:?}");
    }
}
