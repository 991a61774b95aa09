use {
    super::operator_client::Target,
    anyhow::{bail, Result},
    serde_json::Value,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two questions.
const PAUSE: Duration = Duration::from_millis(200);

/// Asks until `done` returns `None`. What it returns else is printed whenever it changes.
pub(super) fn wait_until(
    target: &Target,
    question: &str,
    patience: Duration,
    done: impl Fn(&Value) -> Option<String>,
) -> Result<Value> {
    let started = Instant::now();
    let mut told = String::new();
    loop {
        let answer = target.ask(question)?;
        let Some(left) = done(&answer) else {
            return Ok(answer);
        };
        if left != told {
            eprintln!("{left}");
            told = left;
        }
        if started.elapsed() >= patience {
            bail!("after {} ms: {told}", patience.as_millis());
        }
        thread::sleep(PAUSE);
    }
}

/// Tells which sessions lag behind, from an answer to `in-force`. `None`: none does.
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

/// Counts the ranges that a host, or one of its servers, owns in an answer to `status`.
/// `None`: none.
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
