//! Parts of a control host that a test itself acts as, and HTTP exchanges with its daemon.

use {
    clementinefold::{
        link::{serve_links, KeyRing, LinkIdentity},
        schema::PackedText,
        wire::{
            control::{change, operator_command, Change, Committed, OperatorCommand, VersionedSchema},
            peer::frame::Body,
        },
    },
    serde_json::json,
    std::{future::Future, net::SocketAddr, rc::Rc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Returns the change at a log index: a configuration whose only route is for `host`.
pub fn schema_change(index: u64, host: &str) -> Committed {
    let schema = json!({
        "cluster": "test",
        "services": [{ "name": "s" }],
        "routes": [{
            "name": "r", "host": host, "path_prefix": "/", "timeout_ms": 900, "attempts": 1,
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

/// Serves a control host whose requests `handler` answers. Returns its peer address.
pub async fn serve_control<H, F>(handler: H) -> SocketAddr
where
    H: Fn(Body) -> F + Clone + 'static,
    F: Future<Output = Option<Body>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = LinkIdentity {
        cluster: "test".into(),
        host: address.to_string(),
        peer_address: address.to_string(),
        keys: Rc::new(KeyRing::unauthenticated()),
    };
    let discard_log = slog::Logger::root(slog::Discard, slog::o!());
    spawn_local(serve_links(listener, identity, discard_log, handler));
    address
}

/// Sends a request without a body. Returns the whole response, or an empty one if nothing listens at `address` yet.
pub async fn exchange(address: SocketAddr, head: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let request = format!("{head}\r\nHost: daemon\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Calls the route of `host`. Returns the status and the reason of the answer.
pub async fn call(callers: SocketAddr, host: &str) -> (String, String) {
    let text = exchange(callers, &format!("GET /x HTTP/1.1\r\nFold-Host: {host}")).await;
    let status = text.split(' ').nth(1).unwrap_or_default().to_owned();
    let reason = text.lines().find_map(|line| line.strip_prefix("fold-reason: "));
    (status, reason.unwrap_or_default().to_owned())
}
