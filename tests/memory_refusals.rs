//! A server of HTTP with a budget of memory: what a sender is told whose body gets no memory, and which connections are
//! closed.

use {
    clementinefold::{
        clock::{Clock, Ms},
        edge::{
            body_error_response, plain_response, serve_http_within, BodyError, HttpRequest, HttpResponse,
        },
        memory::{MemoryBudget, ReservationKind},
        settings::CallerLimits,
    },
    http::StatusCode,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet, time::timeout},
};

const BUDGET_BYTES: usize = 4 * 1024 * 1024;
/// Size of a body that fills the part of the budget for large bodies.
const LARGE: usize = 2 * 1024 * 1024;
/// More than the buffers of both sockets hold.
const RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that answers with the size of the body, and `/large` with a large response.
fn start_server() -> (SocketAddr, MemoryBudget) {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let budget = MemoryBudget::new(BUDGET_BYTES, Clock::System);
            tx.send((listener.local_addr().unwrap(), budget.clone())).unwrap();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let limits = || CallerLimits {
                body_bytes: LARGE,
                body_timeout: Ms(60_000),
                ..CallerLimits::default()
            };
            let (_stop, stop) = watch::channel(false);
            let handler_budget = budget.clone();
            let handler = move |request| answer(handler_budget.clone(), request);
            serve_http_within(budget, listener, limits, log, stop, handler).await;
        });
    });
    rx.recv().unwrap()
}

async fn answer(budget: MemoryBudget, request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let request = match request {
        Ok(request) => request,
        Err(error) => return body_error_response(error),
    };
    if request.uri.path() == "/large" {
        let response = plain_response(StatusCode::OK, &"x".repeat(RESPONSE_BYTES));
        return response.map(|body| budget.keep(body));
    }
    plain_response(StatusCode::OK, &request.body.len().to_string())
}

/// Sends a request that declares `declared` bytes and has `sent` of them.
fn send(to: SocketAddr, path: &str, declared: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut request =
        format!("POST {path} HTTP/1.1\r\nhost: d\r\ncontent-length: {declared}\r\n\r\n").into_bytes();
    request.resize(request.len() + sent, b'x');
    stream.write_all(&request).unwrap();
    stream
}

/// Reads until the end of the connection. Returns the text, in lower case.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // A connection that is reset ends as well.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).to_ascii_lowercase()
}

fn read_some(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).unwrap();
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

#[test]
fn stalled_body_refused() {
    let (address, budget) = start_server();
    let mut stalled = send(address, "/", LARGE, LARGE - 1);
    while budget.held() < LARGE {
        thread::sleep(Duration::from_millis(10));
    }
    // Ordinary requests are answered at once, and nobody is refused for them.
    let answered = read_some(&mut send(address, "/", 5, 5));
    assert!(
        answered.starts_with("HTTP/1.1 200") && answered.ends_with("\r\n\r\n5\n"),
        "{answered}"
    );
    assert_eq!(budget.refused(), 0);
    // Another large request gets the memory of the stalled one.
    let answered = read_some(&mut send(address, "/", LARGE, LARGE));
    assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
    let refused = read_to_end(&mut stalled);
    assert!(refused.starts_with("http/1.1 503"), "{refused}");
    assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    assert!(refused.contains("connection: close\r\n"), "{refused}");
    assert_eq!(budget.refused(), 1);
}

#[test]
fn declared_length_refused() {
    let (address, budget) = start_server();
    // Nothing of the body is sent, so that only the declared length can be the reason.
    let refused = read_some(&mut send(address, "/", LARGE + 1, 0));
    assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
    assert_eq!(budget.held(), 0);
}

#[test]
fn unread_response_closed() {
    let (address, budget) = start_server();
    let unread = send(address, "/large", 0, 0);
    while budget.held() < RESPONSE_BYTES {
        thread::sleep(Duration::from_millis(10));
    }
    // Ordinary requests have room, and nobody is closed for them.
    let answered = read_some(&mut send(address, "/", 5, 5));
    assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
    assert_eq!(budget.refused(), 0);
    // A response that needs memory gets it once the connection that does not read is closed.
    let responses = [(); 2].map(|()| budget.reservation(ReservationKind::Response, None));
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        // The only response would have room in any case.
        assert_eq!(responses[0].reserve(1).await, Ok(()));
        let reserved = timeout(READ_TIMEOUT, responses[1].reserve(LARGE)).await;
        assert_eq!(reserved, Ok(Ok(())));
    });
    drop(responses);
    assert_eq!((budget.held(), budget.refused()), (0, 1));
    drop(unread);
}

#[test]
fn closed_connections_leave_nothing() {
    let (address, budget) = start_server();
    let unfinished: Vec<TcpStream> = (0..10).map(|_| send(address, "/", LARGE, LARGE / 20)).collect();
    while budget.held() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    drop(unfinished);
    let waited = std::time::Instant::now();
    while budget.held() > 0 {
        assert!(
            waited.elapsed() < READ_TIMEOUT,
            "{} bytes are held",
            budget.held()
        );
        thread::sleep(Duration::from_millis(10));
    }
}
