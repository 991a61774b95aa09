//! Decisions after a try of a routed call.

use clementinefold::{
    call::{
        after_try, normalize_unknown_service, reached_server, CallResult, EndCause, Outcome, Reason,
        RetryBudget, RoutedContext, RoutedStep,
    },
    clock::Ms,
};

fn context(idempotent: bool, divided_by_key: bool) -> RoutedContext {
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

/// Returns the step after a try that ended with `result`. The try is counted if it reached a server.
fn step(result: &CallResult, context: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    let sent = context.sent + u32::from(reached_server(result));
    after_try(result, RoutedContext { sent, ..context }, budget)
}

fn answered(status: u16) -> CallResult {
    CallResult::answered(status, Vec::new(), Default::default())
}

/// Guards against a call that ends, is counted as sent, or takes from the retry budget because the daemon of a slow server
/// refused it: it has not run, and another server may take it.
#[test]
fn slow_server_leads_to_another() {
    for idempotent in [false, true] {
        let refused = CallResult::failed(Reason::ServerSlow);
        assert!(!reached_server(&refused));
        let mut budget = RetryBudget::default();
        while budget.spend() {}
        assert_eq!(
            step(&refused, context(idempotent, false), &mut budget),
            RoutedStep::Retry
        );
    }
}

/// A non-idempotent call that may have run is never sent again.
#[test]
fn unknown_or_answered_not_retried() {
    for divided_by_key in [false, true] {
        for reason in Reason::ALL {
            let result = CallResult::failed(*reason);
            if result.outcome == Outcome::Unknown {
                let step = step(
                    &result,
                    context(false, divided_by_key),
                    &mut RetryBudget::default(),
                );
                assert_eq!(step, RoutedStep::End(EndCause::MayHaveRun), "{reason:?}");
            }
        }
        for status in [200, 404, 500, 503] {
            let step = step(
                &answered(status),
                context(false, divided_by_key),
                &mut RetryBudget::default(),
            );
            assert_eq!(step, RoutedStep::End(EndCause::Answered), "{status}");
        }
    }
}

#[test]
fn attempts_limited() {
    for reason in [Reason::ServerLost, Reason::ServerFull, Reason::BadAnswer] {
        let result = CallResult::failed(reason);
        let first = context(true, false);
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

/// A retry takes a token after a server was asked, but none after a daemon refused the call.
#[test]
fn only_asked_servers_take_budget() {
    let mut budget = RetryBudget::new(0.0, 1.0);
    let refused = CallResult::failed(Reason::Overloaded);
    let full = CallResult::failed(Reason::ServerFull);
    assert_eq!(
        step(&refused, context(false, false), &mut budget),
        RoutedStep::Retry
    );
    assert_eq!(step(&full, context(false, false), &mut budget), RoutedStep::Retry);
    assert_eq!(
        step(&full, context(false, false), &mut budget),
        RoutedStep::End(EndCause::BudgetSpent)
    );
    assert_eq!(
        step(&refused, context(false, false), &mut budget),
        RoutedStep::Retry
    );
}

#[test]
fn server_error_tried_elsewhere() {
    let mut budget = RetryBudget::default();
    assert_eq!(
        step(&answered(500), context(true, false), &mut budget),
        RoutedStep::Retry
    );
    assert_eq!(
        step(&answered(504), context(true, false), &mut budget),
        RoutedStep::End(EndCause::Answered)
    );
    assert_eq!(
        step(&answered(404), context(true, false), &mut budget),
        RoutedStep::End(EndCause::Answered)
    );
    let without_other = RoutedContext {
        has_other_server: false,
        ..context(true, false)
    };
    assert_eq!(
        step(&answered(500), without_other, &mut budget),
        RoutedStep::End(EndCause::NoOther)
    );
}

#[test]
fn missing_owner_awaited() {
    let mut budget = RetryBudget::default();
    for reason in [
        Reason::NoOwner,
        Reason::NotOwner,
        Reason::NoLease,
        Reason::PeerUnreachable,
    ] {
        let result = CallResult::failed(reason);
        assert_eq!(
            step(&result, context(false, true), &mut budget),
            RoutedStep::AwaitChange,
            "{reason:?}"
        );
        let late = RoutedContext {
            now: Ms(600),
            ..context(false, true)
        };
        assert_eq!(
            step(&result, late, &mut budget),
            RoutedStep::End(EndCause::NoOwner),
            "{reason:?}"
        );
    }
    let overloaded = CallResult::failed(Reason::Overloaded);
    assert_eq!(
        step(&overloaded, context(true, true), &mut budget),
        RoutedStep::End(EndCause::NoOther)
    );
}

#[test]
fn no_retry_near_deadline() {
    let late = RoutedContext {
        now: Ms(990),
        ..context(true, false)
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

/// Once the entry daemon has found the route, the caller never gets status 404 because another daemon lacks the
/// configuration.
#[test]
fn unknown_service_means_old_configuration() {
    for reason in Reason::ALL {
        let result = normalize_unknown_service(CallResult::failed(*reason));
        assert_ne!(result.status, 404, "{reason:?}");
        assert_eq!(result.outcome, reason.outcome(), "{reason:?}");
    }
    let mut budget = RetryBudget::default();
    let unknown = normalize_unknown_service(CallResult::failed(Reason::UnknownService));
    assert_eq!(
        step(&unknown, context(false, false), &mut budget),
        RoutedStep::Retry
    );
    assert_eq!(
        step(&unknown, context(false, true), &mut budget),
        RoutedStep::AwaitChange
    );
}
