use {
    super::{
        frame_batch::{FrameReceiver, FrameSender},
        handshake::{FrameStream, FLUSH_BYTES},
        silence_detector::{LinkCheck, SilenceDetector},
        LinkError, ReadMeter,
    },
    crate::{
        clock::{Clock, Ms},
        wire::peer::{frame::Body, CallCancel, Frame, GoAway, Ping},
    },
    futures_util::{
        stream::{SplitSink, SplitStream},
        SinkExt, StreamExt,
    },
    prost::Message,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, Notify},
        time::{sleep, timeout},
    },
};

/// Capacity of the queue of frames to one link. Senders wait while it is full.
const QUEUE_CAPACITY: usize = 1024;
/// A link is closed after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a link without users is checked for calls that still wait for their answers.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that waits for its answer.
struct PendingRequest {
    tx: oneshot::Sender<Result<Body, RequestFailure>>,
    /// Whether the frame has left the queue, so that the peer may have received it.
    is_written: bool,
    /// Whether the request is a call, whose answer is worth waiting for until the link is closed.
    is_call: bool,
}

/// Why a request over one link has no answer.
#[derive(Debug)]
pub(super) enum RequestFailure {
    /// The link was lost.
    Failed(LinkError),
    /// The link was silent and has been replaced.
    Replaced { is_written: bool },
}

impl From<RequestFailure> for LinkError {
    fn from(failure: RequestFailure) -> Self {
        match failure {
            RequestFailure::Failed(error) => error,
            RequestFailure::Replaced { is_written: true } => Self::Lost("the link was silent".into()),
            RequestFailure::Replaced { is_written: false } => Self::NotSent("the link was silent".into()),
        }
    }
}

/// An open link, whose socket is served by [`LinkSocket::serve`]. Clones share the link.
#[derive(Clone)]
pub(super) struct OpenLink {
    tx: FrameSender,
    /// Queue of cancel messages and pings, which overtake the frames in the other queue.
    urgent_tx: FrameSender,
    state: Rc<LinkState>,
}

/// State of a link that its users share with the task that serves it.
struct LinkState {
    /// Requests that wait for their answers, by correlation id.
    pending: RefCell<HashMap<u64, PendingRequest>>,
    next_correlation: Cell<u64>,
    meter: ReadMeter,
    detector: RefCell<SilenceDetector>,
    written: Notify,
    /// Whether the peer takes no more requests.
    is_peer_leaving: Cell<bool>,
    /// Number of requests that the peer did not take since it was leaving.
    not_taken: Cell<usize>,
}

/// The part of a link that serves its socket.
pub(super) struct LinkSocket {
    stream: FrameStream,
    queue: LinkQueue,
    state: Rc<LinkState>,
}

impl OpenLink {
    /// Returns a link over `stream`, and its socket, which has to be served.
    pub fn new(stream: FrameStream) -> (Self, LinkSocket) {
        let (tx, frames) = mpsc::channel(QUEUE_CAPACITY);
        let (urgent_tx, urgent) = mpsc::channel(QUEUE_CAPACITY);
        let state = Rc::new(LinkState {
            pending: RefCell::default(),
            next_correlation: Cell::new(1),
            meter: stream.codec().meter(),
            detector: RefCell::default(),
            written: Notify::new(),
            is_peer_leaving: Cell::new(false),
            not_taken: Cell::new(0),
        });
        let socket = LinkSocket {
            stream,
            queue: LinkQueue { urgent, frames },
            state: state.clone(),
        };
        (Self { tx, urgent_tx, state }, socket)
    }

