use {
    super::{
        frame_batch::{send_queued, AnswerSink, FrameReceiver, FrameSender},
        handshake::{self, FrameStream, BUFFER_BYTES, FLUSH_BYTES},
        large_call::{CallCheck, LargeCall},
        served_requests::ServedRequests,
        socket, FrameCodec, LinkIdentity, Received, RequestCodec, RequestIntake, TransitMeter,
    },
    crate::{
        clock::{Clock, Ms},
        event::{Event, RateLimit},
        log_event,
        memory::{MemoryBudget, Refused},
        wire::peer::{frame::Body, CallRequest, Frame, Pong},
    },
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    slog::Logger,
    std::{cell::RefCell, future::Future, io::Cursor, mem::take, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, Chain},
        net::{tcp::OwnedReadHalf, TcpListener, TcpStream},
        sync::{mpsc, watch, Notify},
        task::{spawn_local, JoinSet},
        time::{sleep, timeout},
    },
    tokio_util::codec::{FramedRead, FramedWrite},
};

/// Capacity of the queue of answers to one link. Handlers wait while it is full.
const QUEUE_CAPACITY: usize = 1024;
/// Pause after a failed accept, e.g. when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time after a stop for the last answers, and for the peers to close their links. They close them at once
/// unless they are slow, or were lost within the last seconds.
const LINKS_END_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts links from other daemons and answers their requests with `handler`. If the handler returns `None`, no
/// answer is sent.
pub async fn serve_links<H, F>(listener: TcpListener, identity: LinkIdentity, log: Logger, handler: H)
where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let (_never_tx, never_stop) = watch::channel(false);
    serve_links_until(listener, identity, log, never_stop, handler).await;
}

/// Serves links as [`serve_links`] does until `stop` is true, and then ends them. Peers are told which requests have not
/// been run, and get the answers to the others. Returns once all peers have closed their links, or after 2 s.
pub async fn serve_links_until<H, F>(
    listener: TcpListener,
    identity: LinkIdentity,
    log: Logger,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let handler = move |request: Result<Body, Refused>| {
        let answer = request.ok().map(&handler);
        async move { answer?.await }
    };
    serve_links_within(MemoryBudget::default(), listener, identity, log, stop, handler).await;
}

/// Serves links as [`serve_links_until`] does, and accounts for the bodies of calls. A call whose body has no room in
/// `budget` reaches `handler` as an error: one over 64 KiB is then discarded as it arrives.
pub async fn serve_links_within<H, F>(
    budget: MemoryBudget,
    listener: TcpListener,
    identity: LinkIdentity,
    log: Logger,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Result<Body, Refused>) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let acceptor = Rc::new(LinkAcceptor {
        budget,
        identity,
        log,
        refusal_log_limit: RefCell::default(),
        stop: stop.clone(),
    });
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    links.spawn_local(acceptor.clone().serve_link(stream, handler.clone()));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = links.join_next() => {}
            Ok(_) = stop.wait_for(|stop| *stop) => break,
        }
    }
    drop(listener);
    let all_ended = async { while links.join_next().await.is_some() {} };
    if timeout(LINKS_END_TIMEOUT, all_ended).await.is_err() {
        log_event!(acceptor.log, Event::LinksCut; "open" => links.len());
    }
}

/// The reading half of an accepted link, behind the bytes that were received with the hello.
type RequestSource = FramedRead<Chain<Cursor<Bytes>, OwnedReadHalf>, RequestCodec>;

/// What all accepted links share.
struct LinkAcceptor {
    budget: MemoryBudget,
    identity: LinkIdentity,
    log: Logger,
    refusal_log_limit: RefCell<RateLimit>,
    stop: watch::Receiver<bool>,
}

impl LinkAcceptor {
    async fn serve_link<H, F>(self: Rc<Self>, stream: TcpStream, handler: H)
    where
        H: Fn(Result<Body, Refused>) -> F + Clone + 'static,
        F: Future<Output = Option<Body>> + 'static,
    {
        let from = stream
            .peer_addr()
            .map_or_else(|e| e.to_string(), |a| a.to_string());
        // The link also works without these options, but then takes long to notice that its peer is lost.
        let _ = socket::configure(&stream);
        match handshake::accept(stream, &self.identity).await {
            Ok((stream, _)) => {
                let budget = self.budget.clone();
                serve_frames(stream, budget, self.stop.clone(), handler).await;
            }
            Err(e) => {
                let passed = self.refusal_log_limit.borrow_mut().pass(Clock::System.now());
                if let Some(suppressed) = passed {
                    log_event!(
                        self.log, Event::PeerRefused;
                        "from" => from, "reason" => e.to_string(), "suppressed" => suppressed
                    );
                }
            }
        }
    }
}

