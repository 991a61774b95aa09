//! Decisions after an attempt: end, wait for a change of ownership, or retry.

use clementinefold::{
    call::{after_attempt, CallResult, NextStep, Outcome, Reason, RetryBudget, RetryContext},
    clock::Ms,
};

const CONTEXT: RetryContext = RetryContext {
    now: Ms(100),
    started: Ms(0),
    deadline: Ms(1000),
    park: Ms(500),
    any_server: false,
    idempotent: false,
    attempts: 1,
    attempts_max: 3,
};

struct Row {
    name: &'static str,
    reason: Reason,
    context: RetryContext,
    expected: NextStep,
}

const fn row(name: &'static str, reason: Reason, context: RetryContext, expected: NextStep) -> Row {
    Row {
        name,
        reason,
        context,
        expected,
    }
}

const IDEMPOTENT: RetryContext = RetryContext {
    idempotent: true,
    ..CONTEXT
};
const ANY_SERVER: RetryContext = RetryContext {
    any_server: true,
    ..IDEMPOTENT
};

const ROWS: &[Row] = &[
    row("owner missing", Reason::NoOwner, CONTEXT, NextStep::AwaitChange),
    row(
        "owner missing, wait time over",
        Reason::NoOwner,
        RetryContext {
            now: Ms(500),
            ..CONTEXT
        },
        NextStep::End,
    ),
    row(
        "owner missing, deadline over",
        Reason::NoOwner,
        RetryContext {
            now: Ms(1000),
            ..CONTEXT
        },
        NextStep::End,
    ),
    row(
        "guard not ready",
        Reason::GuardNotReady,
        CONTEXT,
        NextStep::AwaitChange,
    ),
    row("overloaded owner", Reason::Overloaded, IDEMPOTENT, NextStep::End),
    row(
        "overloaded, other servers",
        Reason::Overloaded,
        ANY_SERVER,
        NextStep::Retry,
    ),
    row(
        "unreachable, other servers",
        Reason::ServerUnreachable,
        ANY_SERVER,
        NextStep::Retry,
    ),
    row("quarantined", Reason::Quarantined, ANY_SERVER, NextStep::End),
    row("bad header", Reason::BadHeader, ANY_SERVER, NextStep::End),
    row("lost", Reason::ServerLost, CONTEXT, NextStep::End),
    row(
        "lost, idempotent",
        Reason::ServerLost,
        IDEMPOTENT,
        NextStep::Retry,
    ),
    row(
        "lost, last attempt",
        Reason::ServerLost,
        RetryContext {
            attempts: 3,
            ..IDEMPOTENT
        },
        NextStep::End,
    ),
    row("bad answer", Reason::BadAnswer, CONTEXT, NextStep::End),
    row("guard lost", Reason::GuardLost, CONTEXT, NextStep::End),
    row("answer not kept", Reason::AnswerNotKept, CONTEXT, NextStep::End),
    row(
        "link to the owner lost, its guard recognises the call",
        Reason::PeerLost,
        CONTEXT,
        NextStep::Retry,
    ),
    row(
        "late",
        Reason::ServerLate,
        RetryContext {
            now: Ms(1000),
            ..IDEMPOTENT
        },
        NextStep::End,
    ),
];

#[test]
fn next_step_by_reason() {
    for row in ROWS {
        let result = CallResult::failed(row.reason);
        let step = after_attempt(&result, row.context, &mut RetryBudget::default());
        assert_eq!(step, row.expected, "{}", row.name);
    }
}

#[test]
fn answer_is_final() {
    let result = CallResult::answered(500, Vec::new(), bytes::Bytes::new());
    let step = after_attempt(&result, ANY_SERVER, &mut RetryBudget::default());
    assert_eq!(step, NextStep::End);
}

#[test]
fn recorded_loss_is_final() {
    let result = CallResult {
        replayed: true,
        ..CallResult::failed(Reason::PeerLost)
    };
    let step = after_attempt(&result, CONTEXT, &mut RetryBudget::default());
    assert_eq!(step, NextStep::End);
}

/// A non-idempotent call that may have run is not retried, except where the guard of its owner recognises it.
#[test]
fn unknown_outcome_not_retried() {
    for reason in Reason::ALL.iter().filter(|r| r.outcome() == Outcome::Unknown) {
        let step = after_attempt(&CallResult::failed(*reason), CONTEXT, &mut RetryBudget::default());
        let expected = if *reason == Reason::PeerLost {
            NextStep::Retry
        } else {
            NextStep::End
        };
        assert_eq!(step, expected, "{reason:?}");
    }
}

#[test]
fn budget_bounds_retries() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        let result = CallResult::failed(Reason::ServerLost);
        retries += u32::from(after_attempt(&result, IDEMPOTENT, &mut budget) == NextStep::Retry);
    }
    assert!(
        (1000..1030).contains(&retries),
        "{retries} retries of 10,000 failing calls"
    );
}
