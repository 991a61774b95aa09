use {
    super::{
        frame_batch::{FrameReceiver, FrameSender},
        handshake::{self, FrameStream, FLUSH_BYTES},
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
        SinkExt, StreamExt,
    },
    prost::Message,
    slog::Logger,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot, Mutex},
        task::spawn_local,
        time::timeout,
    },
};

/// Capacity of the queue of frames to one link. Senders wait while it is full.
const QUEUE_CAPACITY: usize = 1024;
/// A link is closed after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that waits for its answer.
struct PendingRequest {
    tx: oneshot::Sender<Result<Body, LinkError>>,
    /// Whether the frame has left the queue, so that the peer may have received it.
    is_written: bool,
}

/// Requests of one link that are waiting for their answers, by correlation id.
type Pending = Rc<RefCell<HashMap<u64, PendingRequest>>>;

/// Handle to an open link, whose socket is served by a task.
#[derive(Clone)]
struct LinkHandle {
    tx: FrameSender,
    /// Queue of cancel messages, which overtake the frames in the other queue.
    cancel_tx: FrameSender,
    pending: Pending,
    next_correlation: Rc<RefCell<u64>>,
}

/// The links opened by this daemon, one per peer. They belong to one thread.
pub struct Links {
    identity: LinkIdentity,
    /// Timeout for connecting to a peer.
    connect_timeout: Duration,
    log: Logger,
    /// Limits the log lines about links that could not be opened, since each call tries again while a host is down.
    failure_log_limit: RefCell<RateLimit>,
    links: RefCell<HashMap<String, Rc<Mutex<Option<LinkHandle>>>>>,
}

impl Links {
    /// Returns an empty set of links. Connecting to a peer fails after `connect_timeout`.
    pub fn new(identity: LinkIdentity, connect_timeout: Duration, log: Logger) -> Self {
        Self {
            identity,
            connect_timeout,
            log,
            failure_log_limit: RefCell::default(),
            links: RefCell::default(),
        }
    }

    /// Sends a request to the peer at `address` and waits for its answer. The link is opened on demand. A request that
    /// is dropped while it is queued is not sent any more.
    ///
    /// # Errors
    /// Returns `NotSent` if no link could be opened or the link was lost before the request was written, and `Lost` if
    /// it was lost before the answer arrived.
    pub async fn request(&self, address: &str, body: Body) -> Result<Body, LinkError> {
        let link = self.get_or_open(address).await?;
        let correlation = {
            let mut next = link.next_correlation.borrow_mut();
            *next += 1;
            *next
        };
        let (tx, rx) = oneshot::channel();
        let request = PendingRequest {
            tx,
            is_written: false,
        };
        link.pending.borrow_mut().insert(correlation, request);
        let cancel = matches!(body, Body::CallRequest(_)).then(|| link.cancel_tx.clone());
        let _cleanup = RemoveOnDrop {
            pending: link.pending.clone(),
            correlation,
            cancel,
        };
        if link
            .tx
            .send(Box::new(Frame {
                correlation,
                body: Some(body),
            }))
            .await
            .is_err()
        {
            return Err(LinkError::NotSent("the link was closed".into()));
        }
        rx.await
            .unwrap_or_else(|_| Err(LinkError::Lost("the link was closed".into())))
    }

    /// Queues a message that has no answer. The message may still be lost after this returns.
    ///
    /// # Errors
    /// Returns `NotSent` if no link could be opened, or if the link was closed.
    pub async fn send(&self, address: &str, body: Body) -> Result<(), LinkError> {
        let link = self.get_or_open(address).await?;
        let frame = Frame {
            correlation: 0,
            body: Some(body),
        };
        let sent = link.tx.send(Box::new(frame)).await;
        sent.map_err(|_| LinkError::NotSent("the link was closed".into()))
    }

