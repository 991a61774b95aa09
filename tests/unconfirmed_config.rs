//! Calls to a daemon that has a configuration but has not learnt from a leader that it is the newest one. The test itself
//! acts as the control host.

#[path = "support/fake_control.rs"]
mod fake_control;
#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;

use {
    clementinefold::wire::{
        control::Committed,
        peer::{frame::Body, OpenSessionAnswer, RenewAnswer, WatchAnswer},
    },
    fake_control::{exchange, schema_change, serve_control},
    processes::{free_address, Process},
    serde_json::json,
    std::{cell::Cell, fs, future::pending, net::SocketAddr, path::Path, rc::Rc, time::Duration},
    tokio::{
        runtime::Builder,
        task::LocalSet,
        time::{sleep, timeout},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Log index of the newest configuration. The changes before it replace the configuration too.
const NEWEST: u64 = 2;

/// What the control host lets the daemon know.
#[derive(Default)]
struct Control {
    /// Log index up to which changes are sent.
    sent_until: Cell<u64>,
    /// Whether sessions are opened and renewed, and so the newest configuration is announced.
    opens_sessions: Cell<bool>,
}

impl Control {
    async fn answer(self: Rc<Self>, body: Body) -> Option<Body> {
        match body {
            Body::Watch(watch) => {
                while watch.applied >= self.sent_until.get() {
                    sleep(POLL_INTERVAL).await;
                }
                Some(Body::WatchAnswer(WatchAnswer {
                    changes: vec![configuration(watch.applied + 1)],
                    ..WatchAnswer::default()
                }))
            }
            _ if !self.opens_sessions.get() => pending().await,
            Body::OpenSession(_) => Some(Body::OpenSessionAnswer(OpenSessionAnswer {
                session: 1,
                index: 1,
                ..OpenSessionAnswer::default()
            })),
            Body::Renew(renew) => Some(Body::RenewAnswer(RenewAnswer {
                session: renew.session,
                sent_at_ms: renew.sent_at_ms,
                renewed: true,
                revision: NEWEST,
                ..RenewAnswer::default()
            })),
            _ => None,
        }
    }
}

/// Returns the change at a log index. Only the newest configuration has the route of host `new`.
fn configuration(index: u64) -> Committed {
    schema_change(index, if index == NEWEST { "new" } else { "old" })
}

/// A daemon process and its addresses.
struct Daemon {
    _process: Process,
    callers: SocketAddr,
    readiness: SocketAddr,
}

impl Daemon {
    fn start(dir: &Path, control: SocketAddr) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let settings = json!({
            "cluster": "test",
            "host": "host-1",
            "failure_domain": "domain-1",
            "region": "region-1",
            "caller_address": callers.to_string(),
            "readiness_address": readiness.to_string(),
            "server_address": free_address().to_string(),
            "peer_address": free_address().to_string(),
            "control_hosts": [control.to_string()],
            "services": ["s"],
            "unauthenticated_links": true,
            "log": { "format": "json", "level": "info" },
        });
        fs::write(dir.join("daemon.json"), settings.to_string()).unwrap();
        let args = ["--settings".into(), "daemon.json".into()];
        Self {
            _process: Process::start(env!("CARGO_BIN_EXE_clementined"), &args, dir, "daemon.log"),
            callers,
            readiness,
        }
    }

    /// Calls the route of host `new`. Returns the status and the reason of the answer.
    async fn call(&self) -> (String, String) {
        fake_control::call(self.callers, "new").await
    }

    async fn is_ready(&self) -> bool {
        let text = exchange(self.readiness, "GET / HTTP/1.1").await;
        text.starts_with("HTTP/1.1 200 ")
    }
}

async fn wait_for_log(log: &Path, text: &str) {
    let found = timeout(WAIT_TIMEOUT, async {
        while !fs::read_to_string(log).unwrap().contains(text) {
            sleep(POLL_INTERVAL).await;
        }
    });
    assert!(
        found.await.is_ok(),
        "{text}: {}",
        fs::read_to_string(log).unwrap()
    );
}

/// A daemon that has just started gets the configurations one after the other, from the first one on.
#[test]
fn started_daemon_serves_nothing_old() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("daemon.log");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let control = Rc::new(Control::default());
        control.sent_until.set(1);
        let answering = control.clone();
        let address = serve_control(move |body| answering.clone().answer(body)).await;
        let daemon = Daemon::start(dir.path(), address);
        wait_for_log(&log, r#""version":1,"#).await;
        let refused = ("503".to_owned(), "stale-configuration".to_owned());
        assert_eq!(daemon.call().await, refused, "nothing is known about the newest");
        assert!(!daemon.is_ready().await, "nothing is known about the newest");

        control.opens_sessions.set(true);
        wait_for_log(&log, "CF4001").await;
        assert_eq!(daemon.call().await, refused, "the newest one is missing");

        control.sent_until.set(NEWEST);
        wait_for_log(&log, r#""version":2,"#).await;
        let confirmed = timeout(WAIT_TIMEOUT, async {
            while !daemon.is_ready().await {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(confirmed.await.is_ok(), "{}", fs::read_to_string(&log).unwrap());
        assert_eq!(daemon.call().await, ("503".to_owned(), "no-server".to_owned()));
    });
}
