use {
    super::{announcer, report, LeasePeriod, Ownership, OwnershipRecord},
    crate::{
        clock::{Clock, Ms},
        edge::{plain_response, serve_http, BodyError, HttpRequest, HttpResponse},
        key::{Key, KeyRange},
        settings::CallerLimits,
    },
    anyhow::{Context, Result},
    base64::{engine::general_purpose::STANDARD, Engine},
    http::{HeaderMap, HeaderValue, Method, StatusCode},
    percent_encoding::percent_decode,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        thread,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet, time::sleep},
};

/// Interval between checks whether calls for a revoked span are still running. A revoke is confirmed when none is.
const REVOKE_POLL_INTERVAL: Ms = Ms(2);

/// Settings of the example backend server.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Name of the service that this server announces.
    pub service: String,
    /// Address on which this server listens and which it announces.
    pub address: SocketAddr,
    /// Address on which the local daemon receives announcements.
    pub daemon_address: SocketAddr,
    /// Address on which `GET /report` is served, or `None` if it is not.
    pub report_listen_address: Option<SocketAddr>,
    /// Maximum number of calls that run at the same time.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Duration of a call.
    pub call_duration: Ms,
    /// A call whose path or body contains this text aborts the process, which simulates a crash.
    pub crash_on: Option<String>,
    /// Whether calls with an epoch that was not granted are refused.
    pub checks_fencing: bool,
}

/// State that the threads of the server share.
#[derive(Debug)]
pub(super) struct Shared {
    settings: StandinSettings,
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ownership: Ownership,
    /// Keys of the calls that are running.
    running: Vec<Key>,
    /// Number of runs for each request id.
    runs: BTreeMap<String, u32>,
    calls: u64,
}

/// The report of the grants and runs of the server.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    service: String,
    address: String,
    calls: u64,
    ownership: Vec<OwnershipRecord>,
    leases: Vec<LeasePeriod>,
    runs: BTreeMap<String, u32>,
}

/// Body of an order to grant, extend or revoke.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OrderRequest {
    start: String,
    end: Option<String>,
    epoch: u64,
    lease_ms: u64,
    /// End of the lease in ms by the boot clock of the host, which the server and its daemon share.
    lease_until_ms: Option<u64>,
}

impl OrderRequest {
    /// Returns the end of the lease. `lease_until_ms` bounds it, so that an order that arrives late does not
    /// prolong the lease.
    fn lease_ends_at(&self, now: Ms) -> Ms {
        let by_duration = now + Ms(self.lease_ms);
        self.lease_until_ms
            .map_or(by_duration, |until| by_duration.min(Ms(until)))
    }
}