    async fn get_or_open(&self, address: &str) -> Result<LinkHandle, LinkError> {
        let slot = self
            .links
            .borrow_mut()
            .entry(address.to_owned())
            .or_default()
            .clone();
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.tx.is_closed()) {
            return Ok(link.clone());
        }
        let stream = self.open_link(address).await.map_err(|e| {
            let passed = self.failure_log_limit.borrow_mut().pass(Clock::System.now());
            if let Some(suppressed) = passed {
                log_event!(
                    self.log, Event::LinkFailed;
                    "peer" => address, "error" => e.to_string(), "suppressed" => suppressed
                );
            }
            LinkError::NotSent(e.to_string())
        })?;
        log_event!(self.log, Event::LinkOpened; "peer" => address);
        let link = self.spawn_link(address, stream);
        *slot = Some(link.clone());
        Ok(link)
    }

    async fn open_link(&self, address: &str) -> std::io::Result<FrameStream> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
        socket::configure(&stream)?;
        handshake::connect(stream, &self.identity).await
    }

    fn spawn_link(&self, address: &str, stream: FrameStream) -> LinkHandle {
        let (tx, frames) = mpsc::channel(QUEUE_CAPACITY);
        let (cancel_tx, cancels) = mpsc::channel(QUEUE_CAPACITY);
        let queue = LinkQueue { cancels, frames };
        let pending = Pending::default();
        let meter = stream.codec().meter();
        let (sink, source) = stream.split();
        let log = self.log.clone();
        let peer = address.to_owned();
        let task_pending = pending.clone();
        spawn_local(async move {
            tokio::select! {
                () = write_frames(sink, queue, &task_pending) => {}
                () = read_answers(source, &task_pending) => {}
            }
            let silence = Clock::System.now() - meter.received_at();
            log_event!(
                log, Event::LinkClosed;
                "peer" => peer, "silent_ms" => silence.0, "pending" => task_pending.borrow().len()
            );
            report_loss(&task_pending);
        });
        LinkHandle {
            tx,
            cancel_tx,
            pending,
            next_correlation: Rc::default(),
        }
    }
}

/// Reports the loss of a link to all requests that are still waiting. Those that were not written are known not to have
/// reached the peer.
fn report_loss(pending: &Pending) {
    for (_, request) in pending.borrow_mut().drain() {
        let reason = "the link was closed".to_owned();
        let error = match request.is_written {
            true => LinkError::Lost(reason),
            false => LinkError::NotSent(reason),
        };
        let _ = request.tx.send(Err(error));
    }
}

/// Removes a request from the pending ones once its sender stops waiting, and cancels it at the peer if it was written.
struct RemoveOnDrop {
    pending: Pending,
    correlation: u64,
    /// Queue for the cancel message, if the peer can cancel this kind of request.
    cancel: Option<FrameSender>,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        let request = self.pending.borrow_mut().remove(&self.correlation);
        let is_at_peer = request.is_some_and(|request| request.is_written);
        if let Some(tx) = self.cancel.as_ref().filter(|_| is_at_peer) {
            let cancel = CallCancel {
                correlation: self.correlation,
            };
            // The message is dropped if the queue is full. The deadline of the call then ends the work.
            let _ = tx.try_send(Box::new(Frame {
                correlation: 0,
                body: Some(Body::CallCancel(cancel)),
            }));
        }
    }
}

/// The frames that wait to be written to a link.
struct LinkQueue {
    cancels: FrameReceiver,
    frames: FrameReceiver,
}

impl LinkQueue {
    /// Waits for the next frame. Returns `None` once the link has no users.
    async fn next(&mut self) -> Option<Box<Frame>> {
        tokio::select! {
            biased;
            Some(cancel) = self.cancels.recv() => Some(cancel),
            frame = self.frames.recv() => frame,
        }
    }

    fn try_next(&mut self) -> Option<Box<Frame>> {
        let cancel = self.cancels.try_recv();
        cancel.or_else(|_| self.frames.try_recv()).ok()
    }
}

/// Marks the request of a frame as written. Returns false if nobody waits for its answer any more, so that it must not
/// be written: on a saturated link, the frame may have been queued for longer than its caller waited.
fn mark_written(frame: &Frame, pending: &Pending) -> bool {
    if frame.correlation == 0 {
        return true;
    }
    match pending.borrow_mut().get_mut(&frame.correlation) {
        Some(request) => {
            request.is_written = true;
            true
        }
        None => false,
    }
}

/// Writes frames until the link fails or has been idle for [`IDLE_TIMEOUT`]. Queued frames are flushed together.
async fn write_frames(mut sink: SplitSink<FrameStream, Frame>, mut queue: LinkQueue, pending: &Pending) {
    loop {
        let mut next = match timeout(IDLE_TIMEOUT, queue.next()).await {
            Ok(Some(frame)) => Some(frame),
            Ok(None) => return,
            Err(_) if pending.borrow().is_empty() => return,
            Err(_) => continue,
        };
        let mut unflushed_bytes = 0;
        while let Some(frame) = next {
            if mark_written(&frame, pending) {
                unflushed_bytes += frame.encoded_len();
                if sink.feed(*frame).await.is_err() {
                    return;
                }
            }
            // Frames stay in the queue until the socket takes those before them, since they may be withdrawn.
            if unflushed_bytes >= FLUSH_BYTES {
                unflushed_bytes = 0;
                if sink.flush().await.is_err() {
                    return;
                }
            }
            next = queue.try_next();
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

async fn read_answers(mut source: SplitStream<FrameStream>, pending: &Pending) {
    while let Some(Ok(frame)) = source.next().await {
        let waiting = pending.borrow_mut().remove(&frame.correlation);
        if let (Some(request), Some(body)) = (waiting, frame.body) {
            let _ = request.tx.send(Ok(body));
        }
    }
}
