//! Stand-in for an application server, as the platform's page on the protocol describes it.

use {
    crate::{
        http::{exchange, Message},
        json::Json,
        record::Record,
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

/// Regular time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time between two heartbeats while released keys are not acknowledged yet.
const RELEASE_HEARTBEAT: Duration = Duration::from_millis(90);
/// Time within which a heartbeat must be acknowledged, and largest acknowledgement.
const ACK_LIMIT: Duration = Duration::from_secs(1);
const ACK_BYTES_MAX: usize = 4096;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const SLOTS: usize = 12;
/// Time from the arrival of an answer to a heartbeat until the server goes by it.
const TAKING_TIME: Duration = Duration::from_millis(20);

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub attempt: String,
    pub origin: String,
}

/// A span that a server held for a time.
#[derive(Clone, Debug)]
pub struct Held {
    pub span: (u16, u16, u64),
    pub from: Instant,
    pub until: Instant,
}

/// The fault of a group of servers: they send some of their refusals once more, each at the point where the next answer on
/// its connection is expected.
#[derive(Debug, Default)]
pub struct LateCopies {
    /// Largest share of the answers of the group that are sent once more.
    pub share: f64,
    /// Number of answers of the group, and of late copies.
    pub answers: AtomicUsize,
    pub copies: AtomicUsize,
}

impl LateCopies {
    /// Counts an answer. Returns whether one more copy stays within the share.
    fn count_answer(&self) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        (self.copies.load(Ordering::SeqCst) + 1) as f64 <= self.share * answers as f64
    }
}

#[derive(Default)]
struct Keys {
    sequence: u64,
    holds: Vec<(u16, u16, u64)>,
    until: Option<Instant>,
    freed: Vec<(u16, u16, String)>,
    /// Spans in `history` that are held now, by position.
    open: Vec<usize>,
    history: Vec<Held>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    daemon: SocketAddr,
    is_sharded: bool,
    record: Arc<Record>,
    is_draining: AtomicBool,
    /// When a heartbeat that says that the server drains was first acknowledged.
    drain_acknowledged: Mutex<Option<Instant>>,
    has_ended: AtomicBool,
    running: AtomicUsize,
    keys: Mutex<Keys>,
    runs: Mutex<Vec<Run>>,
    fault: Mutex<Option<Arc<LateCopies>>>,
    /// Body of the answers, or `None` for a short text that names the server and the request.
    body: Mutex<Option<Vec<u8>>>,
    /// Time for which a request is worked on, in ms.
    pub work_ms: AtomicUsize,
}

