use {
    super::{Outcome, Reason},
    crate::{
        clock::Ms,
        wire::peer::{self as wire, Header, ServerLoad},
    },
    bytes::Bytes,
    std::ops::RangeInclusive,
};

/// Status codes of answers. The codes below are those of informational responses, which precede an answer, and of 101,
/// which changes the protocol. RFC 9110, section 15, declares all others invalid.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether an answer may have this status code.
pub fn is_answer_status(status: u16) -> bool {
    ANSWER_STATUSES.contains(&status)
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// Whether the call was run, as far as is known.
    pub outcome: Outcome,
    /// HTTP status for the caller.
    pub status: u16,
    /// Headers of the server's answer.
    pub headers: Vec<Header>,
    /// Body of the server's answer.
    pub body: Bytes,
    /// Why there is no answer, or `None` if there is one.
    pub reason: Option<Reason>,
    /// Time after which the caller may retry; zero if it is not known.
    pub retry_after: Ms,
    /// Whether the result was recorded for an earlier call with the same request id.
    pub replayed: bool,
    /// Log index that the answering daemon had applied; zero if it is this daemon.
    pub revision: u64,
    /// Load of the server behind the answering daemon, if it was reported.
    pub load: Option<ServerLoad>,
    /// Time that the call spent at the answering daemon; zero if it is this daemon.
    pub held: Ms,
}

impl CallResult {
    /// Returns the result of a call that a server answered.
    pub fn answered(status: u16, headers: Vec<Header>, body: Bytes) -> Self {
        Self {
            outcome: Outcome::Answered,
            status,
            headers,
            body,
            reason: None,
            retry_after: Ms::ZERO,
            replayed: false,
            revision: 0,
            load: None,
            held: Ms::ZERO,
        }
    }

    /// Returns the result of a call that ended without an answer.
    pub fn failed(reason: Reason) -> Self {
        Self {
            outcome: reason.outcome(),
            status: reason.status(),
            headers: Vec::new(),
            body: Bytes::new(),
            reason: Some(reason),
            retry_after: Ms::ZERO,
            replayed: false,
            revision: 0,
            load: None,
            held: Ms::ZERO,
        }
    }

    /// Converts from the message form. An answer whose status code is invalid becomes a failure.
    pub fn from_wire(answer: wire::CallAnswer) -> Self {
        let outcome = Outcome::from_wire(answer.outcome());
        let is_valid = u16::try_from(answer.status).is_ok_and(is_answer_status);
        if outcome == Outcome::Answered && !is_valid {
            return Self::failed(Reason::BadAnswer);
        }
        let fallback = (outcome != Outcome::Answered).then_some(Reason::PeerLost);
        Self {
            outcome,
            status: u16::try_from(answer.status).unwrap_or(502),
            headers: answer.headers,
            body: answer.body,
            reason: Reason::from_word(&answer.reason).or(fallback),
            retry_after: answer.retry_after_ms.into(),
            replayed: answer.replayed,
            revision: answer.revision,
            load: answer.load,
            held: answer.held_ms.into(),
        }
    }

    /// Converts to the message form.
    pub fn into_wire(self, revision: u64) -> wire::CallAnswer {
        wire::CallAnswer {
            outcome: self.outcome.to_wire().into(),
            status: self.status.into(),
            headers: self.headers,
            body: self.body,
            reason: self.reason.map_or("", Reason::word).to_owned(),
            retry_after_ms: u32::try_from(self.retry_after.0).unwrap_or(u32::MAX),
            replayed: self.replayed,
            revision,
            load: self.load,
            held_ms: u32::try_from(self.held.0).unwrap_or(u32::MAX),
            kept_id: 0,
            kept_bytes: 0,
        }
    }
}
