//! Runs `clementinectl` against daemons and checks answers, exit codes, resent commands and the reload of keys.

mod support;

use {
    rustix::process::Signal,
    serde_json::{json, Value},
    std::{
        fs,
        process::{Command, Output},
        time::Duration,
    },
    support::{wait_until, Cluster, ClusterPlan, StandinPlan},
};

/// Timeout for conditions that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const NEW_KEY: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";

fn schema(park_ms: u32) -> Value {
    json!({ "cluster": "test", "services": [{
        "name": "ledger", "divided_by_key": true, "boundaries": ["m"], "checks_fencing": true, "park_ms": park_ms,
        "calls": [{ "name": "read", "method": "GET", "path": "/read", "idempotent": true }]
    }] })
}

fn cluster(hosts: usize) -> Cluster {
    let mut cluster = Cluster::start(&ClusterPlan {
        hosts,
        ..ClusterPlan::default()
    });
    for host in 0..hosts {
        cluster.start_server(StandinPlan {
            host,
            ..StandinPlan::default()
        });
    }
    wait_until("the daemon answers", WAIT_TIMEOUT, || {
        cluster.ask(0, "show").is_some()
    });
    cluster.apply(0, &schema(1000));
    wait_until("the ranges are owned", WAIT_TIMEOUT, || {
        let status = cluster.ask(0, "status").unwrap_or_default();
        let ranges = status["ranges"].as_array().cloned().unwrap_or_default();
        let sessions = status["sessions"].as_array().map_or(0, Vec::len);
        sessions == hosts && !ranges.is_empty() && ranges.iter().all(|r| !r["server"].is_null())
    });
    write(&cluster, "schema.json", &schema(1000).to_string());
    cluster
}

fn write(cluster: &Cluster, file: &str, text: &str) {
    fs::write(cluster.dir.path().join(file), text).unwrap();
}

fn run(cluster: &Cluster, addresses: &[String], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_clementinectl"));
    for address in addresses {
        command.args(["--address", address]);
    }
    command.args(["--key-file", "test.keys"]).args(args);
    command.current_dir(cluster.dir.path()).output().unwrap()
}

