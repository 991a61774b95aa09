use {
    crate::{edge::RequestProof, link::KeyRing},
    anyhow::{anyhow, bail, Context, Result},
    clap::ArgMatches,
    serde::Serialize,
    serde_json::Value,
    std::{io, path::Path, time::Duration},
    ureq::Agent,
};

/// Longest time for an answer of a daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a connection to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The daemons that are asked in turn, and the key to talk to them.
pub(super) struct Target {
    agent: Agent,
    addresses: Vec<String>,
    keys: KeyRing,
}

/// What is known of a changing request.
pub(super) enum Sent {
    /// A daemon answered.
    Answered(Value),
    /// It may have arrived at a daemon, but no answer came.
    Unknown(String),
}

/// Why an address gave no answer.
enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// The request may have arrived.
    Lost(String),
}

impl Target {
    /// Reads the addresses and the key of the command line.
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

    /// Asks a question of the first daemon that answers.
    pub(super) fn ask(&self, question: &str) -> Result<Value> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            match self.send(address, "GET", question, "") {
                Ok((status, text)) => return read_answer(address, status, &text),
                Err(Failure::NotSent(e) | Failure::Lost(e)) => failures.push(format!("{address}: {e}")),
            }
        }
        bail!("no daemon answered: {}", failures.join("; "))
    }

    /// Sends a changing request, which must be safe to send to several daemons in turn: it carries a command
    /// id, or asks for a membership that is the same after it was sent twice.
    pub(super) fn change(&self, name: &str, request: &impl Serialize) -> Result<Sent> {
        let body = serde_json::to_string(request)?;
        let mut failures = Vec::new();
        let mut may_have_arrived = false;
        for address in &self.addresses {
            match self.send(address, "POST", name, &body) {
                Ok((status, text)) => {
                    let answer = read_answer(address, status, &text)?;
                    if answer.get("unavailable").is_none() {
                        return Ok(Sent::Answered(answer));
                    }
                    may_have_arrived = true;
                    failures.push(format!("{address}: {answer}"));
                }
                Err(Failure::NotSent(e)) => failures.push(format!("{address}: {e}")),
                Err(Failure::Lost(e)) => {
                    may_have_arrived = true;
                    failures.push(format!("{address}: {e}"));
                }
            }
        }
        let failures = failures.join("; ");
        if may_have_arrived {
            return Ok(Sent::Unknown(failures));
        }
        bail!("no daemon answered: {failures}")
    }

    fn send(&self, address: &str, method: &str, name: &str, body: &str) -> Result<(u16, String), Failure> {
        let target = format!("/{name}");
        let proof = RequestProof::new(&self.keys, method, &target, body.as_bytes());
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{target}"))
            .header("authorization", proof.to_string())
            .body(body.to_owned())
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        let mut response = self.agent.run(request).map_err(|e| failure(&e))?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string();
        Ok((status, text.map_err(|e| Failure::Lost(e.to_string()))?))
    }
}

/// Only an error from before the connection stood proves that nothing was sent.
fn failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Failure::NotSent("nothing listens there".into())
        }
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            Failure::NotSent(error.to_string())
        }
        _ => Failure::Lost(error.to_string()),
    }
}

fn read_answer(address: &str, status: u16, text: &str) -> Result<Value> {
    serde_json::from_str(text).map_err(|_| anyhow!("{address}: status {status}: {}", text.trim()))
}
