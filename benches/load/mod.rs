//! A small load generator over raw HTTP/1.1.

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

/// Longest time for one call beyond its deadline.
const GIVE_UP: Duration = Duration::from_millis(5000);

/// Where calls go, and what they ask for.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    path: &'static str,
    key: &'static str,
    /// True: each call has a request id of its own.
    with_id: bool,
    deadline_ms: u32,
}

impl Target {
    pub fn new(address: SocketAddr, path: &'static str, key: &'static str, with_id: bool) -> Self {
        Self {
            address,
            path,
            key,
            with_id,
            deadline_ms: 5000,
        }
    }

    /// Sets the deadline of the calls.
    pub fn within(self, deadline_ms: u32) -> Self {
        Self { deadline_ms, ..self }
    }
}

/// How calls ended.
pub struct Tally {
    pub answered: u64,
    pub refused: u64,
    /// All that were not answered.
    pub other: u64,
    /// In microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            other: 0,
            latency: Histogram::new(3).unwrap(),
        }
    }
}

impl Tally {
    fn count(&mut self, status: Option<u16>, took: Duration, deadline_ms: u32) {
        let in_time = took <= Duration::from_millis(deadline_ms.into());
        if status == Some(200) && in_time {
            self.answered += 1;
            let _ = self.latency.record(took.as_micros() as u64);
        } else {
            self.other += 1;
            self.refused += u64::from(matches!(status, Some(409 | 429 | 503)));
        }
    }
}

/// Sends calls one after the other over each connection.
pub fn closed_loop(target: &Target, connections: usize, run: Duration) -> Tally {
    run_local(|tally, numbers| {
        for _ in 0..connections {
            let (target, tally, numbers) = (target.clone(), tally.clone(), numbers.clone());
            spawn_local(async move {
                let end = Instant::now() + run;
                let mut connection = None;
                while Instant::now() < end {
                    let started = Instant::now();
                    let status = call(&target, &mut connection, &numbers).await;
                    tally
                        .borrow_mut()
                        .count(status, started.elapsed(), target.deadline_ms);
                }
            });
        }
    })
}

/// Starts calls at a fixed rate, whether earlier ones have ended or not. The targets are taken in turn.
pub fn open_loop(targets: &[Target], rate: u64, run: Duration) -> Tally {
    run_local(|tally, numbers| {
        let targets = targets.to_vec();
        let (tally, numbers) = (tally.clone(), numbers.clone());
        spawn_local(async move {
            let start = Instant::now();
            let pools: Vec<Rc<RefCell<Vec<TcpStream>>>> = targets.iter().map(|_| Rc::default()).collect();
            let total = rate * run.as_millis() as u64 / 1000;
            for number in 0..total {
                let planned = start + Duration::from_nanos(number * 1_000_000_000 / rate);
                sleep_until(planned.into()).await;
                let i = number as usize % targets.len();
                let (target, pool) = (targets[i].clone(), pools[i].clone());
                let (tally, numbers) = (tally.clone(), numbers.clone());
                spawn_local(async move {
                    let mut connection = pool.borrow_mut().pop();
                    let longest =
                        Duration::from_millis(target.deadline_ms.into()) + Duration::from_millis(200);
                    let status = timeout(longest, call(&target, &mut connection, &numbers)).await;
                    let status = status.unwrap_or_default();
                    tally
                        .borrow_mut()
                        .count(status, planned.elapsed(), target.deadline_ms);
                    if let (Some(_), Some(connection)) = (status, connection) {
                        pool.borrow_mut().push(connection);
                    }
                });
            }
        });
    })
}

fn run_local(start: impl FnOnce(&Rc<RefCell<Tally>>, &Rc<Cell<u64>>)) -> Tally {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    let tally = Rc::new(RefCell::new(Tally::default()));
    let numbers = Rc::new(Cell::new(u64::from(std::process::id()) << 32 | unique() << 24));
    local.block_on(&runtime, async { start(&tally, &numbers) });
    runtime.block_on(local);
    Rc::try_unwrap(tally).ok().unwrap().into_inner()
}

/// Returns another number for each run.
fn unique() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst)
}

/// Sends a call and returns the status of its whole response.
async fn call(target: &Target, connection: &mut Option<TcpStream>, numbers: &Cell<u64>) -> Option<u16> {
    let number = numbers.get();
    numbers.set(number + 1);
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(target.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            stream
        }
    };
    let mut request = format!(
        "GET {} HTTP/1.1\r\nhost: a\r\nfold-call: {number}\r\nfold-deadline-ms: {}\r\n",
        target.path, target.deadline_ms
    );
    if !target.key.is_empty() {
        request += &format!("fold-key: {}\r\n", target.key);
    }
    if target.with_id {
        request += &format!("fold-request-id: {number}\r\n");
    }
    request += "\r\n";
    let exchange = timeout(GIVE_UP, async {
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