impl Server {
    /// Starts a server beside the daemon that takes its heartbeats at `daemon`.
    pub fn start(
        record: &Arc<Record>,
        id: &str,
        service: &str,
        zone: &str,
        is_sharded: bool,
        daemon: SocketAddr,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((daemon.ip(), 8301)).expect("no port for a server");
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: wall_ms(),
            daemon,
            is_sharded,
            record: record.clone(),
            is_draining: AtomicBool::default(),
            drain_acknowledged: Mutex::default(),
            has_ended: AtomicBool::default(),
            running: AtomicUsize::default(),
            keys: Mutex::default(),
            runs: Mutex::default(),
            fault: Mutex::default(),
            body: Mutex::default(),
            work_ms: AtomicUsize::new(20),
        });
        record.line(&format!("server {id}: starts as {service} at {address}"));
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended() {
                    return;
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || beating.run_heartbeats());
        server
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the server: it takes no more connections and answers nothing.
    pub fn end(&self) {
        if !self.has_ended.swap(true, Ordering::SeqCst) {
            self.record.line(&format!("server {}: ends", self.id));
            let _ = TcpStream::connect(self.address);
            self.close_holds(Instant::now());
        }
    }

    /// Answers all requests with this body from now on.
    pub fn set_body(&self, body: Vec<u8>) {
        *self.body.lock().unwrap() = Some(body);
    }

    pub fn set_fault(&self, fault: &Arc<LateCopies>) {
        *self.fault.lock().unwrap() = Some(fault.clone());
    }

    /// Reports from the next heartbeat on that the server drains, and waits until that is acknowledged, for `limit` at
    /// most.
    pub fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.is_draining.store(true, Ordering::SeqCst);
        while self.drain_acknowledged.lock().unwrap().is_none() && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns everything that the server has held up to now.
    pub fn held(&self) -> Vec<Held> {
        self.expire_holds();
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        let mut held = keys.history.clone();
        for i in &keys.open {
            held[*i].until = now;
        }
        held
    }

    /// Sends the deregistration once. Returns when it was acknowledged.
    pub fn deregister(&self) -> Option<Instant> {
        let head = format!(
            "POST /v1/instances/{}/deregister HTTP/1.1\r\nhost: d\r\ncontent-type: application/json",
            self.id
        );
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = exchange(self.daemon, &head, body.as_bytes(), ACK_LIMIT)?;
        let now = Instant::now();
        (200..300).contains(&answer.status()).then(|| {
            self.record.line_at(
                now,
                &format!("server {}: its deregistration is acknowledged", self.id),
            );
            now
        })
    }

    fn run_heartbeats(&self) {
        while !self.has_ended() {
            self.send_heartbeat();
            let is_releasing = !self.keys.lock().unwrap().freed.is_empty();
            thread::sleep(if is_releasing {
                RELEASE_HEARTBEAT
            } else {
                HEARTBEAT
            });
        }
    }

    /// Sends a heartbeat. Returns when it was acknowledged.
    pub fn send_heartbeat(&self) -> Option<Instant> {
        let sent = Instant::now();
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let (body, freed_count) = self.heartbeat_body(is_draining);
        let head = format!(
            "POST /v1/instances/{}/heartbeat HTTP/1.1\r\nhost: d\r\ncontent-type: application/json",
            self.id
        );
        let answer = exchange(self.daemon, &head, body.as_bytes(), ACK_LIMIT);
        let now = Instant::now();
        let is_acknowledged = |m: &Message| {
            (200..300).contains(&m.status()) && m.body.len() <= ACK_BYTES_MAX && now < sent + ACK_LIMIT
        };
        let answer = answer.filter(is_acknowledged)?;
        if is_draining {
            self.drain_acknowledged.lock().unwrap().get_or_insert(now);
        }
        thread::sleep(TAKING_TIME);
        let json = Json::parse(&String::from_utf8_lossy(&answer.body))?;
        self.take_answer(&json, sent, freed_count);
        Some(now)
    }

    fn heartbeat_body(&self, is_draining: bool) -> (String, usize) {
        self.expire_holds();
        let mut keys = self.keys.lock().unwrap();
        keys.sequence += 1;
        let state = match is_draining {
            true => "draining",
            false => "ready",
        };
        let holds: Vec<String> = keys
            .holds
            .iter()
            .map(|(a, b, e)| format!("[{a},{b},{e}]"))
            .collect();
        let freed: Vec<String> = keys
            .freed
            .iter()
            .map(|(a, b, t)| format!("[{a},{b},{t:?}]"))
            .collect();
        let body = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{SLOTS}}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":{},\"warmupLeft\":\"0ms\"}},\"born\":{},\"holds\":[{}],\"freed\":[{}]}}",
            self.address, self.service, self.zone, keys.sequence, self.born, holds.join(","), freed.join(",")
        );
        (body, keys.freed.len())
    }

    /// Takes over what the answer to the heartbeat that was sent at `sent` lists, and releases everything else.
    fn take_answer(&self, json: &Json, sent: Instant, freed_count: usize) {
        let mut keys = self.keys.lock().unwrap();
        keys.freed.drain(..freed_count);
        let (Some(rows), Some(hold)) = (
            json.get("holds").and_then(Json::list),
            json.get("hold_time").and_then(Json::text).and_then(duration),
        ) else {
            return;
        };
        let row = |row: &Json| {
            let number = |i: usize| row.list()?.get(i)?.number();
            Some((number(0)? as u16, number(1)? as u16, number(2)? as u64))
        };
        let listed: Vec<(u16, u16, u64)> = rows.iter().filter_map(row).collect();
        let now = Instant::now();
        let before = std::mem::take(&mut keys.holds);
        for span in before.iter().filter(|h| !listed.contains(h)) {
            let is_rest_held = listed.iter().any(|l| l.0 <= span.0 && span.1 <= l.1);
            if !is_rest_held {
                keys.freed.push((span.0, span.1, format!("{:016x}", span.2)));
            }
        }
        let open = std::mem::take(&mut keys.open);
        let mut kept = Vec::new();
        for i in open {
            keys.history[i].until = now;
            match listed.contains(&keys.history[i].span) {
                true => kept.push(i),
                false => self.record.line_at(
                    now,
                    &format!("server {}: gives up {:?}", self.id, keys.history[i].span),
                ),
            }
        }
        for span in &listed {
            if !kept.iter().any(|i| keys.history[*i].span == *span) {
                self.record
                    .line_at(now, &format!("server {}: takes {span:?}", self.id));
                kept.push(keys.history.len());
                keys.history.push(Held {
                    span: *span,
                    from: now,
                    until: now,
                });
            }
        }
        keys.open = kept;
        keys.holds = listed;
        keys.until = Some(sent + hold);
    }

    /// Ends the holds whose time is over.
    fn expire_holds(&self) {
        let until = self.keys.lock().unwrap().until;
        if let Some(until) = until.filter(|until| *until <= Instant::now()) {
            self.close_holds(until);
        }
    }

    fn close_holds(&self, at: Instant) {
        let mut keys = self.keys.lock().unwrap();
        let open = std::mem::take(&mut keys.open);
        if !open.is_empty() {
            self.record
                .line_at(at, &format!("server {}: its holds end", self.id));
        }
        for i in open {
            keys.history[i].until = at;
        }
        keys.holds.clear();
        keys.until = None;
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let mut buffered = Vec::new();
        let fault = self.fault.lock().unwrap().clone();
        let mut late_copy: Option<Vec<u8>> = None;
        while let Some(request) = Message::read(&mut stream, &mut buffered) {
            if self.has_ended() {
                return;
            }
            if let (Some(copy), Some(fault)) = (late_copy.take(), &fault) {
                fault.copies.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "server {}: sends an earlier answer again, where that to {} is due",
                    self.id,
                    request.header("x-attempt-id")
                ));
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if self.has_ended() || stream.write_all(&answer).is_err() {
                return;
            }
            let may_copy = fault.as_ref().is_some_and(|fault| fault.count_answer());
            let is_refusal = answer.windows(14).any(|w| w == b"x-not-executed");
            late_copy = Some(answer).filter(|_| may_copy && is_refusal);
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let attempt = request.header("x-attempt-id");
        if request.path() == "/health" {
            let status = match self.is_draining.load(Ordering::SeqCst) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return answer_bytes(status, &format!("x-instance-id: {}\r\n", self.id), b"");
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            self.record.line(&format!(
                "server {}: answers 421 to {attempt}, meant for {expected}",
                self.id
            ));
            return self.rejection("421 Misdirected Request", attempt);
        }
        let key: Option<u16> = request.header("x-shard-key").parse().ok();
        if self.is_sharded && !self.holds_key(key) {
            self.record.line(&format!(
                "server {}: answers 421 to {attempt}, key {key:?} not held",
                self.id
            ));
            return self.rejection("421 Misdirected Request", attempt);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS * 5 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return self.rejection("503 Service Unavailable", attempt);
        }
        let origin = request.header("x-caller-service").to_owned();
        let at = Instant::now();
        self.record.line_at(
            at,
            &format!(
                "server {}: runs {attempt} for {origin:?}, {} {}",
                self.id,
                request.start_line,
                key.map_or(String::new(), |k| format!("key {k}"))
            ),
        );
        self.runs.lock().unwrap().push(Run {
            at,
            server: self.id.clone(),
            attempt: attempt.to_owned(),
            origin,
        });
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst) as u64));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let own_body = self.body.lock().unwrap().clone();
        let body = own_body.unwrap_or_else(|| format!("{} ran {attempt}", self.id).into_bytes());
        let headers =
            format!("x-attempt-id: {attempt}\r\nx-response-stamp: s.{attempt}\r\nkeep-alive: timeout=10\r\n");
        answer_bytes("200 OK", &headers, &body)
    }

    fn rejection(&self, status: &str, attempt: &str) -> Vec<u8> {
        let headers = format!("x-attempt-id: {attempt}\r\nx-not-executed: 1\r\nkeep-alive: timeout=10\r\n");
        answer_bytes(status, &headers, b"")
    }

    fn holds_key(&self, key: Option<u16>) -> bool {
        let keys = self.keys.lock().unwrap();
        let is_valid = keys.until.is_some_and(|until| until > Instant::now());
        is_valid && key.is_some_and(|key| keys.holds.iter().any(|h| (h.0..=h.1).contains(&key)))
    }
}

fn answer_bytes(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Parses a time such as `1500ms` or `2.5s`.
fn duration(text: &str) -> Option<Duration> {
    let seconds = match text.strip_suffix("ms") {
        Some(ms) => ms.parse::<f64>().ok()? / 1000.0,
        None => text.strip_suffix('s')?.parse().ok()?,
    };
    Some(Duration::from_secs_f64(seconds))
}

/// Returns the time of day in ms since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
