use {
    super::{
        caller_edge::passed_on,
        counted_stream::{CountedStream, SendMeter},
    },
    crate::{
        call::{Call, CallResult, Reason},
        clock::{Clock, Ms},
        lease::DaemonLease,
    },
    bytes::Bytes,
    http::{header, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    percent_encoding::{percent_encode, NON_ALPHANUMERIC},
    std::{
        cell::{Cell, RefCell},
        io,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::{spawn_local, AbortHandle},
        time::timeout,
    },
};

/// Longest time to connect to a local server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection is kept between two calls. Servers close idle connections on their own, and
/// a call that meets such an end may have run.
const IDLE_MAX: Ms = Ms(2000);

/// How one attempt at a server ended.
#[derive(Debug)]
pub struct ServerReply {
    /// Result for the caller.
    pub result: CallResult,
    /// True: nothing listens at the server's address.
    pub server_gone: bool,
}

/// One attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The call.
    pub call: &'a Call,
    /// Id of the attempt; no other attempt has it.
    pub call_id: &'a str,
    /// Epoch of the ownership; 0 where the service is not divided by key.
    pub epoch: u64,
    /// When the caller stops waiting.
    pub deadline: Ms,
}

/// Limits of the connections to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Most bytes of an answer's body.
    pub answer_bytes: usize,
    /// Most connections that are kept open between calls.
    pub idle_connections: usize,
}

/// The connections to one backend server. They belong to one thread.
#[derive(Debug)]
pub struct ServerClient {
    address: String,
    limits: ServerLimits,
    clock: Clock,
    lease: DaemonLease,
    idle: RefCell<Vec<Connection>>,
    stopped: Rc<Cell<bool>>,
}

/// One open connection. It is closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<SendMeter>,
    task: AbortHandle,
    /// When its last call ended.
    idle_since: Ms,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.meter.close();
        self.task.abort();
    }
}

impl ServerClient {
    /// Returns a client without connections for the server at `address`.
    pub fn new(address: &str, limits: ServerLimits, clock: Clock, lease: DaemonLease) -> Self {
        Self {
            address: address.to_owned(),
            limits,
            clock,
            lease,
            idle: RefCell::default(),
            stopped: Rc::default(),
        }
    }

    /// Sends nothing more: no byte of a call that has not been sent leaves from here on.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Tells if nothing more is sent.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Sends a call to the server once and waits for the end of this attempt. The connection of an
    /// attempt that fails, or that is dropped, is closed.
    pub async fn attempt(&self, attempt: Attempt<'_>) -> ServerReply {
        let Ok(request) = self.request(attempt) else {
            return failed(Reason::BadHeader);
        };
        let left = attempt.deadline - self.clock.now();
        if left == Ms::ZERO {
            return failed(Reason::DeadlineTooShort);
        }
        let mut connection = match self.connection(left).await {
            Ok(connection) => connection,
            Err(reply) => return reply,
        };
        // Time went by while the connection was made.
        let left = attempt.deadline - self.clock.now();
        if !self.lease.is_valid(self.clock.now()) {
            return failed(Reason::NoLease);
        }
        connection.meter.begin();
        let exchange = self.exchange(&mut connection, request, attempt);
        match timeout(left.as_duration(), exchange).await {
            Ok(Ok(reply)) => {
                self.keep(connection);
                reply
            }
            Ok(Err(reason)) => failed(settle(connection.meter.close(), reason)),
            Err(_) => failed(settle(connection.meter.close(), Reason::ServerLate)),
        }
    }

