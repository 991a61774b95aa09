use {
    super::{
        answer_filter::AnswerFilter,
        carried_calls::CarriedCalls,
        counted_stream::{CountedStream, SendMeter},
        server_dialect::{AnswerHead, ServerDialect, ServerNotice},
    },
    crate::{
        call::{is_answer_status, Call, CallResult, Outcome, Reason},
        clock::{Clock, Ms},
        lease::DaemonLease,
        memory::{MemoryBudget, ReservationKind, ReservedBuf},
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
    },
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

/// Timeout of a connection attempt to a local server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection may be idle and still be reused, if the server doesn't announce its own idle timeout.
/// Servers close idle connections on their own, and a call that is sent while its connection is being closed may have
/// run.
const DEFAULT_IDLE_TIMEOUT: Ms = Ms(2000);
/// Idle connections are discarded this long before the idle timeout that the server announces.
const IDLE_TIMEOUT_MARGIN: Ms = Ms(1000);
/// Time for which connections are not kept for reuse after an answer that belongs to another call. Such an answer
/// arrives late, in place of the answer to the next call on the connection.
const NO_REUSE_PERIOD: Ms = Ms(5000);

/// Result of one attempt at a server.
#[derive(Debug)]
pub struct ServerReply {
    /// Result for the caller.
    pub result: CallResult,
    /// Whether nothing listens at the server's address.
    pub server_gone: bool,
    /// What the server says of itself, or `None` if it gave no answer to this attempt.
    pub notice: Option<ServerNotice>,
}

/// One attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The call to send.
    pub call: &'a Call,
    /// Unique id of the attempt.
    pub call_id: &'a str,
    /// Incarnation of the server that the call is for.
    pub incarnation: &'a str,
    /// Whether the call may only begin while the daemon's lease is valid.
    pub needs_lease: bool,
    /// Epoch of the ownership. Zero if the service is not divided by key.
    pub epoch: u64,
    /// Time at which the caller stops waiting.
    pub deadline: Ms,
}

/// Limits of the connections to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum total size of the answer bodies that are being read, in bytes. A faulty server may send endless bodies
    /// on all of its connections.
    pub answer_bytes: usize,
    /// Maximum number of idle connections.
    pub idle_connections: usize,
}

/// The connections to one backend server. They belong to one thread.
pub struct ServerClient {
    address: String,
    limits: ServerLimits,
    clock: Clock,
    lease: DaemonLease,
    dialect: Rc<dyn ServerDialect>,
    budget: MemoryBudget,
    idle: RefCell<Vec<Connection>>,
    stopped: Rc<Cell<bool>>,
    /// Bytes buffered from the answer bodies that are being read.
    buffered_bytes: Cell<usize>,
    /// Connections are not kept for reuse before this time.
    no_reuse_until: Cell<Ms>,
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<SendMeter>,
    filter: Rc<RefCell<AnswerFilter>>,
    task: AbortHandle,
    /// End of the last call on this connection.
    idle_since: Ms,
    /// Longest time that the connection may be idle and still be reused.
    idle_timeout: Cell<Ms>,
    carried: CarriedCalls,
}

impl Connection {
    fn is_reusable(&self, now: Ms) -> bool {
        self.sender.is_ready()
            && self.carried.is_complete()
            && now < self.idle_since + self.idle_timeout.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.meter.close();
        self.task.abort();
    }
}

impl ServerClient {
    /// Returns a client for the server at `address`, without any open connection.
    pub fn new(
        address: &str,
        limits: ServerLimits,
        dialect: Rc<dyn ServerDialect>,
        clock: Clock,
        lease: DaemonLease,
    ) -> Self {
        Self {
            address: address.to_owned(),
            limits,
            dialect,
            budget: MemoryBudget::default(),
            clock,
            lease,
            idle: RefCell::default(),
            stopped: Rc::default(),
            buffered_bytes: Cell::new(0),
            no_reuse_until: Cell::new(Ms::ZERO),
        }
    }

