use {
    super::{
        connection::{Connection, ConnectionLog},
        delivery_stop::DeliveryStop,
        open_connections::{OpenConnections, RequestWait},
        receive_queue::limit_unread,
        send_queue::limit_unsent,
        stop_rule::StopRule,
    },
    crate::{
        call::{CallResult, Reason},
        clock::{Clock, Ms},
        event::Event,
        log_event,
        memory::MemoryBudget,
        settings::CallerLimits,
    },
    bytes::Bytes,
    http::{header, HeaderMap, HeaderValue, Method, Response, StatusCode, Uri},
    serde::Serialize,
    slog::Logger,
    std::{cell::Cell, future::Future, net::SocketAddr, os::fd::AsFd, pin::pin, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{watch, Notify},
        task::spawn_local,
        time::sleep,
    },
};

/// Pause after a failed accept, e.g. when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Part of the limit of connections that may be open beyond it: connections that have been closed in favour of others, whose
/// callers have not received their last answers yet.
const ENDING_FRACTION: usize = 8;
/// Smallest number of them.
const ENDING_MIN: usize = 16;

/// Time after which a caller may repeat a request for which the daemon had no memory. It is longer than the time after
/// which stalled bodies are refused.
const NO_MEMORY_RETRY_AFTER: Ms = Ms(2000);

/// A request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Method of the request line.
    pub method: Method,
    /// Target of the request line.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A request whose body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body was cut off, or not sent in time.
    Incomplete,
    /// The process has no memory for the body now.
    NoMemory,
}

impl BodyError {
    /// Returns the result of a call whose body could not be received. The call has not been run.
    pub fn call_result(self) -> CallResult {
        match self {
            Self::TooLarge => CallResult::failed(Reason::TooLarge),
            Self::Incomplete => CallResult::failed(Reason::IncompleteRequest),
            Self::NoMemory => CallResult {
                retry_after: NO_MEMORY_RETRY_AFTER,
                ..CallResult::failed(Reason::NoMemory)
            },
        }
    }
}

/// A response with its whole body.
pub type HttpResponse = Response<Bytes>;

/// Serves HTTP/1.1 until `stop` turns true, then for a grace period with responses that close their connections.
/// Returns once all connections have ended. Each connection has its own task, so that an idle connection never delays another
/// one. At the limit of connections, one that waits for a request is closed in favour of a new one; if there is none, the new
/// one is refused.
///
/// `limits` is called for each connection and again for the body of each request, as the limits may change
/// meanwhile.
pub async fn serve_http<L, H, F>(
    listener: TcpListener,
    limits: L,
    log: Logger,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, BodyError>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    serve_http_within(MemoryBudget::default(), listener, limits, log, stop, handler).await;
}

/// Serves HTTP/1.1 as [`serve_http`] does, with a budget from which the bodies of requests get their memory, and which
/// closes connections whose responses are not read.
pub async fn serve_http_within<L, H, F>(
    budget: MemoryBudget,
    listener: TcpListener,
    limits: L,
    log: Logger,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, BodyError>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let server = HttpServer::new(budget, limits, log, handler);
    let accepted_until = async {
        let _ = stop.clone().wait_for(|stop| *stop).await;
        sleep(StopRule::AfterGrace.grace()).await;
    };
    let serve = |stream, from| server.serve(stream, from, &stop, StopRule::AfterGrace);
    accept_until(&listener, accepted_until, serve).await;
    server.close(listener, serve);
    server.wait_until_ended().await;
}

/// Serves HTTP/1.1 until `stop` ends the listener. Each connection ends as soon as its peer has received the answers to the requests
/// that had arrived.
pub async fn serve_http_until_delivered<L, H, F>(
    budget: MemoryBudget,
    listener: TcpListener,
    limits: L,
    log: Logger,
    stop: &DeliveryStop,
    handler: H,
) where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, BodyError>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let [open_stop, late_stop] = stop.subscribe();
    let server = HttpServer::new(budget, limits, log, handler);
    // Each stop waits until its receivers are gone.
    for stop in [open_stop, late_stop.clone()] {
        let stopped = async {
            let _ = stop.clone().wait_for(|stop| *stop).await;
        };
        let serve = |stream, from| server.serve(stream, from, &stop, StopRule::OnceDelivered);
        accept_until(&listener, stopped, serve).await;
    }
    server.close(listener, |stream, from| {
        server.serve(stream, from, &late_stop, StopRule::OnceDelivered);
    });
}

