use {
    super::{
        caller_stream::CallerStream,
        connection_state::ConnectionState,
        http_server::{BodyError, HttpRequest, HttpResponse},
        linger::Linger,
        message_scanner::BodyLength,
        open_connections::RequestWait,
        stop_rule::StopRule,
    },
    crate::{
        clock::Clock,
        event::{Event, RateLimit},
        log_event,
        memory::{MemoryBudget, ReservationKind, ReservedBuf},
        settings::CallerLimits,
    },
    http::{header, HeaderValue, Request},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioTimer,
    slog::Logger,
    std::{
        cell::RefCell, convert::Infallible, error::Error, future::Future, io, net::SocketAddr, pin::Pin,
        rc::Rc,
    },
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Smallest limit of the head size that the HTTP library accepts.
const HEAD_BYTES_MIN: usize = 8192;

/// Logs connections that end before a request on them is completely answered.
#[derive(Debug)]
pub(super) struct ConnectionLog {
    log: Logger,
    /// Limits the lines, since callers may leave at any rate.
    limit: RefCell<RateLimit>,
    /// Limits the lines about requests that get no memory.
    memory_limit: RefCell<RateLimit>,
}

impl ConnectionLog {
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            limit: RefCell::default(),
            memory_limit: RefCell::default(),
        }
    }

    fn record_no_memory(&self, from: SocketAddr, held: usize) {
        if let Some(suppressed) = self.memory_limit.borrow_mut().pass(Clock::System.now()) {
            log_event!(
                self.log, Event::RequestOutOfMemory;
                "from" => from.to_string(), "held" => held, "suppressed" => suppressed
            );
        }
    }

    fn record_cut(&self, from: SocketAddr, state: &ConnectionState, error: &str) {
        if let Some(suppressed) = self.limit.borrow_mut().pass(Clock::System.now()) {
            log_event!(
                self.log, Event::AnswerCutOff;
                "from" => from.to_string(), "stage" => state.stage().word(), "stopping" => state.is_stopping(),
                "undelivered" => state.undelivered(), "error" => error, "suppressed" => suppressed
            );
        }
    }
}

/// Logs the connection when dropped, if a request on it is not completely answered.
struct CutGuard {
    log: Rc<ConnectionLog>,
    state: Rc<ConnectionState>,
    from: SocketAddr,
    error: String,
}

impl Drop for CutGuard {
    fn drop(&mut self) {
        if self.state.stage().owes_answer() {
            self.log.record_cut(self.from, &self.state, &self.error);
        }
    }
}

/// An accepted connection of a caller.
pub(super) struct Connection<L, H> {
    pub stream: TcpStream,
    /// Address of the caller.
    pub from: SocketAddr,
    /// Returns the limits that are in force.
    pub limits: L,
    pub stop: watch::Receiver<bool>,
    pub stop_rule: StopRule,
    pub log: Rc<ConnectionLog>,
    /// Budget from which the bodies of requests get their memory.
    pub budget: MemoryBudget,
    /// Ends the connection if another one needs its place.
    pub wait: Rc<RequestWait>,
    pub handler: H,
}

