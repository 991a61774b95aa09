use {
    super::{retry::waits_for_change, CallResult, Outcome, Reason, RetryBudget},
    crate::clock::Ms,
};

/// Shortest time that has to be left for another try.
const TRY_MIN: Ms = Ms(40);
/// Daemons that may refuse a call before any server was asked, until the call itself is refused.
const REFUSALS_MAX: u32 = 4;

/// What a decision about a call by a route looks at, after one try.
#[derive(Clone, Copy, Debug)]
pub struct RoutedContext {
    /// The present time.
    pub now: Ms,
    /// When the call is given up.
    pub deadline: Ms,
    /// Until when the call may wait for an owner of its key.
    pub park_until: Ms,
    /// True: the call may run more than once.
    pub idempotent: bool,
    /// True: only the owner of the key may take the call.
    pub divided_by_key: bool,
    /// Servers that the call was sent to.
    pub sent: u32,
    /// Most servers that it may be sent to.
    pub sent_max: u32,
    /// Tries that ended before any server was asked.
    pub refusals: u32,
    /// True: a server that has not been tried is there.
    pub has_other_server: bool,
}

/// What follows a try of a call by a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutedStep {
    /// The result is final and goes to the caller at once.
    End(EndCause),
    /// The call is tried again at once.
    Retry,
    /// The call waits for the next change of ownership, and is tried again.
    AwaitChange,
}

/// Why a call by a route is not tried again.
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
    /// No other server is there that would do better.
    NoOther,
    /// The key had no owner for as long as calls wait for one.
    NoOwner,
}

impl EndCause {
    /// Returns the word for it in log lines.
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

/// Tells if a try with this result reached a server, be it only to be refused there.
pub fn reached_server(result: &CallResult) -> bool {
    match (result.outcome, result.reason) {
        (Outcome::Answered | Outcome::Unknown, _) => true,
        (Outcome::NotRun, reason) => matches!(
            reason,
            Some(Reason::ServerFull | Reason::ServerRefused | Reason::ServerDraining)
        ),
    }
}

/// Returns what a try says to the entry daemon, which has found the route and the service. A daemon that does not know
/// the service has not learnt the configuration yet.
pub fn normalize_unknown_service(result: CallResult) -> CallResult {
    match result.reason {
        Some(Reason::UnknownService | Reason::UnknownKind | Reason::UnknownRoute) => {
            CallResult::failed(Reason::NoConfiguration)
        }
        Some(_) | None => result,
    }
}

/// Decides what follows a try. What may have run is repeated only if it is idempotent, and whatever reaches a second
/// server is paid for out of `budget`.
pub fn after_try(result: &CallResult, view: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    if let Some(cause) = final_cause(result, view) {
        return RoutedStep::End(cause);
    }
    let waits = result.reason.is_some_and(waits_for_owner);
    if view.divided_by_key && waits {
        return after_missing_owner(view, budget);
    }
    if view.divided_by_key || !view.has_other_server || is_final(result.reason) {
        return RoutedStep::End(EndCause::NoOther);
    }
    if view.sent >= view.sent_max {
        return RoutedStep::End(EndCause::AttemptsUsed);
    }
    if !reached_server(result) {
        return match view.refusals < REFUSALS_MAX {
            true => RoutedStep::Retry,
            false => RoutedStep::End(EndCause::NoOther),
        };
    }
    match budget.spend() {
        true => RoutedStep::Retry,
        false => RoutedStep::End(EndCause::BudgetSpent),
    }
}

/// Returns why a result is final, whatever servers and budget there are.
fn final_cause(result: &CallResult, view: RoutedContext) -> Option<EndCause> {
    match result.outcome {
        // A server that fails a call while others do not.
        Outcome::Answered if !view.idempotent || result.status < 500 || result.status == 504 => {
            Some(EndCause::Answered)
        }
        Outcome::Unknown if !view.idempotent => Some(EndCause::MayHaveRun),
        _ if view.now + TRY_MIN >= view.deadline => Some(EndCause::NoTime),
        _ => None,
    }
}

/// Decides about a call whose key has no owner that could take it.
fn after_missing_owner(view: RoutedContext, budget: &mut RetryBudget) -> RoutedStep {
    if view.sent >= view.sent_max {
        return RoutedStep::End(EndCause::AttemptsUsed);
    }
    if view.now >= view.park_until {
        return RoutedStep::End(EndCause::NoOwner);
    }
    match view.sent == 0 || budget.spend() {
        true => RoutedStep::AwaitChange,
        false => RoutedStep::End(EndCause::BudgetSpent),
    }
}

/// Tells if the owner of a key may be another one soon.
fn waits_for_owner(reason: Reason) -> bool {
    waits_for_change(reason)
        || matches!(
            reason,
            Reason::PeerLost | Reason::ServerLost | Reason::NoConfiguration
        )
}

/// Tells if no other server would do better.
fn is_final(reason: Option<Reason>) -> bool {
    matches!(
        reason,
        Some(Reason::Quarantined | Reason::BadHeader | Reason::DeadlineTooShort)
    )
}
