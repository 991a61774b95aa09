use {
    super::{retry::waits_for_change, CallResult, Outcome, Reason, RetryBudget},
    crate::clock::Ms,
};

/// Time that must be left before the deadline for another try.
const TRY_TIME_MIN: Ms = Ms(40);
/// Number of daemons that may refuse a call without asking a server before the call fails.
pub const REFUSALS_MAX: u32 = 4;

/// The facts that the decision after one try of a routed call depends on. A routed call names a host and a path
/// instead of a service.
#[derive(Clone, Copy, Debug)]
pub struct RoutedContext {
    /// Current time.
    pub now: Ms,
    /// When the call ends at the latest.
    pub deadline: Ms,
    /// Until when the call may wait for an owner of its key.
    pub park_until: Ms,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether only the owner of the key may take the call.
    pub divided_by_key: bool,
    /// Number of servers that the call was sent to.
    pub sent: u32,
    /// Maximum number of servers that it may be sent to.
    pub sent_max: u32,
    /// Number of tries that ended before a server was asked.
    pub refusals: u32,
    /// Whether there is a server that has not been tried.
    pub has_other_server: bool,
}

/// What follows a try of a routed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutedStep {
    /// The result is final and goes to the caller at once.
    End(EndCause),
    /// The call is tried again at once.
    Retry,
    /// The call waits for the next change of ownership and is tried again then.
    AwaitChange,
}

/// Why a routed call is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The server's answer is the result.
    Answered,
    /// The call may have run, and must not run twice.
    MayHaveRun,
    /// Too little time is left.
    NoTime,
    /// The call was sent to as many servers as its route allows.
    AttemptsUsed,
    /// The retry budget of the service is spent.
    BudgetSpent,
    /// There is no other server that could answer the call.
    NoOther,
    /// The key got no owner within the time that calls wait for one.
    NoOwner,
}

impl EndCause {
    /// Returns the text that log lines contain.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may-have-run",
            Self::NoTime => "no-time",
            Self::AttemptsUsed => "attempts-used",
            Self::BudgetSpent => "budget-spent",
            Self::NoOther => "no-other-server",
            Self::NoOwner => "no-owner-in-time",
        }
    }
}

/// Returns whether a try with this result reached a server, which may have refused it.
pub fn reached_server(result: &CallResult) -> bool {
    match (result.outcome, result.reason) {
        (Outcome::Answered | Outcome::Unknown, _) => true,
        (Outcome::NotRun, reason) => matches!(
            reason,
            Some(Reason::ServerFull | Reason::ServerRefused | Reason::ServerDraining)
        ),
    }
}

/// Returns whether the answer of a server goes to the caller, even if the call may be tried again. Status 5xx other than
/// 504 may be a failure of this server alone, so an idempotent call is tried at another one.
pub fn ends_call(result: &CallResult) -> bool {
    result.outcome == Outcome::Answered && (result.status < 500 || result.status == 504)
}

/// Replaces reasons for an unknown service, kind or route by `NoConfiguration`. The entry daemon has found the
/// route and the service, so a daemon that does not know them lacks the current configuration.
pub fn normalize_unknown_service(result: CallResult) -> CallResult {
    match result.reason {
        Some(Reason::UnknownService | Reason::UnknownKind | Reason::UnknownRoute) => {
            CallResult::failed(Reason::NoConfiguration)
        }
        Some(_) | None => result,
    }
}

/// Decides what follows a try. A call that may have run is repeated only if it is idempotent. Each retry after a
/// try that reached a server takes a token from `budget`.
pub fn after_try(result: &CallResult, context: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    if let Some(cause) = final_cause(result, context) {
        return RoutedStep::End(cause);
    }
    let waits = result.reason.is_some_and(waits_for_owner);
    if context.divided_by_key && waits {
        return after_missing_owner(context, budget);
    }
    if context.divided_by_key || !context.has_other_server || is_final(result.reason) {
        return RoutedStep::End(EndCause::NoOther);
    }
    if context.sent >= context.sent_max {
        return RoutedStep::End(EndCause::AttemptsUsed);
    }
    if !reached_server(result) {
        return match context.refusals < REFUSALS_MAX {
            true => RoutedStep::Retry,
            false => RoutedStep::End(EndCause::NoOther),
        };
    }
    match budget.spend() {
        true => RoutedStep::Retry,
        false => RoutedStep::End(EndCause::BudgetSpent),
    }
}

/// Returns why a result is final regardless of other servers and the budget, or `None` if it is not.
fn final_cause(result: &CallResult, context: RoutedContext) -> Option<EndCause> {
    match result.outcome {
        Outcome::Answered if !context.idempotent || ends_call(result) => Some(EndCause::Answered),
        Outcome::Unknown if !context.idempotent => Some(EndCause::MayHaveRun),
        _ if context.now + TRY_TIME_MIN >= context.deadline => Some(EndCause::NoTime),
        _ => None,
    }
}

/// Decides what follows a try that found no owner of the key which could take the call.
fn after_missing_owner(context: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    if context.sent >= context.sent_max {
        return RoutedStep::End(EndCause::AttemptsUsed);
    }
    if context.now >= context.park_until {
        return RoutedStep::End(EndCause::NoOwner);
    }
    match context.sent == 0 || budget.spend() {
        true => RoutedStep::AwaitChange,
        false => RoutedStep::End(EndCause::BudgetSpent),
    }
}

/// Returns whether the key may soon have another owner.
fn waits_for_owner(reason: Reason) -> bool {
    waits_for_change(reason)
        || matches!(
            reason,
            Reason::PeerLost | Reason::ServerLost | Reason::NoConfiguration
        )
}

/// Returns whether every other server would refuse the call too.
fn is_final(reason: Option<Reason>) -> bool {
    matches!(
        reason,
        Some(Reason::Quarantined | Reason::BadHeader | Reason::DeadlineTooShort)
    )
}