    /// Stops the client: calls of which nothing has been sent yet are not sent any more.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Returns whether the client has been stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Sends a call to the server once and waits for the answer. The connection of an attempt that fails or is
    /// dropped is closed.
    pub async fn attempt(&self, attempt: Attempt<'_>) -> ServerReply {
        let remaining = attempt.deadline - self.clock.now();
        if remaining == Ms::ZERO {
            return failed(Reason::DeadlineTooShort);
        }
        let answer_id = self.dialect.answer_id(&attempt);
        let mut connection = match self.connection(answer_id, remaining).await {
            Ok(connection) => connection,
            Err(reply) => return reply,
        };
        // Connecting took time.
        let remaining = attempt.deadline - self.clock.now();
        if attempt.needs_lease && !self.lease.is_valid(self.clock.now()) {
            return failed(Reason::NoLease);
        }
        let Ok(request) = self.request(&attempt) else {
            return failed(Reason::BadHeader);
        };
        connection.meter.begin_request(attempt.needs_lease);
        connection
            .filter
            .borrow_mut()
            .begin(answer_id, &attempt.call.method);
        let waits_for_memory = Cell::new(false);
        let exchange = self.exchange(&mut connection, request, &attempt, &waits_for_memory);
        let exchanged = timeout(remaining.as_duration(), exchange).await;
        let has_dropped = connection.filter.borrow().has_dropped();
        let is_malformed = connection.filter.borrow().is_malformed();
        if has_dropped {
            self.no_reuse_until.set(self.clock.now() + NO_REUSE_PERIOD);
        }
        match exchanged {
            Ok(Ok(reply)) => {
                if !is_final(&reply.result) {
                    let now = self.clock.now();
                    connection.carried.record(answer_id, attempt.deadline, now);
                }
                self.keep_for_reuse(connection);
                reply
            }
            Ok(Err(reason)) => {
                // The server went on to answer, but not to this call or not by the protocol.
                let reason = match reason {
                    Reason::ServerLost if has_dropped || is_malformed => Reason::BadAnswer,
                    reason => reason,
                };
                failed(failure_reason(connection.meter.close(), reason))
            }
            Err(_) => {
                let reason = match waits_for_memory.get() {
                    true => Reason::AnswerUnread,
                    false => Reason::ServerLate,
                };
                failed(failure_reason(connection.meter.close(), reason))
            }
        }
    }

