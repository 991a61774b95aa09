//! The end of links when a process stops: answers that are due still arrive, and requests that the process has not taken
//! end as not run.

use {
    clementinefold::{
        call::Call,
        link::{serve_links_until, FrameCodec, KeyRing, LinkError, LinkIdentity, Links, RequestIntake},
        wire::peer::{frame::Body, CallAnswer, Frame},
    },
    futures_util::{stream::SplitSink, SinkExt, StreamExt},
    prost::Message,
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::{mpsc, Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        runtime::Builder,
        sync::watch,
        task::{spawn_local, JoinHandle, LocalSet},
        time::{sleep, timeout},
    },
    tokio_util::codec::Framed,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of an answer that does not fit into the buffers of a stalled connection.
const LARGE_ANSWER_BYTES: usize = 12 * 1024 * 1024;
/// Size of a request that does not fit into the buffers of a stalled connection.
const LARGE_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a slow call runs.
const SLOW_CALL_TIME: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

fn identity() -> LinkIdentity {
    LinkIdentity {
        cluster: "agency".into(),
        host: "host-1".into(),
        peer_address: "127.0.0.1:1".into(),
        keys: Rc::new(KeyRing::single(vec![7; 32])),
    }
}

fn no_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn call(id: &str) -> Body {
    Body::CallRequest(Call {
        request_id: id.into(),
        ..Call::default()
    })
}

/// A link server with a thread and a runtime of its own, so that all its connections are closed once it has ended, as at
/// the end of a process. It answers a call "large" with a large body, and a call "slow" late.
struct Process {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    /// Ids of the calls that it took.
    taken: Arc<Mutex<Vec<String>>>,
    thread: thread::JoinHandle<()>,
}

impl Process {
    fn start() -> Self {
        let (stop, stop_rx) = watch::channel(false);
        let (address_tx, address_rx) = mpsc::channel();
        let taken = Arc::new(Mutex::new(Vec::new()));
        let taken_calls = taken.clone();
        let handler = move |body| {
            let id = match body {
                Body::CallRequest(call) => call.request_id,
                _ => String::new(),
            };
            taken_calls.lock().unwrap().push(id.clone());
            async move {
                if id == "slow" {
                    sleep(SLOW_CALL_TIME).await;
                }
                let bytes = if id == "large" { LARGE_ANSWER_BYTES } else { 0 };
                Some(Body::CallAnswer(CallAnswer {
                    body: vec![0; bytes].into(),
                    ..CallAnswer::default()
                }))
            }
        };
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                address_tx.send(listener.local_addr().unwrap()).unwrap();
                serve_links_until(listener, identity(), no_log(), stop_rx, handler).await;
            });
        });
        Self {
            address: address_rx.recv().unwrap(),
            stop,
            taken,
            thread,
        }
    }

    /// Tells the process to stop, and returns once it accepts no links.
    async fn stop(&self) {
        self.stop.send(true).unwrap();
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn has_taken(&self, id: &str) -> bool {
        self.taken.lock().unwrap().iter().any(|taken| taken == id)
    }

    async fn wait_until_taken(&self, id: &str) {
        while !self.has_taken(id) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn wait_for_end(self) {
        while !self.thread.is_finished() {
            sleep(CHECK_INTERVAL).await;
        }
        self.thread.join().unwrap();
    }
}

/// The links of another daemon, over a connection that can be stalled in each direction.
struct Peer {
    links: Rc<Links>,
    address: String,
    to_process: watch::Sender<bool>,
    from_process: watch::Sender<bool>,
}

impl Peer {
    async fn connect(process: &Process) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (to_process, to_rx) = watch::channel(true);
        let (from_process, from_rx) = watch::channel(true);
        let process_address = process.address;
        spawn_local(async move {
            // Later links fail.
            let (near, _) = listener.accept().await.unwrap();
            drop(listener);
            let far = TcpStream::connect(process_address).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            spawn_local(pump(near_read, far_write, to_rx));
            spawn_local(pump(far_read, near_write, from_rx));
        });
        let links = Rc::new(Links::new(identity(), CONNECT_TIMEOUT, no_log()));
        links.request(&address, call("first")).await.unwrap();
        Self {
            links,
            address,
            to_process,
            from_process,
        }
    }

    /// Sends a call from a task of its own.
    fn send(&self, id: &str) -> JoinHandle<Result<Body, LinkError>> {
        self.send_body(call(id))
    }

    fn send_body(&self, body: Body) -> JoinHandle<Result<Body, LinkError>> {
        let (links, address) = (self.links.clone(), self.address.clone());
        spawn_local(async move { links.request(&address, body).await })
    }
}

