use {
    super::caller_edge::passed_on,
    crate::{
        call::{Call, CallResult, Reason},
        clock::{Clock, Ms},
        lease::DaemonLease,
    },
    bytes::Bytes,
    crossbeam_channel::{Receiver, Sender, TrySendError},
    http::{Request, Response},
    percent_encoding::{percent_encode, NON_ALPHANUMERIC},
    std::{io, thread, time::Duration},
    tokio::sync::oneshot,
    ureq::{Agent, Body, Error, Timeout},
};

/// Calls that wait for a connection, for each slot of the server.
const WAITING_PER_SLOT: usize = 4;
/// Longest time to connect to a local server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How one attempt at a server ended.
#[derive(Debug)]
pub struct ServerReply {
    /// Result for the caller.
    pub result: CallResult,
    /// True: nothing listens at the server's address.
    pub server_gone: bool,
}

/// One call on its way to a server.
struct Job {
    call: Call,
    call_id: String,
    epoch: u64,
    deadline: Ms,
    tx: oneshot::Sender<ServerReply>,
}

/// The connections to one backend server: a thread for each of its slots.
#[derive(Debug)]
pub struct ServerClient {
    ring: Sender<Job>,
}

/// What a thread needs to send calls.
#[derive(Clone)]
struct Worker {
    address: String,
    agent: Agent,
    clock: Clock,
    lease: DaemonLease,
    answer_bytes: u64,
}

impl ServerClient {
    /// Starts the threads for the server at `address`.
    ///
    /// # Errors
    /// A thread could not be started.
    pub fn start(
        address: &str,
        slots: u32,
        answer_bytes: usize,
        clock: Clock,
        lease: DaemonLease,
    ) -> io::Result<Self> {
        let slots = slots as usize;
        let (ring, jobs) = crossbeam_channel::bounded(slots * WAITING_PER_SLOT);
        for slot in 0..slots {
            let worker = Worker {
                address: address.to_owned(),
                agent: agent(),
                clock: clock.clone(),
                lease: lease.clone(),
                answer_bytes: answer_bytes as u64,
            };
            let jobs = jobs.clone();
            thread::Builder::new()
                .name(format!("call-{slot}"))
                .spawn(move || worker.run(&jobs))?;
        }
        Ok(Self { ring })
    }

    /// Sends a call to the server and waits for the end of this attempt.
    pub async fn call(&self, call: Call, call_id: String, epoch: u64, deadline: Ms) -> ServerReply {
        let (tx, rx) = oneshot::channel();
        match self.ring.try_send(Job {
            call,
            call_id,
            epoch,
            deadline,
            tx,
        }) {
            Ok(()) => rx.await.unwrap_or_else(|_| failed(Reason::ServerLost)),
            Err(TrySendError::Full(_)) => failed(Reason::Overloaded),
            Err(TrySendError::Disconnected(_)) => failed(Reason::NoServer),
        }
    }
}

impl Worker {
    fn run(&self, jobs: &Receiver<Job>) {
        for job in jobs {
            let reply = self.attempt(&job);
            // The caller may have gone away.
            let _ = job.tx.send(reply);
        }
    }

    fn attempt(&self, job: &Job) -> ServerReply {
        let now = self.clock.now();
        if now >= job.deadline {
            return failed(Reason::DeadlineTooShort);
        }
        let left = job.deadline - now;
        let Ok(request) = self.request(job, left) else {
            return failed(Reason::BadHeader);
        };
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(left.as_duration()))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        // The last look at the lease comes right before the first byte leaves.
        if !self.lease.is_valid(self.clock.now()) {
            return failed(Reason::NoLease);
        }
        match self.agent.run(request) {
            Ok(response) => self.read_answer(response, &job.call_id),
            Err(e) => failed_with(&e),
        }
    }

    fn request(&self, job: &Job, left: Ms) -> Result<Request<Vec<u8>>, http::Error> {
        let call = &job.call;
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = Request::builder().method(call.method.as_str()).uri(uri);
        for header in &call.headers {
            request = request.header(header.name.as_str(), header.value.as_ref());
        }
        request = request
            .header(
                "fold-key",
                percent_encode(&call.key, NON_ALPHANUMERIC).to_string(),
            )
            .header("fold-epoch", job.epoch)
            .header("fold-call", &job.call_id)
            .header("fold-deadline-ms", left.0);
        if !call.request_id.is_empty() {
            request = request.header("fold-request-id", &call.request_id);
        }
        request.body(call.body.to_vec())
    }

    /// Only a whole answer that names this call counts.
    fn read_answer(&self, response: Response<Body>, call_id: &str) -> ServerReply {
        let (parts, mut body) = response.into_parts();
        let names_call = parts
            .headers
            .get("fold-call")
            .is_some_and(|id| id.as_bytes() == call_id.as_bytes());
        if !names_call {
            return failed(Reason::BadAnswer);
        }
        if parts.status.as_u16() == 409 && parts.headers.contains_key("fold-refused") {
            return failed(Reason::ServerRefused);
        }
        match body.with_config().limit(self.answer_bytes).read_to_vec() {
            Ok(bytes) => ServerReply {
                result: CallResult::answered(
                    parts.status.as_u16(),
                    passed_on(&parts.headers),
                    Bytes::from(bytes),
                ),
                server_gone: false,
            },
            Err(Error::Timeout(_)) => failed(Reason::ServerLate),
            Err(_) => failed(Reason::BadAnswer),
        }
    }
}

/// Returns an agent that keeps one connection and follows nothing on its own.
fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build()
        .into()
}

fn failed(reason: Reason) -> ServerReply {
    ServerReply {
        result: CallResult::failed(reason),
        server_gone: false,
    }
}

/// Only an error from before the connection stood proves that nothing was sent.
fn failed_with(error: &Error) -> ServerReply {
    match error {
        Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => ServerReply {
            result: CallResult::failed(Reason::ServerUnreachable),
            server_gone: true,
        },
        Error::ConnectionFailed | Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
            failed(Reason::ServerUnreachable)
        }
        Error::Timeout(_) => failed(Reason::ServerLate),
        _ => failed(Reason::ServerLost),
    }
}
