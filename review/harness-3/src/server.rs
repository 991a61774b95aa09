//! Backend servers as PROTOCOL.md describes them, and a check of the rule OWNER on what they hold.

use crate::{
    http::{exchange, Message},
    json::Json,
    record,
};
use std::{
    collections::BTreeMap,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Time between two pings.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time until the next ping while something is to be released.
const RELEASE_PING: Duration = Duration::from_millis(90);
/// Overlap of two holds that the rule OWNER allows.
const OVERLAP_MAX: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
}

impl Row {
    fn has(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub key: Option<u16>,
    pub ended: Option<Instant>,
}

/// What one life of a server holds and does.
struct Life {
    id: String,
    service: String,
    is_up: bool,
    born: u64,
    sequence: u64,
    rows: Vec<Row>,
    until: Option<Instant>,
    /// Rows that an answer left out while a request ran there, with the ends of their holds.
    left: Vec<(Row, Instant)>,
    freed: Vec<(u16, u16, String)>,
    /// Highest fence that the server has seen for each key.
    seen: Vec<u64>,
    runs: Vec<Run>,
    /// When requests arrived that were not rejected.
    arrivals: Vec<Instant>,
}

#[derive(Default)]
struct World {
    lives: Vec<Life>,
    violations: Vec<String>,
    overlaps: BTreeMap<(usize, usize, u16), Instant>,
}

static WORLD: Mutex<World> = Mutex::new(World {
    lives: Vec::new(),
    violations: Vec::new(),
    overlaps: BTreeMap::new(),
});

fn world() -> MutexGuard<'static, World> {
    WORLD.lock().unwrap_or_else(|e| e.into_inner())
}

/// Returns what broke the rule OWNER so far.
pub fn violations() -> Vec<String> {
    world().violations.clone()
}

impl Life {
    fn holds(&self, key: u16, now: Instant) -> bool {
        self.until.is_some_and(|u| u > now) && self.rows.iter().any(|r| r.has(key))
    }

    /// Returns the end of the hold under which a request for `key` may be at work.
    fn hold_end(&self, key: u16) -> Option<Instant> {
        let held = self.rows.iter().any(|r| r.has(key)).then_some(self.until).flatten();
        let left = self.left.iter().filter(|(r, _)| r.has(key)).map(|(_, u)| *u).max();
        held.max(left)
    }

    fn is_at_work(&self, row: &Row) -> Option<&Run> {
        self.runs
            .iter()
            .find(|r| r.ended.is_none() && r.key.is_some_and(|k| row.has(k)))
    }

    fn expire(&mut self, now: Instant) {
        if self.until.is_some_and(|u| u <= now) {
            record!("{} loses its holds, which have run out", self.id);
            self.rows.clear();
            self.until = None;
        }
    }

    fn free(&mut self, row: Row) {
        let token = format!("{:08x}{:04x}{:04x}", self.sequence, row.first, row.last);
        self.freed.push((row.first, row.last, token));
    }

    fn ping_body(&mut self, address: SocketAddr, now: Instant) -> (String, usize) {
        self.expire(now);
        let left = std::mem::take(&mut self.left);
        for (row, until) in left {
            match self.is_at_work(&row) {
                Some(_) => self.left.push((row, until)),
                None => self.free(row),
            }
        }
        self.sequence += 1;
        let rows = self.rows.iter().chain(self.left.iter().map(|(r, _)| r));
        let rows: Vec<String> = rows.map(|r| format!("[{},{},{}]", r.first, r.last, r.fence)).collect();
        let freed: Vec<String> = self.freed.iter().map(|(a, b, t)| format!("[{a},{b},\"{t}\"]")).collect();
        let body = format!(
            r#"{{"address":"{address}","born":{},"info":{{"service":"{}","version":"v1","zone":"z1","slots":12}},"status":{{"state":"ready","sequence":{},"warmupLeft":"0ms"}},"holds":[{}],"freed":[{}]}}"#,
            self.born,
            self.service,
            self.sequence,
            rows.join(","),
            freed.join(",")
        );
        (body, self.freed.len())
    }
}

