//! Connections that are kept open never delay other callers.

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
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet},
};

/// Number of connections that callers keep open at the same time.
const CONNECTIONS: usize = 64;
/// Time within which every connection has to get an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens all connections at once, keeps them open, and returns how many got an answer.
fn count_served(address: SocketAddr) -> usize {
    let mut streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    for stream in &mut streams {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    }
    let readers: Vec<_> = streams
        .into_iter()
        .map(|mut stream| {
            thread::spawn(move || {
                let mut buf = [0; 512];
                let answered = matches!(stream.read(&mut buf), Ok(n) if n > 0);
                // The connection stays open until all others have been tried.
                (answered, stream)
            })
        })
        .collect();
    let ended: Vec<_> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    ended.iter().filter(|(answered, _)| *answered).count()
}

#[test]
fn every_connection_served() {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let (_stop, stop) = watch::channel(false);
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let answer = |_| async { plain_response(StatusCode::OK, "ok") };
            serve_http(listener, CallerLimits::default, log, stop, answer).await;
        });
    });
    assert_eq!(count_served(rx.recv().unwrap()), CONNECTIONS);
}
