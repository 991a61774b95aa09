use {
    crate::{clock::Ms, key::KeyRange},
    base64::{engine::general_purpose::STANDARD, Engine},
    crossbeam_channel::{Receiver, Sender},
    serde_json::{json, Value},
    std::{io, thread, time::Duration},
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
        /// Time that the grant is good for.
        lease: Ms,
    },
    /// Extends all grants.
    Lease {
        /// Time that all grants are good for.
        lease: Ms,
    },
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
    /// The server refused, or did not answer.
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
}

impl ServerOrders {
    /// Starts the thread for the server at `address`.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(address: &str) -> io::Result<Self> {
        let (ring, jobs) = crossbeam_channel::bounded(RING_ORDERS);
        let address = address.to_owned();
        thread::Builder::new()
            .name("orders".into())
            .spawn(move || run(&address, &jobs))?;
        Ok(Self { ring })
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

fn run(address: &str, jobs: &Receiver<Job>) {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into();
    for job in jobs {
        let result = give(&agent, address, &job.order);
        let _ = job.tx.send(result);
    }
}

fn give(agent: &Agent, address: &str, order: &Order) -> Result<(), OrderError> {
    let (path, body, timeout) = match order {
        Order::Grant {
            service,
            span,
            epoch,
            lease,
        } => {
            let mut body = span_json(service, span, *epoch);
            body["lease_ms"] = lease.0.into();
            ("grant", body, ORDER_TIMEOUT)
        }
        Order::Lease { lease } => ("lease", json!({ "lease_ms": lease.0 }), ORDER_TIMEOUT),
        Order::Revoke { service, span, epoch } => {
            ("revoke", span_json(service, span, *epoch), REVOKE_TIMEOUT)
        }
        Order::Cancel { call } => ("cancel", json!({ "call": call }), ORDER_TIMEOUT),
        Order::Drain => ("drain", json!({}), ORDER_TIMEOUT),
    };
    let response = agent
        .post(format!("http://{address}/fold/{path}"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .content_type("application/json")
        .send(body.to_string());
    match response {
        Ok(response) if response.status().is_success() => Ok(()),
        Ok(response) => Err(OrderError::Failed(format!("status {}", response.status()))),
        Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Err(OrderError::ServerGone)
        }
        Err(e) => Err(OrderError::Failed(e.to_string())),
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
