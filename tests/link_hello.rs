//! The hello of links: which peers are accepted, and what all others get.

use {
    bytes::{Bytes, BytesMut},
    clementinefold::{
        link::{serve_links, FrameCodec, KeyRing, LinkError, LinkIdentity, Links},
        wire::peer::{frame::Body, Frame, Hello, HelloProof, Renew, RenewAnswer},
    },
    futures_util::{SinkExt, StreamExt},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Builder,
        task::{spawn_local, LocalSet},
        time::timeout,
    },
    tokio_util::codec::{Decoder, Framed},
};

const KEY: [u8; 32] = [7; 32];
const OTHER_KEY: [u8; 32] = [8; 32];
/// Timeout of one test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn identity(cluster: &str, keys: KeyRing) -> LinkIdentity {
    LinkIdentity {
        cluster: cluster.into(),
        host: "host-1".into(),
        peer_address: "127.0.0.1:1".into(),
        keys: Rc::new(keys),
    }
}

fn no_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Runs `test` against a link server that answers renewals only.
fn with_server<F: std::future::Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<KeyRing>) -> F) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = identity("agency", KeyRing::single(KEY.to_vec()));
        let keys = server.keys.clone();
        spawn_local(serve_links(listener, server, no_log(), |body| async move {
            match body {
                Body::Renew(renew) => Some(Body::RenewAnswer(RenewAnswer {
                    session: renew.session,
                    ..RenewAnswer::default()
                })),
                _ => None,
            }
        }));
        timeout(WAIT_TIMEOUT, test(address, keys)).await.unwrap();
    });
}

fn hello(cluster: &str, version: u32, challenge_bytes: usize) -> Body {
    Body::Hello(Hello {
        cluster: cluster.into(),
        host: "stranger".into(),
        challenge: vec![1; challenge_bytes].into(),
        version,
        peer_address: String::new(),
    })
}

fn frame(body: Body) -> Frame {
    Frame {
        correlation: 1,
        body: Some(body),
    }
}

fn renew() -> Body {
    Body::Renew(Renew::default())
}

/// Sends frames and returns all messages that arrive until the daemon closes the link.
async fn answers(address: SocketAddr, frames: &[Body]) -> Vec<Body> {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut stream = Framed::new(stream, FrameCodec::for_hello());
    for body in frames {
        let _ = stream.send(frame(body.clone())).await;
    }
    let mut seen = Vec::new();
    while let Some(Ok(frame)) = stream.next().await {
        seen.extend(frame.body);
    }
    seen
}

#[test]
fn strangers_are_refused() {
    let proof = |bytes: usize| {
        Body::HelloProof(HelloProof {
            proof: vec![0; bytes].into(),
        })
    };
    let cases: Vec<(&str, Vec<Body>, &str)> = vec![
        ("request before hello", vec![renew()], "a hello is expected first"),
        ("proof before hello", vec![proof(32)], "a hello is expected first"),
        (
            "foreign cluster",
            vec![hello("tailors", 1, 32)],
            "another cluster",
        ),
        ("empty cluster", vec![hello("", 1, 32)], "another cluster"),
        ("other version", vec![hello("agency", 2, 32)], "another version"),
        ("short challenge", vec![hello("agency", 1, 31)], "another version"),
        ("long challenge", vec![hello("agency", 1, 33)], "another version"),
        (
            "proof of zeros",
            vec![hello("agency", 1, 32), proof(32)],
            "the key is not known here",
        ),
        (
            "empty proof",
            vec![hello("agency", 1, 32), proof(0)],
            "the key is not known here",
        ),
        (
            "request for a proof",
            vec![hello("agency", 1, 32), renew()],
            "the key is not known here",
        ),
        (
            "hello twice",
            vec![hello("agency", 1, 32), hello("agency", 1, 32)],
            "the key is not known here",
        ),
    ];
    with_server(|address, _| async move {
        for (name, frames, expected) in cases {
            let seen = answers(address, &frames).await;
            let refusal = seen.iter().find_map(|body| match body {
                Body::Refusal(refusal) => Some(refusal.reason.as_str()),
                _ => None,
            });
            assert_eq!(refusal, Some(expected), "{name}");
            let served = seen.iter().any(|body| matches!(body, Body::RenewAnswer(_)));
            assert!(!served, "{name}: the request was served");
        }
    });
}

#[test]
fn garbage_closes_the_link() {
    let cases: [(&str, &[u8]); 5] = [
        ("HTTP", b"GET / HTTP/1.1\r\n\r\n"),
        ("oversize length", &[0x7f, 0xff, 0xff, 0xff, 1, 2, 3]),
        ("just above the limit", &[0, 0, 0x10, 1]),
        ("no message", &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]),
        ("empty frame", &[0, 0, 0, 0]),
    ];
    with_server(|address, _| async move {
        for (name, bytes) in cases {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            assert!(rest.is_empty(), "{name}: {rest:?}");
        }
    });
}

/// A proof recorded on one link is refused on another one, since each link has a new challenge.
#[test]
fn replayed_proof_is_refused() {
    with_server(|address, _| async move {
        let (recorder, recorded) = record_hello(address).await;
        drop(recorder);
        let [hello, proof] = recorded;
        let seen = answers(address, &[hello, proof, renew()]).await;
        assert!(
            seen.iter().any(|body| matches!(body, Body::Refusal(_))),
            "{seen:?}"
        );
        assert!(!seen.iter().any(|body| matches!(body, Body::RenewAnswer(_))));
    });
}