impl Shared {
    pub(super) fn report(&self) -> Report {
        let inner = self.inner();
        Report {
            service: self.settings.service.clone(),
            address: self.settings.address.to_string(),
            calls: inner.calls,
            ownership: inner.ownership.records().to_vec(),
            leases: inner.ownership.leases().to_vec(),
            runs: inner.runs.clone(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Runs the server until the process is terminated.
///
/// # Errors
/// Returns an error if an address cannot be used or a thread cannot be started.
pub fn run_standin(settings: StandinSettings) -> Result<()> {
    let address = settings.address;
    let report_address = settings.report_listen_address;
    let limits = CallerLimits {
        connections: settings.connections as usize,
        ..CallerLimits::default()
    };
    let incarnation = format!("{:016x}", getrandom::u64().unwrap_or_default());
    let shared = Arc::new(Shared {
        settings,
        clock: Clock::System,
        inner: Mutex::default(),
    });
    if let Some(address) = report_address {
        report::serve_report(address, shared.clone())?;
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("listening on {address}"))?;
        let announced = shared.settings.clone();
        thread::Builder::new()
            .name("announce".into())
            .spawn(move || announcer::announce(&announced, &incarnation))?;
        let (_stop, stop) = watch::channel(false);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        serve_http(
            listener,
            move || limits,
            log,
            stop,
            move |request| handle_request(shared.clone(), request),
        )
        .await;
        Ok(())
    })
}

async fn handle_request(shared: Arc<Shared>, request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let Ok(request) = request else {
        return plain_response(StatusCode::BAD_REQUEST, "the request is incomplete");
    };
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/fold/grant" | "/fold/lease" | "/fold/revoke" | "/fold/drain" | "/fold/cancel") => {
            handle_order(&shared, &path, &request.body).await
        }
        (&Method::GET, "/fold/health") => plain_response(StatusCode::OK, r#"{"status":"ok"}"#),
        (&Method::GET, "/fold/load") => {
            let running = shared.inner().running.len();
            plain_response(StatusCode::OK, &format!(r#"{{"running":{running},"queued":0}}"#))
        }
        _ => run_call(&shared, &request).await,
    }
}

async fn handle_order(shared: &Shared, path: &str, body: &[u8]) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<OrderRequest>(body) else {
        return plain_response(StatusCode::BAD_REQUEST, "the order cannot be read");
    };
    let Some(span) = read_span(&order) else {
        return plain_response(StatusCode::BAD_REQUEST, "the span cannot be read");
    };
    let now = shared.clock.now();
    let lease_ends_at = order.lease_ends_at(now);
    match path {
        "/fold/grant" => {
            let mut inner = shared.inner();
            if !inner.ownership.grant(span, order.epoch, lease_ends_at, now) {
                return plain_response(StatusCode::CONFLICT, "a higher epoch was granted");
            }
        }
        "/fold/lease" => {
            if !shared.inner().ownership.extend(lease_ends_at, now) {
                return plain_response(StatusCode::CONFLICT, "nothing is granted");
            }
        }
        "/fold/drain" => shared.inner().ownership.drain(),
        // Calls are short, so a cancelled one is left to end by itself.
        "/fold/cancel" => {}
        _ => {
            shared.inner().ownership.revoke(&span, order.epoch, now);
            while shared.inner().running.iter().any(|key| span.contains(key)) {
                sleep(REVOKE_POLL_INTERVAL.as_duration()).await;
            }
        }
    }
    plain_response(StatusCode::OK, "{}")
}

async fn run_call(shared: &Shared, request: &HttpRequest) -> HttpResponse {
    let headers = &request.headers;
    if is_crash_trigger(shared, request) {
        std::process::abort();
    }
    let key = Key::new(percent_decode(header_text(headers, "fold-key").as_bytes()).collect::<Vec<u8>>());
    let epoch = header_text(headers, "fold-epoch").parse().unwrap_or_default();
    let mut response = match begin_call(shared, &key, epoch, header_text(headers, "fold-request-id")) {
        Ok(()) => {
            sleep(shared.settings.call_duration.as_duration()).await;
            end_call(shared, &key);
            let body = format!(
                "{} {} {}",
                request.method,
                request.uri,
                String::from_utf8_lossy(&request.body)
            );
            plain_response(StatusCode::OK, &body)
        }
        Err(word) => {
            let mut refused = plain_response(StatusCode::CONFLICT, word);
            refused
                .headers_mut()
                .insert("fold-refused", HeaderValue::from_static(word));
            refused
        }
    };
    if let Some(call) = headers.get("fold-call") {
        response.headers_mut().insert("fold-call", call.clone());
    }
    response
}

/// Returns whether a call makes the process crash.
fn is_crash_trigger(shared: &Shared, request: &HttpRequest) -> bool {
    let Some(crash_text) = &shared.settings.crash_on else {
        return false;
    };
    request.uri.path().contains(crash_text) || String::from_utf8_lossy(&request.body).contains(crash_text)
}

/// Admits a call and counts its run.
///
/// # Errors
/// Returns the value of the `Fold-Refused` header if the call is refused.
fn begin_call(shared: &Shared, key: &Key, epoch: u64, request_id: &str) -> Result<(), &'static str> {
    let mut inner = shared.inner();
    if shared.settings.checks_fencing && epoch != 0 {
        let admitted = inner.ownership.admit(key, epoch, shared.clock.now());
        admitted.map_err(|refusal| refusal.word())?;
    }
    if inner.running.len() >= shared.settings.slots as usize {
        return Err("overloaded");
    }
    inner.running.push(key.clone());
    inner.calls += 1;
    if !request_id.is_empty() {
        *inner.runs.entry(request_id.to_owned()).or_default() += 1;
    }
    Ok(())
}

fn end_call(shared: &Shared, key: &Key) {
    let mut inner = shared.inner();
    if let Some(position) = inner.running.iter().position(|running| running == key) {
        inner.running.swap_remove(position);
    }
}

fn read_span(order: &OrderRequest) -> Option<KeyRange> {
    let start = Key::new(STANDARD.decode(&order.start).ok()?);
    let end = match &order.end {
        Some(end) => Some(Key::new(STANDARD.decode(end).ok()?)),
        None => None,
    };
    Some(KeyRange { start, end })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
