use {
    super::{
        fold_stream::FoldStream,
        head_timer::{HeadProgress, HeadTimer},
    },
    crate::{clock::Ms, event::Event, log_event, settings::CallerLimits},
    bytes::Bytes,
    http::{header, HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioTimer,
    serde::Serialize,
    slog::Logger,
    std::{cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{watch, Notify},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Pause after an accept failed, e.g. for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest limit of a head that the HTTP library takes.
const HEAD_BYTES_MIN: usize = 8192;

/// Time after the stop in which connections are still served, each response being the last of its connection.
const STOP_LINGER: Duration = Duration::from_millis(1000);
/// Longest time after that for the connections to end.
const STOP_MAX: Duration = Duration::from_secs(30);

/// A whole request.
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
pub enum HttpFault {
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body was cut, or not sent in time.
    BodyIncomplete,
}

/// An answer with a whole body.
pub type HttpResponse = Response<Bytes>;

/// Serves HTTP/1.1 until `stop` turns true, then for a short time with responses that end their connections,
/// and returns once what was begun has been answered. Each connection is a task of its own, so that an idle
/// connection never keeps another one waiting.
///
/// `limits` is asked anew for each connection, and for the body of each request, as they may change meanwhile.
pub async fn serve_http<L, H, F>(
    listener: TcpListener,
    limits: L,
    log: Logger,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, HttpFault>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let for_connections = stop.clone();
    let open = Rc::new(Cell::new(0_usize));
    let all_ended = Rc::new(Notify::new());
    let mut stopped = std::pin::pin!(async {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(STOP_LINGER).await;
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.as_mut() => break,
        };
        let Ok((stream, from)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= limits().connections {
            log_event!(log, Event::ConnectionRefused; "from" => from.to_string(), "open" => open.get());
            continue;
        }
        open.set(open.get() + 1);
        let (open, all_ended) = (open.clone(), all_ended.clone());
        let (limits, handler, stop) = (limits.clone(), handler.clone(), for_connections.clone());
        spawn_local(async move {
            serve_connection(stream, from, limits, stop, handler).await;
            open.set(open.get() - 1);
            if open.get() == 0 {
                all_ended.notify_one();
            }
        });
    }
    if open.get() > 0 {
        let _ = timeout(STOP_MAX, all_ended.notified()).await;
    }
}

async fn serve_connection<L, H, F>(
    stream: TcpStream,
    from: SocketAddr,
    limits: L,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> CallerLimits + Clone + 'static,
    H: Fn(Result<HttpRequest, HttpFault>) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let stopping = stop.clone();
    let at_start = limits();
    let progress = Rc::new(HeadProgress::default());
    let heads = HeadTimer::new(progress.clone(), at_start.head_timeout);
    let service = service_fn(move |request: Request<Incoming>| {
        let (limits, handler, stopping) = (limits(), handler.clone(), stopping.clone());
        let progress = progress.clone();
        progress.end();
        async move {
            let request = receive(request, from, limits.body_bytes, limits.body_timeout).await;
            let mut response = handler(request).await;
            if *stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            progress.expect_next();
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(at_start.idle_timeout.as_duration())
        .max_buf_size(at_start.head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(FoldStream::new(stream, heads), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = async {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(STOP_LINGER).await;
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Receives the body of a request within its limits.
async fn receive(
    request: Request<Incoming>,
    from: SocketAddr,
    body_bytes: usize,
    read: Ms,
) -> Result<HttpRequest, HttpFault> {
    let (parts, body) = request.into_parts();
    let collected = timeout(read.as_duration(), Limited::new(body, body_bytes).collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(HttpFault::BodyTooLarge),
        Ok(Err(_)) | Err(_) => return Err(HttpFault::BodyIncomplete),
    };
    Ok(HttpRequest {
        from,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
    })
}

/// Returns an answer with a line of text.
pub fn plain_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Bytes::from(format!("{text}\n")));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}

/// Returns an answer with a JSON body.
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

/// Returns a good answer with a text that is JSON.
pub fn json_text_response(json: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Bytes::from(json));
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_type);
    response
}
