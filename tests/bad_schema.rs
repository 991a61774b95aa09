//! An invalid schema file is refused with one error line that has the path of the field.

#[path = "support/bad_file.rs"]
mod bad_file;

use {
    bad_file::{check_cases, BadFile},
    serde_json::{json, Value},
    std::process::Command,
};

fn good() -> Value {
    json!({
        "cluster": "agency",
        "services": [{
            "name": "ucty", "divided_by_key": true, "boundaries": ["g", "p"],
            "weights": { "imbalance": 1, "churn": 9, "unavailable": 3 },
            "calls": [
                { "name": "switch-status", "method": "GET", "path": "/stav", "idempotent": true },
                { "name": "closure", "method": "POST", "path": "/zrusenie" }
            ]
        }, {
            "name": "portal-stav",
            "calls": [{ "name": "any", "method": "*", "path": "/" }]
        }],
        "split": {
            "first": {
                "name": "west", "failure_domains": ["ba-a"], "hosts": ["x"], "control_hosts": ["10.0.0.1:1"],
                "spans": [{ "service": "ucty", "end": "g" }]
            },
            "second": {
                "name": "east", "failure_domains": ["tt-c"], "hosts": ["y"], "control_hosts": ["10.0.0.2:1"],
                "spans": [{ "service": "ucty", "start": "g" }]
            }
        },
        "loss": {}
    })
}

fn check_command(file: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementinectl"));
    command.args(["check", file]);
    command
}

/// Returns an `apply` command. It checks the file before it connects to a daemon; there is none at port 9.
fn apply_command(file: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementinectl"));
    command.args(["--address", "127.0.0.1:9", "--key-file", "none", "apply", file]);
    command
}

