use {
    super::schema_diff::Difference,
    serde_json::Value,
    std::fmt::{self, Write as _},
};

/// Formats an answer to `status`.
pub(super) fn status_text(status: &Value) -> String {
    let mut out = String::new();
    let field = |name: &str| plain(&status[name]);
    let _ = writeln!(
        out,
        "host {}  session {}  lease left {} ms\nrevision {}  applied {}  leader {}",
        field("host"),
        field("session"),
        field("lease_left_ms"),
        field("revision"),
        field("applied"),
        field("leader"),
    );
    section(&mut out, "sessions", &status["sessions"], session_line);
    section(&mut out, "ranges", &status["ranges"], range_line);
    section(&mut out, "drains", &status["drains"], |d| {
        format!("{} {}", plain(&d["host"]), plain(&d["server"]))
    });
    section(
        &mut out,
        "evacuated failure domains",
        &status["evacuations"],
        plain,
    );
    section(
        &mut out,
        "requests that were running when a server crashed (quarantined after 2 crashes)",
        &status["suspects"],
        |s| {
            format!(
                "{} {} crashes {}",
                plain(&s["fingerprint"]),
                plain(&s["service"]),
                plain(&s["crashes"])
            )
        },
    );
    section(&mut out, "last decisions", &status["decisions"], decision_line);
    out
}

/// Formats an answer to `explain`.
pub(super) fn explain_text(answer: &Value) -> String {
    let mut out = String::new();
    if let Value::Object(fields) = answer {
        for (name, value) in fields {
            let _ = writeln!(out, "{:<16} {}", name.replace('_', " "), plain(value));
        }
    }
    out
}

/// Formats an answer to `split status`.
pub(super) fn split_text(split: &Value) -> String {
    if split["declared"] != true {
        return "the schema declares no split\n".into();
    }
    let left = |name: &str| plain(&split["left"][name]);
    format!(
        "stage {}\nranges {}  on servers of the other half {}  without an owner {}\nsessions of the second half {}\n",
        plain(&split["stage"]),
        left("ranges"),
        left("misplaced"),
        left("unowned"),
        left("second_sessions")
    )
}

/// Formats an answer to `evacuate list` or to a dry run.
pub(super) fn evacuation_text(answer: &Value) -> String {
    let mut out = String::new();
    let listed = answer["evacuations"].as_array().map_or(&[][..], Vec::as_slice);
    if listed.is_empty() {
        return "no failure domain is evacuated\n".into();
    }
    for evacuation in listed {
        let since = match &evacuation["since"] {
            Value::Null => "not evacuated".to_owned(),
            since => format!("evacuated since change {}", plain(since)),
        };
        let _ = writeln!(
            out,
            "{}  {since}  ranges {}",
            plain(&evacuation["failure_domain"]),
            plain(&evacuation["ranges"])
        );
        section(&mut out, "servers", &evacuation["servers"], |s| {
            format!(
                "{} {} of host {}",
                plain(&s["service"]),
                plain(&s["address"]),
                plain(&s["host"])
            )
        });
        section(
            &mut out,
            "services without a server during the evacuation",
            &evacuation["services_without_servers"],
            plain,
        );
    }
    out
}

/// Formats an answer to `control`.
pub(super) fn control_text(answer: &Value) -> String {
    let mut out = String::new();
    if let Some(refused) = answer.get("refused") {
        let _ = writeln!(out, "refused: {}", plain(&refused["reason"]));
        return out;
    }
    let _ = writeln!(out, "term {}", plain(&answer["term"]));
    for member in answer["members"].as_array().map_or(&[][..], Vec::as_slice) {
        let _ = writeln!(
            out,
            "{:<18} {:<22} {:<10} lag {:<8} silent {} ms",
            plain(&member["id"]),
            plain(&member["address"]),
            plain(&member["role"]),
            plain(&member["lag"]),
            plain(&member["silent_ms"])
        );
    }
    out
}

/// Formats the differences between two schema files, one per line.
pub(super) fn diff_text(differences: &[Difference]) -> String {
    let mut out = String::new();
    for difference in differences {
        let _ = writeln!(out, "{difference}");
    }
    out
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (None, None) => Ok(()),
        }
    }
}

fn section(out: &mut String, title: &str, list: &Value, line: impl Fn(&Value) -> String) {
    let Some(list) = list.as_array().filter(|list| !list.is_empty()) else {
        return;
    };
    let _ = writeln!(out, "\n{title}");
    for entry in list {
        let _ = writeln!(out, "  {}", line(entry).trim_end());
    }
}

fn session_line(session: &Value) -> String {
    let servers = session["servers"].as_array().map_or(&[][..], Vec::as_slice);
    let servers: Vec<String> = servers
        .iter()
        .map(|s| format!("{} {}", plain(&s["service"]), plain(&s["address"])))
        .collect();
    format!(
        "{:<6} {:<16} {:<12} {}",
        plain(&session["session"]),
        plain(&session["host"]),
        plain(&session["failure_domain"]),
        servers.join(", ")
    )
}

fn range_line(range: &Value) -> String {
    format!(
        "{:<16} {:<24} {:<22} epoch {}{}",
        plain(&range["service"]),
        plain(&range["range"]),
        plain(&range["server"]),
        plain(&range["epoch"]),
        if range["moving"] == true { "  moving" } else { "" }
    )
}

fn decision_line(decision: &Value) -> String {
    format!("{:<8} {}", plain(&decision["index"]), plain(&decision["text"]))
}

/// Formats a value: a string without quotes, null as a dash, anything else as JSON.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