/// Accepts connections until `stopped` is ready.
async fn accept_until(
    listener: &TcpListener,
    stopped: impl Future<Output = ()>,
    serve: impl Fn(TcpStream, SocketAddr),
) {
    // Without support of the system, the connections can be served all the same.
    let _ = limit_unread(listener.as_fd());
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            biased;
            () = stopped.as_mut() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => serve(stream, from),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves the connections of one listener, each in its own task.
struct HttpServer<L, H> {
    budget: MemoryBudget,
    limits: L,
    log: Logger,
    connection_log: Rc<ConnectionLog>,
    open_connections: Rc<Cell<usize>>,
    waits: Rc<OpenConnections>,
    all_ended: Rc<Notify>,
    handler: H,
}

impl<L, H, F> HttpServer<L, H>
where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, BodyError>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    fn new(budget: MemoryBudget, limits: L, log: Logger, handler: H) -> Self {
        Self {
            budget,
            limits,
            connection_log: Rc::new(ConnectionLog::new(log.clone())),
            log,
            open_connections: Rc::default(),
            waits: Rc::default(),
            all_ended: Rc::default(),
            handler,
        }
    }

    /// Returns whether one more connection can be served beside `open` others. Closes a waiting one for it if need be.
    fn has_room(&self, open: usize) -> bool {
        let limit = (self.limits)().connections;
        let ending_max = ENDING_MIN.max(limit / ENDING_FRACTION);
        self.waits.count() < limit || open < limit + ending_max && self.waits.make_room(Clock::System.now())
    }

    /// Starts to serve a connection, unless too many are open.
    fn serve(&self, stream: TcpStream, from: SocketAddr, stop: &watch::Receiver<bool>, stop_rule: StopRule) {
        let open = self.open_connections.get();
        if !self.has_room(open) {
            log_event!(self.log, Event::ConnectionRefused; "from" => from.to_string(), "open" => open);
            return;
        }
        limit_unsent(&stream);
        self.open_connections.set(open + 1);
        let (open_connections, all_ended) = (self.open_connections.clone(), self.all_ended.clone());
        let wait = Rc::new(RequestWait::default());
        let (waits, id) = (self.waits.clone(), self.waits.add(wait.clone()));
        let connection = Connection {
            stream,
            from,
            limits: self.limits.clone(),
            stop: stop.clone(),
            stop_rule,
            log: self.connection_log.clone(),
            budget: self.budget.clone(),
            wait,
            handler: self.handler.clone(),
        };
        spawn_local(async move {
            connection.serve().await;
            waits.remove(id);
            open_connections.set(open_connections.get() - 1);
            if open_connections.get() == 0 {
                all_ended.notify_one();
            }
        });
    }

    /// Closes the listener, and passes the connections in its backlog to `serve`.
    fn close(&self, listener: TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
        let address = listener.local_addr();
        for (stream, from) in accept_backlog(listener) {
            serve(stream, from);
        }
        log_event!(
            self.log, Event::ListenerClosed;
            "address" => address.map_or_else(|e| e.to_string(), |a| a.to_string()),
            "open" => self.open_connections.get()
        );
    }

    async fn wait_until_ended(&self) {
        // A notification may be left from an earlier moment without connections.
        while self.open_connections.get() > 0 {
            self.all_ended.notified().await;
        }
    }
}

/// Accepts the connections that wait in the backlog of the listener, and closes it. Closing it alone would reset them,
/// although their callers may have sent requests already.
fn accept_backlog(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    // The sockets do not block, so that the loop ends at the end of the backlog.
    let Ok(listener) = listener.into_std() else {
        return accepted;
    };
    while let Ok((stream, from)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        accepted.extend(stream.ok().map(|stream| (stream, from)));
    }
    accepted
}

/// Returns a response with one line of plain text.
pub fn plain_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Bytes::from(format!("{text}\n")));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}

/// Returns the response to a request of a server or an operator whose body could not be received.
pub fn body_error_response(error: BodyError) -> HttpResponse {
    match error {
        BodyError::TooLarge | BodyError::Incomplete => plain_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or incomplete",
        ),
        BodyError::NoMemory => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now");
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
            response
        }
    }
}

/// Returns a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(json) => {
            let mut response = json_text_response(json);
            *response.status_mut() = status;
            response
        }
        Err(e) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Returns a 200 response whose body is already serialized JSON.
pub fn json_text_response(json: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Bytes::from(json));
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_type);
    response
}