fn ctl(cluster: &Cluster, args: &[&str]) -> Output {
    run(cluster, &[cluster.hosts[0].operator.to_string()], args)
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

#[test]
fn answers_and_exit_codes() {
    let cluster = cluster(1);
    let shown = stdout(&ctl(&cluster, &["--output", "json", "show"]));
    let old: Value = serde_json::from_str(&shown).unwrap();
    let old = old["revision"].as_str().unwrap();
    write(&cluster, "new.json", &schema(500).to_string());
    write(
        &cluster,
        "foreign.json",
        &schema(1).to_string().replace("\"test\"", "\"other\""),
    );
    let long_id = "x".repeat(129);
    let id = cluster.command_id();
    let first = ["--command-id", &id, "apply", "new.json"];
    let cases: [(&str, Vec<&str>, i32, &str); 22] = [
        (
            "plan",
            vec!["plan", "new.json"],
            0,
            "~ services[ledger].park_ms: 1000 -> 500",
        ),
        (
            "diff of equal files",
            vec!["diff", "schema.json", "schema.json"],
            0,
            "no difference",
        ),
        (
            "diff with the schema in force",
            vec!["diff", "schema.json"],
            0,
            "no difference",
        ),
        ("apply", first.to_vec(), 0, "accepted"),
        ("the same again", first.to_vec(), 0, "accepted"),
        (
            "conflict",
            vec!["apply", "schema.json", "--base", old],
            3,
            "conflict",
        ),
        ("foreign schema", vec!["apply", "foreign.json"], 4, "cluster"),
        ("drain of an unknown host", vec!["drain", "host-9"], 4, "host"),
        ("drain", vec!["drain", "host-1"], 0, "accepted"),
        ("undrain", vec!["undrain", "host-1"], 0, "accepted"),
        (
            "undrain against an older revision",
            vec!["undrain", "host-1", "--base", old],
            3,
            "conflict",
        ),
        ("undrain twice", vec!["undrain", "host-1"], 4, "refused"),
        (
            "command id too long",
            vec!["--command-id", &long_id, "undrain", "host-1"],
            4,
            "command_id",
        ),
        ("split that is not declared", vec!["split", "start"], 4, "refused"),
        ("split status", vec!["split", "status"], 0, "declares no split"),
        ("control hosts", vec!["control", "status"], 0, "leader"),
        ("invalid fingerprint", vec!["release", "xyz"], 4, "fingerprint"),
        ("nothing to release", vec!["release", "00112233"], 4, "refused"),
        (
            "no such member",
            vec!["control", "remove", "00112233445566aa"],
            4,
            "refused",
        ),
        ("wait", vec!["wait"], 0, "is in force"),
        (
            "apply and wait",
            vec!["apply", "schema.json", "--wait"],
            0,
            "accepted",
        ),
        ("status", vec!["status"], 0, "ledger"),
    ];
    let mut applied = Vec::new();
    for (name, args, expected, text) in cases {
        let output = ctl(&cluster, &args);
        let printed = stdout(&output);
        assert_eq!(code(&output), expected, "{name}: {printed}{}", stderr(&output));
        assert!(printed.contains(text), "{name}: {printed}");
        if name.contains("the same") || name == "apply" {
            applied.push(printed);
        }
    }
    assert_eq!(applied[0], applied[1], "a resend gets the first answer");
}

#[test]
fn addresses_in_turn() {
    let cluster = cluster(2);
    let live = cluster.hosts[1].operator.to_string();
    // Nothing listens on port 9 of this address.
    let refusing = "127.0.0.1:9".to_owned();
    let output = run(&cluster, &[refusing.clone(), live], &["status"]);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let output = run(&cluster, &[refusing], &["drain", "host-1"]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("127.0.0.1:9"));
}

/// A stopped process accepts the connection but gives no answer, so the outcome of the command is unknown. The error
/// must name the command id with which the operator can resend it.
#[test]
fn lost_answer_can_be_resent() {
    let cluster = cluster(1);
    cluster.signal_host(0, Signal::STOP);
    let id = cluster.command_id();
    let args = [
        "--command-id",
        &id,
        "apply",
        "schema.json",
        "--base",
        "1-0000000000000000",
    ];
    let output = ctl(&cluster, &args);
    cluster.signal_host(0, Signal::CONT);
    assert_eq!(code(&output), 5, "{}", stderr(&output));
    assert!(
        stderr(&output).contains(&format!("--command-id {id}")),
        "{}",
        stderr(&output)
    );
}

#[test]
fn explain_owner_and_call() {
    let cluster = cluster(1);
    let explain = |args: &[&str]| {
        let mut all = vec![
            "--output",
            "json",
            "explain",
            "--service",
            "ledger",
            "--path",
            "/read",
        ];
        all.extend(args);
        ctl(&cluster, &all)
    };
    let output = explain(&["--key", "alpha"]);
    let answer: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(answer["range"], "[, m)");
    assert_eq!(answer["host"], "host-1");
    assert_eq!(answer["kind"], "read");
    assert_eq!(
        answer["owner"].as_str(),
        cluster.owner_of_key(0, "alpha").as_deref()
    );
    let why = answer["why"].as_str().unwrap();
    assert!(why.contains("assigned to"), "{why}");
    let call = answer["a_call_now"].as_str().unwrap();
    assert!(call.contains("behind this daemon"), "{call}");
    let output = explain(&["--key", "base64:%"]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("key"), "{}", stderr(&output));
}

#[test]
fn live_key_reload() {
    let cluster = cluster(1);
    let old_key = fs::read_to_string(cluster.dir.path().join("test.keys")).unwrap();
    write(&cluster, "new.keys", NEW_KEY);
    let with_new = || {
        let key_file = ["--key-file", "new.keys", "status"];
        let mut command = Command::new(env!("CARGO_BIN_EXE_clementinectl"));
        command.args(["--address", &cluster.hosts[0].operator.to_string()]);
        command.args(key_file).current_dir(cluster.dir.path());
        command.output().unwrap()
    };
    let refused = with_new();
    assert_eq!(code(&refused), 1);
    assert!(stderr(&refused).contains("401"), "{}", stderr(&refused));
    // The log thread writes asynchronously.
    wait_until("the refusal is logged", WAIT_TIMEOUT, || {
        cluster.log("host-1").contains("CF3101")
    });

    write(&cluster, "test.keys", "no key at all");
    cluster.signal_host(0, Signal::HUP);
    wait_until("the invalid file is reported", WAIT_TIMEOUT, || {
        cluster.log("host-1").contains("CF3104")
    });
    write(&cluster, "test.keys", &format!("{NEW_KEY}\n{old_key}\n"));
    cluster.signal_host(0, Signal::HUP);
    wait_until("both keys are accepted", WAIT_TIMEOUT, || {
        code(&with_new()) == 0 && cluster.ask(0, "status").is_some_and(|s| s["host"] == "host-1")
    });
}