/// Copies bytes, and then the end of the connection, while `is_open` is true.
async fn pump(from: OwnedReadHalf, mut to: OwnedWriteHalf, mut is_open: watch::Receiver<bool>) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        if is_open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let _ = from.readable().await;
        // The connection may have been stalled while it waited for bytes.
        if !*is_open.borrow() {
            continue;
        }
        match from.try_read(&mut buf) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Ok(n) if n > 0 && to.write_all(&buf[..n]).await.is_ok() => {}
            Ok(_) | Err(_) => return,
        }
    }
}

/// Passes the frames of one link on to the process. Those that it sends pass through `edit`. Returns the address of the
/// relay.
async fn relay_frames(process: &Process, edit: fn(Frame) -> Vec<Frame>) -> String {
    type Stream = Framed<TcpStream, FrameCodec>;
    async fn pass(
        mut from: futures_util::stream::SplitStream<Stream>,
        mut to: SplitSink<Stream, Frame>,
        edit: fn(Frame) -> Vec<Frame>,
    ) {
        while let Some(Ok(frame)) = from.next().await {
            for frame in edit(frame) {
                let _ = to.send(frame).await;
            }
        }
        let _ = to.close().await;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let process_address = process.address;
    spawn_local(async move {
        let (near, _) = listener.accept().await.unwrap();
        drop(listener);
        let far = TcpStream::connect(process_address).await.unwrap();
        let (near_tx, near_rx) = Framed::new(near, FrameCodec::for_hello()).split();
        let (far_tx, far_rx) = Framed::new(far, FrameCodec::for_hello()).split();
        spawn_local(pass(near_rx, far_tx, |frame| vec![frame]));
        spawn_local(pass(far_rx, near_tx, edit));
    });
    address
}

fn run_test<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(WAIT_TIMEOUT, test).await.unwrap() });
}

fn body_bytes(answer: Result<Body, LinkError>) -> usize {
    match answer {
        Ok(Body::CallAnswer(answer)) => answer.body.len(),
        other => panic!("{other:?}"),
    }
}

/// Guards against the loss of an answer that its peer had not read when the process ended.
#[test]
fn queued_answer_arrives() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        peer.from_process.send(false).unwrap();
        let large = peer.send("large");
        process.wait_until_taken("large").await;
        process.stop().await;
        peer.from_process.send(true).unwrap();
        assert_eq!(body_bytes(large.await.unwrap()), LARGE_ANSWER_BYTES);
        process.wait_for_end().await;
    });
}

/// Guards against the reset of a connection on which calls arrive that the process does not read any more.
#[test]
fn answer_before_calls() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        peer.from_process.send(false).unwrap();
        let large = peer.send("large");
        process.wait_until_taken("large").await;
        process.stop().await;
        let late: Vec<_> = (0..10).map(|n| peer.send(&format!("late-{n}"))).collect();
        sleep(Duration::from_millis(50)).await;
        peer.from_process.send(true).unwrap();
        assert_eq!(body_bytes(large.await.unwrap()), LARGE_ANSWER_BYTES);
        for late in late {
            let late = late.await.unwrap();
            assert!(matches!(late, Err(LinkError::NotSent(_))), "{late:?}");
        }
        assert!(!process.has_taken("late-0"));
        process.wait_for_end().await;
    });
}

/// Guards against the loss of the answer to a call that runs when the links end.
#[test]
fn running_call_answered() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        let slow = peer.send("slow");
        process.wait_until_taken("slow").await;
        process.stop().await;
        assert_eq!(body_bytes(slow.await.unwrap()), 0);
        process.wait_for_end().await;
    });
}

