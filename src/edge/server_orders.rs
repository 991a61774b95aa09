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

/// Orders that wait for the connection to the server.
const RING_ORDERS: usize = 4096;
/// Longest time for the server to carry out an order other than a revoke.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for the server to finish what runs before it confirms a revoke.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(60);

/// An order to a backend server. Only the local daemon gives them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Own a span of keys.
    Grant {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Extends all grants.
    Lease,
    /// Stop owning a span of keys; confirmed once nothing of it runs.
    Revoke {
        /// Name of the service.
        service: String,
        /// The keys.
        span: KeyRange,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Stop a call whose caller no longer waits.
    Cancel {
        /// Id of the attempt.
        call: String,
    },
    /// Take no new work.
    Drain,
}

/// An order was not confirmed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OrderError {
    /// Nothing listens at the server's address.
    #[error("nothing listens at the server's address")]
    ServerGone,
    /// The server did not answer in time.
    #[error("the server does not answer")]
    TimedOut,
    /// The daemon's own lease does not hold, so nothing was sent.
    #[error("the daemon has no lease")]
    NoLease,
    /// The server answered that it cannot carry the order out.
    #[error("the server refuses: {0}")]
    Refused(String),
    /// The order was not confirmed.
    #[error("{0}")]
    Failed(String),
}

/// An order with the way back.
struct Job {
    order: Order,
    tx: oneshot::Sender<Result<(), OrderError>>,
}

/// The connection kept aside for orders to one backend server.
#[derive(Debug)]
pub struct ServerOrders {
    ring: Sender<Job>,
    shared: Arc<Shared>,
}

/// What the near end and the thread share.
#[derive(Debug, Default)]
struct Shared {
    leases_end_at: AtomicU64,
    closed: AtomicBool,
}

/// What the thread for one server needs.
struct Worker {
    address: String,
    agent: Agent,
    clock: Clock,
    lease: DaemonLease,
    shared: Arc<Shared>,
}

impl ServerOrders {
    /// Starts the thread for the server at `address`. Grants are good for as long as `lease` is.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(address: &str, clock: Clock, lease: DaemonLease) -> io::Result<Self> {
        let (ring, jobs) = crossbeam_channel::bounded(RING_ORDERS);
        let shared = Arc::new(Shared::default());
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
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
        Ok(Self { ring, shared })
    }

    /// Returns the end of the longest lease that was sent to the server, whether it arrived or not.
    pub fn leases_end_at(&self) -> Ms {
        Ms(self.shared.leases_end_at.load(Ordering::SeqCst))
    }

    /// Counts a lease that was sent to the server by other means.
    pub fn count_lease(&self, ends_at: Ms) {
        self.shared.leases_end_at.fetch_max(ends_at.0, Ordering::SeqCst);
    }

    /// Sends no further grants and leases. One that is not stopped by this is counted in
    /// [`Self::leases_end_at`] by then.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
    }

    /// Gives an order and waits until the server confirmed it.
    ///
    /// # Errors
    /// The server is gone, refused, or did not answer in time.
    pub async fn give(&self, order: Order) -> Result<(), OrderError> {
        let (tx, rx) = oneshot::channel();
        let full = || OrderError::Failed("too many orders wait".into());
        self.ring.try_send(Job { order, tx }).map_err(|_| full())?;
        rx.await
            .map_err(|_| OrderError::Failed("the connection was given up".into()))?
    }
}

impl Worker {
    fn run(&self, jobs: &Receiver<Job>) {
        for job in jobs {
            let result = self.give(&job.order);
            // The task that waits may have ended.
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

    /// Adds the lease that the daemon has right before the order is sent. The absolute end holds even if
    /// the order is carried out late.
    fn add_lease(&self, body: &mut Value) -> Result<(), OrderError> {
        let now = self.clock.now();
        let ends_at = self.lease.ends_at();
        if ends_at <= now {
            return Err(OrderError::NoLease);
        }
        self.shared.leases_end_at.fetch_max(ends_at.0, Ordering::SeqCst);
        // The look comes after the count, so that whoever closes sees the count or stops the order.
        if self.shared.closed.load(Ordering::SeqCst) {
            return Err(OrderError::Failed("the server was given up".into()));
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
