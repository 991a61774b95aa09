use {
    crate::{
        clock::{Clock, Ms},
        key::KeyRange,
        lease::DaemonLease,
    },
    base64::{engine::general_purpose::STANDARD, Engine},
    crossbeam_channel::{Receiver, Sender},
    http::StatusCode,
    serde_json::{json, Value},
    std::{
        io,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
    thiserror::Error,
    tokio::sync::oneshot,
    ureq::Agent,
};

/// Capacity of the queue of orders to one server.
const QUEUE_CAPACITY: usize = 4096;
/// Timeout of an order other than a revoke.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a revoke. The server finishes the running calls of the span before it confirms.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(60);

/// An order to a backend server. A server takes orders from its local daemon only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Grants a span of keys to the server.
    Grant {
        /// Name of the service.
        service: String,
        /// Span that the server owns from now on.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Extends all grants.
    Lease,
    /// Takes a span of keys back. The server confirms once no call of the span runs any more.
    Revoke {
        /// Name of the service.
        service: String,
        /// Span that the server has to give back.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Cancels a call whose caller no longer waits.
    Cancel {
        /// Id of the attempt.
        call: String,
    },
    /// Tells the server to take no new work.
    Drain,
}

/// Why an order was not confirmed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// Nothing listens at the server's address.
    #[error("nothing listens at the server's address")]
    ServerGone,
    /// The server did not answer in time.
    #[error("the server does not answer")]
    TimedOut,
    /// The daemon's own lease is not valid, so nothing was sent.
    #[error("the daemon has no lease")]
    NoLease,
    /// The server answered that it cannot carry out the order.
    #[error("the server refuses: {0}")]
    Refused(String),
    /// The order failed for another reason.
    #[error("{0}")]
    Failed(String),
}

/// An order with the channel for its result.
struct Job {
    order: Order,
    tx: oneshot::Sender<Result<(), OrderError>>,
}

/// Sends orders to one backend server from a thread of its own, each over a connection of its own.
#[derive(Debug)]
pub struct ServerOrders {
    queue: Sender<Job>,
    shared: Arc<Shared>,
}

/// State that [`ServerOrders`] shares with its thread.
#[derive(Debug, Default)]
struct Shared {
    /// End of the longest lease that was sent to the server, in ms.
    leases_end_at: AtomicU64,
    closed: AtomicBool,
}

/// The thread that sends the orders to one server.
struct Worker {
    address: String,
    agent: Agent,
    clock: Clock,
    lease: DaemonLease,
    shared: Arc<Shared>,
}

impl ServerOrders {
    /// Starts the thread for the server at `address`. Grants are valid for as long as `lease` is.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(address: &str, clock: Clock, lease: DaemonLease) -> io::Result<Self> {
        let (queue, jobs) = crossbeam_channel::bounded(QUEUE_CAPACITY);
        let shared = Arc::new(Shared::default());
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            // Answers to orders have no id, so a second copy of one must not meet the next order.
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .build();
        let worker = Worker {
            address: address.to_owned(),
            agent: agent.into(),
            clock,
            lease,
            shared: shared.clone(),
        };
        thread::Builder::new()
            .name("orders".into())
            .spawn(move || worker.run(&jobs))?;
        Ok(Self { queue, shared })
    }

    /// Returns the end of the longest lease that was sent to the server, whether it arrived or not.
    pub fn leases_end_at(&self) -> Ms {
        Ms(self.shared.leases_end_at.load(Ordering::SeqCst))
    }

    /// Includes a lease that was sent to the server by other means in [`Self::leases_end_at`].
    pub fn record_lease_end(&self, ends_at: Ms) {
        self.shared.leases_end_at.fetch_max(ends_at.0, Ordering::SeqCst);
    }

    /// Stops sending grants and leases. Once this returns, [`Self::leases_end_at`] includes each one that may still
    /// be sent.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
    }

    /// Gives an order and waits until the server confirms it.
    ///
    /// # Errors
    /// Returns an error if the order is not confirmed, see [`OrderError`].
    pub async fn give(&self, order: Order) -> Result<(), OrderError> {
        let (tx, rx) = oneshot::channel();
        let full = || OrderError::Failed("too many orders are queued".into());
        self.queue.try_send(Job { order, tx }).map_err(|_| full())?;
        rx.await
            .map_err(|_| OrderError::Failed("the connection was closed".into()))?
    }
}

impl Worker {
    fn run(&self, jobs: &Receiver<Job>) {
        for job in jobs {
            let result = self.give(&job.order);
            // The task that waits for the result may have ended.
            let _ = job.tx.send(result);
        }
    }

    fn give(&self, order: &Order) -> Result<(), OrderError> {
        let (path, body, timeout) = match order {
            Order::Grant { service, span, epoch } => {
                let mut body = span_json(service, span, *epoch);
                self.add_lease(&mut body)?;
                ("grant", body, ORDER_TIMEOUT)
            }
            Order::Lease => {
                let mut body = json!({});
                self.add_lease(&mut body)?;
                ("lease", body, ORDER_TIMEOUT)
            }
            Order::Revoke { service, span, epoch } => {
                ("revoke", span_json(service, span, *epoch), REVOKE_TIMEOUT)
            }
            Order::Cancel { call } => ("cancel", json!({ "call": call }), ORDER_TIMEOUT),
            Order::Drain => ("drain", json!({}), ORDER_TIMEOUT),
        };
        let response = self
            .agent
            .post(format!("http://{}/fold/{path}", self.address))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .content_type("application/json")
            .send(body.to_string());
        match response {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status() == StatusCode::CONFLICT => {
                Err(OrderError::Refused(format!("status {}", response.status())))
            }
            Ok(response) => Err(OrderError::Failed(format!("status {}", response.status()))),
            Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                Err(OrderError::ServerGone)
            }
            Err(ureq::Error::Timeout(_)) => Err(OrderError::TimedOut),
            Err(e) => Err(OrderError::Failed(e.to_string())),
        }
    }

    /// Adds the current lease of the daemon, right before the order is sent. The absolute end of the lease stays
    /// correct even if the order is carried out late.
    fn add_lease(&self, body: &mut Value) -> Result<(), OrderError> {
        let now = self.clock.now();
        let ends_at = self.lease.ends_at();
        if ends_at <= now {
            return Err(OrderError::NoLease);
        }
        self.shared.leases_end_at.fetch_max(ends_at.0, Ordering::SeqCst);
        // `closed` is read after the end of the lease is stored, so that a concurrent `close` either stops this
        // order or sees the end of its lease.
        if self.shared.closed.load(Ordering::SeqCst) {
            return Err(OrderError::Failed("the server was removed".into()));
        }
        body["lease_ms"] = (ends_at - now).0.into();
        body["lease_until_ms"] = ends_at.0.into();
        Ok(())
    }
}

fn span_json(service: &str, span: &KeyRange, epoch: u64) -> Value {
    let end = span.end.as_ref().map(|end| STANDARD.encode(end.as_bytes()));
    json!({
        "service": service,
        "start": STANDARD.encode(span.start.as_bytes()),
        "end": end,
        "epoch": epoch,
    })
}