impl World {
    /// Applies the answer to a ping that life `me` sent at `sent`.
    fn apply(&mut self, me: usize, answer: &Json, freed: usize, sent: Instant) {
        let now = Instant::now();
        self.lives[me].expire(now);
        self.lives[me].freed.drain(..freed);
        let (Some(holds), Some(time)) = (answer.get("holds"), answer.get("hold_time")) else {
            return;
        };
        let text = time.str();
        let ms: f64 = match text.strip_suffix("ms") {
            Some(n) => n.parse().unwrap_or(0.0),
            None => text.strip_suffix('s').and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 1000.0,
        };
        let until = sent + Duration::from_millis(ms as u64);
        let mut rows = Vec::new();
        for row in holds.arr() {
            let n = |i: usize| row.arr().get(i).map_or(0.0, Json::num);
            let row = Row {
                first: n(0) as u16,
                last: n(1) as u16,
                fence: n(2) as u64,
            };
            let seen = &mut self.lives[me].seen;
            if (row.first..=row.last).any(|k| seen[usize::from(k)] > row.fence) {
                record!("{} does not accept {row:?}", self.lives[me].id);
                continue;
            }
            (row.first..=row.last).for_each(|k| seen[usize::from(k)] = row.fence);
            rows.push(row);
        }
        let old = std::mem::take(&mut self.lives[me].rows);
        let old_until = self.lives[me].until.unwrap_or(now);
        for row in &rows {
            if !old.contains(row) {
                self.check_given(me, row, now);
            }
        }
        for row in &old {
            if rows.contains(row) {
                continue;
            }
            // The parts that no row of the answer covers are left out.
            let mut start = None;
            for key in u32::from(row.first)..=u32::from(row.last) + 1 {
                let is_left = key <= u32::from(row.last) && !rows.iter().any(|r| r.has(key as u16));
                match (start, is_left) {
                    (None, true) => start = Some(key),
                    (Some(first), false) => {
                        let part = Row {
                            first: first as u16,
                            last: (key - 1) as u16,
                            fence: row.fence,
                        };
                        let life = &mut self.lives[me];
                        match life.is_at_work(&part) {
                            Some(run) => {
                                record!("{} is at work on {part:?}, which is left out: {}", life.id, run.attempt);
                                life.left.push((part, old_until));
                            }
                            None => life.free(part),
                        }
                        start = None;
                    }
                    _ => {}
                }
            }
        }
        let life = &mut self.lives[me];
        life.rows = rows;
        life.until = Some(until);
    }

    /// Checks that no other server is at work on a key that life `me` is given.
    fn check_given(&mut self, me: usize, row: &Row, now: Instant) {
        let mut found = Vec::new();
        for (i, other) in self.lives.iter().enumerate() {
            if i == me || !other.is_up || other.service != self.lives[me].service {
                continue;
            }
            for run in other.runs.iter().filter(|r| r.ended.is_none()) {
                let Some(key) = run.key.filter(|k| row.has(*k)) else { continue };
                let Some(end) = other.hold_end(key).filter(|e| *e > now) else { continue };
                found.push(format!(
                    "OWNER: {} is given key {key} (fence {}) while {} is at work on it for {}, whose hold would have run out {} ms later",
                    self.lives[me].id,
                    row.fence,
                    other.id,
                    run.attempt,
                    (end - now).as_millis()
                ));
            }
        }
        for text in found {
            record!("BROKEN {text}");
            self.violations.push(text);
        }
    }

    /// Notes keys that two servers hold, and those that they have held for too long.
    fn watch(&mut self) {
        let now = Instant::now();
        let mut present = Vec::new();
        for i in 0..self.lives.len() {
            for j in i + 1..self.lives.len() {
                let (a, b) = (&self.lives[i], &self.lives[j]);
                if !a.is_up || !b.is_up || a.service != b.service {
                    continue;
                }
                for row in &a.rows {
                    let first = b.rows.iter().map(|r| r.first.max(row.first)).find(|k| {
                        a.holds(*k, now) && b.holds(*k, now)
                    });
                    present.extend(first.map(|key| (i, j, key)));
                }
            }
        }
        self.overlaps.retain(|at, _| present.contains(at));
        for at in present {
            let since = *self.overlaps.entry(at).or_insert(now);
            if now - since > OVERLAP_MAX {
                self.overlaps.insert(at, now + Duration::from_secs(3600));
                let text = format!(
                    "OWNER: {} and {} have both held key {} for over half a second",
                    self.lives[at.0].id, self.lives[at.1].id, at.2
                );
                record!("BROKEN {text}");
                self.violations.push(text);
            }
        }
    }
}

