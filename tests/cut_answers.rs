//! Answers must reach their callers whole, however their connection ends.

use {
    clementinefold::{
        edge::{plain_response, serve_http, BodyError, HttpRequest, HttpResponse},
        settings::CallerLimits,
    },
    http::StatusCode,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        sync::mpsc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet, time::sleep},
};

/// More than the buffers of both sockets hold.
const LARGE_BYTES: usize = 16 * 1024 * 1024;
/// Pause of a caller before it reads, so that the server has written all it can.
const READ_PAUSE: Duration = Duration::from_millis(300);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A server that answers `/sleep/MS` after that time, `/large` with a large body, and anything else at once.
struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Server {
    fn start() -> Self {
        let (tx, rx) = mpsc::channel();
        let (stop, stop_rx) = watch::channel(false);
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tx.send(listener.local_addr().unwrap()).unwrap();
                let log = slog::Logger::root(slog::Discard, slog::o!());
                serve_http(listener, CallerLimits::default, log, stop_rx, answer).await;
            });
        });
        Self {
            address: rx.recv().unwrap(),
            stop,
            thread,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }
}

async fn answer(request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let Ok(request) = request else {
        return plain_response(StatusCode::PAYLOAD_TOO_LARGE, "");
    };
    let path = request.uri.path();
    if let Some(ms) = path.strip_prefix("/sleep/") {
        sleep(Duration::from_millis(ms.parse().unwrap())).await;
    }
    match path {
        "/large" => plain_response(StatusCode::OK, &"x".repeat(LARGE_BYTES)),
        path => plain_response(StatusCode::OK, path),
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads everything until the connection ends. A reset counts as its end.
fn read_all(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8(bytes).unwrap()
}

/// Opens a connection and waits until the server has closed it, so that the server has had no connection once.
fn open_and_end(server: &Server) {
    let stream = server.connect();
    (&stream).write_all(get("/first").as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    read_all(&stream);
}

#[test]
fn stop_awaits_answers() {
    let server = Server::start();
    open_and_end(&server);
    let caller = server.connect();
    (&caller).write_all(get("/sleep/1500").as_bytes()).unwrap();
    thread::sleep(READ_PAUSE);
    server.stop.send(true).unwrap();
    server.thread.join().unwrap();
    assert!(read_all(&caller).ends_with("/sleep/1500\n"));
}

#[test]
fn stop_awaits_slow_reader() {
    let server = Server::start();
    open_and_end(&server);
    let caller = server.connect();
    (&caller).write_all(get("/large").as_bytes()).unwrap();
    thread::sleep(READ_PAUSE);
    server.stop.send(true).unwrap();
    // The grace period for connections is over.
    thread::sleep(Duration::from_millis(1500));
    assert!(read_all(&caller).len() > LARGE_BYTES);
    server.thread.join().unwrap();
}

#[test]
fn unread_request_at_close() {
    let server = Server::start();
    let caller = server.connect();
    let closing = "GET /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    (&caller).write_all(closing.as_bytes()).unwrap();
    // The server may read ahead once.
    for _ in 0..2 {
        thread::sleep(READ_PAUSE);
        (&caller).write_all(get("/next").as_bytes()).unwrap();
    }
    // The server writes the rest into its socket during the pauses.
    let mut part = vec![0; LARGE_BYTES / 4];
    for _ in 0..3 {
        (&caller).read_exact(&mut part).unwrap();
        thread::sleep(READ_PAUSE);
    }
    assert!(read_all(&caller).len() > LARGE_BYTES / 4);
}

#[test]
fn unread_body_at_close() {
    let server = Server::start();
    let caller = server.connect();
    let head = format!("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
    (&caller).write_all(head.as_bytes()).unwrap();
    (&caller).write_all(&vec![b'x'; LARGE_BYTES]).unwrap();
    assert!(read_all(&caller).starts_with("HTTP/1.1 413 "));
}

#[test]
fn read_ahead_answered() {
    let server = Server::start();
    let caller = server.connect();
    let requests = [get("/sleep/500"), get("/second"), get("/third")].concat();
    (&caller).write_all(requests.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(200));
    server.stop.send(true).unwrap();
    let answers = read_all(&caller);
    let answered = |path: &&str| answers.contains(&format!("\r\n\r\n{path}\n"));
    let paths = ["/sleep/500", "/second", "/third"];
    assert_eq!(paths.iter().filter(|p| answered(p)).count(), 3, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    server.thread.join().unwrap();
}
