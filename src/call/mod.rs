//! Calls of callers: their outcomes and the words for them.

mod call_result;
mod outcome;
mod reason;

pub use {call_result::CallResult, outcome::Outcome, reason::Reason};

/// A call on its way to a server, in the form that daemons pass it on.
pub type Call = crate::wire::peer::CallRequest;
