use {
    super::{CallResult, Outcome, Reason, RetryBudget},
    crate::clock::Ms,
};

/// What a retry decision looks at.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// The present time.
    pub now: Ms,
    /// When the entry daemon got the call.
    pub started: Ms,
    /// When the caller stops waiting.
    pub deadline: Ms,
    /// Longest time that the call waits for an owner.
    pub park: Ms,
    /// True: another server may take the call.
    pub any_server: bool,
    /// True: the call may run more than once.
    pub idempotent: bool,
    /// Attempts so far that may have reached a server.
    pub attempts: u32,
    /// Most attempts.
    pub attempts_max: u32,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The result is final and goes to the caller at once.
    End,
    /// The call waits for the next change of ownership, and tries again.
    AwaitChange,
    /// The call is tried again at once.
    Retry,
}

/// What the earlier attempts of a call leave open.
///
/// A certain `not-run` of the last attempt says nothing about the attempts before it.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    unknown: Option<CallResult>,
}

impl AttemptHistory {
    /// Notes an attempt that is followed by another one.
    pub fn record(&mut self, result: &CallResult) {
        if result.outcome == Outcome::Unknown {
            self.unknown = Some(result.clone());
        }
    }

    /// Returns the result of the whole call, whose last attempt ended with `last`.
    pub fn final_result(self, last: CallResult) -> CallResult {
        match self.unknown {
            Some(unknown) if last.outcome == Outcome::NotRun => unknown,
            Some(_) | None => last,
        }
    }
}

/// Decides what follows an attempt with this result. Whatever may have run is repeated only if it is
/// idempotent, or if the guard of its owner recognises it.
pub fn after_attempt(result: &CallResult, view: RetryContext, budget: &mut RetryBudget) -> NextStep {
    if view.now >= view.deadline {
        return NextStep::End;
    }
    let Some(reason) = result.reason else {
        return NextStep::End;
    };
    match result.outcome {
        Outcome::Answered => NextStep::End,
        Outcome::NotRun if view.any_server && tries_another_server(reason) => match retry(view, budget) {
            NextStep::End if waits_for_change(reason) && view.now < view.started + view.park => {
                NextStep::AwaitChange
            }
            step => step,
        },
        Outcome::NotRun if waits_for_change(reason) && view.now < view.started + view.park => {
            NextStep::AwaitChange
        }
        Outcome::NotRun => NextStep::End,
        Outcome::Unknown if view.idempotent || reason == Reason::PeerLost && !result.replayed => {
            retry(view, budget)
        }
        Outcome::Unknown => NextStep::End,
    }
}

fn retry(view: RetryContext, budget: &mut RetryBudget) -> NextStep {
    if view.attempts < view.attempts_max && budget.spend() {
        NextStep::Retry
    } else {
        NextStep::End
    }
}

/// Tells if a call that was not run should wait for another owner.
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

/// Tells if another server may take a call that was not run.
fn tries_another_server(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoLease
            | Reason::PeerUnreachable
            | Reason::ServerUnreachable
            | Reason::ServerDraining
            | Reason::Draining
    )
}
