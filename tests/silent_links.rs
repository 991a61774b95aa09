//! Daemons whose open connections to a control host carry nothing any more, while new ones work. The test itself acts as
//! the control host, behind a proxy.

#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;

use {
    clementinefold::{
        link::{serve_links, KeyRing, LinkIdentity},
        schema::PackedText,
        wire::{
            control::{change, operator_command, Change, Committed, OperatorCommand, VersionedSchema},
            peer::{frame::Body, InForceAnswer, OpenSessionAnswer, RenewAnswer, WatchAnswer},
        },
    },
    processes::{free_address, Process},
    serde_json::json,
    std::{
        cell::Cell,
        fs,
        net::SocketAddr,
        path::Path,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        runtime::Builder,
        sync::Notify,
        task::{spawn_local, LocalSet},
        time::{sleep, timeout},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a disturbance no longer excuses a daemon.
const STABILITY_WINDOW: Duration = Duration::from_millis(3000);
/// Time for which calls are observed after that.
const OBSERVED: Duration = Duration::from_millis(3000);
/// Time for which a control host holds a watch without changes.
const WATCH_TIME: Duration = Duration::from_millis(1000);

/// A control host that leads.
#[derive(Default)]
struct Control {
    /// Log index of the newest configuration. The changes before it replace the configuration too.
    newest: Cell<u64>,
    changed: Notify,
}

impl Control {
    async fn answer(self: Rc<Self>, body: Body) -> Option<Body> {
        match body {
            Body::Watch(watch) => {
                if watch.applied >= self.newest.get() {
                    let _ = timeout(WATCH_TIME, self.changed.notified()).await;
                }
                let missing = watch.applied + 1..=self.newest.get();
                Some(Body::WatchAnswer(WatchAnswer {
                    changes: missing.map(schema_change).collect(),
                    ..WatchAnswer::default()
                }))
            }
            Body::OpenSession(_) => Some(Body::OpenSessionAnswer(OpenSessionAnswer {
                session: 1,
                index: 1,
                ..OpenSessionAnswer::default()
            })),
            Body::Renew(renew) => Some(Body::RenewAnswer(RenewAnswer {
                session: renew.session,
                sent_at_ms: renew.sent_at_ms,
                renewed: true,
                revision: self.newest.get(),
                ..RenewAnswer::default()
            })),
            Body::InForce(_) => Some(Body::InForceAnswer(InForceAnswer {
                known: true,
                committed: self.newest.get(),
                revision: Some(self.newest.get()),
                ..InForceAnswer::default()
            })),
            _ => None,
        }
    }

    fn commit_configuration(&self) {
        self.newest.set(self.newest.get() + 1);
        self.changed.notify_waiters();
    }
}

/// Returns the change at a log index. It has a route of host `v` with its index, and no other.
fn schema_change(index: u64) -> Committed {
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "s" }],
        "routes": [{
            "name": "r", "host": format!("v{index}"), "path_prefix": "/", "timeout_ms": 900, "attempts": 1,
            "targets": [{ "service": "s", "weight": 1 }]
        }]
    });
    let versioned = VersionedSchema {
        version: index,
        packed_schema: PackedText::pack(schema.to_string().as_bytes()).as_bytes().clone(),
        ..VersionedSchema::default()
    };
    Committed {
        index,
        change: Some(Change {
            proposed_at_ms: 0,
            body: Some(change::Body::OperatorCommand(OperatorCommand {
                body: Some(operator_command::Body::ReplaceSchema(versioned)),
                ..OperatorCommand::default()
            })),
        }),
    }
}

async fn serve_control(control: Rc<Control>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = LinkIdentity {
        cluster: "test".into(),
        host: "control-1".into(),
        peer_address: address.to_string(),
        keys: Rc::new(KeyRing::unauthenticated()),
    };
    let discard_log = slog::Logger::root(slog::Discard, slog::o!());
    let handler = move |body| control.clone().answer(body);
    spawn_local(serve_links(listener, identity, discard_log, handler));
    address
}

