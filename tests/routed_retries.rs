//! What follows a try of a call by a route.

use clementinefold::{
    call::{
        after_try, normalize_unknown_service, reached_server, CallResult, EndCause, Outcome, Reason,
        RetryBudget, RoutedContext, RoutedStep,
    },
    clock::Ms,
};

fn view(idempotent: bool, divided_by_key: bool) -> RoutedContext {
    RoutedContext {
        now: Ms(10),
        deadline: Ms(1000),
        park_until: Ms(500),
        idempotent,
        divided_by_key,
        sent: 0,
        sent_max: 2,
        refusals: 0,
        has_other_server: true,
    }
}

/// Returns the step after a try that ended with `result`, with its server counted.
fn step(result: &CallResult, view: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    let sent = view.sent + u32::from(reached_server(result));
    after_try(result, RoutedContext { sent, ..view }, budget)
}

fn answered(status: u16) -> CallResult {
    CallResult::answered(status, Vec::new(), Default::default())
}

/// Whatever may have run is never sent again unless it is idempotent.
#[test]
fn never_twice() {
    for divided_by_key in [false, true] {
        for reason in Reason::ALL {
            let result = CallResult::failed(*reason);
            if result.outcome == Outcome::Unknown {
                let step = step(&result, view(false, divided_by_key), &mut RetryBudget::default());
                assert_eq!(step, RoutedStep::End(EndCause::MayHaveRun), "{reason:?}");
            }
        }
        for status in [200, 404, 500, 503] {
            let step = step(
                &answered(status),
                view(false, divided_by_key),
                &mut RetryBudget::default(),
            );
            assert_eq!(step, RoutedStep::End(EndCause::Answered), "{status}");
        }
    }
}

#[test]
fn attempts_bounded() {
    for reason in [Reason::ServerLost, Reason::ServerFull, Reason::BadAnswer] {
        let result = CallResult::failed(reason);
        let first = view(true, false);
        let second = RoutedContext { sent: 1, ..first };
        assert_eq!(
            step(&result, first, &mut RetryBudget::default()),
            RoutedStep::Retry
        );
        assert_eq!(
            step(&result, second, &mut RetryBudget::default()),
            RoutedStep::End(EndCause::AttemptsUsed),
            "{reason:?}"
        );
    }
}

/// A second server costs a part of the budget, a daemon that refuses costs nothing.
#[test]
fn budget_spent() {
    let mut budget = RetryBudget::new(0.0, 1.0);
    let refused = CallResult::failed(Reason::Overloaded);
    let full = CallResult::failed(Reason::ServerFull);
    assert_eq!(step(&refused, view(false, false), &mut budget), RoutedStep::Retry);
    assert_eq!(step(&full, view(false, false), &mut budget), RoutedStep::Retry);
    assert_eq!(
        step(&full, view(false, false), &mut budget),
        RoutedStep::End(EndCause::BudgetSpent)
    );
    assert_eq!(step(&refused, view(false, false), &mut budget), RoutedStep::Retry);
}

#[test]
fn failures_of_one_server() {
    let mut budget = RetryBudget::default();
    assert_eq!(
        step(&answered(500), view(true, false), &mut budget),
        RoutedStep::Retry
    );
    assert_eq!(
        step(&answered(504), view(true, false), &mut budget),
        RoutedStep::End(EndCause::Answered)
    );
    assert_eq!(
        step(&answered(404), view(true, false), &mut budget),
        RoutedStep::End(EndCause::Answered)
    );
    let alone = RoutedContext {
        has_other_server: false,
        ..view(true, false)
    };
    assert_eq!(
        step(&answered(500), alone, &mut budget),
        RoutedStep::End(EndCause::NoOther)
    );
}

#[test]
fn waits_for_owner() {
    let mut budget = RetryBudget::default();
    for reason in [
        Reason::NoOwner,
        Reason::NotOwner,
        Reason::NoLease,
        Reason::PeerUnreachable,
    ] {
        let result = CallResult::failed(reason);
        assert_eq!(
            step(&result, view(false, true), &mut budget),
            RoutedStep::AwaitChange,
            "{reason:?}"
        );
        let late = RoutedContext {
            now: Ms(600),
            ..view(false, true)
        };
        assert_eq!(
            step(&result, late, &mut budget),
            RoutedStep::End(EndCause::NoOwner),
            "{reason:?}"
        );
    }
    let overloaded = CallResult::failed(Reason::Overloaded);
    assert_eq!(
        step(&overloaded, view(true, true), &mut budget),
        RoutedStep::End(EndCause::NoOther)
    );
}

#[test]
fn deadline_ends() {
    let late = RoutedContext {
        now: Ms(990),
        ..view(true, false)
    };
    for reason in Reason::ALL {
        let result = CallResult::failed(*reason);
        assert_eq!(
            step(&result, late, &mut RetryBudget::default()),
            RoutedStep::End(EndCause::NoTime),
            "{reason:?}"
        );
    }
}

/// Once the entry daemon has found the route, no other daemon makes the call an unknown one.
#[test]
fn known_stays_known() {
    for reason in Reason::ALL {
        let result = normalize_unknown_service(CallResult::failed(*reason));
        assert_ne!(result.status, 404, "{reason:?}");
        assert_eq!(result.outcome, reason.outcome(), "{reason:?}");
    }
    let mut budget = RetryBudget::default();
    let unknown = normalize_unknown_service(CallResult::failed(Reason::UnknownService));
    assert_eq!(step(&unknown, view(false, false), &mut budget), RoutedStep::Retry);
    assert_eq!(
        step(&unknown, view(false, true), &mut budget),
        RoutedStep::AwaitChange
    );
}
