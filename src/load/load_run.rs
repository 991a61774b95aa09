use {
    super::{load_report::Seen, LoadReport},
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

/// Time that a caller waits beyond the deadline before it gives up.
const GRACE: Duration = Duration::from_secs(2);

/// What to send, and where.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Caller addresses of daemons, taken in turn.
    pub addresses: Vec<SocketAddr>,
    /// Schema with the kinds of calls.
    pub schema: Schema,
    /// Connections that send calls, one at a time each.
    pub connections: u32,
    /// Calls in all.
    pub calls: u32,
    /// Keys that are used.
    pub keys: u32,
    /// Deadline of each call.
    pub deadline: Ms,
    /// Pause of a connection after each call.
    pub pause: Ms,
    /// Seed of the choice of calls and keys.
    pub seed: u64,
}

/// Sends the calls and returns how they ended.
///
/// # Errors
/// The schema has no calls, or a thread could not be started.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport> {
    if settings
        .schema
        .services
        .iter()
        .all(|service| service.calls.is_empty())
    {
        return Err(anyhow!("the schema has no kinds of calls"));
    }
    let mut report = LoadReport::default();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..settings.connections)
            .map(|n| scope.spawn(move || send_calls(settings, n)))
            .collect();
        for sender in senders {
            match sender.join() {
                Ok(part) => report.merge(part),
                Err(_) => return Err(anyhow!("a sending thread failed")),
            }
        }
        Ok(())
    })?;
    Ok(report)
}

/// Sends the share of one connection.
fn send_calls(settings: &LoadSettings, connection: u32) -> LoadReport {
    let mut rng = SmallRng::seed_from_u64(
        settings
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(connection.into()),
    );
    let timeout = settings.deadline.as_duration() + GRACE;
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .proxy(None);
    let agent: Agent = config.allow_non_standard_methods(true).build().into();
    let mut report = LoadReport::default();
    let share =
        settings.calls / settings.connections + u32::from(connection < settings.calls % settings.connections);
    for number in 0..share {
        let service = &settings.schema.services[rng.random_range(0..settings.schema.services.len())];
        let kind = &service.calls[rng.random_range(0..service.calls.len())];
        let address = settings.addresses[(connection + number) as usize % settings.addresses.len()];
        let key = key_text(rng.random_range(0..settings.keys));
        let id = format!("load-{}-{connection}-{number}", settings.seed);
        let started = Instant::now();
        let seen = send_call(&agent, address, service, kind, &key, &id, settings.deadline);
        report.count(
            &format!("{}/{}", service.name, kind.name),
            seen,
            started.elapsed().as_micros() as u64,
        );
        thread::sleep(settings.pause.as_duration());
    }
    report
}

/// Keys are spread over the letters, so that ranges by first letter are all used.
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
) -> Seen {
    let path = kind.path.trim_end_matches('/');
    let request = http::Request::builder()
        .method(kind.method.as_deref().unwrap_or("POST"))
        .uri(format!("http://{address}/{}{path}?id={id}", service.name))
        .header("fold-key", key)
        .header("fold-request-id", id)
        .header("fold-deadline-ms", deadline.0)
        .body(id.to_owned());
    let Ok(request) = request else {
        return Seen::NotRun;
    };
    let mut response = match agent.run(request) {
        Ok(response) => response,
        // Nothing was sent to a daemon that does not listen.
        Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => return Seen::NotRun,
        Err(_) => return Seen::Unknown,
    };
    let outcome = response
        .headers()
        .get("fold-outcome")
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let Ok(body) = response.body_mut().read_to_string() else {
        return Seen::Unknown;
    };
    match outcome.as_deref() {
        Some("answered") if body.contains(&format!("id={id} ")) => Seen::Answered,
        Some("answered") => Seen::Wrong,
        Some("not-run") => Seen::NotRun,
        Some(_) | None => Seen::Unknown,
    }
}
