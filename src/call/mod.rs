//! Calls: their outcomes, limits and retries, and the guard that keeps them from running twice.

mod call_result;
mod call_times;
mod fingerprint;
mod guard;
mod guard_wire;
mod hedge_policy;
mod outcome;
mod reason;
mod refusal_share;
mod reported_load;
mod response_times;
mod retry;
mod retry_budget;
mod routed_retry;
mod server_queue;
mod server_rate;
mod slot_limit;
mod tenure;
mod waiting_call;
mod warmup_state;
mod work_pace;

pub use {
    call_result::{is_answer_status, CallResult},
    fingerprint::Fingerprint,
    guard::{Guard, GuardDecision, GuardEntry, GuardId, GuardLimits, GuardPhase},
    guard_wire::GuardChange,
    hedge_policy::{HedgeContext, HedgePolicy, NoHedge},
    outcome::Outcome,
    reason::Reason,
    refusal_share::RefusalShare,
    reported_load::{LoadError, ReportedLoad},
    retry::{after_attempt, AttemptHistory, NextStep, RetryContext},
    retry_budget::RetryBudget,
    routed_retry::{
        after_try, ends_call, normalize_unknown_service, reached_server, EndCause, RoutedContext, RoutedStep,
        REFUSALS_MAX,
    },
    server_queue::{Admission, AdmissionRequest, Dequeued, Refusal, ServerQueue},
    server_rate::ServerRate,
    slot_limit::SlotLimit,
    tenure::{Role, Tenure, Tenures},
    warmup_state::WarmupState,
    work_pace::{Pace, WorkPace, PACE_FACTOR_MAX},
};

/// A call in the form in which daemons forward it.
pub type Call = crate::wire::peer::CallRequest;