/// Guards against a call that was sent, but not read by the process before its end, being reported as one that may have
/// run.
#[test]
fn unread_call_not_run() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        peer.to_process.send(false).unwrap();
        let unread = peer.send("unread");
        sleep(Duration::from_millis(50)).await;
        process.stop().await;
        let unread = unread.await.unwrap();
        assert!(matches!(unread, Err(LinkError::NotSent(_))), "{unread:?}");
        peer.to_process.send(true).unwrap();
        while !process.thread.is_finished() {
            sleep(CHECK_INTERVAL).await;
        }
        assert!(!process.has_taken("unread"));
        process.wait_for_end().await;
    });
}

/// Guards against the same for a call of which a part was sent, and for one that is queued behind it.
#[test]
fn partial_call_not_run() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        peer.to_process.send(false).unwrap();
        let partial = peer.send_body(Body::CallRequest(Call {
            request_id: "partial".into(),
            body: vec![0; LARGE_REQUEST_BYTES].into(),
            ..Call::default()
        }));
        let queued = peer.send("queued");
        sleep(Duration::from_millis(50)).await;
        process.stop().await;
        for call in [partial, queued] {
            let call = call.await.unwrap();
            assert!(matches!(call, Err(LinkError::NotSent(_))), "{call:?}");
        }
        peer.to_process.send(true).unwrap();
        while !process.thread.is_finished() {
            sleep(CHECK_INTERVAL).await;
        }
        assert!(!process.has_taken("partial") && !process.has_taken("queued"));
        process.wait_for_end().await;
    });
}

/// Guards against a stop that waits forever for a peer that does not close its link.
#[test]
fn stalled_peer_left() {
    run_test(async {
        let process = Process::start();
        let peer = Peer::connect(&process).await;
        peer.to_process.send(false).unwrap();
        peer.from_process.send(false).unwrap();
        process.stop().await;
        process.wait_for_end().await;
    });
}

/// Guards against a stop that loses answers of a peer of an older version, which does not know the message that ends a
/// link and goes on sending calls.
#[test]
fn older_peer_answered() {
    run_test(async {
        let process = Process::start();
        let without_go_away = |frame: Frame| match frame.body {
            Some(Body::GoAway(_)) => Vec::new(),
            _ => vec![frame],
        };
        let address = relay_frames(&process, without_go_away).await;
        let links = Rc::new(Links::new(identity(), CONNECT_TIMEOUT, no_log()));
        let send = |id: &str| {
            let (links, address, body) = (links.clone(), address.clone(), call(id));
            spawn_local(async move { links.request(&address, body).await })
        };
        let slow = send("slow");
        process.wait_until_taken("slow").await;
        process.stop().await;
        let late = send("late");
        assert_eq!(body_bytes(slow.await.unwrap()), 0);
        let late = late.await.unwrap();
        assert!(matches!(late, Err(LinkError::Lost(_))), "{late:?}");
        assert!(!process.has_taken("late"));
        process.wait_for_end().await;
    });
}

/// Guards against a link that fails on a message of a newer version, e.g. the one that ends a link.
#[test]
fn unknown_message_ignored() {
    // Field 99 with a message of one byte.
    let unknown = Frame::decode(&[0x9a, 0x06, 0x01, 0x00][..]).unwrap();
    assert_eq!(unknown, Frame::default());
    run_test(async {
        let process = Process::start();
        let after_unknown = |frame: Frame| match frame.body {
            Some(Body::CallAnswer(_)) => vec![Frame::default(), frame],
            _ => vec![frame],
        };
        let address = relay_frames(&process, after_unknown).await;
        let links = Links::new(identity(), CONNECT_TIMEOUT, no_log());
        for id in ["first", "second"] {
            assert_eq!(body_bytes(links.request(&address, call(id)).await), 0);
        }
    });
}

/// Guards against a request being reported as not run that was handed to its handler.
#[test]
fn taken_requests() {
    let cases: [(&str, &[u64], u64); 4] = [
        ("none", &[], 0),
        ("messages without answers", &[0, 0], 0),
        ("in order", &[1, 2, 0, 3], 3),
        ("out of order", &[2, 5, 3], 5),
    ];
    for (name, taken, expected) in cases {
        let mut intake = RequestIntake::default();
        assert!(taken.iter().all(|id| intake.take(*id)), "{name}");
        assert_eq!(intake.close().last_taken, expected, "{name}");
        for id in [0, 1, 9] {
            assert!(!intake.take(id), "{name}: {id} taken after the end");
        }
        assert_eq!(intake.close().last_taken, expected, "{name}: closed again");
    }
}
