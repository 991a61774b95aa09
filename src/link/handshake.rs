use {
    super::{FrameCodec, KeyRing},
    crate::wire::peer::{frame::Body, Frame, Hello, HelloAnswer, HelloProof, Refusal},
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    std::{io, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
    tokio_util::codec::Framed,
};

/// Version of the protocol between daemons.
const VERSION: u32 = 1;
/// Size of a challenge.
const CHALLENGE_BYTES: usize = 32;
/// Timeout of the whole hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Domain separation label for the signature of the connecting side.
const CONNECT_LABEL: &[u8] = b"clementinefold link connect";
/// Domain separation label for the signature of the accepting side.
const ACCEPT_LABEL: &[u8] = b"clementinefold link accept";

/// Initial size of the buffers of a link, one for each direction. They grow with the frames. Most links of a large
/// cluster carry a small frame now and then, and a frame that is in use keeps the whole buffer that it was read into.
pub(super) const BUFFER_BYTES: usize = 1024;
/// Size of the buffered frames from which a link is flushed.
pub(super) const FLUSH_BYTES: usize = 8 * 1024;

/// A stream of frames after the hello.
pub(super) type FrameStream = Framed<TcpStream, FrameCodec>;

/// Identity and keys of this daemon on its links.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of this host.
    pub host: String,
    /// Peer address of this host.
    pub peer_address: String,
    /// Keys that all peers share.
    pub keys: Rc<KeyRing>,
}

/// The fields that both signatures cover.
struct Transcript<'a> {
    hello: &'a Hello,
    accept_host: &'a str,
    accept_challenge: &'a [u8],
}

impl Transcript<'_> {
    fn parts<'a>(&'a self, label: &'a [u8]) -> [&'a [u8]; 7] {
        [
            label,
            self.hello.cluster.as_bytes(),
            self.hello.host.as_bytes(),
            self.hello.peer_address.as_bytes(),
            &self.hello.challenge,
            self.accept_host.as_bytes(),
            self.accept_challenge,
        ]
    }
}

/// Runs the hello of the connecting side. Each side proves by its signature that it holds a key. Returns the stream, and
/// whether the peer answers pings.
pub(super) async fn connect(stream: TcpStream, identity: &LinkIdentity) -> io::Result<(FrameStream, bool)> {
    within_timeout(async {
        let mut stream = frame_stream(stream);
        let hello = Hello {
            cluster: identity.cluster.clone(),
            host: identity.host.clone(),
            challenge: new_challenge()?,
            version: VERSION,
            peer_address: identity.peer_address.clone(),
        };
        send(&mut stream, Body::Hello(hello.clone())).await?;
        let answer = match receive(&mut stream).await? {
            Body::HelloAnswer(answer) => answer,
            Body::Refusal(refusal) => return Err(refusal_error(&refusal.reason)),
            _ => return Err(refusal_error("the peer did not answer the hello")),
        };
        let transcript = Transcript {
            hello: &hello,
            accept_host: &answer.host,
            accept_challenge: &answer.challenge,
        };
        if answer.challenge.len() != CHALLENGE_BYTES
            || !identity
                .keys
                .verify(&transcript.parts(ACCEPT_LABEL), &answer.proof)
        {
            return Err(refusal_error("the peer does not hold the key"));
        }
        let proof = identity.keys.sign(&transcript.parts(CONNECT_LABEL)).into();
        send(&mut stream, Body::HelloProof(HelloProof { proof })).await?;
        stream.codec_mut().end_hello();
        Ok((stream, answer.answers_pings))
    })
    .await
}

/// Runs the hello of the accepting side and returns the `Hello` of the peer. A peer that fails the hello gets a
/// single frame with the reason.
pub(super) async fn accept(stream: TcpStream, identity: &LinkIdentity) -> io::Result<(FrameStream, Hello)> {
    within_timeout(async {
        let mut stream = frame_stream(stream);
        let Body::Hello(hello) = receive(&mut stream).await? else {
            return Err(refuse(&mut stream, "a hello is expected first").await);
        };
        if hello.cluster != identity.cluster {
            return Err(refuse(&mut stream, "another cluster").await);
        }
        if hello.version != VERSION || hello.challenge.len() != CHALLENGE_BYTES {
            return Err(refuse(&mut stream, "another version").await);
        }
        let challenge = new_challenge()?;
        let transcript = Transcript {
            hello: &hello,
            accept_host: &identity.host,
            accept_challenge: &challenge,
        };
        let proof = identity.keys.sign(&transcript.parts(ACCEPT_LABEL)).into();
        let answer = HelloAnswer {
            host: identity.host.clone(),
            challenge: challenge.clone(),
            proof,
            answers_pings: true,
        };
        send(&mut stream, Body::HelloAnswer(answer)).await?;
        let is_authenticated = match receive(&mut stream).await? {
            Body::HelloProof(proof) => identity
                .keys
                .verify(&transcript.parts(CONNECT_LABEL), &proof.proof),
            _ => false,
        };
        if !is_authenticated {
            return Err(refuse(&mut stream, "the key is not known here").await);
        }
        stream.codec_mut().end_hello();
        Ok((stream, hello))
    })
    .await
}

fn frame_stream(stream: TcpStream) -> FrameStream {
    let mut stream = Framed::with_capacity(stream, FrameCodec::for_hello(), BUFFER_BYTES);
    stream.set_backpressure_boundary(FLUSH_BYTES);
    stream
}

async fn within_timeout<T>(hello: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    match timeout(HELLO_TIMEOUT, hello).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the hello took too long")),
    }
}

async fn send(stream: &mut FrameStream, body: Body) -> io::Result<()> {
    stream
        .send(Frame {
            correlation: 0,
            body: Some(body),
        })
        .await
}

async fn receive(stream: &mut FrameStream) -> io::Result<Body> {
    match stream.next().await {
        Some(frame) => frame?.body.ok_or_else(|| refusal_error("an empty frame")),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

async fn refuse(stream: &mut FrameStream, reason: &str) -> io::Error {
    let _ = send(
        stream,
        Body::Refusal(Refusal {
            reason: reason.to_owned(),
        }),
    )
    .await;
    refusal_error(reason)
}

fn refusal_error(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, reason.to_owned())
}

fn new_challenge() -> io::Result<Bytes> {
    let mut bytes = vec![0; CHALLENGE_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| io::Error::other(e.to_string()))?;
    Ok(bytes.into())
}
