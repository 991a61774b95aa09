//! Clients, as PROTOCOL.md describes them.

use crate::{
    http::{exchange, Message},
    record,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Mutex,
    },
    time::{Duration, Instant},
};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Time at which a request was sent, its path, and the status of its answer, or 0 if there was none.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub status: u16,
}

static SENT: Mutex<Vec<Sent>> = Mutex::new(Vec::new());

pub fn sent() -> Vec<Sent> {
    SENT.lock().unwrap().clone()
}

/// Sends a request and waits for its answer until the deadline.
pub fn get(to: SocketAddr, path: &str, key: Option<u16>, deadline: Duration) -> u16 {
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
    let key_line = key.map_or(String::new(), |k| format!("\r\nX-Shard-Key: {k}"));
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline: {}{key_line}",
        deadline.as_millis()
    );
    let at = Instant::now();
    record!("client sends {id} GET {path} key {key:?} to {to}");
    let answer = exchange(to, &head, "", deadline);
    let status = answer.as_ref().map_or(0, Message::status);
    let retry = answer.as_ref().map_or("", |a| a.header("retry-after"));
    let reason = match status {
        429 | 502..=504 => answer.as_ref().map_or_else(String::new, |a| {
            String::from_utf8_lossy(&a.body).trim().to_owned()
        }),
        _ => String::new(),
    };
    record!("client gets {status} for {id} {reason} {retry}");
    SENT.lock().unwrap().push(Sent { at, status });
    status
}