    /// Returns whether the link takes no more frames.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed() || self.state.is_peer_leaving.get()
    }

    /// Sends a request and waits for its answer. A request that is dropped while it is queued is not sent any more.
    ///
    /// # Errors
    /// Returns `NotSent` if the link was lost before the request was written or the peer has not taken it, `Lost` if the
    /// link was lost before the answer arrived, and `Replaced` if the link is no longer used.
    pub async fn request(&self, body: Body) -> Result<Body, RequestFailure> {
        if self.state.is_peer_leaving.get() {
            return Err(RequestFailure::Failed(peer_leaving()));
        }
        let correlation = self.state.next_correlation.get();
        self.state.next_correlation.set(correlation + 1);
        let (tx, rx) = oneshot::channel();
        let is_call = matches!(body, Body::CallRequest(_));
        let request = PendingRequest {
            tx,
            is_written: false,
            is_call,
        };
        self.state.pending.borrow_mut().insert(correlation, request);
        let _cleanup = RemoveOnDrop {
            state: self.state.clone(),
            correlation,
            cancel: is_call.then(|| self.urgent_tx.clone()),
        };
        let frame = Frame {
            correlation,
            body: Some(body),
        };
        if self.tx.send(Box::new(frame)).await.is_err() {
            return Err(RequestFailure::Failed(closed(false)));
        }
        rx.await
            .unwrap_or_else(|_| Err(RequestFailure::Failed(closed(true))))
    }

    /// Queues a message that has no answer. The message may still be lost after this returns.
    ///
    /// # Errors
    /// Returns `NotSent` if the link was closed or the peer takes no more messages.
    pub async fn send(&self, body: Body) -> Result<(), LinkError> {
        if self.state.is_peer_leaving.get() {
            return Err(peer_leaving());
        }
        let frame = Frame {
            correlation: 0,
            body: Some(body),
        };
        let sent = self.tx.send(Box::new(frame)).await;
        sent.map_err(|_| closed(false))
    }
}

/// Returns the error of a request whose link was closed after it was written if `is_written`, and before otherwise.
fn closed(is_written: bool) -> LinkError {
    let reason = "the link was closed".to_owned();
    match is_written {
        true => LinkError::Lost(reason),
        false => LinkError::NotSent(reason),
    }
}

/// Returns the error of a request that the peer has not taken since it is leaving.
fn peer_leaving() -> LinkError {
    LinkError::NotSent("the peer takes no more requests".to_owned())
}

/// What is known about a link at its end.
pub(super) struct LinkEnd {
    /// Time since bytes were last received.
    pub silence: Ms,
    /// Number of requests that were waiting for their answers.
    pub pending: usize,
    /// Whether the peer had stated that it takes no more requests.
    pub is_peer_leaving: bool,
    /// Number of requests that it did not take.
    pub not_taken: usize,
}

/// Handle to a link for the task that replaces it once it is silent.
#[derive(Clone)]
pub(super) struct LinkProbe {
    urgent_tx: mpsc::WeakSender<Box<Frame>>,
    state: Rc<LinkState>,
}

impl LinkProbe {
    /// Returns a handle that does not keep the link open.
    pub fn new(link: &OpenLink) -> Self {
        Self {
            urgent_tx: link.urgent_tx.downgrade(),
            state: link.state.clone(),
        }
    }

    /// Waits until the link counts as silent. Sends the pings.
    pub async fn wait_for_silence(&self) {
        loop {
            let now = Clock::System.now();
            let has_pending = self
                .state
                .pending
                .borrow()
                .values()
                .any(|request| request.is_written);
            let check = {
                let mut detector = self.state.detector.borrow_mut();
                detector.check(self.received_at(), has_pending, now)
            };
            match check {
                LinkCheck::Answered => self.state.written.notified().await,
                LinkCheck::Wait(until) => sleep((until - now).as_duration()).await,
                LinkCheck::Ping => self.ping(),
                LinkCheck::Silent => return,
            }
        }
    }

    fn ping(&self) {
        if let Some(tx) = self.urgent_tx.upgrade() {
            // While the queue is full, the frames in it take the place of the ping.
            let _ = tx.try_send(Box::new(Frame {
                correlation: 0,
                body: Some(Body::Ping(Ping {})),
            }));
        }
    }

    /// Returns when bytes were last received.
    pub fn received_at(&self) -> Ms {
        self.state.meter.received_at()
    }

    /// Records that the link was taken for silent and was only slow.
    pub fn record_slow(&self) {
        self.state.detector.borrow_mut().record_slow();
    }

    /// Ends the requests of a link that was replaced, except calls that the peer may have received.
    pub fn abandon_requests(&self) {
        self.state.end_requests(
            |_, request| !request.is_call || !request.is_written,
            |is_written| RequestFailure::Replaced { is_written },
        );
    }
}

impl LinkSocket {
    /// Serves the socket until the link fails, or has no users and no calls any more.
    pub async fn serve(self) -> LinkEnd {
        let (sink, source) = self.stream.split();
        let state = self.state;
        tokio::select! {
            () = state.write_frames(sink, self.queue) => {}
            () = state.read_answers(source) => {}
        }
        let end = LinkEnd {
            silence: Clock::System.now() - state.meter.received_at(),
            pending: state.pending.borrow().len(),
            is_peer_leaving: state.is_peer_leaving.get(),
            not_taken: state.not_taken.get(),
        };
        state.end_requests(
            |_, _| true,
            |is_written| RequestFailure::Failed(closed(is_written)),
        );
        end
    }
}