/// Serves a link after the hello until its peer closes it. Once `stop` is true, no more requests are taken, and the
/// connection is shut down for writing behind the last answer. It is still read then: closing a socket with unread bytes
/// resets the connection, and the peer loses the answers that it has not received yet.
async fn serve_frames<H, F>(
    stream: FrameStream,
    budget: MemoryBudget,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Result<Body, Refused>) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let (sink, mut source) = split(stream);
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let answers_complete = Rc::new(Notify::new());
    spawn_local(write_answers(sink, rx, answers_complete.clone()));
    let requests = Rc::new(ServedRequests::default());
    let mut intake = RequestIntake::default();
    let mut transit_meter = TransitMeter::default();
    let mut is_complete = false;
    let mut large_call: Option<LargeCall> = None;
    loop {
        let received = tokio::select! {
            biased;
            Ok(_) = stop.wait_for(|stop| *stop), if !intake.is_closed() => {
                let go_away = Body::GoAway(intake.close());
                let _ = tx.send(unsolicited(go_away)).await;
                continue;
            }
            () = requests.wait_until_none(), if intake.is_closed() && !is_complete => {
                is_complete = true;
                answers_complete.notify_one();
                continue;
            }
            check = LargeCall::check(large_call.as_ref()), if large_call.is_some() => {
                match check {
                    CallCheck::Progress => {
                        large_call.iter_mut().for_each(|c| c.record_received(source.read_buffer().len()));
                    }
                    CallCheck::Refused => {
                        large_call = None;
                        discard_call(&mut source);
                    }
                }
                continue;
            }
            received = source.next() => received,
        };
        let Some(Ok(received)) = received else { break };
        let frame = match received {
            Received::LargeCall { bytes } => {
                let reserved = budget.try_reserve(bytes);
                large_call = reserved.ok().filter(|_| !intake.is_closed()).map(LargeCall::new);
                if large_call.is_none() {
                    discard_call(&mut source);
                }
                continue;
            }
            Received::Discarded { correlation } => {
                if intake.take(correlation) {
                    let answer = send_answer(tx.clone(), correlation, handler(Err(Refused)));
                    requests.spawn(correlation, true, answer);
                }
                continue;
            }
            Received::Frame(frame) => frame,
        };
        let large_call = large_call.take();
        match frame.body {
            Some(Body::CallCancel(cancel)) => requests.cancel(cancel.correlation),
            // Answers that fill the queue show as well that the link works.
            Some(Body::Ping(_)) => drop(tx.try_send(unsolicited(Body::Pong(Pong {})))),
            Some(Body::CallRequest(mut call)) if intake.take(frame.correlation) => {
                let hold = receive_call(&mut call, &mut transit_meter);
                let request = account_for(call, large_call, &budget);
                let handler = handler.clone();
                let answer = async move {
                    if hold > Ms::ZERO {
                        sleep(hold.as_duration()).await;
                    }
                    handler(request).await
                };
                let answer = send_answer(tx.clone(), frame.correlation, answer);
                requests.spawn(frame.correlation, true, answer);
            }
            Some(body) if intake.take(frame.correlation) => {
                let answer = send_answer(tx.clone(), frame.correlation, handler(Ok(body)));
                requests.spawn(frame.correlation, false, answer);
            }
            Some(_) | None => {}
        }
    }
    // Nobody waits for the answers to the calls of a closed link.
    requests.cancel_all();
}

/// Takes the time for which a call was delayed on its way, and is held back, off its time limits. Returns the time for which
/// it has to be held back.
fn receive_call(call: &mut CallRequest, meter: &mut TransitMeter) -> Ms {
    if call.sent_at_ms == 0 {
        return Ms::ZERO;
    }
    let transit = meter.record(Ms(call.sent_at_ms), Clock::System.now());
    let passed = u32::try_from((transit.delay + transit.hold).0).unwrap_or(u32::MAX);
    call.deadline_ms = call.deadline_ms.saturating_sub(passed);
    if let Some(route) = &mut call.route {
        route.objective_ms = route.objective_ms.saturating_sub(passed);
    }
    transit.hold
}

/// Returns the halves of a link after the hello. The read buffer can be replaced, which that of a split stream cannot.
fn split(stream: FrameStream) -> (AnswerSink, RequestSource) {
    let parts = stream.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut sink = FramedWrite::with_capacity(writer, FrameCodec::after_hello(), BUFFER_BYTES);
    sink.set_backpressure_boundary(FLUSH_BYTES);
    // The peer may have sent frames right behind the hello.
    let reader = Cursor::new(parts.read_buf.freeze()).chain(reader);
    let codec = RequestCodec::new(parts.codec);
    (sink, FramedRead::with_capacity(reader, codec, BUFFER_BYTES))
}

/// Discards the large call that is announced or partly received.
fn discard_call(source: &mut RequestSource) {
    let mut buf = take(source.read_buffer_mut());
    source.decoder_mut().discard(&mut buf);
    *source.read_buffer_mut() = buf;
}

/// Accounts for the body of a call.
fn account_for(
    mut call: CallRequest,
    large: Option<LargeCall>,
    budget: &MemoryBudget,
) -> Result<Body, Refused> {
    let bytes = take(&mut call.body);
    call.body = match large {
        Some(large) => {
            // What outlives the body must not keep the frame, whose reservation ends with the body.
            call.key = Bytes::copy_from_slice(&call.key);
            for header in &mut call.headers {
                header.value = Bytes::copy_from_slice(&header.value);
            }
            large.keep(bytes)
        }
        None => budget.try_keep(bytes)?,
    };
    Ok(Body::CallRequest(call))
}

/// Returns a frame that is not an answer and has none.
fn unsolicited(body: Body) -> Box<Frame> {
    Box::new(Frame {
        correlation: 0,
        body: Some(body),
    })
}

async fn send_answer(tx: FrameSender, correlation: u64, answer: impl Future<Output = Option<Body>>) {
    if let Some(body) = answer.await {
        let answer = Frame {
            correlation,
            body: Some(body),
        };
        let _ = tx.send(Box::new(answer)).await;
    }
}

/// Writes answers until the link fails, or until all have been written after `answers_complete`. Queued answers are
/// flushed together.
async fn write_answers(mut sink: AnswerSink, mut rx: FrameReceiver, answers_complete: Rc<Notify>) {
    loop {
        let next = tokio::select! {
            biased;
            frame = rx.recv() => frame,
            () = answers_complete.notified() => {
                rx.close();
                continue;
            }
        };
        let Some(frame) = next else { break };
        if send_queued(&mut sink, frame, &mut rx).await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
