use {
    super::operator_client::OperatorClient,
    anyhow::{bail, Result},
    serde_json::Value,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two queries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Repeats a query until `pending` returns `None`, and returns the last answer. Until then `pending` describes what
/// is left, which is printed to stderr whenever it changes.
///
/// # Errors
/// Returns an error if no daemon answers, or if something is left after `timeout`.
pub(super) fn wait_until(
    client: &OperatorClient,
    query: &str,
    timeout: Duration,
    pending: impl Fn(&Value) -> Option<String>,
) -> Result<Value> {
    let started = Instant::now();
    let mut printed_status = String::new();
    loop {
        let answer = client.query(query)?;
        let Some(status) = pending(&answer) else {
            return Ok(answer);
        };
        if status != printed_status {
            eprintln!("{status}");
            printed_status = status;
        }
        if started.elapsed() >= timeout {
            bail!("after {} ms: {printed_status}", timeout.as_millis());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a line that names the sessions which have not applied the revision in an answer to `in-force`, or `None`
/// if all have.
pub(super) fn sessions_behind(answer: &Value) -> Option<String> {
    if answer["in_force"] == true {
        return None;
    }
    let revision = answer["revision"].as_str().unwrap_or("?");
    match answer["behind"].as_array() {
        Some(behind) => {
            let hosts: Vec<String> = behind.iter().map(host_text).collect();
            Some(format!("{revision} is not applied by {}", hosts.join(", ")))
        }
        None => Some(format!("{revision}: the leader does not answer")),
    }
}

fn host_text(behind: &Value) -> String {
    behind.as_str().map_or_else(|| behind.to_string(), str::to_owned)
}

/// Returns a line with the number of ranges that a host, or one of its servers, owns in an answer to `status`, or
/// `None` if it owns none. An empty `server` means all servers of the host.
pub(super) fn ranges_left(status: &Value, host: &str, server: &str) -> Option<String> {
    let sessions = status["sessions"].as_array().map_or(&[][..], Vec::as_slice);
    let of_host = sessions.iter().find(|s| s["host"] == host)?;
    let ranges = status["ranges"].as_array().map_or(&[][..], Vec::as_slice);
    let owned =
        |r: &&Value| r["session"] == of_host["session"] && (server.is_empty() || r["server"] == server);
    match ranges.iter().filter(owned).count() {
        0 => None,
        count => Some(format!("{host}: {count} ranges left")),
    }
}
