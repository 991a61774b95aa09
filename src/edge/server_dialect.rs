use {
    super::{caller_edge::forwarded_headers, Attempt},
    crate::{
        call::{LoadError, Reason, ReportedLoad},
        clock::Ms,
        wire::peer::Header,
    },
    http::{header, request, response::Parts, HeaderMap, Method, Request, StatusCode},
    percent_encoding::{percent_encode, NON_ALPHANUMERIC},
};

/// The headers of the HTTP protocol that backend servers speak.
pub trait ServerDialect {
    /// Returns the request head of one attempt, which has the time `remaining` until its deadline.
    fn head(&self, attempt: &Attempt<'_>, address: &str, remaining: Ms) -> request::Builder;

    /// Returns the name of the header in which an answer repeats the id of its call.
    fn answer_id_header(&self) -> &'static str;

    /// Returns the id that an answer to `attempt` names. Several tries of a call may share it.
    fn answer_id<'a>(&self, attempt: &Attempt<'a>) -> &'a str;

    /// Classifies the head of an answer to `attempt`.
    fn classify(&self, attempt: &Attempt<'_>, answer: &Parts) -> AnswerHead;

    /// Returns the headers of an answer that are forwarded to the caller.
    fn forwarded_headers(&self, headers: &HeaderMap) -> Vec<Header>;

    /// Returns how long the server keeps an idle connection open, or `None` if this is not known.
    fn keep_alive_timeout(&self, headers: &HeaderMap) -> Option<Ms>;

    /// Returns what the server says of itself in an answer.
    fn notice(&self, headers: &HeaderMap) -> ServerNotice;
}

/// What a server says of itself in an answer, besides the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests a second that it takes from all daemons together, or `None` if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the server takes no new calls because it leaves.
    pub is_leaving: bool,
    /// The load that the server reports.
    pub load: LoadNotice,
}

/// The load in an answer of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// The server reports none.
    #[default]
    Missing,
    /// The load that it reports.
    Reported(ReportedLoad),
    /// What it reports makes no sense and counts as not reported.
    Bad(LoadError),
}

/// Classification of the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHead {
    /// The answer to this attempt, provided that its body is complete.
    Answer,
    /// The server states that it did not run the call.
    NotRun(Reason),
    /// An answer that cannot be attributed to this attempt.
    Foreign,
}

/// The protocol described in docs/INTERFACES.md.
#[derive(Clone, Copy, Debug, Default)]
pub struct FoldDialect;

impl ServerDialect for FoldDialect {
    fn head(&self, attempt: &Attempt<'_>, address: &str, remaining: Ms) -> request::Builder {
        let call = attempt.call;
        let mut head = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str())
            .header(header::HOST, address);
        for forwarded in &call.headers {
            head = head.header(forwarded.name.as_str(), forwarded.value.as_ref());
        }
        head = head
            .header(
                "fold-key",
                percent_encode(&call.key, NON_ALPHANUMERIC).to_string(),
            )
            .header("fold-epoch", attempt.epoch)
            .header("fold-call", attempt.call_id)
            .header("fold-deadline-ms", remaining.0);
        if !call.request_id.is_empty() {
            head = head.header("fold-request-id", &call.request_id);
        }
        head
    }

    fn answer_id_header(&self) -> &'static str {
        "fold-call"
    }

    fn answer_id<'a>(&self, attempt: &Attempt<'a>) -> &'a str {
        attempt.call_id
    }

    /// Accepts only an answer that names the call and whose end is delimited.
    fn classify(&self, attempt: &Attempt<'_>, answer: &Parts) -> AnswerHead {
        let names_call = answer
            .headers
            .get(self.answer_id_header())
            .is_some_and(|id| id.as_bytes() == self.answer_id(attempt).as_bytes());
        if !names_call || !is_delimited(answer, &attempt.call.method) {
            return AnswerHead::Foreign;
        }
        match (answer.status, answer.headers.get("fold-refused")) {
            (StatusCode::CONFLICT, Some(value)) => {
                refusal_reason(value.as_bytes()).map_or(AnswerHead::Foreign, AnswerHead::NotRun)
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

    fn notice(&self, headers: &HeaderMap) -> ServerNotice {
        ServerNotice {
            limit_per_s: read_limit(headers, "fold-limit"),
            // Servers that take orders leave with a request of their own.
            is_leaving: false,
            load: read_load(headers, "fold-load"),
        }
    }
}

/// Returns the number of requests a second in the header `name`, or `None` if it is missing or not a finite number of at
/// least zero.
pub fn read_limit(headers: &HeaderMap, name: &str) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    let limit: f64 = text.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// Returns the load in the header `name`, in the form that [`ReportedLoad`] reads.
pub fn read_load(headers: &HeaderMap, name: &str) -> LoadNotice {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return LoadNotice::Missing;
    };
    if values.next().is_some() {
        return LoadNotice::Bad(LoadError::Repeated);
    }
    let text = value.to_str().map_err(|_| LoadError::NoNumber);
    match text.and_then(str::parse) {
        Ok(load) => LoadNotice::Reported(load),
        Err(error) => LoadNotice::Bad(error),
    }
}

/// Returns whether the end of an answer is delimited: by its length, by its last chunk, or because it has no body.
/// An answer that ends with the connection may have been cut off.
fn is_delimited(parts: &Parts, method: &str) -> bool {
    let has_no_body = method == Method::HEAD.as_str()
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let delimiters = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    has_no_body || delimiters.iter().any(|name| parts.headers.contains_key(name))
}

/// Returns the reason for the value of a `fold-refused` header, or `None` if the protocol does not define the value.
/// An undefined value doesn't prove that the call was not run.
fn refusal_reason(value: &[u8]) -> Option<Reason> {
    match value {
        b"stale-epoch" | b"not-owner" => Some(Reason::ServerRefused),
        b"draining" => Some(Reason::ServerDraining),
        b"overloaded" => Some(Reason::Overloaded),
        _ => None,
    }
}
