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

/// Time between two looks at the calls that still run before a revoke is confirmed.
const REVOKE_PAUSE: Ms = Ms(2);

/// Settings of an example backend server.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Name of the service.
    pub service: String,
    /// Address of this server.
    pub address: SocketAddr,
    /// Server address of the local daemon.
    pub daemon: SocketAddr,
    /// Address of the report.
    pub report: Option<SocketAddr>,
    /// Calls that run at once.
    pub slots: u32,
    /// Most connections.
    pub connections: u32,
    /// Time that a call takes.
    pub work: Ms,
    /// A call whose body or path holds this text ends the process, as a crash would.
    pub crash_on: Option<String>,
    /// True: calls with an epoch that was not granted are refused.
    pub checks_fencing: bool,
}

/// What the threads of the server share.
#[derive(Debug)]
pub(super) struct Shared {
    settings: StandinSettings,
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ownership: Ownership,
    /// Keys of the calls that run.
    running: Vec<Key>,
    /// How often each request id was run.
    runs: BTreeMap<String, u32>,
    calls: u64,
}

/// What the server was granted and what it ran.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    service: String,
    address: String,
    calls: u64,
    ownership: Vec<OwnershipRecord>,
    leases: Vec<LeasePeriod>,
    runs: BTreeMap<String, u32>,
}

/// Body of a grant, of a revoke and of an extension.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OrderRequest {
    start: String,
    end: Option<String>,
    epoch: u64,
    lease_ms: u64,
    /// End of the lease by the boot clock that the host shares with its daemon.
    lease_until_ms: Option<u64>,
}

impl OrderRequest {
    /// Returns the end of the lease. An order that arrives late does not make the lease longer.
    fn lease_ends_at(&self, now: Ms) -> Ms {
        let by_span = now + Ms(self.lease_ms);
        self.lease_until_ms
            .map_or(by_span, |until| by_span.min(Ms(until)))
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

/// Runs the server until its process is ended.
///
/// # Errors
/// An address cannot be used.
pub fn run_standin(settings: StandinSettings) -> Result<()> {
    let address = settings.address;
    let report_address = settings.report;
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
            move |request| serve(shared.clone(), request),
        )
        .await;
        Ok(())
    })
}

async fn serve(shared: Arc<Shared>, request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let Ok(request) = request else {
        return plain_response(StatusCode::BAD_REQUEST, "the request is incomplete");
    };
    let path = request.uri.path().to_owned();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/fold/grant" | "/fold/lease" | "/fold/revoke" | "/fold/drain" | "/fold/cancel") => {
            carry_out(&shared, &path, &request.body).await
        }
        (&Method::GET, "/fold/health") => plain_response(StatusCode::OK, r#"{"status":"ok"}"#),
        (&Method::GET, "/fold/load") => {
            let running = shared.inner().running.len();
            plain_response(StatusCode::OK, &format!(r#"{{"running":{running},"queued":0}}"#))
        }
        _ => run_call(&shared, &request).await,
    }
}

async fn carry_out(shared: &Shared, path: &str, body: &[u8]) -> HttpResponse {
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
        // A call is so short that it ends by itself.
        "/fold/cancel" => {}
        _ => {
            shared.inner().ownership.revoke(&span, order.epoch, now);
            while shared.inner().running.iter().any(|key| span.contains(key)) {
                sleep(REVOKE_PAUSE.as_duration()).await;
            }
        }
    }
    plain_response(StatusCode::OK, "{}")
}

async fn run_call(shared: &Shared, request: &HttpRequest) -> HttpResponse {
    let headers = &request.headers;
    if crashes(shared, request) {
        std::process::abort();
    }
    let key = Key::new(percent_decode(text(headers, "fold-key").as_bytes()).collect::<Vec<u8>>());
    let epoch = text(headers, "fold-epoch").parse().unwrap_or_default();
    let mut response = match begin(shared, &key, epoch, text(headers, "fold-request-id")) {
        Ok(()) => {
            sleep(shared.settings.work.as_duration()).await;
            end(shared, &key);
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

/// Tells if the process crashes on a call.
fn crashes(shared: &Shared, request: &HttpRequest) -> bool {
    let Some(text) = &shared.settings.crash_on else {
        return false;
    };
    request.uri.path().contains(text) || String::from_utf8_lossy(&request.body).contains(text)
}

/// Admits a call and counts its run.
fn begin(shared: &Shared, key: &Key, epoch: u64, request_id: &str) -> Result<(), &'static str> {
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

fn end(shared: &Shared, key: &Key) {
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

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
