use {
    super::{
        frame_batch::{send_queued, FrameReceiver},
        handshake::{self, FrameStream},
        socket, LinkIdentity,
    },
    crate::{
        clock::Clock,
        event::{Event, RateLimit},
        log_event,
        wire::peer::{frame::Body, Frame, Pong},
    },
    futures_util::{stream::SplitSink, StreamExt},
    slog::Logger,
    std::{cell::RefCell, collections::HashMap, future::Future, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        task::{spawn_local, AbortHandle},
        time::sleep,
    },
};

/// Capacity of the queue of answers to one link. Handlers wait while it is full.
const QUEUE_CAPACITY: usize = 1024;
/// Pause after a failed accept, e.g. when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Calls of one link that are being served, by correlation id.
type Calls = Rc<RefCell<HashMap<u64, AbortHandle>>>;

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

/// Does the same until `stop` is true.
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
    tokio::select! {
        () = accept_links(listener, identity, log, handler) => {}
        Ok(_) = stop.wait_for(|stop| *stop) => {}
    }
}

async fn accept_links<H, F>(listener: TcpListener, identity: LinkIdentity, log: Logger, handler: H)
where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let refusal_log_limit = Rc::new(RefCell::new(RateLimit::default()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (identity, log, refusal_log_limit) =
                    (identity.clone(), log.clone(), refusal_log_limit.clone());
                spawn_local(serve_link(
                    stream,
                    identity,
                    log,
                    refusal_log_limit,
                    handler.clone(),
                ));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_link<H, F>(
    stream: TcpStream,
    identity: LinkIdentity,
    log: Logger,
    refusal_log_limit: Rc<RefCell<RateLimit>>,
    handler: H,
) where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let from = stream
        .peer_addr()
        .map_or_else(|e| e.to_string(), |a| a.to_string());
    // The link also works without these options, but then takes long to notice that its peer is lost.
    let _ = socket::configure(&stream);
    let stream = match handshake::accept(stream, &identity).await {
        Ok((stream, _)) => stream,
        Err(e) => {
            if let Some(suppressed) = refusal_log_limit.borrow_mut().pass(Clock::System.now()) {
                log_event!(
                    log, Event::PeerRefused;
                    "from" => from, "reason" => e.to_string(), "suppressed" => suppressed
                );
            }
            return;
        }
    };
    let (sink, mut source) = stream.split();
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    spawn_local(write_answers(sink, rx));
    let calls = Calls::default();
    while let Some(Ok(frame)) = source.next().await {
        let Some(body) = frame.body else {
            continue;
        };
        if let Body::CallCancel(cancel) = body {
            if let Some(call) = calls.borrow_mut().remove(&cancel.correlation) {
                call.abort();
            }
            continue;
        }
        if let Body::Ping(_) = body {
            // Answers that fill the queue show as well that the link works.
            let _ = tx.try_send(Box::new(Frame {
                correlation: 0,
                body: Some(Body::Pong(Pong {})),
            }));
            continue;
        }
        let correlation = frame.correlation;
        let is_call = matches!(body, Body::CallRequest(_));
        let answer = handler(body);
        let (tx, task_calls) = (tx.clone(), calls.clone());
        let task = spawn_local(async move {
            if let Some(body) = answer.await {
                let answer = Frame {
                    correlation,
                    body: Some(body),
                };
                let _ = tx.send(Box::new(answer)).await;
            }
            task_calls.borrow_mut().remove(&correlation);
        });
        if is_call {
            calls.borrow_mut().insert(correlation, task.abort_handle());
        }
    }
    // Nobody waits for the answers to the calls of a closed link.
    calls.borrow_mut().drain().for_each(|(_, call)| call.abort());
}

/// Writes answers until the link fails. Queued answers are flushed together.
async fn write_answers(mut sink: SplitSink<FrameStream, Frame>, mut rx: FrameReceiver) {
    while let Some(frame) = rx.recv().await {
        if send_queued(&mut sink, frame, &mut rx).await.is_err() {
            return;
        }
    }
}
