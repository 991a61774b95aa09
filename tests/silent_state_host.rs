//! A daemon that reads the whole state from a control host that has fallen silent. The test itself acts as both control
//! hosts.

#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;

use {
    clementinefold::{
        control::State,
        link::{serve_links, KeyRing, LinkIdentity},
        schema::PackedText,
        wire::{
            control::{change, operator_command, Change, OperatorCommand, VersionedSchema},
            peer::{frame::Body, StateAnswer, WatchAnswer},
        },
    },
    processes::{free_address, Process},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        fs,
        future::pending,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        task::{spawn_local, LocalSet},
        time::{sleep, timeout},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const SCHEMA: &str = r#"{"cluster":"test","services":[{"name":"s"}]}"#;
/// Log index of the state.
const INDEX: u64 = 7;

/// The control hosts. The first one that is asked for the state answers nothing from then on.
#[derive(Default)]
struct ControlHosts {
    silent: RefCell<Option<SocketAddr>>,
    /// Number of requests for the state to the silent host.
    unanswered: Cell<u32>,
}

impl ControlHosts {
    async fn answer(self: Rc<Self>, host: SocketAddr, body: Body) -> Option<Body> {
        if matches!(body, Body::StateRequest(_)) && *self.silent.borrow_mut().get_or_insert(host) == host {
            self.unanswered.set(self.unanswered.get() + 1);
        }
        if *self.silent.borrow() == Some(host) {
            return pending().await;
        }
        match body {
            Body::Watch(watch) if watch.applied < INDEX => Some(Body::WatchAnswer(WatchAnswer {
                needs_state: true,
                ..WatchAnswer::default()
            })),
            Body::StateRequest(_) => {
                let image = state().to_image();
                Some(Body::StateAnswer(StateAnswer {
                    image: INDEX,
                    total: image.len() as u64,
                    part: image.into(),
                    ..StateAnswer::default()
                }))
            }
            _ => pending().await,
        }
    }
}

fn state() -> State {
    let versioned = VersionedSchema {
        version: 1,
        packed_schema: PackedText::pack(SCHEMA.as_bytes()).as_bytes().clone(),
        ..VersionedSchema::default()
    };
    let change = Change {
        proposed_at_ms: 0,
        body: Some(change::Body::OperatorCommand(OperatorCommand {
            body: Some(operator_command::Body::ReplaceSchema(versioned)),
            ..OperatorCommand::default()
        })),
    };
    let mut state = State::default();
    state.apply(INDEX, &change);
    state
}

async fn serve_control(hosts: Rc<ControlHosts>) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let identity = LinkIdentity {
        cluster: "test".into(),
        host: address.to_string(),
        peer_address: address.to_string(),
        keys: Rc::new(KeyRing::unauthenticated()),
    };
    let discard_log = slog::Logger::root(slog::Discard, slog::o!());
    let handler = move |body| hosts.clone().answer(address, body);
    spawn_local(serve_links(listener, identity, discard_log, handler));
    address
}

#[test]
fn other_host_asked() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("daemon.log");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let hosts = Rc::new(ControlHosts::default());
        let control = [
            serve_control(hosts.clone()).await,
            serve_control(hosts.clone()).await,
        ];
        let settings = json!({
            "cluster": "test",
            "host": "host-1",
            "failure_domain": "domain-1",
            "region": "region-1",
            "caller_address": free_address().to_string(),
            "server_address": free_address().to_string(),
            "peer_address": free_address().to_string(),
            "control_hosts": control.map(|host| host.to_string()),
            "services": ["s"],
            "unauthenticated_links": true,
            "log": { "format": "json", "level": "info" },
        });
        fs::write(dir.path().join("daemon.json"), settings.to_string()).unwrap();
        let args = ["--settings".into(), "daemon.json".into()];
        let _daemon = Process::start(env!("CARGO_BIN_EXE_clementined"), &args, dir.path(), "daemon.log");
        let read_log = || fs::read_to_string(&log).unwrap();
        let fetched = timeout(WAIT_TIMEOUT, async {
            while !read_log().contains("CF4116") {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(fetched.await.is_ok(), "{}", read_log());
        assert_eq!(
            hosts.unanswered.get(),
            1,
            "the silent host was asked again: {}",
            read_log()
        );
    });
}