    /// Returns the idle connection that was used last and has not carried the call before.
    fn idle_connection(&self, answer_id: &str) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.is_reusable(now));
        let found = idle.iter().rposition(|c| !c.carried.contains(answer_id));
        found.map(|i| idle.remove(i))
    }

    /// Returns an idle connection that has not carried the call before, or opens a new one.
    async fn connection(&self, answer_id: &str, remaining: Ms) -> Result<Connection, ServerReply> {
        if let Some(idle) = self.idle_connection(answer_id) {
            return Ok(idle);
        }
        let now = self.clock.now();
        let connect_timeout = remaining.as_duration().min(CONNECT_TIMEOUT);
        let stream = match timeout(connect_timeout, TcpStream::connect(&self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                return Err(ServerReply {
                    server_gone: e.kind() == io::ErrorKind::ConnectionRefused,
                    ..failed(Reason::ServerUnreachable)
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
        let filter = Rc::new(RefCell::new(AnswerFilter::new(self.dialect.answer_id_header())));
        let stream = CountedStream::new(stream, meter.clone(), filter.clone(), self.budget.is_limited());
        let Ok((sender, connection)) = http1::handshake(stream).await else {
            return Err(failed(Reason::ServerUnreachable));
        };
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Connection {
            sender,
            meter,
            filter,
            task,
            idle_since: now,
            idle_timeout: Cell::new(DEFAULT_IDLE_TIMEOUT),
            carried: CarriedCalls::default(),
        })
    }

    fn keep_for_reuse(&self, mut connection: Connection) {
        connection.meter.close();
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let may_reuse = self.no_reuse_until.get() <= connection.idle_since;
        if may_reuse && !connection.sender.is_closed() && idle.len() < self.limits.idle_connections {
            idle.push(connection);
        }
    }

    /// Sends the request and reads the answer.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        attempt: &Attempt<'_>,
        waits_for_memory: &Cell<bool>,
    ) -> Result<ServerReply, Reason> {
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|_| Reason::ServerLost)?;
        self.read_answer(connection, answer, attempt, waits_for_memory)
            .await
    }

    /// Reads the answer. It is accepted only if it belongs to this attempt and is complete.
    async fn read_answer(
        &self,
        connection: &Connection,
        answer: Response<Incoming>,
        attempt: &Attempt<'_>,
        waits_for_memory: &Cell<bool>,
    ) -> Result<ServerReply, Reason> {
        let (parts, body) = answer.into_parts();
        let head = match is_answer_status(parts.status.as_u16()) {
            true => self.dialect.classify(attempt, &parts),
            false => AnswerHead::Foreign,
        };
        if head == AnswerHead::Foreign {
            self.no_reuse_until.set(self.clock.now() + NO_REUSE_PERIOD);
            return Err(Reason::BadAnswer);
        }
        let body = self.read_body(body, attempt, waits_for_memory).await?;
        let announced_timeout = self.dialect.keep_alive_timeout(&parts.headers);
        connection
            .idle_timeout
            .set(announced_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
                idle_timeout - IDLE_TIMEOUT_MARGIN
            }));
        let notice = Some(self.dialect.notice(&parts.headers));
        if let AnswerHead::NotRun(reason) = head {
            return Ok(ServerReply {
                notice,
                ..failed(reason)
            });
        }
        let headers = self.dialect.forwarded_headers(&parts.headers);
        Ok(ServerReply {
            result: CallResult::answered(parts.status.as_u16(), headers, body),
            server_gone: false,
            notice,
        })
    }

    /// Sets the budget from which the answer bodies get their memory.
    pub fn with_budget(self, budget: MemoryBudget) -> Self {
        Self { budget, ..self }
    }

    /// Reads a body to its end. Waits while the budget has no room, which `waits_for_memory` tells. Fails if all bodies that are being read together
    /// exceed the limit.
    async fn read_body(
        &self,
        mut body: Incoming,
        attempt: &Attempt<'_>,
        waits_for_memory: &Cell<bool>,
    ) -> Result<Bytes, Reason> {
        let mut buffered = BufferedBytes {
            total: &self.buffered_bytes,
            bytes: 0,
        };
        let length = body.size_hint().exact().and_then(|n| usize::try_from(n).ok());
        if length.is_some_and(|n| self.budget.is_limited() && n > self.limits.answer_bytes) {
            return Err(Reason::BadAnswer);
        }
        let kind = match attempt.call.answer_room {
            Some(_) => ReservationKind::ForwardedResponse,
            None => ReservationKind::Response,
        };
        let mut buf = ReservedBuf::new(self.budget.reservation(kind, None), length);
        if self.budget.is_limited() {
            waits_for_memory.set(true);
            buf.reserve_length().await.map_err(|_| Reason::BadAnswer)?;
            waits_for_memory.set(false);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Reason::BadAnswer)?;
            if let Ok(data) = frame.into_data() {
                buffered.add(data.len());
                if self.buffered_bytes.get() > self.limits.answer_bytes {
                    return Err(Reason::BadAnswer);
                }
                // Responses are not refused memory, but wait for it until the deadline of the call.
                waits_for_memory.set(true);
                buf.push(&data).await.map_err(|_| Reason::BadAnswer)?;
                waits_for_memory.set(false);
            }
        }
        Ok(buf.finish())
    }

    fn request(&self, attempt: &Attempt<'_>) -> Result<Request<Full<Bytes>>, http::Error> {
        let remaining = attempt.deadline - self.clock.now();
        let head = self.dialect.head(attempt, &self.address, remaining);
        head.body(Full::new(attempt.call.body.clone()))
    }
}

/// Counts the buffered bytes of one body in the total of the client, and subtracts them on drop.
struct BufferedBytes<'a> {
    total: &'a Cell<usize>,
    bytes: usize,
}

impl BufferedBytes<'_> {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.total.set(self.total.get() + bytes);
    }
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

/// Returns whether the call is not sent again after this result.
fn is_final(result: &CallResult) -> bool {
    result.outcome == Outcome::Answered && result.status < 500
}

/// Returns the reason of a failed attempt. If no byte was sent, the call was certainly not run.
fn failure_reason(sent: u64, reason: Reason) -> Reason {
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
        notice: None,
    }
}
