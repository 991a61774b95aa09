//! Servers of a service that is divided by key, as the platform's pages describe them, and the check that no two of them hold
//! the same keys.

use {
    crate::{
        fleet::SERVER_PORT,
        http::{self, read_message},
        json::Value,
        record::Record,
    },
    std::{
        io::{self, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        ops::Range,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time to the next heartbeat while keys are being released.
const RELEASE_HEARTBEAT: Duration = Duration::from_millis(90);
/// Time for which two servers may hold the same keys, by the rule.
const OVERLAP_MAX: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct KeyedConfig {
    pub ip: Ipv4Addr,
    pub heartbeats: SocketAddr,
    pub service: String,
    pub instance: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

/// Keys from the first number to the second one, with the number of the ownership.
type Row = (u64, u64, u64);

/// Keys that a server held for a time.
#[derive(Clone, Debug)]
struct Held {
    row: Row,
    since: Instant,
    /// When the hold runs out, or when an answer left the keys out.
    until: Instant,
}

struct State {
    rows: Vec<Row>,
    expires: Instant,
    /// Rows that an answer left out and on which work goes on.
    releasing: Vec<Row>,
    freed: Vec<Row>,
    /// Keys of the running requests, with the time at which the hold of each would run out by the answers so far.
    running: Vec<(u64, Instant)>,
    waiting: usize,
    history: Vec<Held>,
    ran: u64,
}

/// All servers of a case, for the check.
pub type Servers = Arc<Vec<Arc<KeyedServer>>>;

pub struct KeyedServer {
    config: KeyedConfig,
    state: Mutex<State>,
    slot_free: Condvar,
}

impl KeyedServer {
    pub fn new(config: KeyedConfig) -> Arc<Self> {
        let now = Instant::now();
        Arc::new(Self {
            config,
            state: Mutex::new(State {
                rows: Vec::new(),
                expires: now,
                releasing: Vec::new(),
                freed: Vec::new(),
                running: Vec::new(),
                waiting: 0,
                history: Vec::new(),
                ran: 0,
            }),
            slot_free: Condvar::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many keys the server holds.
    pub fn held_keys(&self) -> u64 {
        let state = self.state();
        let is_held = Instant::now() < state.expires;
        state.rows.iter().map(|(from, to, _)| to - from + 1).sum::<u64>() * u64::from(is_held)
    }

    /// Returns how many requests the server has begun.
    pub fn ran(&self) -> u64 {
        self.state().ran
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-attempt-id").to_owned();
            let key: u64 = request.header("x-shard-key").parse().unwrap_or(u64::MAX);
            let limit: u64 = request.header("x-request-deadline").parse().unwrap_or(1000);
            let deadline = Instant::now() + Duration::from_millis(limit);
            if request.header("x-expect-instance") != self.config.instance {
                send(stream, "421 Misdirected Request", &id, "x-not-executed: 1\r\n")?;
                continue;
            }
            let (status, headers) = self.run(key, deadline);
            send(stream, status, &id, headers)?;
        }
        Ok(())
    }

    /// Runs a request, or rejects it. Returns the status and the headers of the answer.
    fn run(&self, key: u64, deadline: Instant) -> (&'static str, &'static str) {
        const STAMPED: &str = "x-response-stamp: 1.2\r\n";
        const REJECTED: &str = "x-not-executed: 1\r\n";
        let mut state = self.state();
        if !holds(&state, key) {
            return ("421 Misdirected Request", REJECTED);
        }
        if state.running.len() >= self.config.slots {
            if state.waiting >= self.config.queue {
                return ("503 Service Unavailable", REJECTED);
            }
            state.waiting += 1;
            while state.running.len() >= self.config.slots {
                state = self.slot_free.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            state.waiting -= 1;
            if Instant::now() >= deadline {
                return ("503 Service Unavailable", REJECTED);
            }
            if !holds(&state, key) {
                return ("421 Misdirected Request", REJECTED);
            }
        }
        let expires = state.expires;
        state.running.push((key, expires));
        state.ran += 1;
        drop(state);
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(self.config.work.min(left));
        let mut state = self.state();
        let position = state.running.iter().position(|(k, _)| *k == key);
        let run = position.map(|i| state.running.swap_remove(i));
        self.slot_free.notify_one();
        let now = Instant::now();
        if run.is_some_and(|(_, expires)| now > expires) {
            return ("500 Internal Server Error", STAMPED);
        }
        match now < deadline {
            true => ("200 OK", STAMPED),
            false => ("504 Gateway Timeout", STAMPED),
        }
    }

    fn send_heartbeats(&self, all: &Servers, record: &Record) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
        let KeyedConfig { ip, service, instance, slots, .. } = &self.config;
        for sequence in 1_u64.. {
            let (rows, freed) = {
                let mut state = self.state();
                let busy: Vec<u64> = state.running.iter().map(|(key, _)| *key).collect();
                let (releasing, done): (Vec<Row>, Vec<Row>) =
                    state.releasing.iter().partition(|row| busy.iter().any(|key| covers(row, *key)));
                state.releasing = releasing.clone();
                state.freed.extend(done);
                let held = if Instant::now() < state.expires { state.rows.clone() } else { Vec::new() };
                ([held, releasing].concat(), std::mem::take(&mut state.freed))
            };
            let holds: Vec<String> = rows.iter().map(|(from, to, n)| format!("[{from},{to},{n}]")).collect();
            let tokens: Vec<String> =
                freed.iter().map(|(from, to, n)| format!("[{from},{to},\"{n:016x}\"]")).collect();
            let beat = format!(
                r#"{{"address":"{ip}:{SERVER_PORT}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"z1","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"warmupLeft":"0ms"}},"holds":[{}],"freed":[{}]}}"#,
                holds.join(","),
                tokens.join(",")
            );
            let sent = Instant::now();
            let path = format!("/v1/instances/{instance}/heartbeat");
            let answer = http::exchange(self.config.heartbeats, "POST", &path, &beat);
            match answer.filter(|a| a.status == 200 && a.body.len() <= 4096) {
                Some(answer) => {
                    if let Some(given) = read_holds(&answer.body) {
                        self.take_holds(given, sent, all, record);
                    }
                }
                None => self.state().freed.extend(freed),
            }
            let is_releasing = !self.state().releasing.is_empty();
            thread::sleep(if is_releasing { RELEASE_HEARTBEAT } else { HEARTBEAT });
        }
    }

    /// Takes the answer to the heartbeat that was sent at `sent`.
    fn take_holds(&self, (given, time): (Vec<Row>, Duration), sent: Instant, all: &Servers, record: &Record) {
        let now = Instant::now();
        let mut state = self.state();
        let expires = sent + time;
        let known: Vec<Row> = if now < state.expires { state.rows.clone() } else { Vec::new() };
        for row in &known {
            // Parts of joined or split rows stay held.
            let left = (row.0..=row.1).any(|key| !given.iter().any(|g| covers(g, key)));
            if !left {
                continue;
            }
            if state.running.iter().any(|(key, _)| covers(row, *key)) {
                state.releasing.push(*row);
            } else {
                state.freed.push(*row);
            }
        }
        let old_end = state.expires;
        for held in state.history.iter_mut().filter(|held| held.until == old_end && now < old_end) {
            held.until = now;
        }
        let added = given.iter().map(|row| Held { row: *row, since: now, until: expires });
        state.history.extend(added);
        for (key, hold) in &mut state.running {
            if given.iter().any(|row| covers(row, *key)) {
                *hold = expires;
            }
        }
        state.rows.clone_from(&given);
        state.expires = expires;
        drop(state);
        let is_new = |row: &&Row| !(row.0..=row.1).all(|key| known.iter().any(|k| covers(k, key)));
        let new: Vec<Row> = given.iter().filter(is_new).copied().collect();
        if !new.is_empty() {
            record.line(format_args!("{}: is given {} new rows, {} in all", self.config.instance, new.len(), given.len()));
        }
        for other in all.iter().filter(|other| other.config.instance != self.config.instance) {
            let at_work: Vec<(u64, Instant)> = other.state().running.clone();
            for (key, hold) in at_work {
                if let Some(row) = new.iter().find(|row| covers(row, key) && !known.iter().any(|k| covers(k, key))) {
                    if now < hold {
                        let left = (hold - now).as_millis();
                        record.line(format_args!(
                            "OWNER: {} is given key {key} with number {} while {} is at work on it, whose hold runs for {left} ms more",
                            self.config.instance, row.2, other.config.instance
                        ));
                        record.count_break();
                    }
                }
            }
        }
    }
}

fn holds(state: &State, key: u64) -> bool {
    Instant::now() < state.expires && state.rows.iter().any(|row| covers(row, key))
}

fn covers(row: &Row, key: u64) -> bool {
    (row.0..=row.1).contains(&key)
}

/// Reads the rows and the time of an answer, if it has them.
fn read_holds(body: &[u8]) -> Option<(Vec<Row>, Duration)> {
    let answer = Value::parse(body)?;
    let time = answer.field("hold_time")?.text().strip_suffix("ms")?.parse().ok()?;
    let rows = answer.field("holds")?.list().iter().filter_map(|row| {
        let row = row.list();
        Some((row.first()?.number()?, row.get(1)?.number()?, row.get(2)?.number()?))
    });
    Some((rows.collect(), Duration::from_millis(time)))
}

fn send(mut stream: &TcpStream, status: &str, id: &str, headers: &str) -> io::Result<()> {
    let answer = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\n{headers}keep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok"
    );
    stream.write_all(answer.as_bytes())
}

/// Returns the servers of a case, which are started one by one.
pub fn servers(configs: impl Iterator<Item = KeyedConfig>) -> Servers {
    Arc::new(configs.map(KeyedServer::new).collect())
}

/// Starts those servers whose positions are given. Their threads end with the process.
pub fn start(servers: &Servers, positions: Range<usize>, record: &Record) -> Result<(), String> {
    for server in &servers[positions] {
        let listener = TcpListener::bind((server.config.ip, SERVER_PORT)).map_err(|e| e.to_string())?;
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || drop(server.serve(&stream)));
            }
        });
        let (server, all, record) = (server.clone(), servers.clone(), record.clone());
        thread::spawn(move || server.send_heartbeats(&all, &record));
        // Servers don't send their heartbeats in step.
        thread::sleep(HEARTBEAT / 4);
    }
    Ok(())
}

/// Reports the keys that two servers held for longer than the rule allows.
pub fn check_overlaps(servers: &Servers, record: &Record) {
    let histories: Vec<Vec<Held>> = servers.iter().map(|s| s.state().history.clone()).collect();
    let start = histories.iter().flatten().map(|h| h.since).min();
    let Some(start) = start else { return };
    for (i, first) in histories.iter().enumerate() {
        for (j, second) in histories.iter().enumerate().skip(i + 1) {
            // The longest time for which each pair of rows overlaps without a gap is the sum of adjoining answers.
            let mut shared: Vec<(u64, u64, Instant, Instant)> = Vec::new();
            for a in first {
                for b in second {
                    let (from, to) = (a.row.0.max(b.row.0), a.row.1.min(b.row.1));
                    let (since, until) = (a.since.max(b.since), a.until.min(b.until));
                    if from <= to && since < until {
                        shared.push((from, to, since, until));
                    }
                }
            }
            for (from, to, since, until) in shared {
                if until - since > OVERLAP_MAX {
                    record.line(format_args!(
                        "OWNER: {} and {} both held keys {from} to {to} for {} ms, {:.3} s after the first grant",
                        servers[i].config.instance,
                        servers[j].config.instance,
                        (until - since).as_millis(),
                        (since - start).as_secs_f64()
                    ));
                    record.count_break();
                }
            }
        }
    }
}
