use {
    super::{CallResult, Outcome, Reason, RetryBudget},
    crate::clock::Ms,
};

/// The facts that a retry decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Current time.
    pub now: Ms,
    /// When the entry daemon received the call.
    pub started: Ms,
    /// When the caller stops waiting.
    pub deadline: Ms,
    /// Longest time that the call waits for an owner, counted from `started`.
    pub park: Ms,
    /// Whether any server of the service may take the call.
    pub any_server: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Number of attempts so far that may have reached a server.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub attempts_max: u32,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The result is final and goes to the caller at once.
    End,
    /// The call waits for the next change of ownership and is tried again then.
    AwaitChange,
    /// The call is tried again at once.
    Retry,
}

/// The earlier attempts of a call, as far as they affect its result.
///
/// If an earlier attempt may have run, the call may have run, even if the last attempt certainly did not.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    last_unknown: Option<CallResult>,
}

impl AttemptHistory {
    /// Records the result of an attempt that is followed by another one.
    pub fn record(&mut self, result: &CallResult) {
        if result.outcome == Outcome::Unknown {
            self.last_unknown = Some(result.clone());
        }
    }

    /// Returns the result of the call whose last attempt ended with `last`.
    pub fn final_result(self, last: CallResult) -> CallResult {
        match self.last_unknown {
            Some(last_unknown) if last.outcome == Outcome::NotRun => last_unknown,
            Some(_) | None => last,
        }
    }
}

/// Decides what follows an attempt that ended with `result`. A call that may have run is retried only if it is
/// idempotent, or if the guard of its owner recognises it.
pub fn after_attempt(result: &CallResult, context: RetryContext, budget: &mut RetryBudget) -> NextStep {
    if context.now >= context.deadline {
        return NextStep::End;
    }
    let Some(reason) = result.reason else {
        return NextStep::End;
    };
    match result.outcome {
        Outcome::Answered => NextStep::End,
        Outcome::NotRun if context.any_server && tries_another_server(reason) => {
            match retry_within_budget(context, budget) {
                NextStep::End if waits_for_change(reason) && context.now < context.started + context.park => {
                    NextStep::AwaitChange
                }
                step => step,
            }
        }
        Outcome::NotRun if waits_for_change(reason) && context.now < context.started + context.park => {
            NextStep::AwaitChange
        }
        Outcome::NotRun => NextStep::End,
        Outcome::Unknown if context.idempotent || reason == Reason::PeerLost && !result.replayed => {
            retry_within_budget(context, budget)
        }
        Outcome::Unknown => NextStep::End,
    }
}

/// Retries if attempts and budget are left.
fn retry_within_budget(context: RetryContext, budget: &mut RetryBudget) -> NextStep {
    if context.attempts < context.attempts_max && budget.spend() {
        NextStep::Retry
    } else {
        NextStep::End
    }
}

/// Returns whether a call that was not run for this reason waits for a change of ownership.
pub(super) fn waits_for_change(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoOwner
            | Reason::NotOwner
            | Reason::NoLease
            | Reason::NoServer
            | Reason::PeerUnreachable
            | Reason::ServerUnreachable
            | Reason::ServerRefused
            | Reason::ServerDraining
            | Reason::GuardNotReady
            | Reason::Draining
    )
}

/// Returns whether a call that was not run for this reason is tried at another server.
fn tries_another_server(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoMemory
            | Reason::NoLease
            | Reason::PeerUnreachable
            | Reason::ServerUnreachable
            | Reason::ServerDraining
            | Reason::Draining
    )
}
