//! Limits of connections, i.e. the time for a head and the size of a body. They may change while the server runs.

use {
    clementinefold::{
        clock::Ms,
        edge::{plain_response, serve_http},
        settings::CallerLimits,
    },
    http::StatusCode,
    std::{
        cell::Cell,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        rc::Rc,
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet},
};

const HEAD_TIMEOUT: Ms = Ms(700);
/// Longer than [`HEAD_TIMEOUT`].
const PAUSE: Duration = Duration::from_millis(1000);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server. Bodies may have 2 bytes in the first two requests, and 4 bytes from the third one on.
fn server() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let (_stop, stop) = watch::channel(false);
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let served = Rc::new(Cell::new(0));
            let served_for_limits = served.clone();
            let limits = move || CallerLimits {
                head_timeout: HEAD_TIMEOUT,
                body_bytes: if served_for_limits.get() < 2 { 2 } else { 4 },
                ..CallerLimits::default()
            };
            let answer = move |request: Result<_, _>| {
                served.set(served.get() + 1);
                let status = request.map_or(StatusCode::PAYLOAD_TOO_LARGE, |_| StatusCode::OK);
                async move { plain_response(status, "") }
            };
            serve_http(listener, limits, log, stop, answer).await;
        });
    });
    rx.recv().unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

fn status(stream: &mut TcpStream) -> String {
    let mut buf = [0; 512];
    let n = stream.read(&mut buf).unwrap();
    let text = String::from_utf8_lossy(&buf[..n]).into_owned();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[test]
fn slow_head_closed() {
    let mut stream = connect(server());
    stream.write_all(b"GET /x HTTP/1.1\r\nHo").unwrap();
    // The server closes the connection without a response while it waits for the rest.
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty());
}

#[test]
fn idle_connection_kept() {
    let mut stream = connect(server());
    for _ in 0..2 {
        thread::sleep(PAUSE);
        stream.write_all(b"GET /x HTTP/1.1\r\nHo").unwrap();
        stream.write_all(b"st: a\r\n\r\n").unwrap();
        assert_eq!(status(&mut stream), "200");
    }
}

#[test]
fn limits_can_change() {
    let mut stream = connect(server());
    for expected in ["413", "413", "200"] {
        stream
            .write_all(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
            .unwrap();
        assert_eq!(status(&mut stream), expected);
        if expected == "413" {
            stream = connect(stream.peer_addr().unwrap());
        }
    }
}
