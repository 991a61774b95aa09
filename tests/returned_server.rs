//! Orders to a server that its daemon has replaced by the same process, e.g. since it had fallen silent. The test itself acts
//! as the control host and as the server.

#[path = "support/fake_control.rs"]
#[allow(dead_code)]
mod fake_control;
#[path = "support/processes.rs"]
#[allow(dead_code)]
mod processes;
#[path = "support/scripted_control.rs"]
mod scripted_control;

use {
    clementinefold::wire::control::Server,
    processes::{free_address, wait_until, Process},
    scripted_control::ScriptedControl,
    serde_json::json,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const HOST: &str = "host-1";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that a server waits for a request before it checks again.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// A server that confirms all orders and records their paths.
struct OrderedServer {
    address: SocketAddr,
    orders: Arc<Mutex<Vec<String>>>,
}

impl OrderedServer {
    /// Starts the server. Its thread runs until the test process ends.
    fn start() -> Self {
        let orders = Arc::new(Mutex::new(Vec::new()));
        let recorded = orders.clone();
        let server = rouille::Server::new(free_address(), move |req| {
            recorded.lock().unwrap().push(req.url());
            rouille::Response::text("")
        });
        let server = server.unwrap();
        let address = server.server_addr();
        thread::spawn(move || loop {
            server.poll_timeout(POLL_TIMEOUT);
        });
        Self { address, orders }
    }

    fn has_order(&self, path: &str) -> bool {
        self.orders.lock().unwrap().iter().any(|order| order == path)
    }

    /// Returns the server as the state lists it.
    fn listed(&self, slots: u32) -> Server {
        Server {
            service: "desk".into(),
            address: self.address.to_string(),
            incarnation: "first".into(),
            slots,
            connections: 10,
            checks_fencing: true,
            ..Server::default()
        }
    }

    fn announce(&self, daemon: SocketAddr, slots: u32) -> bool {
        let body = json!({
            "service": "desk", "address": self.address.to_string(), "incarnation": "first", "slots": slots,
            "connections": 10, "checks_fencing": true,
        });
        let answer = ureq::post(format!("http://{daemon}/announce"))
            .content_type("application/json")
            .send(body.to_string());
        answer.is_ok()
    }
}

fn start_daemon(dir: &Path, control: SocketAddr, server_address: SocketAddr) -> Process {
    let settings = json!({
        "cluster": "test",
        "host": HOST,
        "failure_domain": "domain-1",
        "region": "region-1",
        "caller_address": free_address().to_string(),
        "server_address": server_address.to_string(),
        "peer_address": free_address().to_string(),
        "control_hosts": [control.to_string()],
        "services": ["desk"],
        "unauthenticated_links": true,
        "log": { "format": "json", "level": "info" },
    });
    fs::write(dir.join("daemon.json"), settings.to_string()).unwrap();
    let args = ["--settings".into(), "daemon.json".into()];
    Process::start(env!("CARGO_BIN_EXE_clementined"), &args, dir, "daemon.log")
}

/// Guards against a range that is reported as given up, and so given to its next owner, while the server holds it: its
/// daemon has forgotten what it had granted before it removed the server.
#[test]
fn revoked_before_report() {
    let dir = tempfile::tempdir().unwrap();
    let control = ScriptedControl::start();
    let (server, heartbeats) = (OrderedServer::start(), free_address());
    let _daemon = start_daemon(dir.path(), control.address, heartbeats);
    let is_listed = |slots| {
        let listed = control.session_of(HOST);
        listed.is_some_and(|(_, servers)| servers == [server.listed(slots)])
    };
    wait_until("the server is listed", WAIT_TIMEOUT, || {
        server.announce(heartbeats, 4) && is_listed(4)
    });
    let (session, _) = control.session_of(HOST).unwrap();
    let epoch = control.assign_all(session, &server.listed(4));
    wait_until("the keys are granted", WAIT_TIMEOUT, || {
        server.has_order("/fold/grant")
    });

    control.send_committed();
    let other = Server {
        address: free_address().to_string(),
        ..server.listed(4)
    };
    let other_session = control.open_other_session(&other);
    control.release_all(epoch, other_session, &other);
    // The daemon removes the server, and adds the same process with another number of slots.
    assert!(server.announce(heartbeats, 5));
    wait_until("the server is listed again", WAIT_TIMEOUT, || is_listed(5));
    control.send_all();
    wait_until("the keys are given up", WAIT_TIMEOUT, || {
        control.has_release_report()
    });
    assert!(
        server.has_order("/fold/revoke"),
        "{:?}\n{}",
        server.orders.lock().unwrap(),
        fs::read_to_string(dir.path().join("daemon.log")).unwrap()
    );
}