/// Forwards connections. Those that are open when [`Self::silence`] is called take bytes on, but deliver none.
#[derive(Default)]
struct Proxy {
    silenced_before: Cell<u32>,
    accepted: Cell<u32>,
}

impl Proxy {
    async fn start(self: Rc<Self>, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = self.accepted.replace(self.accepted.get() + 1);
                let server = TcpStream::connect(target).await.unwrap();
                let (client_reader, client_writer) = client.into_split();
                let (server_reader, server_writer) = server.into_split();
                spawn_local(self.clone().forward(number, client_reader, server_writer));
                spawn_local(self.clone().forward(number, server_reader, client_writer));
            }
        });
        address
    }

    async fn forward(self: Rc<Self>, number: u32, mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf) {
        let mut buf = [0; 16 * 1024];
        while let Ok(n @ 1..) = reader.read(&mut buf).await {
            if number >= self.silenced_before.get() && writer.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    fn silence(&self) {
        self.silenced_before.set(self.accepted.get());
    }
}

/// Starts a daemon that knows one control host. Returns the process and the address for callers.
fn start_daemon(dir: &Path, control: SocketAddr) -> (Process, SocketAddr) {
    let callers = free_address();
    let settings = json!({
        "cluster": "test",
        "host": "host-1",
        "failure_domain": "domain-1",
        "region": "region-1",
        "caller_address": callers.to_string(),
        "server_address": free_address().to_string(),
        "peer_address": free_address().to_string(),
        "control_hosts": [control.to_string()],
        "services": ["s"],
        "unauthenticated_links": true,
        "lease": {
            "ttl_ms": 3000, "renew_ms": 500, "drift_ms": 100, "election_ms": 300, "config_lag_ms": 4000,
            "config_fresh_ms": 1800
        },
        "log": { "format": "json", "level": "info" },
    });
    fs::write(dir.join("daemon.json"), settings.to_string()).unwrap();
    let args = ["--settings".into(), "daemon.json".into()];
    let program = env!("CARGO_BIN_EXE_clementined");
    (Process::start(program, &args, dir, "daemon.log"), callers)
}

/// Calls the route of `host`. Returns the reason of the answer.
async fn call(callers: SocketAddr, host: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return "no connection".into();
    };
    let request =
        format!("GET /x HTTP/1.1\r\nFold-Host: {host}\r\nHost: daemon\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let reason = text.lines().find_map(|line| line.strip_prefix("fold-reason: "));
    reason.unwrap_or_default().to_owned()
}

async fn wait_until_served(callers: SocketAddr, host: &str, log: &Path) {
    let served = timeout(WAIT_TIMEOUT, async {
        while call(callers, host).await != "no-server" {
            sleep(POLL_INTERVAL).await;
        }
    });
    assert!(served.await.is_ok(), "{}", fs::read_to_string(log).unwrap());
}

/// A configuration that is committed while all open connections to the control host carry nothing is in force once the
/// daemon is no longer excused.
#[test]
fn new_configuration_in_force() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("daemon.log");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let control = Rc::new(Control::default());
        control.commit_configuration();
        let proxy = Rc::new(Proxy::default());
        let address = proxy.clone().start(serve_control(control.clone()).await).await;
        let (_daemon, callers) = start_daemon(dir.path(), address);
        wait_until_served(callers, "v1", &log).await;

        proxy.silence();
        let silent_since = Instant::now();
        control.commit_configuration();
        sleep(STABILITY_WINDOW).await;
        while silent_since.elapsed() < STABILITY_WINDOW + OBSERVED {
            let reason = call(callers, "v2").await;
            assert_eq!(
                reason,
                "no-server",
                "{:?} after the links fell silent: {}",
                silent_since.elapsed(),
                fs::read_to_string(&log).unwrap()
            );
            sleep(POLL_INTERVAL).await;
        }
    });
}
