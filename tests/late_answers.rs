//! Checks a daemon whose control host answers late, as over a saturated link. The test itself acts as the control host.

#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;

use {
    clementinefold::{
        link::{serve_links, KeyRing, LinkIdentity},
        schema::PackedText,
        wire::{
            control::{change, operator_command, Change, Committed, OperatorCommand, VersionedSchema},
            peer::{frame::Body, OpenSessionAnswer, ProposeAnswer, RenewAnswer, WatchAnswer},
        },
    },
    processes::{free_address, Process},
    serde_json::json,
    std::{cell::Cell, fs, future::Future, net::SocketAddr, path::Path, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        task::{spawn_local, LocalSet},
        time::{sleep, timeout},
    },
};

/// Delay of the answers. It is longer than a third of the lease of 3 s, and longer than a control host delays its
/// answer to a watch, but short enough for two answers to arrive within a lease.
const ANSWER_DELAY: Duration = Duration::from_millis(1600);
/// Number of renewals that are answered before the lease is checked.
const RENEWALS: u32 = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const SCHEMA: &str = r#"{"cluster":"test","services":[{"name":"s"}],"routes":[{"name":"r","host":"one","path_prefix":"/","timeout_ms":9,"attempts":1,"targets":[{"service":"s","weight":1}]}]}"#;

/// Number of control hosts that lag behind the leader and have no committed changes yet.
const LAGGING_HOSTS: usize = 7;

/// Numbers of answers that the control host has sent.
#[derive(Default)]
struct Answered {
    sessions: Cell<u32>,
    renewals: Cell<u32>,
}

fn schema_change() -> Committed {
    let versioned = VersionedSchema {
        version: 1,
        packed_schema: PackedText::pack(SCHEMA.as_bytes()).as_bytes().clone(),
        ..VersionedSchema::default()
    };
    Committed {
        index: 1,
        change: Some(Change {
            proposed_at_ms: 0,
            body: Some(change::Body::OperatorCommand(OperatorCommand {
                body: Some(operator_command::Body::ReplaceSchema(versioned)),
                ..OperatorCommand::default()
            })),
        }),
    }
}

async fn answer(body: Body, answered: Rc<Answered>) -> Option<Body> {
    Some(match body {
        Body::OpenSession(_) => {
            answered.sessions.set(answered.sessions.get() + 1);
            Body::OpenSessionAnswer(OpenSessionAnswer {
                session: 1,
                index: 1,
                ..OpenSessionAnswer::default()
            })
        }
        Body::Propose(_) => Body::ProposeAnswer(ProposeAnswer {
            index: 1,
            ..ProposeAnswer::default()
        }),
        Body::Renew(renew) => {
            sleep(ANSWER_DELAY).await;
            answered.renewals.set(answered.renewals.get() + 1);
            Body::RenewAnswer(RenewAnswer {
                session: renew.session,
                sent_at_ms: renew.sent_at_ms,
                renewed: true,
                revision: 1,
                ..RenewAnswer::default()
            })
        }
        Body::Watch(watch) => {
            sleep(ANSWER_DELAY).await;
            let changes = if watch.applied == 0 {
                vec![schema_change()]
            } else {
                vec![]
            };
            Body::WatchAnswer(WatchAnswer {
                changes,
                ..WatchAnswer::default()
            })
        }
        _ => return None,
    })
}

fn start_daemon(dir: &Path, control: &[SocketAddr], metrics: SocketAddr) -> Process {
    let control: Vec<String> = control.iter().map(ToString::to_string).collect();
    let settings = json!({
        "cluster": "test",
        "host": "host-1",
        "failure_domain": "domain-1",
        "region": "region-1",
        "caller_address": free_address().to_string(),
        "server_address": free_address().to_string(),
        "peer_address": free_address().to_string(),
        "metrics_address": metrics.to_string(),
        "control_hosts": control,
        "services": ["s"],
        "unauthenticated_links": true,
        "lease": { "ttl_ms": 3000, "renew_ms": 500, "drift_ms": 100 },
        "log": { "format": "json", "level": "info" },
    });
    fs::write(dir.join("daemon.json"), settings.to_string()).unwrap();
    let args = ["--settings".into(), "daemon.json".into()];
    Process::start(env!("CARGO_BIN_EXE_clementined"), &args, dir, "daemon.log")
}

/// Returns whether the daemon's metrics say that its lease is valid.
async fn lease_holds(metrics: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(metrics).await else {
        return false;
    };
    let request = b"GET /metrics HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
    let mut text = String::new();
    stream.write_all(request).await.unwrap();
    stream.read_to_string(&mut text).await.unwrap();
    text.contains("clementinefold_lease 1")
}

/// State of the daemon at the end of a run.
struct Observation {
    sessions: u32,
    lease_holds: bool,
    log: String,
}

/// Serves links at a new address.
async fn listen<H, F>(handler: H) -> SocketAddr
where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let identity = LinkIdentity {
        cluster: "test".into(),
        host: "control-1".into(),
        peer_address: address.to_string(),
        keys: Rc::new(KeyRing::unauthenticated()),
    };
    let discard_log = slog::Logger::root(slog::Discard, slog::o!());
    spawn_local(serve_links(listener, identity, discard_log, handler));
    address
}

/// Answers as a control host that has contact with the leader but none of the committed changes.
async fn answer_lagging(body: Body) -> Option<Body> {
    match body {
        Body::Watch(_) => {
            sleep(POLL_INTERVAL).await;
            Some(Body::WatchAnswer(WatchAnswer::default()))
        }
        Body::Renew(_) => Some(Body::RenewAnswer(RenewAnswer {
            declined: true,
            ..RenewAnswer::default()
        })),
        _ => None,
    }
}

/// Runs a daemon with a control host whose answers are late, and `lagging` hosts that lag, until `done` returns true.
fn with_late_control(lagging: usize, done: impl Fn(&Answered, &str) -> bool) -> Observation {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("daemon.log");
    let read_log = || fs::read_to_string(&log).unwrap();
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let answered = Rc::new(Answered::default());
        let for_links = answered.clone();
        let mut control = vec![listen(move |body| answer(body, for_links.clone())).await];
        for _ in 0..lagging {
            control.push(listen(answer_lagging).await);
        }
        let metrics = free_address();
        let _daemon = start_daemon(dir.path(), &control, metrics);
        let finished = timeout(WAIT_TIMEOUT, async {
            while !done(&answered, &read_log()) {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(
            finished.await.is_ok(),
            "condition not met in time: {}",
            read_log()
        );
        Observation {
            sessions: answered.sessions.get(),
            lease_holds: lease_holds(metrics).await,
            log: read_log(),
        }
    })
}

#[test]
fn lease_outlives_late_renewals() {
    let observed = with_late_control(0, |answered, _| answered.renewals.get() >= RENEWALS);
    assert!(observed.lease_holds, "{}", observed.log);
    assert!(
        !observed.log.contains("CF4003"),
        "the lease ran out: {}",
        observed.log
    );
    assert_eq!(observed.sessions, 1, "{}", observed.log);
}

#[test]
fn late_configuration_comes_into_force() {
    let observed = with_late_control(0, |_, log| log.contains("CF4111"));
    assert!(observed.log.contains(r#""version":1"#), "{}", observed.log);
}

#[test]
fn daemon_leaves_lagging_host() {
    let observed = with_late_control(LAGGING_HOSTS, |_, log| log.contains("CF4111"));
    assert!(observed.log.contains(r#""version":1"#), "{}", observed.log);
}