/// Relays a successful hello through another listener and returns the two frames of the connecting side.
async fn record_hello(address: SocketAddr) -> (Links, [Body; 2]) {
    let relay_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay_listener.local_addr().unwrap().to_string();
    let links = Links::new(
        identity("agency", KeyRing::single(KEY.to_vec())),
        CONNECT_TIMEOUT,
        no_log(),
    );
    let request = links.request(&relay_address, renew());
    let relay = async {
        let (stream, _) = relay_listener.accept().await.unwrap();
        let mut client = Framed::new(stream, FrameCodec::for_hello());
        let server = TcpStream::connect(address).await.unwrap();
        let mut server = Framed::new(server, FrameCodec::for_hello());
        let hello = client.next().await.unwrap().unwrap();
        server.send(hello.clone()).await.unwrap();
        client.send(server.next().await.unwrap().unwrap()).await.unwrap();
        let proof = client.next().await.unwrap().unwrap();
        server.send(proof.clone()).await.unwrap();
        let request_frame = client.next().await.unwrap().unwrap();
        server.send(request_frame).await.unwrap();
        client.send(server.next().await.unwrap().unwrap()).await.unwrap();
        [hello.body.unwrap(), proof.body.unwrap()]
    };
    let (answer, recorded) = tokio::join!(request, relay);
    assert!(matches!(answer, Ok(Body::RenewAnswer(_))), "{answer:?}");
    (links, recorded)
}

/// The connecting side sends no request to a peer that does not hold the key.
#[test]
fn impostor_gets_no_request() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let impostor = identity("agency", KeyRing::single(OTHER_KEY.to_vec()));
        spawn_local(serve_links(listener, impostor, no_log(), |_| async { None }));
        let links = Links::new(
            identity("agency", KeyRing::single(KEY.to_vec())),
            CONNECT_TIMEOUT,
            no_log(),
        );
        let answer = links.request(&address.to_string(), renew()).await;
        assert!(matches!(answer, Err(LinkError::NotSent(_))), "{answer:?}");
    });
}

/// Key rotation: first both sides know both keys, then both sign with the new key, then the old key is removed.
#[test]
fn key_rotation() {
    let ring = |lines: &[[u8; 32]]| {
        let dir = tempfile::tempdir().unwrap();
        let hex = |key: &[u8; 32]| key.iter().map(|b| format!("{b:02x}")).collect::<String>();
        let text: Vec<String> = lines.iter().map(hex).collect();
        let path = dir.path().join("keys");
        std::fs::write(&path, text.join("\n")).unwrap();
        KeyRing::load(&path).unwrap()
    };
    with_server(|address, server_keys| async move {
        type Keys<'a> = &'a [[u8; 32]];
        let steps: [(Keys, Keys, bool); 5] = [
            (&[KEY], &[KEY], true),
            (&[KEY, OTHER_KEY], &[KEY], true),
            (&[KEY, OTHER_KEY], &[OTHER_KEY, KEY], true),
            (&[OTHER_KEY], &[OTHER_KEY, KEY], true),
            (&[OTHER_KEY], &[KEY], false),
        ];
        for (i, (server, client, expected)) in steps.into_iter().enumerate() {
            server_keys.replace(ring(server));
            let links = Links::new(identity("agency", ring(client)), CONNECT_TIMEOUT, no_log());
            let answer = links.request(&address.to_string(), renew()).await;
            assert_eq!(answer.is_ok(), expected, "step {i}: {answer:?}");
        }
    });
}

#[test]
fn challenges_are_fresh() {
    with_server(|address, _| async move {
        let mut seen: Vec<Bytes> = Vec::new();
        for _ in 0..8 {
            let stream = TcpStream::connect(address).await.unwrap();
            let mut stream = Framed::new(stream, FrameCodec::for_hello());
            stream.send(frame(hello("agency", 1, 32))).await.unwrap();
            let Some(Body::HelloAnswer(answer)) = stream.next().await.unwrap().unwrap().body else {
                panic!("no answer to the hello");
            };
            assert!(!seen.contains(&answer.challenge));
            seen.push(answer.challenge);
        }
    });
}

/// An oversize frame is rejected by its length alone, before any of its bytes is buffered.
#[test]
fn oversize_lengths() {
    let decode = |codec: &mut FrameCodec, length: u32| {
        let mut buf = BytesMut::from(&length.to_be_bytes()[..]);
        codec.decode(&mut buf).map(|frame| frame.is_some())
    };
    let mut codec = FrameCodec::for_hello();
    assert!(matches!(decode(&mut codec, 4096), Ok(false)));
    let mut codec = FrameCodec::for_hello();
    assert!(decode(&mut codec, 4097).is_err());
    let mut codec = FrameCodec::for_hello();
    codec.end_hello();
    assert!(matches!(decode(&mut codec, 4097), Ok(false)));
    let mut codec = FrameCodec::for_hello();
    codec.end_hello();
    assert!(decode(&mut codec, 80 * 1024 * 1024 + 1).is_err());
}
