use {
    super::{caller_edge::forwarded_headers, Attempt},
    crate::{call::Reason, clock::Ms, wire::peer::Header},
    http::{header, request, response::Parts, HeaderMap, Method, Request, StatusCode},
    percent_encoding::{percent_encode, NON_ALPHANUMERIC},
    std::ops::RangeInclusive,
};

/// Work of a server that takes its usual time, in percent.
const USUAL_WORK_PERCENT: u32 = 100;
/// Most slots that a server may plausibly report.
const REPORTED_SLOTS_MAX: u32 = 100_000;
/// Most running or waiting calls that a server may plausibly report.
const REPORTED_CALLS_MAX: u32 = 1_000_000;
/// Times of work that a server may plausibly report, in percent of the usual time.
const REPORTED_WORK_PERCENT: RangeInclusive<u32> = 1..=10_000;

/// The headers of the HTTP protocol that backend servers speak.
pub trait ServerDialect {
    /// Returns the request head of one attempt, which has the time `remaining` until its deadline.
    fn head(&self, attempt: &Attempt<'_>, address: &str, remaining: Ms) -> request::Builder;

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
    /// The load that the server reports, or `None` if it reports none that makes sense.
    pub load: Option<ReportedLoad>,
}

/// The load of a server by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of calls that it runs.
    pub running: u32,
    /// Number of calls that wait in it.
    pub waiting: u32,
    /// Number of calls that it can run at the same time.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time.
    pub work_percent: u32,
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

    fn answer_id<'a>(&self, attempt: &Attempt<'a>) -> &'a str {
        attempt.call_id
    }

    /// Accepts only an answer that names the call and whose end is delimited.
    fn classify(&self, attempt: &Attempt<'_>, answer: &Parts) -> AnswerHead {
        let names_call = answer
            .headers
            .get("fold-call")
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

/// Returns the load in the header `name`: the numbers of running and waiting calls and of slots, and, if the server
/// knows it, the time that work takes in percent of the usual time, separated by commas. Returns `None` if the header is
/// missing or malformed, or if a number is out of its range.
pub fn read_load(headers: &HeaderMap, name: &str) -> Option<ReportedLoad> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut numbers = Vec::with_capacity(4);
    for field in text.split(',') {
        let number: u32 = field.trim().parse().ok()?;
        numbers.push(number);
    }
    let (running, waiting, slots, work_percent) = match numbers.as_slice() {
        [running, waiting, slots] => (*running, *waiting, *slots, USUAL_WORK_PERCENT),
        [running, waiting, slots, work_percent] => (*running, *waiting, *slots, *work_percent),
        _ => return None,
    };
    let is_plausible = (1..=REPORTED_SLOTS_MAX).contains(&slots)
        && running <= REPORTED_CALLS_MAX
        && waiting <= REPORTED_CALLS_MAX
        && REPORTED_WORK_PERCENT.contains(&work_percent);
    is_plausible.then_some(ReportedLoad {
        running,
        waiting,
        slots,
        work_percent,
    })
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
