//! Daemons whose connections to control hosts carry nothing. The tests themselves act as the control hosts, behind proxies.

#[path = "support/fake_control.rs"]
mod fake_control;
#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;

use {
    clementinefold::wire::peer::{frame::Body, OpenSessionAnswer, RenewAnswer, WatchAnswer},
    fake_control::{call, schema_change, serve_control},
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
/// Time after which a configuration has to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2000);
/// Time for which calls are observed after that.
const OBSERVED: Duration = Duration::from_millis(3000);
/// Position of the control host that is asked to renew the session, the first one of the settings.
const LEADER: usize = 0;
/// Time for which a control host holds a watch without changes.
const WATCH_TIME: Duration = Duration::from_millis(1000);

/// The control hosts of a cell.
#[derive(Default)]
struct Control {
    /// Log index of the newest configuration. The changes before it replace the configuration too.
    newest: Cell<u64>,
    changed: Notify,
}

impl Control {
    /// Returns the answer of the leader, or that of another host if `leader` is the leader's address.
    async fn answer(self: Rc<Self>, leader: Option<SocketAddr>, body: Body) -> Option<Body> {
        if let Some(leader) = leader.map(|address| address.to_string()) {
            match body {
                Body::OpenSession(_) => {
                    return Some(Body::OpenSessionAnswer(OpenSessionAnswer {
                        declined: true,
                        leader,
                        ..OpenSessionAnswer::default()
                    }))
                }
                Body::Renew(renew) => {
                    return Some(Body::RenewAnswer(RenewAnswer {
                        session: renew.session,
                        sent_at_ms: renew.sent_at_ms,
                        declined: true,
                        leader,
                        ..RenewAnswer::default()
                    }))
                }
                _ => {}
            }
        }
        match body {
            Body::Watch(watch) => {
                if watch.applied >= self.newest.get() {
                    let _ = timeout(WATCH_TIME, self.changed.notified()).await;
                }
                let missing = watch.applied + 1..=self.newest.get();
                Some(Body::WatchAnswer(WatchAnswer {
                    changes: missing
                        .map(|index| schema_change(index, &format!("v{index}")))
                        .collect(),
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
            _ => None,
        }
    }

    /// Serves a control host, which leads unless `leader` is the leader's address.
    async fn serve(self: &Rc<Self>, leader: Option<SocketAddr>) -> SocketAddr {
        let control = self.clone();
        serve_control(move |body| control.clone().answer(leader, body)).await
    }

    fn commit_configuration(&self) {
        self.newest.set(self.newest.get() + 1);
        self.changed.notify_waiters();
    }
}

/// Forwards connections. A silenced one takes bytes, but delivers none.
#[derive(Default)]
struct Proxy {
    /// The connections before this one are silent.
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

    /// Silences the connections that are open.
    fn silence_open(&self) {
        self.silenced_before.set(self.accepted.get());
    }

    /// Silences all connections, including later ones.
    fn silence_all(&self) {
        self.silenced_before.set(u32::MAX);
    }
}

/// Starts a daemon that knows the control hosts `control`. Returns the process and the address for callers.
fn start_daemon(dir: &Path, control: &[SocketAddr]) -> (Process, SocketAddr) {
    let callers = free_address();
    let settings = json!({
        "cluster": "test",
        "host": "host-1",
        "failure_domain": "domain-1",
        "region": "region-1",
        "caller_address": callers.to_string(),
        "server_address": free_address().to_string(),
        "peer_address": free_address().to_string(),
        "control_hosts": control.iter().map(ToString::to_string).collect::<Vec<_>>(),
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

async fn wait_until_served(callers: SocketAddr, host: &str, log: &Path) {
    let served = timeout(WAIT_TIMEOUT, async {
        while call(callers, host).await.1 != "no-server" {
            sleep(POLL_INTERVAL).await;
        }
    });
    assert!(served.await.is_ok(), "{}", fs::read_to_string(log).unwrap());
}

/// Returns the position of the control host from which the daemon got its configuration.
fn watched_host(log: &Path, addresses: &[SocketAddr]) -> usize {
    let text = fs::read_to_string(log).unwrap();
    let in_force = text.lines().rfind(|line| line.contains("CF4111")).unwrap();
    let is_watched = |address: &SocketAddr| in_force.contains(&address.to_string());
    addresses.iter().position(is_watched).unwrap()
}

/// Checks that calls are decided by a configuration with the route of `host` once `limit` has passed.
async fn assert_in_force(callers: SocketAddr, host: &str, limit: Duration, log: &Path) {
    let committed_at = Instant::now();
    sleep(limit).await;
    while committed_at.elapsed() < limit + OBSERVED {
        assert_eq!(
            call(callers, host).await.1,
            "no-server",
            "{:?} after the commit: {}",
            committed_at.elapsed(),
            fs::read_to_string(log).unwrap()
        );
        sleep(POLL_INTERVAL).await;
    }
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
        let served = control.serve(None).await;
        let address = proxy.clone().start(served).await;
        let (_daemon, callers) = start_daemon(dir.path(), &[address]);
        wait_until_served(callers, "v1", &log).await;

        proxy.silence_open();
        control.commit_configuration();
        assert_in_force(callers, "v2", STABILITY_WINDOW, &log).await;
    });
}

/// A daemon that reaches only one of three control hosts, which is not the leader, gets a new configuration from it in
/// time.
#[test]
fn reachable_host_found_in_time() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("daemon.log");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let control = Rc::new(Control::default());
        control.commit_configuration();
        let proxies = [(); 3].map(|()| Rc::new(Proxy::default()));
        let mut addresses = Vec::new();
        for proxy in &proxies {
            let served = control.serve(addresses.first().copied()).await;
            addresses.push(proxy.clone().start(served).await);
        }
        let (_daemon, callers, watched) = loop {
            let (daemon, callers) = start_daemon(dir.path(), &addresses);
            wait_until_served(callers, "v1", &log).await;
            let watched = watched_host(&log, &addresses);
            // The host that is asked after the watched one has to be silent too.
            if watched == LEADER || (watched + 1) % 3 == LEADER {
                break (daemon, callers, watched);
            }
        };
        proxies[watched].silence_all();
        proxies[(watched + 1) % 3].silence_all();
        control.commit_configuration();
        assert_in_force(callers, "v2", IN_FORCE_LIMIT, &log).await;
    });
}
