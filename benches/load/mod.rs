//! A small load generator that speaks HTTP/1.1 over plain TCP connections.

// Each bench uses only a part of this module.
#![allow(dead_code)]

use {
    hdrhistogram::Histogram,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Builder,
        task::{spawn_local, LocalSet},
        time::{sleep_until, timeout},
    },
};

/// Timeout of a request with its response, whatever the deadline of the call.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(5000);

/// Address and parameters of calls.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    path: &'static str,
    key: &'static str,
    /// Whether each call carries a request id of its own.
    has_request_id: bool,
    deadline_ms: u32,
    /// Size of the body of each call. Calls without a body are sent as GET, others as POST.
    body_bytes: usize,
}

impl Target {
    pub fn new(address: SocketAddr, path: &'static str, key: &'static str, has_request_id: bool) -> Self {
        Self {
            address,
            path,
            key,
            has_request_id,
            deadline_ms: 5000,
            body_bytes: 0,
        }
    }

    /// Sets the size of the body of the calls.
    pub fn with_body(self, body_bytes: usize) -> Self {
        Self { body_bytes, ..self }
    }

    /// Sets the deadline of the calls.
    pub fn with_deadline(self, deadline_ms: u32) -> Self {
        Self { deadline_ms, ..self }
    }
}

/// Counts of the calls by outcome, and their latency.
pub struct CallStats {
    pub answered: u64,
    pub refused: u64,
    /// All calls without a status 200 within their deadline, refused ones included.
    pub other: u64,
    /// Latency of the answered calls, in µs.
    pub latency: Histogram<u64>,
}

impl Default for CallStats {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            other: 0,
            latency: Histogram::new(3).unwrap(),
        }
    }
}

impl CallStats {
    fn record(&mut self, status: Option<u16>, latency: Duration, deadline_ms: u32) {
        let is_in_time = latency <= Duration::from_millis(deadline_ms.into());
        if status == Some(200) && is_in_time {
            self.answered += 1;
            let _ = self.latency.record(latency.as_micros() as u64);
        } else {
            self.other += 1;
            self.refused += u64::from(matches!(status, Some(409 | 429 | 503)));
        }
    }
}

/// Sends calls over each connection, the next one as soon as the last one has ended.
pub fn closed_loop(target: &Target, connections: usize, duration: Duration) -> CallStats {
    run_local(|stats, next_call_id| {
        for _ in 0..connections {
            let (target, stats, next_call_id) = (target.clone(), stats.clone(), next_call_id.clone());
            spawn_local(async move {
                let end = Instant::now() + duration;
                let mut connection = None;
                while Instant::now() < end {
                    let started = Instant::now();
                    let status = send_call(&target, &mut connection, &next_call_id).await;
                    stats
                        .borrow_mut()
                        .record(status, started.elapsed(), target.deadline_ms);
                }
            });
        }
    })
}

/// Starts `rate` calls per second, without waiting for earlier ones to end. The calls go to the targets in turn.
pub fn open_loop(targets: &[Target], rate: u64, duration: Duration) -> CallStats {
    run_local(|stats, next_call_id| {
        let targets = targets.to_vec();
        let (stats, next_call_id) = (stats.clone(), next_call_id.clone());
        spawn_local(async move {
            let start = Instant::now();
            let pools: Vec<Rc<RefCell<Vec<TcpStream>>>> = targets.iter().map(|_| Rc::default()).collect();
            let call_count = rate * duration.as_millis() as u64 / 1000;
            for call_index in 0..call_count {
                let planned_start = start + Duration::from_nanos(call_index * 1_000_000_000 / rate);
                sleep_until(planned_start.into()).await;
                let i = call_index as usize % targets.len();
                let (target, pool) = (targets[i].clone(), pools[i].clone());
                let (stats, next_call_id) = (stats.clone(), next_call_id.clone());
                spawn_local(async move {
                    let mut connection = pool.borrow_mut().pop();
                    let call_timeout =
                        Duration::from_millis(target.deadline_ms.into()) + Duration::from_millis(200);
                    let status =
                        timeout(call_timeout, send_call(&target, &mut connection, &next_call_id)).await;
                    let status = status.unwrap_or_default();
                    stats
                        .borrow_mut()
                        .record(status, planned_start.elapsed(), target.deadline_ms);
                    if let (Some(_), Some(connection)) = (status, connection) {
                        pool.borrow_mut().push(connection);
                    }
                });
            }
        });
    })
}

/// Runs the tasks that `start` spawns until all of them have ended, and returns the calls that they recorded.
fn run_local(start: impl FnOnce(&Rc<RefCell<CallStats>>, &Rc<Cell<u64>>)) -> CallStats {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let stats = Rc::new(RefCell::new(CallStats::default()));
    let next_call_id = Rc::new(Cell::new(
        u64::from(std::process::id()) << 32 | next_run_number() << 24,
    ));
    local.block_on(&runtime, async { start(&stats, &next_call_id) });
    runtime.block_on(local);
    Rc::try_unwrap(stats).ok().unwrap().into_inner()
}

/// Returns a different number for each run of this process.
fn next_run_number() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst)
}

/// Sends a call and returns the status of its response, or `None` if no whole response has arrived.
async fn send_call(
    target: &Target,
    connection: &mut Option<TcpStream>,
    next_call_id: &Cell<u64>,
) -> Option<u16> {
    let call_id = next_call_id.get();
    next_call_id.set(call_id + 1);
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(target.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            stream
        }
    };
    let method = if target.body_bytes == 0 { "GET" } else { "POST" };
    let mut request = format!(
        "{method} {} HTTP/1.1\r\nhost: a\r\nfold-call: {call_id}\r\nfold-deadline-ms: {}\r\n",
        target.path, target.deadline_ms
    );
    if !target.key.is_empty() {
        request += &format!("fold-key: {}\r\n", target.key);
    }
    if target.has_request_id {
        request += &format!("fold-request-id: {call_id}\r\n");
    }
    if target.body_bytes > 0 {
        request += &format!("content-length: {}\r\n", target.body_bytes);
    }
    request += "\r\n";
    request += &"x".repeat(target.body_bytes);
    let exchange = timeout(EXCHANGE_TIMEOUT, async {
        stream.write_all(request.as_bytes()).await.ok()?;
        read_status(&mut stream).await
    });
    let status = exchange.await.ok()??;
    *connection = Some(stream);
    Some(status)
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::with_capacity(1024);
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let length = head
            .split("content-length: ")
            .nth(1)?
            .lines()
            .next()?
            .parse::<usize>()
            .ok()?;
        if bytes.len() >= end + 4 + length {
            return head.split(' ').nth(1)?.parse().ok();
        }
    }
}