const CASES: &[BadFile] = &[
    ("no cluster", "/cluster", "null", "cluster: a name is needed"),
    ("bad name", "/services/0/name", r#""U/C""#, "services[0].name: "),
    (
        "reserved name",
        "/services/0/name",
        r#""fold""#,
        "services[0].name: ",
    ),
    (
        "name twice",
        "/services/1/name",
        r#""ucty""#,
        "services[1].name: ",
    ),
    (
        "unknown field",
        "/services/0/colour",
        "1",
        "services[0].colour: unknown field",
    ),
    (
        "descending boundaries",
        "/services/0/boundaries",
        r#"["p", "g"]"#,
        "services[0].boundaries[1]: ",
    ),
    (
        "boundary twice",
        "/services/0/boundaries",
        r#"["g", "g"]"#,
        "services[0].boundaries[1]: ",
    ),
    (
        "empty boundary",
        "/services/0/boundaries",
        r#"[""]"#,
        "services[0].boundaries[0]: ",
    ),
    (
        "bad base64",
        "/services/0/boundaries",
        r#"["base64:%"]"#,
        "services[0].boundaries[0]: ",
    ),
    (
        "boundaries of an undivided service",
        "/services/1/boundaries",
        r#"["g"]"#,
        "services[1].boundaries: ",
    ),
    ("no kinds", "/services/0/calls", "[]", "services[0].calls: "),
    (
        "kind twice",
        "/services/0/calls/1/name",
        r#""switch-status""#,
        "services[0].calls[1].name: ",
    ),
    (
        "no method",
        "/services/0/calls/0/method",
        "null",
        "services[0].calls[0].method: ",
    ),
    (
        "method in lower case",
        "/services/0/calls/0/method",
        r#""get""#,
        "services[0].calls[0].method: ",
    ),
    (
        "no path",
        "/services/0/calls/0/path",
        "null",
        "services[0].calls[0].path: ",
    ),
    (
        "path with query",
        "/services/0/calls/0/path",
        r#""/a?b""#,
        "services[0].calls[0].path: ",
    ),
    (
        "kind never reached",
        "/services/0/calls/1",
        r#"{"name": "x", "method": "GET", "path": "/stav/x"}"#,
        "services[0].calls[1].path: ",
    ),
    (
        "deadline above its maximum",
        "/services/0/calls/0/deadline_ms",
        "40000",
        "services[0].calls[0].deadline_ms: ",
    ),
    (
        "deadline 0",
        "/services/0/calls/0/deadline_ms",
        "0",
        "services[0].calls[0].deadline_ms: ",
    ),
    (
        "maximum deadline too long",
        "/services/0/calls/0/max_deadline_ms",
        "600001",
        "services[0].calls[0].max_deadline_ms: ",
    ),
    (
        "priority 10",
        "/services/0/calls/0/priority",
        "10",
        "services[0].calls[0].priority: ",
    ),
    (
        "no attempts",
        "/services/0/calls/0/attempts",
        "0",
        "services[0].calls[0].attempts: ",
    ),
    (
        "answers kept too short",
        "/services/0/calls/0/answer_kept_ms",
        "1",
        "services[0].calls[0].answer_kept_ms: ",
    ),
    (
        "text for a number",
        "/services/0/calls/0/attempts",
        r#""3""#,
        "services[0].calls[0].attempts: invalid type",
    ),
    (
        "weight 101",
        "/services/0/weights/churn",
        "101",
        "services[0].weights.churn: ",
    ),
    (
        "no weight at all",
        "/services/0/weights",
        "{}",
        "services[0].weights: ",
    ),
    (
        "too many moves",
        "/services/0/moves_per_minute",
        "100001",
        "services[0].moves_per_minute: ",
    ),
    (
        "park time too long",
        "/services/0/park_ms",
        "60001",
        "services[0].park_ms: ",
    ),
    (
        "half without hosts",
        "/split/second",
        r#"{"name": "east"}"#,
        "split.second: ",
    ),
    ("no second half", "/split/second", "null", "split.second: "),
    (
        "halves share a name",
        "/split/second/name",
        r#""west""#,
        "split.second.name: ",
    ),
    (
        "halves share a domain",
        "/split/second/failure_domains",
        r#"["ba-a"]"#,
        "split.second.failure_domains: ",
    ),
    (
        "halves share a host",
        "/split/second/hosts",
        r#"["x"]"#,
        "split.second.hosts: ",
    ),
    (
        "halves share a control host",
        "/split/second/control_hosts",
        r#"["10.0.0.1:1"]"#,
        "split.second.control_hosts: ",
    ),
    (
        "halves share keys",
        "/split/second/spans/0/start",
        r#""f""#,
        "split.second.spans: ",
    ),
    (
        "empty span",
        "/split/first/spans/0/start",
        r#""g""#,
        "split.first.spans[0].end: ",
    ),
    (
        "span of an unknown service",
        "/split/first/spans/0/service",
        r#""x""#,
        "split.first.spans[0].service: ",
    ),
    (
        "span of an undivided service",
        "/split/first/spans/0/service",
        r#""portal-stav""#,
        "split.first.spans[0].service: ",
    ),
    (
        "share above 100",
        "/loss/move_at_once_percent",
        "101",
        "loss.move_at_once_percent: ",
    ),
    ("wait over a day", "/loss/wait_ms", "86400001", "loss.wait_ms: "),
];

#[test]
fn check_refuses_bad_files() {
    check_cases(&good(), CASES, check_command);
}

#[test]
fn apply_refuses_bad_files() {
    check_cases(&good(), CASES, apply_command);
}

#[test]
fn valid_file_accepted() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("schema.json");
    std::fs::write(&path, good().to_string()).unwrap();
    assert!(check_command(path.to_str().unwrap()).status().unwrap().success());
}

/// The example that the program prints passes its check.
#[test]
fn example_accepted() {
    let output = Command::new(env!("CARGO_BIN_EXE_clementinectl"))
        .arg("example-schema")
        .output()
        .unwrap();
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("example.json");
    std::fs::write(&path, output.stdout).unwrap();
    assert!(check_command(path.to_str().unwrap()).status().unwrap().success());
}
