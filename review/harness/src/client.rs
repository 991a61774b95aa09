//! Clients of the services, each on the machine of a sidecar.

use {
    crate::{fleet::Fleet, http::exchange, record::Record},
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// A request of a client and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    /// Number of the machine at which it began.
    pub machine: usize,
    pub ended_at: Instant,
    /// Status of the answer, or `None` if none came.
    pub status: Option<u16>,
}

/// What the clients of one machine send, again and again.
#[derive(Clone, Debug)]
pub struct Load {
    pub machine: usize,
    pub route: String,
    pub method: &'static str,
    pub is_keyed: bool,
    pub interval: Duration,
    pub deadline: Duration,
}

#[derive(Default)]
pub struct Clients {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of an attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Clients {
    /// Starts clients that send `load` until they are stopped, each request on a connection and a thread of its own.
    pub fn start(&mut self, fleet: &Arc<Fleet>, load: Load) {
        let (fleet, is_over, sent) = (fleet.clone(), self.is_over.clone(), self.sent.clone());
        self.threads.push(thread::spawn(move || {
            let mut pending = Vec::new();
            let mut number: u32 = load.machine as u32 * 7919;
            while !is_over.load(Ordering::SeqCst) {
                number = number.wrapping_add(1);
                let key = load
                    .is_keyed
                    .then(|| (number.wrapping_mul(40_503) % 65_536) as u16);
                let (fleet, load, sent) = (fleet.clone(), load.clone(), sent.clone());
                let interval = load.interval;
                pending.push(thread::spawn(move || {
                    let result = send_one(&fleet, load.machine, load.method, &load.route, key, load.deadline);
                    sent.lock().unwrap().push(result);
                }));
                pending.retain(|t: &JoinHandle<()>| !t.is_finished());
                thread::sleep(interval);
            }
            pending.into_iter().for_each(|t| drop(t.join()));
        }));
    }

    /// Stops all clients and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| drop(t.join()));
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

/// Sends one request through the daemon of a machine and waits for its end.
pub fn send_one(
    fleet: &Fleet,
    machine: usize,
    method: &str,
    route: &str,
    key: Option<u16>,
    deadline: Duration,
) -> Sent {
    let attempt = new_id();
    let key_line = key.map_or(String::new(), |key| format!("\r\nx-shard-key: {key}"));
    let head = format!(
        "{method} {route}{attempt} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {attempt}\r\n\
         x-request-deadline: {}{key_line}",
        deadline.as_millis()
    );
    let at = Instant::now();
    let record: &Record = &fleet.record;
    record.line_at(
        at,
        &format!(
            "client at {machine}: sends {attempt}, {method} {route}{}",
            key_line.replace("\r\n", ", ")
        ),
    );
    let answer = exchange(fleet.outbound(machine), &head, b"", deadline);
    let ended_at = Instant::now();
    let status = answer.as_ref().map(|m| m.status());
    record.line_at(
        ended_at,
        &format!("client at {machine}: {attempt} ends with {status:?}"),
    );
    Sent {
        attempt,
        machine,
        ended_at,
        status,
    }
}