impl<L, H, F> Connection<L, H>
where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, BodyError>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    /// Serves the requests of the connection until it ends.
    pub async fn serve(self) {
        let Self {
            stream,
            from,
            limits,
            mut stop,
            stop_rule,
            log,
            budget,
            wait,
            handler,
        } = self;
        let _ = stream.set_nodelay(true);
        let initial_limits = limits();
        let state = Rc::new(ConnectionState::new(
            stop.clone(),
            stop_rule,
            budget.reservation(ReservationKind::Writing, Some(from.ip())),
            wait.clone(),
        ));
        let mut cut_guard = CutGuard {
            log: log.clone(),
            state: state.clone(),
            from,
            error: "the process ends".into(),
        };
        let stream = CallerStream::new(stream, state.clone(), initial_limits.head_timeout);
        let service_state = state.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (limits, handler, state) = (limits(), handler.clone(), service_state.clone());
            let (budget, log) = (budget.clone(), log.clone());
            state.record_head(body_length(&request));
            async move {
                let request = receive_request(request, from, &budget, limits).await;
                state.record_body();
                let is_out_of_memory = request.as_ref().err() == Some(&BodyError::NoMemory);
                if is_out_of_memory {
                    log.record_no_memory(from, budget.held());
                }
                let mut response = handler(request).await;
                state.writing().set_freed_bytes(response.body().len());
                if state.record_answer() || is_out_of_memory {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(Full::new))
            }
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(initial_limits.idle_timeout.as_duration())
            .max_buf_size(initial_limits.head_bytes.max(HEAD_BYTES_MIN))
            .serve_connection(stream, service);
        let stopped = async {
            let _ = stop.wait_for(|stop| *stop).await;
            sleep(stop_rule.grace()).await;
            state.wait_until_idle().await;
        };
        let mut pinned = Pin::new(&mut connection);
        let serving = async {
            tokio::select! {
            // A request that has arrived is read before the connection is shut down.
            biased;
            served = pinned.as_mut() => served,
            () = stopped => {
                pinned.as_mut().graceful_shutdown();
                pinned.await
            }
            }
        };
        let (end, error) = tokio::select! {
            // Before anything more is read: a request that is read runs, and its connection is not closed.
            biased;
            // The caller may not have received the answer to its last request.
            () = wait.closed() => (ConnectionEnd::Early, "another connection needs its place".into()),
            served = serving => (
                ConnectionEnd::of(&served),
                served.err().map_or_else(String::new, |e| e.to_string()),
            ),
            () = state.writing().refused() => {
                cut_guard.error = "it is not read while memory is short".into();
                return;
            }
        };
        wait.record_end();
        let linger = Linger {
            stream: connection.into_parts().io.into_inner(),
            state,
        };
        match end {
            ConnectionEnd::InOrder => linger.run().await,
            ConnectionEnd::Early => linger.run_if_undelivered().await,
            ConnectionEnd::Lost => {}
        }
        cut_guard.error = error;
    }
}

/// How the HTTP library ended a connection.
enum ConnectionEnd {
    /// Everything was written that had to be written.
    InOrder,
    /// The connection was idle for too long, or it ended before a whole request was received. An answer to an earlier request
    /// may be undelivered.
    Early,
    /// The caller took no bytes of its answer for long, or has reset the connection.
    Lost,
}

impl ConnectionEnd {
    fn of(served: &hyper::Result<()>) -> Self {
        match served {
            Ok(()) => Self::InOrder,
            // The library answers malformed requests itself.
            Err(e) if e.is_parse() => Self::InOrder,
            Err(e) if is_lost(e) => Self::Lost,
            Err(_) => Self::Early,
        }
    }
}

/// Returns whether the stream of the connection failed because its caller takes no bytes of its answer, or has reset the
/// connection. The socket reports a reset only once.
fn is_lost(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    source.is_some_and(|e| {
        matches!(
            e.kind(),
            CallerStream::STALL_ERROR | io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
        )
    })
}

fn body_length(request: &Request<Incoming>) -> BodyLength {
    let exact = request.body().size_hint().exact();
    exact.map_or(BodyLength::Chunked, BodyLength::Exact)
}

/// Receives the body of a request within the limits of size, time and memory.
async fn receive_request(
    request: Request<Incoming>,
    from: SocketAddr,
    budget: &MemoryBudget,
    limits: CallerLimits,
) -> Result<HttpRequest, BodyError> {
    let (parts, body) = request.into_parts();
    let length = body.size_hint().exact().and_then(|n| usize::try_from(n).ok());
    if budget.is_limited() && length.is_some_and(|n| n > limits.body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let reservation = budget.reservation(ReservationKind::Body, Some(from.ip()));
    let mut buf = ReservedBuf::new(reservation, length.map(|n| n.min(limits.body_bytes)));
    let received = receive_body(body, &mut buf, limits.body_bytes);
    match timeout(limits.body_timeout.as_duration(), received).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => return Err(e),
        Err(_) if buf.reservation().is_waiting() => return Err(BodyError::NoMemory),
        Err(_) => return Err(BodyError::Incomplete),
    }
    Ok(HttpRequest {
        from,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: buf.finish(),
    })
}

/// Receives a body of up to `body_bytes`. While the budget has no room, nothing is read from the connection.
async fn receive_body(mut body: Incoming, buf: &mut ReservedBuf, body_bytes: usize) -> Result<(), BodyError> {
    let mut left = body_bytes;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buf.reservation().refused() => return Err(BodyError::NoMemory),
        };
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        if let Ok(data) = frame.into_data() {
            left = left.checked_sub(data.len()).ok_or(BodyError::TooLarge)?;
            buf.push(&data).await.map_err(|_| BodyError::NoMemory)?;
        }
    }
}