    /// Takes an idle connection, or else opens one.
    async fn connection(&self, left: Ms) -> Result<Connection, ServerReply> {
        let now = self.clock.now();
        while let Some(idle) = self.idle.borrow_mut().pop() {
            if idle.sender.is_ready() && now < idle.idle_since + IDLE_MAX {
                return Ok(idle);
            }
        }
        let longest = left.as_duration().min(CONNECT_TIMEOUT);
        let stream = match timeout(longest, TcpStream::connect(&self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                return Err(ServerReply {
                    result: CallResult::failed(Reason::ServerUnreachable),
                    server_gone: e.kind() == io::ErrorKind::ConnectionRefused,
                })
            }
            Err(_) => return Err(failed(Reason::ServerUnreachable)),
        };
        let _ = stream.set_nodelay(true);
        let meter = Rc::new(SendMeter::new(
            self.clock.clone(),
            self.lease.clone(),
            self.stopped.clone(),
        ));
        let stream = CountedStream::new(stream, meter.clone());
        let Ok((sender, connection)) = http1::handshake(stream).await else {
            return Err(failed(Reason::ServerUnreachable));
        };
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Connection {
            sender,
            meter,
            task,
            idle_since: now,
        })
    }

    fn keep(&self, mut connection: Connection) {
        connection.meter.close();
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        if !connection.sender.is_closed() && idle.len() < self.limits.idle_connections {
            idle.push(connection);
        }
    }

    /// Sends the request and reads the answer.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        attempt: Attempt<'_>,
    ) -> Result<ServerReply, Reason> {
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|_| Reason::ServerLost)?;
        self.read_answer(answer, attempt).await
    }

    /// Only a whole answer that names this call counts.
    async fn read_answer(
        &self,
        answer: Response<Incoming>,
        attempt: Attempt<'_>,
    ) -> Result<ServerReply, Reason> {
        let (parts, body) = answer.into_parts();
        let names_call = parts
            .headers
            .get("fold-call")
            .is_some_and(|id| id.as_bytes() == attempt.call_id.as_bytes());
        if !names_call || !has_end(&parts, &attempt.call.method) {
            return Err(Reason::BadAnswer);
        }
        let body = Limited::new(body, self.limits.answer_bytes).collect().await;
        let body = body.map_err(|_| Reason::BadAnswer)?.to_bytes();
        let refused = parts.headers.get("fold-refused");
        if let (StatusCode::CONFLICT, Some(word)) = (parts.status, refused) {
            return refusal(word.as_bytes()).map(failed);
        }
        Ok(ServerReply {
            result: CallResult::answered(parts.status.as_u16(), passed_on(&parts.headers), body),
            server_gone: false,
        })
    }

    fn request(&self, attempt: Attempt<'_>) -> Result<Request<Full<Bytes>>, http::Error> {
        let call = attempt.call;
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str())
            .header(header::HOST, &self.address);
        for passed in &call.headers {
            request = request.header(passed.name.as_str(), passed.value.as_ref());
        }
        let left = attempt.deadline - self.clock.now();
        request = request
            .header(
                "fold-key",
                percent_encode(&call.key, NON_ALPHANUMERIC).to_string(),
            )
            .header("fold-epoch", attempt.epoch)
            .header("fold-call", attempt.call_id)
            .header("fold-deadline-ms", left.0);
        if !call.request_id.is_empty() {
            request = request.header("fold-request-id", &call.request_id);
        }
        request.body(Full::new(call.body.clone()))
    }
}

/// Tells if the end of an answer is marked by its length, its last chunk or its kind. An answer that ends
/// with the connection may have been cut.
fn has_end(parts: &http::response::Parts, method: &str) -> bool {
    let bodiless = method == Method::HEAD.as_str()
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let marked = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    bodiless || marked.iter().any(|name| parts.headers.contains_key(name))
}

/// Returns the reason of a refusal with this word.
///
/// # Errors
/// A word that the contract does not know proves nothing.
fn refusal(word: &[u8]) -> Result<Reason, Reason> {
    match word {
        b"stale-epoch" | b"not-owner" => Ok(Reason::ServerRefused),
        b"draining" => Ok(Reason::ServerDraining),
        b"overloaded" => Ok(Reason::Overloaded),
        _ => Err(Reason::BadAnswer),
    }
}

/// Returns why an attempt failed. Without a byte sent it was certainly not run.
fn settle(sent: u64, reason: Reason) -> Reason {
    match (sent, reason) {
        (0, Reason::ServerLate) => Reason::DeadlineTooShort,
        (0, _) => Reason::ServerUnreachable,
        (_, reason) => reason,
    }
}

fn failed(reason: Reason) -> ServerReply {
    ServerReply {
        result: CallResult::failed(reason),
        server_gone: false,
    }
}
