use {
    super::{load_report::CallOutcome, LoadReport},
    crate::{
        clock::Ms,
        schema::{CallKind, Schema, Service},
    },
    anyhow::{anyhow, Result},
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{
        io::ErrorKind,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

/// Time after its deadline for which the generator still waits for the answer to a call.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses at which daemons accept calls, used in turn.
    pub addresses: Vec<SocketAddr>,
    /// Schema that declares the services and their kinds of call.
    pub schema: Schema,
    /// Number of connections. Each sends one call at a time.
    pub connections: u32,
    /// Number of calls on all connections together.
    pub calls: u32,
    /// Number of different keys.
    pub keys: u32,
    /// Deadline of each call.
    pub deadline: Ms,
    /// Pause of a connection after each call.
    pub pause: Ms,
    /// Seed for the random choice of services, kinds of call and keys.
    pub seed: u64,
}

/// Sends the calls and returns their outcomes.
///
/// # Errors
/// Fails if the schema declares no kinds of call or a connection thread panics.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport> {
    if settings
        .schema
        .services
        .iter()
        .all(|service| service.calls.is_empty())
    {
        return Err(anyhow!("the schema declares no kinds of call"));
    }
    let mut report = LoadReport::default();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..settings.connections)
            .map(|n| scope.spawn(move || send_calls(settings, n)))
            .collect();
        for sender in senders {
            match sender.join() {
                Ok(connection_report) => report.merge(connection_report),
                Err(_) => return Err(anyhow!("a connection thread panicked")),
            }
        }
        Ok(())
    })?;
    Ok(report)
}

/// Sends the calls of one connection, one after the other.
fn send_calls(settings: &LoadSettings, connection: u32) -> LoadReport {
    let mut rng = SmallRng::seed_from_u64(
        settings
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(connection.into()),
    );
    let timeout = settings.deadline.as_duration() + DEADLINE_GRACE;
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .proxy(None);
    let agent: Agent = config.allow_non_standard_methods(true).build().into();
    let mut report = LoadReport::default();
    let call_count =
        settings.calls / settings.connections + u32::from(connection < settings.calls % settings.connections);
    for number in 0..call_count {
        let service = &settings.schema.services[rng.random_range(0..settings.schema.services.len())];
        let kind = &service.calls[rng.random_range(0..service.calls.len())];
        let address = settings.addresses[(connection + number) as usize % settings.addresses.len()];
        let key = key_text(rng.random_range(0..settings.keys));
        let id = format!("load-{}-{connection}-{number}", settings.seed);
        let started = Instant::now();
        let outcome = send_call(&agent, address, service, kind, &key, &id, settings.deadline);
        report.count(
            &format!("{}/{}", service.name, kind.name),
            outcome,
            started.elapsed().as_micros() as u64,
        );
        thread::sleep(settings.pause.as_duration());
    }
    report
}

/// Returns a key whose first letter cycles through the alphabet, so that ranges by first letter are all used.
fn key_text(number: u32) -> String {
    let letter = char::from(b'a' + (number % 26) as u8);
    format!("{letter}{number:06}")
}

fn send_call(
    agent: &Agent,
    address: SocketAddr,
    service: &Service,
    kind: &CallKind,
    key: &str,
    id: &str,
    deadline: Ms,
) -> CallOutcome {
    let path = kind.path.trim_end_matches('/');
    let request = http::Request::builder()
        .method(kind.method.as_deref().unwrap_or("POST"))
        .uri(format!("http://{address}/{}{path}?id={id}", service.name))
        .header("fold-key", key)
        .header("fold-request-id", id)
        .header("fold-deadline-ms", deadline.0)
        .body(id.to_owned());
    let Ok(request) = request else {
        return CallOutcome::NotRun;
    };
    let mut response = match agent.run(request) {
        Ok(response) => response,
        // A refused connection means that nothing was sent.
        Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => return CallOutcome::NotRun,
        Err(_) => return CallOutcome::Unknown,
    };
    let outcome_header = response
        .headers()
        .get("fold-outcome")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let Ok(body) = response.body_mut().read_to_string() else {
        return CallOutcome::Unknown;
    };
    match outcome_header.as_deref() {
        Some("answered") if body.contains(&format!("id={id} ")) => CallOutcome::Answered,
        Some("answered") => CallOutcome::Wrong,
        Some("not-run") => CallOutcome::NotRun,
        Some(_) | None => CallOutcome::Unknown,
    }
}
