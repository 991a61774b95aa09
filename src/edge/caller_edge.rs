use {
    super::{HttpRequest, HttpResponse},
    crate::{
        call::{Call, CallResult, Reason},
        clock::Ms,
        schema::{CallKind, Schema, Service},
        wire::peer::Header,
    },
    bytes::Bytes,
    http::{header, HeaderMap, HeaderName, HeaderValue, Response, StatusCode},
    percent_encoding::percent_decode,
};

/// Header with the key of a call, percent-encoded.
const KEY_HEADER: &str = "fold-key";
/// Header with the id that the caller gave the request.
const REQUEST_ID_HEADER: &str = "fold-request-id";
/// Header with the time that the caller waits, in ms.
const DEADLINE_HEADER: &str = "fold-deadline-ms";
/// Header with the host that selects a route.
const HOST_HEADER: &str = "fold-host";
/// Maximum length of a request id.
const REQUEST_ID_MAX_CHARS: usize = 128;
/// Prefix of the names of the system's own headers.
const OWN_HEADER_PREFIX: &str = "fold-";
/// Headers that apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Reads a call to a service from a caller's request.
///
/// # Errors
/// Returns the reason if the schema has no such call, or if a header is missing or malformed.
pub fn read_call(request: HttpRequest, schema: &Schema) -> Result<Call, Reason> {
    let (service, path) = split_path(request.uri.path());
    let service = schema.service(service).ok_or(Reason::UnknownService)?;
    let kind = service
        .call_kind(request.method.as_str(), path)
        .ok_or(Reason::UnknownKind)?;
    let key = read_key(&request.headers, service)?;
    let request_id = read_request_id(&request.headers, kind)?;
    let deadline = read_deadline(&request.headers, kind)?;
    let path = match request.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(Call {
        service: service.name.clone(),
        method: request.method.as_str().to_owned(),
        path,
        headers: forwarded_headers(&request.headers),
        key,
        request_id,
        deadline_ms: u32::try_from(deadline.0).unwrap_or(u32::MAX),
        kind: kind.name.clone(),
        body: request.body,
        ..Call::default()
    })
}

/// Headers of a call that is routed by its host and path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteHeaders {
    /// Host of the route, in lower case.
    pub host: String,
    /// Id of the caller's attempt, or empty if the caller gave none.
    pub request_id: String,
    /// Key of the call, if it has one.
    pub key: Option<Bytes>,
    /// Time that the caller waits, if it gave one.
    pub deadline: Option<Ms>,
    /// Headers that are forwarded to the server.
    pub forwarded: Vec<Header>,
}

/// Reads the headers of a call that is routed by its host and path. Returns `None` if they name no host, i.e. if the
/// call addresses a service directly.
///
/// # Errors
/// Returns [`Reason::BadHeader`] if a header is malformed.
pub fn read_route_headers(headers: &HeaderMap) -> Result<Option<RouteHeaders>, Reason> {
    let Some(host) = headers.get(HOST_HEADER) else {
        return Ok(None);
    };
    let host = host.to_str().map_err(|_| Reason::BadHeader)?;
    let key = headers.get(KEY_HEADER);
    Ok(Some(RouteHeaders {
        host: host.to_ascii_lowercase(),
        request_id: parse_request_id(headers)?.unwrap_or_default(),
        key: key.map(|encoded| percent_decode(encoded.as_bytes()).collect::<Vec<u8>>().into()),
        deadline: parse_deadline(headers)?,
        forwarded: forwarded_headers(headers),
    }))
}

/// Returns the HTTP response for the result of a call. It repeats the caller's `request_id` unless that is empty.
pub fn caller_response(result: CallResult, request_id: &str) -> HttpResponse {
    let mut response = Response::new(result.body);
    *response.status_mut() = StatusCode::from_u16(result.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    add_headers(headers, result.headers);
    headers.insert("fold-outcome", HeaderValue::from_static(result.outcome.word()));
    if let Some(reason) = result.reason {
        headers.insert("fold-reason", HeaderValue::from_static(reason.word()));
        if matches!(reason.status(), 429 | 503) {
            let seconds = result.retry_after.as_secs_ceil().max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
    }
    if let (false, Ok(id)) = (request_id.is_empty(), HeaderValue::from_str(request_id)) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if result.replayed {
        headers.insert("fold-replayed", HeaderValue::from_static("true"));
    }
    response
}

/// Adds the headers of a server's answer. Headers that are not valid HTTP are left out.
pub fn add_headers(headers: &mut HeaderMap, added: Vec<Header>) {
    for header in added {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns the headers that are forwarded: all but those of the connection and the system's own.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        if CONNECTION_HEADERS.contains(name) || name.as_str().starts_with(OWN_HEADER_PREFIX) {
            continue;
        }
        forwarded.push(Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    forwarded
}

/// Splits `/SERVICE/REST` into the service and `/REST`.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix('/').unwrap_or(path);
    match path.find('/') {
        Some(slash) => path.split_at(slash),
        None => (path, "/"),
    }
}

fn read_key(headers: &HeaderMap, service: &Service) -> Result<Bytes, Reason> {
    match (headers.get(KEY_HEADER), service.divided_by_key) {
        (Some(encoded), _) => Ok(percent_decode(encoded.as_bytes()).collect::<Vec<u8>>().into()),
        (None, true) => Err(Reason::MissingKey),
        (None, false) => Ok(Bytes::new()),
    }
}

fn read_request_id(headers: &HeaderMap, kind: &CallKind) -> Result<String, Reason> {
    match parse_request_id(headers)? {
        Some(id) => Ok(id),
        None if kind.idempotent => Ok(String::new()),
        None => Err(Reason::MissingRequestId),
    }
}

fn parse_request_id(headers: &HeaderMap) -> Result<Option<String>, Reason> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else {
        return Ok(None);
    };
    let id = value.to_str().map_err(|_| Reason::BadHeader)?;
    let is_visible = id.bytes().all(|b| b.is_ascii_graphic());
    if id.is_empty() || id.len() > REQUEST_ID_MAX_CHARS || !is_visible {
        return Err(Reason::BadHeader);
    }
    Ok(Some(id.to_owned()))
}

fn read_deadline(headers: &HeaderMap, kind: &CallKind) -> Result<Ms, Reason> {
    let deadline = parse_deadline(headers)?;
    Ok(deadline.map_or(kind.deadline, |ms| ms.min(kind.max_deadline)))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Ms>, Reason> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match ms {
        Some(ms) if ms > 0 => Ok(Some(Ms(ms))),
        Some(_) | None => Err(Reason::BadHeader),
    }
}
