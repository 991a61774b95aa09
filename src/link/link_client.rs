use {
    super::{
        frame_batch::send_waiting,
        handshake::{self, FrameStream},
        socket, LinkError, LinkIdentity,
    },
    crate::{
        clock::Clock,
        event::{Event, RateLimit},
        log_event,
        wire::peer::{frame::Body, CallCancel, Frame},
    },
    futures_util::{
        stream::{SplitSink, SplitStream},
        StreamExt,
    },
    slog::Logger,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot, Mutex},
        task::spawn_local,
        time::timeout,
    },
};

/// Frames that wait for the socket of a link before a sender has to wait.
const RING_FRAMES: usize = 1024;
/// A link without requests for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Requests of one link that wait for their answers, by correlation id.
type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<Body>>>>;

/// The near end of an open link.
#[derive(Clone)]
struct LinkHandle {
    tx: mpsc::Sender<Frame>,
    pending: Pending,
    next_correlation: Rc<RefCell<u64>>,
}

/// The links that this daemon opened, one for each peer. They belong to one thread.
pub struct Links {
    identity: LinkIdentity,
    /// Longest time to connect to a peer.
    connect_timeout: Duration,
    log: Logger,
    /// Bounds the lines about links that could not be opened: each call tries again while a host is down.
    failures: RefCell<RateLimit>,
    open: RefCell<HashMap<String, Rc<Mutex<Option<LinkHandle>>>>>,
}

impl Links {
    /// Returns an empty set of links. Each of them is given up if it takes longer than `connect_timeout` to connect.
    pub fn new(identity: LinkIdentity, connect_timeout: Duration, log: Logger) -> Self {
        Self {
            identity,
            connect_timeout,
            log,
            failures: RefCell::default(),
            open: RefCell::default(),
        }
    }

    /// Sends a request to the peer at `address` and waits for its answer. A link is opened on demand.
    ///
    /// # Errors
    /// No link could be opened (`NotSent`), or the link was lost before the answer came (`Lost`).
    pub async fn request(&self, address: &str, body: Body) -> Result<Body, LinkError> {
        let link = self.link(address).await?;
        let correlation = {
            let mut next = link.next_correlation.borrow_mut();
            *next += 1;
            *next
        };
        let (tx, rx) = oneshot::channel();
        link.pending.borrow_mut().insert(correlation, tx);
        let cancel = matches!(body, Body::CallRequest(_)).then(|| link.tx.clone());
        let _cleanup = RemoveOnDrop {
            pending: link.pending.clone(),
            correlation,
            cancel,
        };
        if link
            .tx
            .send(Frame {
                correlation,
                body: Some(body),
            })
            .await
            .is_err()
        {
            return Err(LinkError::NotSent("the link was closed".into()));
        }
        rx.await
            .map_err(|_| LinkError::Lost("the link was closed".into()))
    }

    /// Sends a message that has no answer. It may still be lost after that.
    ///
    /// # Errors
    /// No link could be opened, or it was closed (`NotSent`).
    pub async fn send(&self, address: &str, body: Body) -> Result<(), LinkError> {
        let link = self.link(address).await?;
        let frame = Frame {
            correlation: 0,
            body: Some(body),
        };
        let sent = link.tx.send(frame).await;
        sent.map_err(|_| LinkError::NotSent("the link was closed".into()))
    }

    async fn link(&self, address: &str) -> Result<LinkHandle, LinkError> {
        let slot = self
            .open
            .borrow_mut()
            .entry(address.to_owned())
            .or_default()
            .clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.tx.is_closed()) {
            return Ok(link.clone());
        }
        let stream = self.open(address).await.map_err(|e| {
            let passed = self.failures.borrow_mut().pass(Clock::System.now());
            if let Some(suppressed) = passed {
                log_event!(
                    self.log, Event::LinkFailed;
                    "peer" => address, "error" => e.to_string(), "suppressed" => suppressed
                );
            }
            LinkError::NotSent(e.to_string())
        })?;
        log_event!(self.log, Event::LinkOpened; "peer" => address);
        let link = self.start(address, stream);
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn open(&self, address: &str) -> std::io::Result<FrameStream> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
        socket::prepare(&stream)?;
        handshake::connect(stream, &self.identity).await
    }

    fn start(&self, address: &str, stream: FrameStream) -> LinkHandle {
        let (tx, rx) = mpsc::channel(RING_FRAMES);
        let pending = Pending::default();
        let (sink, source) = stream.split();
        let log = self.log.clone();
        let peer = address.to_owned();
        let answers = pending.clone();
        spawn_local(async move {
            tokio::select! {
                () = write_frames(sink, rx, &answers) => {}
                () = read_answers(source, &answers) => {}
            }
            // Dropping the senders tells everyone who still waits that the link is lost.
            answers.borrow_mut().clear();
            log_event!(log, Event::LinkClosed; "peer" => peer);
        });
        LinkHandle {
            tx,
            pending,
            next_correlation: Rc::default(),
        }
    }
}

/// Forgets a request whose sender stopped waiting.
struct RemoveOnDrop {
    pending: Pending,
    correlation: u64,
    /// Where the peer is told that nobody waits any more, if it can stop then.
    cancel: Option<mpsc::Sender<Frame>>,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        let waited = self.pending.borrow_mut().remove(&self.correlation).is_some();
        if let Some(tx) = self.cancel.as_ref().filter(|_| waited) {
            let cancel = CallCancel {
                correlation: self.correlation,
            };
            // A ring that is full drops it; the deadline of the call stops the work then.
            let _ = tx.try_send(Frame {
                correlation: 0,
                body: Some(Body::CallCancel(cancel)),
            });
        }
    }
}

/// Writes frames until the link fails or has been idle for long. Frames that wait are flushed together.
async fn write_frames(
    mut sink: SplitSink<FrameStream, Frame>,
    mut rx: mpsc::Receiver<Frame>,
    pending: &Pending,
) {
    loop {
        let frame = match timeout(IDLE_TIMEOUT, rx.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) if pending.borrow().is_empty() => return,
            Err(_) => continue,
        };
        if send_waiting(&mut sink, frame, &mut rx).await.is_err() {
            return;
        }
    }
}

async fn read_answers(mut source: SplitStream<FrameStream>, pending: &Pending) {
    while let Some(Ok(frame)) = source.next().await {
        let waiting = pending.borrow_mut().remove(&frame.correlation);
        if let (Some(tx), Some(body)) = (waiting, frame.body) {
            let _ = tx.send(body);
        }
    }
}
