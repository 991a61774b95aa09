//! An invalid settings file is refused with one error line that names the field, and the daemon does not start.

#[path = "support/bad_file.rs"]
mod bad_file;

use {
    bad_file::{check_cases, BadFile},
    serde_json::{json, Value},
    std::process::Command,
};

fn valid_settings() -> Value {
    json!({
        "cluster": "agency", "host": "ba-a-1", "failure_domain": "ba-a", "region": "sk-zapad",
        "caller_address": "127.0.0.1:7110", "server_address": "127.0.0.1:7111",
        "operator_address": "127.0.0.1:7112", "peer_address": "127.0.0.1:7113",
        "control_hosts": ["127.0.0.1:7113", "127.0.0.1:7123"],
        "services": ["ucty"],
        "control": { "data_dir": "data", "first_voters": ["127.0.0.1:7113"] },
        "peer_key_file": "peer.keys", "operator_key_file": "operator.keys",
        "log": {}, "caller_limits": {}, "lease": {}, "killed_after": "6s"
    })
}

fn check_command(file: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementined"));
    command.args(["check", "--settings", file]);
    command
}

fn serve_command(file: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementined"));
    command.args(["--settings", file]);
    command
}

const CASES: &[BadFile] = &[
    ("no unit", "/killed_after", r#""6""#, "killed_after: "),
    ("a sign", "/killed_after", r#""-6s""#, "killed_after: "),
    ("too short", "/killed_after", r#""99ms""#, "killed_after: "),
    ("no cluster", "/cluster", "null", "cluster: "),
    ("empty host", "/host", r#""""#, "host: a name is needed"),
    ("capital host", "/host", r#""BA""#, r#"host: "BA" is not"#),
    (
        "space in domain",
        "/failure_domain",
        r#""ba a""#,
        "failure_domain: ",
    ),
    ("region is a number", "/region", "7", "region: invalid type"),
    ("no port", "/caller_address", r#""127.0.0.1""#, "caller_address: "),
    (
        "host name for IP",
        "/peer_address",
        r#""localhost:7113""#,
        "peer_address: ",
    ),
    (
        "port 0",
        "/operator_address",
        r#""127.0.0.1:0""#,
        "operator_address: the port",
    ),
    (
        "port 70000",
        "/server_address",
        r#""127.0.0.1:70000""#,
        "server_address: ",
    ),
    (
        "same address twice",
        "/server_address",
        r#""127.0.0.1:7110""#,
        "server_address: 127.0.0.1:7110 is already",
    ),
    (
        "unspecified IP on the same port",
        "/caller_address",
        r#""0.0.0.0:7112""#,
        "operator_address: 127.0.0.1:7112 is already",
    ),
    (
        "server address on every IP",
        "/server_address",
        r#""0.0.0.0:7111""#,
        "server_address: an IP of this host",
    ),
    (
        "no control hosts",
        "/control_hosts",
        "[]",
        "control_hosts: at least one",
    ),
    (
        "control host twice",
        "/control_hosts/1",
        r#""127.0.0.1:7113""#,
        "control_hosts[1]: ",
    ),
    (
        "bad control host",
        "/control_hosts/1",
        r#""x""#,
        "control_hosts[1]: ",
    ),
    (
        "not among control hosts",
        "/control_hosts",
        r#"["127.0.0.1:7123"]"#,
        "control_hosts: ",
    ),
    (
        "nine control hosts",
        "/control_hosts",
        r#"["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1","10.0.0.4:1","10.0.0.5:1","10.0.0.6:1","10.0.0.7:1","10.0.0.8:1","10.0.0.9:1"]"#,
        "control_hosts: 9 are listed",
    ),
    ("service twice", "/services", r#"["a", "a"]"#, "services[1]: "),
    (
        "no data folder",
        "/control/data_dir",
        r#""""#,
        "control.data_dir: ",
    ),
    (
        "voters without this host",
        "/control/first_voters",
        r#"["127.0.0.1:7123"]"#,
        "control.first_voters: ",
    ),
    (
        "voter not a control host",
        "/control/first_voters",
        r#"["127.0.0.1:7113", "127.0.0.1:9"]"#,
        "control.first_voters[1]: ",
    ),
    ("unknown field", "/colour", "1", "colour: unknown field"),
    (
        "unknown field within",
        "/control/disk",
        "1",
        "control.disk: unknown field",
    ),
    ("no peer keys", "/peer_key_file", r#""""#, "peer_key_file: "),
    ("bad statsd", "/statsd_address", r#""x""#, "statsd_address: "),
    ("bad log format", "/log/format", r#""xml""#, "log.format: "),
    ("bad log level", "/log/level", r#""loud""#, "log.level: "),
    (
        "no connections",
        "/caller_limits/connections",
        "0",
        "caller_limits.connections: 0 is not within",
    ),
    (
        "negative number",
        "/caller_limits/read_ms",
        "-1",
        "caller_limits.read_ms: ",
    ),
    (
        "renewal slower than half the lease",
        "/lease/renew_ms",
        "400",
        "lease.renew_ms: ",
    ),
    (
        "drift above a quarter",
        "/lease/drift_ms",
        "200",
        "lease.drift_ms: ",
    ),
    (
        "lag above 8 s",
        "/lease/config_lag_ms",
        "9000",
        "lease.config_lag_ms: ",
    ),
    (
        "freshness below the renewal interval",
        "/lease/config_fresh_ms",
        "5",
        "lease.config_fresh_ms: ",
    ),
];

#[test]
fn check_refuses() {
    check_cases(&valid_settings(), CASES, check_command);
}

#[test]
fn start_refuses() {
    check_cases(&valid_settings(), &CASES[..3], serve_command);
}

#[test]
fn broken_json() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.json");
    for text in ["", "{", "[]", r#"{"cluster": "a", "cluster": "b"}"#, "{} {}"] {
        std::fs::write(&path, text).unwrap();
        bad_file::error_line(&mut check_command(path.to_str().unwrap()));
    }
}

#[test]
fn good_file_passes() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.json");
    std::fs::write(&path, valid_settings().to_string()).unwrap();
    assert!(check_command(path.to_str().unwrap()).status().unwrap().success());
}

/// The settings that `example-settings` prints must pass `check`.
#[test]
fn example_is_good() {
    let output = Command::new(env!("CARGO_BIN_EXE_clementined"))
        .arg("example-settings")
        .output()
        .unwrap();
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("example.json");
    std::fs::write(&path, output.stdout).unwrap();
    assert!(check_command(path.to_str().unwrap()).status().unwrap().success());
}
