//! A listener that is served until the process ends must deliver its answers, and must not wait for peers that have theirs.

use {
    clementinefold::{
        edge::{
            plain_response, serve_http_until_delivered, BodyError, DeliveryStop, HttpRequest, HttpResponse,
        },
        memory::MemoryBudget,
        settings::CallerLimits,
    },
    http::StatusCode,
    rustix::net::sockopt::set_socket_recv_buffer_size,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        rc::Rc,
        sync::mpsc,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::mpsc::{unbounded_channel, UnboundedSender},
        task::{spawn_local, LocalSet},
    },
};

/// Fits into the send buffer of the server, and is much more than a slow peer reads in a test.
const BUFFERED_BYTES: usize = 120_000;
/// Receive buffer of a slow peer.
const RECEIVE_BUF_BYTES: usize = 2304;
/// Receive buffer of a peer that reads at once.
const LARGE_BYTES: usize = 16 * 1024 * 1024;
const PIECE_BYTES: usize = 500;
const PIECE_PAUSE: Duration = Duration::from_millis(25);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for a stop on which nobody waits for an answer. A connection of a caller would stay open for 2 s.
const IDLE_STOP_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug)]
enum Step {
    EndOpen,
    EndLate,
}

/// A server whose thread ends once both steps of its stop have ended.
struct Server {
    address: SocketAddr,
    steps: UnboundedSender<Step>,
    thread: JoinHandle<()>,
}

impl Server {
    fn start() -> Self {
        let (tx, rx) = mpsc::channel();
        let (steps, mut steps_rx) = unbounded_channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                tx.send(listener.local_addr().unwrap()).unwrap();
                let stop = Rc::new(DeliveryStop::default());
                let served_stop = stop.clone();
                spawn_local(async move {
                    let budget = MemoryBudget::default();
                    let log = slog::Logger::root(slog::Discard, slog::o!());
                    let limits = CallerLimits::default;
                    serve_http_until_delivered(budget, listener, limits, log, &served_stop, answer).await;
                });
                while let Some(step) = steps_rx.recv().await {
                    match step {
                        Step::EndOpen => stop.end_open().await,
                        Step::EndLate => return stop.end_late().await,
                    }
                }
            });
        });
        Self {
            address: rx.recv().unwrap(),
            steps,
            thread,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    fn connect_slowly(&self) -> TcpStream {
        let stream = self.connect();
        set_socket_recv_buffer_size(&stream, RECEIVE_BUF_BYTES).unwrap();
        stream
    }

    fn stop(&self) {
        self.steps.send(Step::EndOpen).unwrap();
        self.steps.send(Step::EndLate).unwrap();
    }
}

/// Answers with as many bytes as the path says.
async fn answer(request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let bytes = request.unwrap().uri.path()[1..].parse().unwrap();
    plain_response(StatusCode::OK, &"x".repeat(bytes))
}

fn get(bytes: usize, extra_header: &str) -> Vec<u8> {
    format!("GET /{bytes} HTTP/1.1\r\nhost: a\r\n{extra_header}\r\n").into_bytes()
}

fn read_slowly(mut stream: &TcpStream, time: Duration) -> usize {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < time {
        count += stream.read(&mut [0; PIECE_BYTES]).unwrap();
        thread::sleep(PIECE_PAUSE);
    }
    count
}

/// Reads at once until the connection ends. A reset counts as its end. Returns the number of bytes.
fn read_rest(mut stream: &TcpStream) -> usize {
    set_socket_recv_buffer_size(stream, LARGE_BYTES).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes.len()
}

/// Guards against a second answer that is cut off or refused while a first one is delivered, and against the loss of
/// both.
#[test]
fn answers_delivered() {
    let server = Server::start();
    let open = server.connect_slowly();
    (&open).write_all(&get(BUFFERED_BYTES, "")).unwrap();
    let open_begun = read_slowly(&open, Duration::from_millis(300));
    server.stop();
    thread::sleep(Duration::from_millis(300));
    let late = server.connect_slowly();
    (&late).write_all(&get(BUFFERED_BYTES, "")).unwrap();
    let late_begun = read_slowly(&late, Duration::from_millis(300));
    // The next requests cross the close.
    (&open).write_all(&get(1, "")).unwrap();
    assert!(open_begun + read_rest(&open) > BUFFERED_BYTES);
    thread::sleep(Duration::from_millis(300));
    assert!(!server.thread.is_finished(), "the late answer is not awaited");
    (&late).write_all(&get(1, "")).unwrap();
    assert!(late_begun + read_rest(&late) > BUFFERED_BYTES);
    server.thread.join().unwrap();
    assert!(TcpStream::connect(server.address).is_err());
}

/// Guards against a stop that waits for peers without a request, or for one that has its last answer and keeps its side of
/// the connection open.
#[test]
fn answered_peers_left() {
    let server = Server::start();
    let _unused = server.connect();
    let mut idle = server.connect();
    idle.write_all(&get(1, "")).unwrap();
    assert!(idle.read(&mut [0; PIECE_BYTES]).unwrap() > 0);
    let answered = server.connect();
    (&answered).write_all(&get(1, "connection: close\r\n")).unwrap();
    assert!(read_rest(&answered) > 0);
    let stopped = Instant::now();
    server.stop();
    server.thread.join().unwrap();
    assert!(stopped.elapsed() < IDLE_STOP_TIMEOUT, "{:?}", stopped.elapsed());
}