/// Starts the check of what the servers hold.
pub fn start_watch() {
    thread::spawn(|| loop {
        world().watch();
        thread::sleep(Duration::from_millis(10));
    });
}

pub struct Config {
    pub id: &'static str,
    pub service: &'static str,
    pub is_sharded: bool,
    /// Address of the pings.
    pub daemon: SocketAddr,
    /// Address of the server, or that of its first life.
    pub address: Option<SocketAddr>,
}

/// One life of a server.
#[derive(Clone)]
pub struct Server {
    n: usize,
    pub address: SocketAddr,
    daemon: SocketAddr,
    id: &'static str,
    is_sharded: bool,
    pings: Arc<AtomicBool>,
}

impl Server {
    /// Starts a life. It sends pings if `pings` is set.
    pub fn start(config: &Config, pings: bool) -> Self {
        let address = config.address.unwrap_or_else(|| SocketAddr::new(config.daemon.ip(), 0));
        let listener = TcpListener::bind(address).expect("the address of the server is free");
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
        let n = {
            let mut world = world();
            world.lives.push(Life {
                id: config.id.to_owned(),
                service: config.service.to_owned(),
                is_up: true,
                born,
                sequence: 0,
                rows: Vec::new(),
                until: None,
                left: Vec::new(),
                freed: Vec::new(),
                seen: vec![0; 65_536],
                runs: Vec::new(),
                arrivals: Vec::new(),
            });
            world.lives.len() - 1
        };
        record!("server {} of {} is up at {address}, born {born}", config.id, config.service);
        let server = Self {
            n,
            address,
            daemon: config.daemon,
            id: config.id,
            is_sharded: config.is_sharded,
            pings: Arc::new(AtomicBool::new(pings)),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            while accepting.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = accepting.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let pinging = server.clone();
        thread::spawn(move || {
            while pinging.is_up() {
                if pinging.pings.load(Ordering::SeqCst) {
                    pinging.ping();
                }
                let is_releasing = {
                    let world = world();
                    let life = &world.lives[pinging.n];
                    !life.freed.is_empty() || !life.left.is_empty()
                };
                let wait = if is_releasing { RELEASE_PING } else { HEARTBEAT };
                let end = Instant::now() + wait;
                while Instant::now() < end && pinging.is_up() {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        server
    }

    fn is_up(&self) -> bool {
        world().lives[self.n].is_up
    }

    /// Ends this life: its listener and its connections are closed.
    pub fn end(&self) {
        record!("server {} ends", self.id);
        world().lives[self.n].is_up = false;
        thread::sleep(Duration::from_millis(20));
    }

    pub fn set_pings(&self, pings: bool) {
        self.pings.store(pings, Ordering::SeqCst);
    }

    pub fn held_keys(&self) -> u32 {
        let world = world();
        let life = &world.lives[self.n];
        let held = life.until.is_some_and(|u| u > Instant::now());
        life.rows.iter().filter(|_| held).map(|r| u32::from(r.last - r.first) + 1).sum()
    }

    pub fn rows(&self) -> Vec<Row> {
        world().lives[self.n].rows.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        world().lives[self.n].runs.clone()
    }

    pub fn arrivals(&self) -> Vec<Instant> {
        world().lives[self.n].arrivals.clone()
    }

    /// Returns a ping as it is sent now. Whoever takes it may deliver it late.
    pub fn take_ping(&self) -> String {
        let (body, _) = world().lives[self.n].ping_body(self.address, Instant::now());
        body
    }

    /// Delivers a ping of this server's id. Returns the status and the body of the answer.
    pub fn deliver(&self, body: &str, what: &str) -> (u16, String) {
        let head = format!(
            "POST /v1/instances/{}/heartbeat HTTP/1.1\r\nhost: d\r\ncontent-type: application/json",
            self.id
        );
        let answer = exchange(self.daemon, &head, body, Duration::from_secs(1)).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        record!("{what} of {} is delivered: {body} -> {} {text}", self.id, answer.status());
        (answer.status(), text)
    }

    /// Sends a ping and obeys its answer. Returns whether it was acknowledged.
    pub fn ping(&self) -> bool {
        let sent = Instant::now();
        let (body, freed) = world().lives[self.n].ping_body(self.address, sent);
        let head = format!(
            "POST /v1/instances/{}/heartbeat HTTP/1.1\r\nhost: d\r\ncontent-type: application/json",
            self.id
        );
        let answer = exchange(self.daemon, &head, &body, Duration::from_secs(1));
        let answer = answer.filter(|a| a.status() / 100 == 2 && a.body.len() <= 4096);
        let Some(answer) = answer else {
            record!("ping of {} is not acknowledged", self.id);
            return false;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let Some(json) = Json::parse(&text) else { return false };
        let mut world = world();
        if !world.lives[self.n].is_up {
            return false;
        }
        let before = world.lives[self.n].rows.clone();
        world.apply(self.n, &json, freed, sent);
        let life = &world.lives[self.n];
        if life.rows != before {
            record!(
                "ping {} of {} is answered: it holds {} rows, held {}",
                life.sequence,
                self.id,
                life.rows.len(),
                before.len()
            );
        }
        true
    }

    /// Deregisters the server with its start, as all that it says of itself. Returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let born = world().lives[self.n].born;
        let head = format!(
            "POST /v1/instances/{}/deregister HTTP/1.1\r\nhost: d\r\ncontent-type: application/json",
            self.id
        );
        let answer = exchange(self.daemon, &head, &format!("{{\"born\":{born}}}"), Duration::from_secs(1));
        let status = answer.map_or(0, |a| a.status());
        record!("{} (born {born}) deregisters: {status}", self.id);
        status == 200
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let mut buf = Vec::new();
        while let Some(request) = Message::read(&mut stream, &mut buf) {
            if !self.is_up() {
                return;
            }
            let attempt = request.header("x-attempt-id").to_owned();
            if request.word(1) == "/health" {
                let head = format!("HTTP/1.1 200 OK\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let key: Option<u16> = request.header("x-shard-key").parse().ok();
            let expected = request.header("x-expect-instance");
            let begun = {
                let mut world = world();
                let life = &mut world.lives[self.n];
                let now = Instant::now();
                life.expire(now);
                let is_held = !self.is_sharded || key.is_some_and(|k| life.holds(k, now));
                let is_meant = expected.is_empty() || expected == self.id;
                (is_held && is_meant).then(|| {
                    life.arrivals.push(now);
                    life.runs.push(Run {
                        attempt: attempt.clone(),
                        key: key.filter(|_| self.is_sharded),
                        ended: None,
                    });
                    life.runs.len() - 1
                })
            };
            let Some(run) = begun else {
                let head = format!(
                    "HTTP/1.1 421 Misdirected\r\nx-not-executed: 1\r\nx-attempt-id: {attempt}\r\ncontent-length: 0\r\n\r\n"
                );
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            };
            record!("{} runs {attempt} {} key {key:?}", self.id, request.word(1));
            let work = request.word(1).rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(10);
            let end = self.work(&mut stream, Duration::from_millis(work), key);
            world().lives[self.n].runs[run].ended = Some(Instant::now());
            record!("{} ends {attempt}: {end:?}", self.id);
            let status = match end {
                End::Done => "200 OK",
                End::Expired => "500 Error",
                End::Left => return,
            };
            let body = format!("answer to {attempt}\n");
            let head = format!(
                "HTTP/1.1 {status}\r\nx-attempt-id: {attempt}\r\nx-response-stamp: {}.{run}\r\nkeep-alive: timeout=10\r\ncontent-length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn work(&self, stream: &mut TcpStream, duration: Duration, key: Option<u16>) -> End {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            if is_closed(stream) {
                return End::Left;
            }
            {
                let world = world();
                let life = &world.lives[self.n];
                if !life.is_up {
                    return End::Left;
                }
                let hold_end = key.and_then(|k| life.hold_end(k));
                if self.is_sharded && hold_end.is_none_or(|e| e <= Instant::now()) {
                    return End::Expired;
                }
            }
            thread::sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
        }
        End::Done
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    Done,
    /// The hold has run out.
    Expired,
    /// The connection is closed, or the server is down.
    Left,
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}
