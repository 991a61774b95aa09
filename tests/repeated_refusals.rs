//! A call that a server refused is sent to it again while the server repeats its refusals late.

use {
    bytes::Bytes,
    clementinefold::{
        call::{Call, Outcome, Reason},
        clock::{Clock, Ms},
        edge::{Attempt, FoldDialect, ServerClient, ServerLimits, ServerReply},
        lease::DaemonLease,
    },
    std::{
        collections::HashSet,
        future::Future,
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        rc::Rc,
        sync::{Arc, Mutex},
        thread,
    },
    tokio::{runtime::Builder, task::LocalSet},
};

const DEADLINE: Ms = Ms(5000);
const REFUSAL: &str = "HTTP/1.1 409 Conflict\r\nfold-refused: not-owner\r\ncontent-length: 0\r\nfold-call: ";

/// A server that refuses the first try of each call. If a connection brings the same call again, it repeats the refusal
/// before it runs the call.
#[derive(Clone, Default)]
struct RepeatingServer {
    refused: Arc<Mutex<HashSet<String>>>,
    ran: Arc<Mutex<HashSet<String>>>,
    connections: Arc<Mutex<usize>>,
}

impl RepeatingServer {
    fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self::default();
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                *accepting.connections.lock().unwrap() += 1;
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        (server, address)
    }

    fn serve(&self, stream: TcpStream) {
        let mut refused_here = HashSet::new();
        let mut reader = BufReader::new(stream);
        while let Some(id) = read_call(&mut reader) {
            let is_first = self.refused.lock().unwrap().insert(id.clone());
            let mut text = String::new();
            if is_first || refused_here.contains(&id) {
                text = format!("{REFUSAL}{id}\r\n\r\n");
                refused_here.insert(id.clone());
            }
            if !is_first {
                self.ran.lock().unwrap().insert(id.clone());
                text += &format!("HTTP/1.1 200 OK\r\nfold-call: {id}\r\ncontent-length: 2\r\n\r\nok");
            }
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn has_run(&self, id: &str) -> bool {
        self.ran.lock().unwrap().contains(&format!("call-{id}"))
    }
}

/// Reads a request without a body. Returns the id of its call.
fn read_call(reader: &mut impl BufRead) -> Option<String> {
    let mut id = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return id;
        }
        let line = line.trim().to_lowercase();
        id = line.strip_prefix("fold-call: ").map(ToOwned::to_owned).or(id);
    }
}

fn client(address: SocketAddr) -> ServerClient {
    let limits = ServerLimits {
        answer_bytes: 1000,
        idle_connections: 4,
    };
    let lease = DaemonLease::default();
    ServerClient::new(
        &address.to_string(),
        limits,
        Rc::new(FoldDialect),
        Clock::System,
        lease,
    )
}

/// Sends a try of a call. All tries of a call have the same id.
async fn send(client: &ServerClient, id: &str) -> ServerReply {
    let call = Call {
        method: "POST".into(),
        path: "/pay".into(),
        body: Bytes::new(),
        ..Call::default()
    };
    let call_id = format!("call-{id}");
    let attempt = Attempt {
        call: &call,
        call_id: &call_id,
        epoch: 1,
        deadline: Clock::System.now() + DEADLINE,
        incarnation: "1",
        needs_lease: false,
    };
    client.attempt(attempt).await
}

fn run(future: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, future);
}

/// Guards against a late copy of a refusal that is taken for the answer to the next try of the same call.
#[test]
fn copy_not_taken() {
    let (server, address) = RepeatingServer::start();
    run(async {
        let client = client(address);
        for id in ["a", "b", "c"] {
            let first = send(&client, id).await;
            assert_eq!(first.result.reason, Some(Reason::ServerRefused), "{id}");
            let second = send(&client, id).await;
            assert!(server.has_run(id), "{id}");
            assert_ne!(second.result.outcome, Outcome::NotRun, "{id} has run");
        }
    });
}

/// Guards against a copy that arrives after other calls were sent on the connection.
#[test]
fn copy_after_other_calls() {
    let (server, address) = RepeatingServer::start();
    run(async {
        let client = client(address);
        assert_eq!(send(&client, "a").await.result.outcome, Outcome::NotRun);
        for other in ["b", "c", "d"] {
            assert_eq!(send(&client, other).await.result.outcome, Outcome::NotRun);
        }
        let second = send(&client, "a").await;
        assert!(server.has_run("a"));
        assert_ne!(second.result.outcome, Outcome::NotRun);
    });
}

/// Other calls use the connections on which calls were refused.
#[test]
fn connections_reused() {
    let (server, address) = RepeatingServer::start();
    run(async {
        let client = client(address);
        for number in 0..40 {
            send(&client, &format!("id-{number}")).await;
        }
    });
    assert_eq!(*server.connections.lock().unwrap(), 1);
}

/// A connection that carried more refused calls than are remembered is not used again.
#[test]
fn many_refusals() {
    let (server, address) = RepeatingServer::start();
    run(async {
        let client = client(address);
        for number in 0..200 {
            send(&client, &format!("id-{number}")).await;
        }
        for number in 0..200 {
            let id = format!("id-{number}");
            let second = send(&client, &id).await;
            assert!(server.has_run(&id), "{id}");
            assert_ne!(second.result.outcome, Outcome::NotRun, "{id}");
        }
    });
}
