use {
    crate::{edge::RequestSignature, link::KeyRing},
    anyhow::{anyhow, bail, Context, Result},
    clap::ArgMatches,
    serde::Serialize,
    serde_json::Value,
    std::{io, path::Path, time::Duration},
    ureq::Agent,
};

/// Timeout of a whole request to a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to the operator addresses of daemons, one after another until one answers.
pub(super) struct OperatorClient {
    agent: Agent,
    addresses: Vec<String>,
    keys: KeyRing,
}

/// The result of a request that changes something.
pub(super) enum ChangeResult {
    /// A daemon answered.
    Answered(Value),
    /// The request may have reached a daemon, but there is no answer. Holds the errors of all addresses.
    Unknown(String),
}

/// The reason why an address gave no answer.
enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have reached the daemon.
    Lost(String),
}

impl OperatorClient {
    /// Returns a client for the addresses and the key file of the command line.
    pub(super) fn new(matches: &ArgMatches) -> Result<Self> {
        let addresses = matches.get_many::<String>("address");
        let addresses = addresses.context("--address IP:PORT is needed")?;
        let key_file = matches.get_one::<String>("key-file");
        let key_file = key_file.context("--key-file FILE is needed")?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(ANSWER_TIMEOUT));
        Ok(Self {
            agent: config.build().into(),
            addresses: addresses.cloned().collect(),
            keys: KeyRing::load(Path::new(key_file))?,
        })
    }

    /// Sends a `GET` request and returns the answer of the first daemon that gives one.
    pub(super) fn query(&self, path_and_query: &str) -> Result<Value> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            match self.send(address, "GET", path_and_query, "") {
                Ok((status, text)) => return read_answer(address, status, &text),
                Err(SendError::NotSent(e) | SendError::Lost(e)) => failures.push(format!("{address}: {e}")),
            }
        }
        bail!("no daemon answered: {}", failures.join("; "))
    }

    /// Sends a request that changes something to one daemon after another until one answers. The request must be
    /// idempotent, since several daemons may run it: it carries a command id, or it asks for a membership change
    /// that has no further effect when repeated.
    pub(super) fn change(&self, name: &str, request: &impl Serialize) -> Result<ChangeResult> {
        let body = serde_json::to_string(request)?;
        let mut failures = Vec::new();
        let mut may_have_arrived = false;
        for address in &self.addresses {
            match self.send(address, "POST", name, &body) {
                Ok((status, text)) => {
                    let answer = read_answer(address, status, &text)?;
                    if answer.get("unavailable").is_none() {
                        return Ok(ChangeResult::Answered(answer));
                    }
                    may_have_arrived = true;
                    failures.push(format!("{address}: {answer}"));
                }
                Err(SendError::NotSent(e)) => failures.push(format!("{address}: {e}")),
                Err(SendError::Lost(e)) => {
                    may_have_arrived = true;
                    failures.push(format!("{address}: {e}"));
                }
            }
        }
        let failures = failures.join("; ");
        if may_have_arrived {
            return Ok(ChangeResult::Unknown(failures));
        }
        bail!("no daemon answered: {failures}")
    }

    fn send(&self, address: &str, method: &str, name: &str, body: &str) -> Result<(u16, String), SendError> {
        let target = format!("/{name}");
        let signature = RequestSignature::new(&self.keys, method, &target, body.as_bytes());
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{target}"))
            .header("authorization", signature.to_string())
            .body(body.to_owned())
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let mut response = self.agent.run(request).map_err(|e| classify_error(&e))?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string();
        Ok((status, text.map_err(|e| SendError::Lost(e.to_string()))?))
    }
}

/// Classifies an error. Only an error that occurs before the connection is established shows that nothing was sent.
fn classify_error(error: &ureq::Error) -> SendError {
    match error {
        ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            SendError::NotSent("connection refused".into())
        }
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            SendError::NotSent(error.to_string())
        }
        _ => SendError::Lost(error.to_string()),
    }
}

fn read_answer(address: &str, status: u16, text: &str) -> Result<Value> {
    serde_json::from_str(text).map_err(|_| anyhow!("{address}: status {status}: {}", text.trim()))
}