impl LinkState {
    /// Ends those pending requests that `is_ended` selects by correlation id and state, with a failure that depends on
    /// whether they are written. Returns their number.
    fn end_requests(
        &self,
        is_ended: impl Fn(u64, &PendingRequest) -> bool,
        failure: impl Fn(bool) -> RequestFailure,
    ) -> usize {
        let mut pending = self.pending.borrow_mut();
        let ended = pending
            .iter()
            .filter(|(correlation, request)| is_ended(**correlation, request));
        let ended: Vec<u64> = ended.map(|(correlation, _)| *correlation).collect();
        for request in ended.iter().filter_map(|correlation| pending.remove(correlation)) {
            let _ = request.tx.send(Err(failure(request.is_written)));
        }
        ended.len()
    }

    /// Sends no more requests, since the peer takes none. Those that it has not taken end as not run; answers to the others
    /// are still received.
    fn record_leaving_peer(&self, go_away: GoAway) {
        self.is_peer_leaving.set(true);
        let not_taken = self.end_requests(
            |correlation, request| !request.is_written || correlation > go_away.last_taken,
            |_| RequestFailure::Failed(peer_leaving()),
        );
        self.not_taken.set(self.not_taken.get() + not_taken);
    }

    /// Marks the request of a frame as written. Returns false if nobody waits for its answer any more, so that it must
    /// not be written: on a saturated link, the frame may have been queued for longer than its caller waited.
    fn mark_written(&self, frame: &Frame) -> bool {
        if frame.correlation != 0 {
            match self.pending.borrow_mut().get_mut(&frame.correlation) {
                Some(request) => request.is_written = true,
                None => return false,
            }
        }
        let received_at = self.meter.received_at();
        self.detector
            .borrow_mut()
            .record_write(received_at, Clock::System.now());
        self.written.notify_one();
        true
    }

    /// Writes frames until the link fails or has been idle for [`IDLE_TIMEOUT`]. Queued frames are flushed together.
    async fn write_frames(&self, mut sink: SplitSink<FrameStream, Frame>, mut queue: LinkQueue) {
        loop {
            let mut next = match timeout(IDLE_TIMEOUT, queue.next()).await {
                Ok(Some(frame)) => Some(frame),
                Ok(None) => return self.drain().await,
                Err(_) if self.pending.borrow().is_empty() => return,
                Err(_) => continue,
            };
            let mut unflushed_bytes = 0;
            while let Some(frame) = next {
                if self.mark_written(&frame) {
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

    /// Waits until no request waits for its answer any more.
    async fn drain(&self) {
        while !self.pending.borrow().is_empty() {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    async fn read_answers(&self, mut source: SplitStream<FrameStream>) {
        while let Some(Ok(frame)) = source.next().await {
            if let Some(Body::GoAway(go_away)) = frame.body {
                self.record_leaving_peer(go_away);
                continue;
            }
            let waiting = self.pending.borrow_mut().remove(&frame.correlation);
            if let (Some(request), Some(body)) = (waiting, frame.body) {
                let _ = request.tx.send(Ok(body));
            }
        }
    }
}

/// Removes a request from the pending ones once its sender stops waiting, and cancels it at the peer if it was written.
struct RemoveOnDrop {
    state: Rc<LinkState>,
    correlation: u64,
    /// Queue for the cancel message, if the peer can cancel this kind of request.
    cancel: Option<FrameSender>,
}

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        let request = self.state.pending.borrow_mut().remove(&self.correlation);
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
    urgent: FrameReceiver,
    frames: FrameReceiver,
}

impl LinkQueue {
    /// Waits for the next frame. Returns `None` once the link has no users.
    async fn next(&mut self) -> Option<Box<Frame>> {
        tokio::select! {
            biased;
            Some(urgent) = self.urgent.recv() => Some(urgent),
            frame = self.frames.recv() => frame,
        }
    }

    fn try_next(&mut self) -> Option<Box<Frame>> {
        let urgent = self.urgent.try_recv();
        urgent.or_else(|_| self.frames.try_recv()).ok()
    }
}
