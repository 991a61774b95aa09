use {
    super::{
        frame_batch::{send_queued, FrameReceiver, FrameSender},
        handshake::{self, FrameStream},
        served_requests::ServedRequests,
        socket, LinkIdentity, RequestIntake, TransitMeter,
    },
    crate::{
        clock::{Clock, Ms},
        event::{Event, RateLimit},
        log_event,
        wire::peer::{frame::Body, CallRequest, Frame, Pong},
    },
    futures_util::{stream::SplitSink, SinkExt, StreamExt},
    slog::Logger,
    std::{cell::RefCell, future::Future, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch, Notify},
        task::{spawn_local, JoinSet},
        time::{sleep, timeout},
    },
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
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let acceptor = Rc::new(LinkAcceptor {
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

/// What all accepted links share.
struct LinkAcceptor {
    identity: LinkIdentity,
    log: Logger,
    refusal_log_limit: RefCell<RateLimit>,
    stop: watch::Receiver<bool>,
}

impl LinkAcceptor {
    async fn serve_link<H, F>(self: Rc<Self>, stream: TcpStream, handler: H)
    where
        H: Fn(Body) -> F + Clone + 'static,
        F: Future<Output = Option<Body>> + 'static,
    {
        let from = stream
            .peer_addr()
            .map_or_else(|e| e.to_string(), |a| a.to_string());
        // The link also works without these options, but then takes long to notice that its peer is lost.
        let _ = socket::configure(&stream);
        match handshake::accept(stream, &self.identity).await {
            Ok((stream, _)) => serve_frames(stream, self.stop.clone(), handler).await,
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
async fn serve_frames<H, F>(stream: FrameStream, mut stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let (sink, mut source) = stream.split();
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let answers_complete = Rc::new(Notify::new());
    spawn_local(write_answers(sink, rx, answers_complete.clone()));
    let requests = Rc::new(ServedRequests::default());
    let mut intake = RequestIntake::default();
    let mut transit_meter = TransitMeter::default();
    let mut is_complete = false;
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
            received = source.next() => received,
        };
        let Some(Ok(frame)) = received else { break };
        match frame.body {
            Some(Body::CallCancel(cancel)) => requests.cancel(cancel.correlation),
            // Answers that fill the queue show as well that the link works.
            Some(Body::Ping(_)) => drop(tx.try_send(unsolicited(Body::Pong(Pong {})))),
            Some(Body::CallRequest(mut call)) if intake.take(frame.correlation) => {
                let hold = receive_call(&mut call, &mut transit_meter);
                let handler = handler.clone();
                let answer = async move {
                    if hold > Ms::ZERO {
                        sleep(hold.as_duration()).await;
                    }
                    handler(Body::CallRequest(call)).await
                };
                let answer = send_answer(tx.clone(), frame.correlation, answer);
                requests.spawn(frame.correlation, true, answer);
            }
            Some(body) if intake.take(frame.correlation) => {
                let answer = send_answer(tx.clone(), frame.correlation, handler(body));
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
async fn write_answers(
    mut sink: SplitSink<FrameStream, Frame>,
    mut rx: FrameReceiver,
    answers_complete: Rc<Notify>,
) {
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
