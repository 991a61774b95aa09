use {
    super::{caller_edge::forwarded_headers, Attempt},
    crate::{call::Reason, clock::Ms, wire::peer::Header},
    http::{header, request, response::Parts, HeaderMap, Method, Request, StatusCode},
    percent_encoding::{percent_encode, NON_ALPHANUMERIC},
};

/// The headers that backend servers understand and give. It stands at the edge of the process.
pub trait ServerDialect {
    /// Returns the head of the request of one attempt, for which `left` is left.
    fn head(&self, attempt: &Attempt<'_>, address: &str, left: Ms) -> request::Builder;

    /// Tells what the head of an answer is.
    fn classify(&self, attempt: &Attempt<'_>, answer: &Parts) -> AnswerHead;

    /// Returns the headers of an answer that the caller gets.
    fn forwarded_headers(&self, headers: &HeaderMap) -> Vec<Header>;

    /// Returns how long the server keeps the connection open, if the answer tells it.
    fn keep_alive_timeout(&self, headers: &HeaderMap) -> Option<Ms>;
}

/// What the head of an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHead {
    /// The answer to this attempt, if its body is whole.
    Answer,
    /// The server states that it did not run the call.
    NotRun(Reason),
    /// It is not known to belong to this attempt.
    Foreign,
}

/// The dialect of docs/INTERFACES.md.
#[derive(Clone, Copy, Debug, Default)]
pub struct FoldDialect;

impl ServerDialect for FoldDialect {
    fn head(&self, attempt: &Attempt<'_>, address: &str, left: Ms) -> request::Builder {
        let call = attempt.call;
        let mut head = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str())
            .header(header::HOST, address);
        for passed in &call.headers {
            head = head.header(passed.name.as_str(), passed.value.as_ref());
        }
        head = head
            .header(
                "fold-key",
                percent_encode(&call.key, NON_ALPHANUMERIC).to_string(),
            )
            .header("fold-epoch", attempt.epoch)
            .header("fold-call", attempt.call_id)
            .header("fold-deadline-ms", left.0);
        if !call.request_id.is_empty() {
            head = head.header("fold-request-id", &call.request_id);
        }
        head
    }

    /// Only an answer that names the call, and whose end is marked, counts.
    fn classify(&self, attempt: &Attempt<'_>, answer: &Parts) -> AnswerHead {
        let names_call = answer
            .headers
            .get("fold-call")
            .is_some_and(|id| id.as_bytes() == attempt.call_id.as_bytes());
        if !names_call || !has_end(answer, &attempt.call.method) {
            return AnswerHead::Foreign;
        }
        match (answer.status, answer.headers.get("fold-refused")) {
            (StatusCode::CONFLICT, Some(word)) => {
                refusal(word.as_bytes()).map_or(AnswerHead::Foreign, AnswerHead::NotRun)
            }
            _ => AnswerHead::Answer,
        }
    }

    fn forwarded_headers(&self, headers: &HeaderMap) -> Vec<Header> {
        forwarded_headers(headers)
    }

    fn keep_alive_timeout(&self, _headers: &HeaderMap) -> Option<Ms> {
        None
    }
}

/// Tells if the end of an answer is marked by its length, its last chunk or its kind. An answer that ends
/// with the connection may have been cut.
fn has_end(parts: &Parts, method: &str) -> bool {
    let bodiless = method == Method::HEAD.as_str()
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let marked = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    bodiless || marked.iter().any(|name| parts.headers.contains_key(name))
}

/// Returns the reason of a refusal with this word. A word that the contract does not know proves nothing.
fn refusal(word: &[u8]) -> Option<Reason> {
    match word {
        b"stale-epoch" | b"not-owner" => Some(Reason::ServerRefused),
        b"draining" => Some(Reason::ServerDraining),
        b"overloaded" => Some(Reason::Overloaded),
        _ => None,
    }
}
