//! What happens at the limit of open connections. Guards against callers that hold connections without a request and so keep
//! all others out until a time limit ends.

use {
    clementinefold::{
        edge::{plain_response, serve_http},
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
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet, time::sleep},
};

const CONNECTIONS: usize = 3;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a request to `/slow` takes.
const SLOW_TIME: Duration = Duration::from_millis(1500);
/// Time in which the server reads what was sent.
const PAUSE: Duration = Duration::from_millis(200);
const REQUEST: &str = "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a server with at most [`CONNECTIONS`] connections.
fn server() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let (_stop, stop) = watch::channel(false);
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let limits = || CallerLimits {
                connections: CONNECTIONS,
                ..CallerLimits::default()
            };
            let answer = |request: Result<clementinefold::edge::HttpRequest, _>| async move {
                if request.is_ok_and(|r| r.uri.path() == "/slow") {
                    sleep(SLOW_TIME).await;
                }
                plain_response(StatusCode::OK, "ok")
            };
            serve_http(listener, limits, log, stop, answer).await;
        });
    });
    rx.recv().unwrap()
}

fn connect(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    thread::sleep(PAUSE);
    stream
}

/// Returns whether a response begins on the connection. Otherwise it has ended.
fn is_answered(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 512];
    match stream.read(&mut buf) {
        Ok(n) => n > 0 && buf.starts_with(b"HTTP/1.1 200"),
        Err(e) => {
            assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
            false
        }
    }
}

#[test]
fn idle_make_room() {
    for sent in ["", "GET /quick HTTP/1.1\r\nHost: a\r\n"] {
        let address = server();
        let mut idle: Vec<_> = (0..CONNECTIONS).map(|_| connect(address, sent)).collect();
        for _ in 0..2 {
            assert!(is_answered(&mut connect(address, REQUEST)), "{sent:?}");
            // The server learns that this caller has left.
            thread::sleep(PAUSE);
        }
        // The oldest was closed; the callers of the two requests have left.
        assert!(!is_answered(&mut idle[0]), "{sent:?}");
        let rest = REQUEST.strip_prefix(sent).unwrap();
        idle[1].write_all(rest.as_bytes()).unwrap();
        assert!(is_answered(&mut idle[1]), "{sent:?}");
    }
}

/// A connection that has not had a request is closed before one that has, although that has been idle for longer.
#[test]
fn served_are_kept() {
    let address = server();
    let mut served = connect(address, REQUEST);
    assert!(is_answered(&mut served));
    let mut idle: Vec<_> = (1..CONNECTIONS).map(|_| connect(address, "")).collect();
    assert!(is_answered(&mut connect(address, REQUEST)));
    assert!(!is_answered(&mut idle[0]));
    served.write_all(REQUEST.as_bytes()).unwrap();
    assert!(is_answered(&mut served));
}

/// A body that does not end holds its connection for a while, as large ones take their time.
#[test]
fn old_bodies_make_room() {
    const BODY_TIME: Duration = Duration::from_millis(2000);
    let address = server();
    let request = "POST /quick HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1";
    let mut open: Vec<_> = (0..CONNECTIONS).map(|_| connect(address, request)).collect();
    assert!(!is_answered(&mut connect(address, REQUEST)));
    thread::sleep(BODY_TIME);
    assert!(is_answered(&mut connect(address, REQUEST)));
    assert!(!is_answered(&mut open[0]));
    open[1].write_all(b"2").unwrap();
    assert!(is_answered(&mut open[1]));
}

#[test]
fn busy_are_kept() {
    let address = server();
    let mut busy: Vec<_> = (0..CONNECTIONS)
        .map(|_| connect(address, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
        .collect();
    assert!(!is_answered(&mut connect(address, REQUEST)));
    assert!(busy.iter_mut().all(is_answered));
}
