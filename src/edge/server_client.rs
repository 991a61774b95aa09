use {
    super::{
        counted_stream::{CountedStream, SendMeter},
        server_dialect::{AnswerHead, ServerDialect},
    },
    crate::{
        call::{Call, CallResult, Reason},
        clock::{Clock, Ms},
        lease::DaemonLease,
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
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

/// Longest time to connect to a local server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection is kept between two calls if the server does not tell for how long it keeps
/// it. Servers close idle connections on their own, and a call that meets such an end may have run.
const IDLE_DEFAULT: Ms = Ms(2000);
/// Time before the end that a server announces for an idle connection, at which it is given up here.
const IDLE_MARGIN: Ms = Ms(1000);
/// Time without kept connections after an answer that belongs to no call. Such an answer comes late, where the
/// answer to the next call on the connection is expected.
const DISTRUST: Ms = Ms(5000);

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
    /// Incarnation of the server that is meant.
    pub incarnation: &'a str,
    /// True: the call may only begin while the lease of the daemon holds.
    pub needs_lease: bool,
    /// Epoch of the ownership; 0 where the service is not divided by key.
    pub epoch: u64,
    /// When the caller stops waiting.
    pub deadline: Ms,
}

/// Limits of the connections to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Most bytes of all bodies of answers that are being read. A server in trouble may send bytes without end on each of
    /// its connections.
    pub answer_bytes: usize,
    /// Most connections that are kept open between calls.
    pub idle_connections: usize,
}

/// The connections to one backend server. They belong to one thread.
pub struct ServerClient {
    address: String,
    limits: ServerLimits,
    clock: Clock,
    lease: DaemonLease,
    dialect: Rc<dyn ServerDialect>,
    idle: RefCell<Vec<Connection>>,
    stopped: Rc<Cell<bool>>,
    /// Bytes of the bodies of answers that are being read.
    reading: Cell<usize>,
    /// No connection is kept until then.
    distrust_until: Cell<Ms>,
}

/// One open connection. It is closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<SendMeter>,
    task: AbortHandle,
    /// When its last call ended.
    idle_since: Ms,
    /// How long it may stay idle.
    kept: Cell<Ms>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.meter.close();
        self.task.abort();
    }
}

impl ServerClient {
    /// Returns a client without connections for the server at `address`.
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
            clock,
            lease,
            idle: RefCell::default(),
            stopped: Rc::default(),
            reading: Cell::new(0),
            distrust_until: Cell::new(Ms::ZERO),
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
        if attempt.needs_lease && !self.lease.is_valid(self.clock.now()) {
            return failed(Reason::NoLease);
        }
        let Ok(request) = self.request(&attempt) else {
            return failed(Reason::BadHeader);
        };
        connection.meter.begin(attempt.needs_lease);
        let exchange = self.exchange(&mut connection, request, &attempt);
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
            if idle.sender.is_ready() && now < idle.idle_since + idle.kept.get() {
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
            kept: Cell::new(IDLE_DEFAULT),
        })
    }

    fn keep(&self, mut connection: Connection) {
        connection.meter.close();
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let is_trusted = self.distrust_until.get() <= connection.idle_since;
        if is_trusted && !connection.sender.is_closed() && idle.len() < self.limits.idle_connections {
            idle.push(connection);
        }
    }

    /// Sends the request and reads the answer.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        attempt: &Attempt<'_>,
    ) -> Result<ServerReply, Reason> {
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|_| Reason::ServerLost)?;
        self.read_answer(connection, answer, attempt).await
    }

    /// Only a whole answer to this attempt counts.
    async fn read_answer(
        &self,
        connection: &Connection,
        answer: Response<Incoming>,
        attempt: &Attempt<'_>,
    ) -> Result<ServerReply, Reason> {
        let (parts, body) = answer.into_parts();
        let head = self.dialect.classify(attempt, &parts);
        if head == AnswerHead::Foreign {
            self.distrust_until.set(self.clock.now() + DISTRUST);
            return Err(Reason::BadAnswer);
        }
        let body = self.read_body(body).await?;
        let kept_open = self.dialect.keep_alive_timeout(&parts.headers);
        connection
            .kept
            .set(kept_open.map_or(IDLE_DEFAULT, |kept| kept - IDLE_MARGIN));
        if let AnswerHead::NotRun(reason) = head {
            return Ok(failed(reason));
        }
        let headers = self.dialect.forwarded_headers(&parts.headers);
        Ok(ServerReply {
            result: CallResult::answered(parts.status.as_u16(), headers, body),
            server_gone: false,
        })
    }

    /// Reads a body to its end, unless all bodies together grow too large.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, Reason> {
        let mut held = HeldBytes {
            reading: &self.reading,
            bytes: 0,
        };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Reason::BadAnswer)?;
            if let Ok(data) = frame.into_data() {
                held.add(data.len());
                if self.reading.get() > self.limits.answer_bytes {
                    return Err(Reason::BadAnswer);
                }
                whole.extend_from_slice(&data);
            }
        }
        Ok(whole.freeze())
    }

    fn request(&self, attempt: &Attempt<'_>) -> Result<Request<Full<Bytes>>, http::Error> {
        let left = attempt.deadline - self.clock.now();
        let head = self.dialect.head(attempt, &self.address, left);
        head.body(Full::new(attempt.call.body.clone()))
    }
}

/// Bytes of one body among those that are being read, until it is dropped.
struct HeldBytes<'a> {
    reading: &'a Cell<usize>,
    bytes: usize,
}

impl HeldBytes<'_> {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.reading.set(self.reading.get() + bytes);
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.reading.set(self.reading.get() - self.bytes);
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
