use {
    super::{FrameCodec, KeyRing},
    crate::wire::peer::{frame::Body, Frame, Hello, HelloAnswer, HelloProof, Refusal},
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    std::{io, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
    tokio_util::codec::Framed,
};

/// Version of the messages between daemons.
const VERSION: u32 = 1;
/// Bytes of a challenge.
const CHALLENGE_BYTES: usize = 32;
/// Longest time for the whole hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Marks the proof of the side that connects.
const CONNECT_ROLE: &[u8] = b"clementinefold link connect";
/// Marks the proof of the side that accepts.
const ACCEPT_ROLE: &[u8] = b"clementinefold link accept";

/// A stream of frames after the hello.
pub(super) type FrameStream = Framed<TcpStream, FrameCodec>;

/// Who this daemon is on its links.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of this host.
    pub host: String,
    /// Peer address of this host.
    pub peer_address: String,
    /// Keys that peers share.
    pub keys: Rc<KeyRing>,
}

/// The fields that both proofs cover.
struct Transcript<'a> {
    hello: &'a Hello,
    accept_host: &'a str,
    accept_challenge: &'a [u8],
}

impl Transcript<'_> {
    fn parts<'a>(&'a self, role: &'a [u8]) -> [&'a [u8]; 7] {
        [
            role,
            self.hello.cluster.as_bytes(),
            self.hello.host.as_bytes(),
            self.hello.peer_address.as_bytes(),
            &self.hello.challenge,
            self.accept_host.as_bytes(),
            self.accept_challenge,
        ]
    }
}

/// Runs the hello of the side that connects. Both sides prove that they hold a key.
pub(super) async fn connect(stream: TcpStream, me: &LinkIdentity) -> io::Result<FrameStream> {
    within_timeout(async {
        let mut stream = Framed::new(stream, FrameCodec::for_hello());
        let hello = Hello {
            cluster: me.cluster.clone(),
            host: me.host.clone(),
            challenge: challenge()?,
            version: VERSION,
            peer_address: me.peer_address.clone(),
        };
        send(&mut stream, Body::Hello(hello.clone())).await?;
        let answer = match receive(&mut stream).await? {
            Body::HelloAnswer(answer) => answer,
            Body::Refusal(refusal) => return Err(refused(&refusal.reason)),
            _ => return Err(refused("the peer did not answer the hello")),
        };
        let transcript = Transcript {
            hello: &hello,
            accept_host: &answer.host,
            accept_challenge: &answer.challenge,
        };
        if answer.challenge.len() != CHALLENGE_BYTES
            || !me.keys.verify(&transcript.parts(ACCEPT_ROLE), &answer.proof)
        {
            return Err(refused("the peer does not hold the key"));
        }
        let proof = me.keys.sign(&transcript.parts(CONNECT_ROLE)).into();
        send(&mut stream, Body::HelloProof(HelloProof { proof })).await?;
        stream.codec_mut().end_hello();
        Ok(stream)
    })
    .await
}

/// Runs the hello of the side that accepts and returns the hello of the peer. A peer that fails is told
/// why in one frame and gets nothing else.
pub(super) async fn accept(stream: TcpStream, me: &LinkIdentity) -> io::Result<(FrameStream, Hello)> {
    within_timeout(async {
        let mut stream = Framed::new(stream, FrameCodec::for_hello());
        let Body::Hello(hello) = receive(&mut stream).await? else {
            return Err(refuse(&mut stream, "a hello is expected first").await);
        };
        if hello.cluster != me.cluster {
            return Err(refuse(&mut stream, "another cluster").await);
        }
        if hello.version != VERSION || hello.challenge.len() != CHALLENGE_BYTES {
            return Err(refuse(&mut stream, "another version").await);
        }
        let challenge = challenge()?;
        let transcript = Transcript {
            hello: &hello,
            accept_host: &me.host,
            accept_challenge: &challenge,
        };
        let proof = me.keys.sign(&transcript.parts(ACCEPT_ROLE)).into();
        let answer = HelloAnswer {
            host: me.host.clone(),
            challenge: challenge.clone(),
            proof,
        };
        send(&mut stream, Body::HelloAnswer(answer)).await?;
        let proven = match receive(&mut stream).await? {
            Body::HelloProof(proof) => me.keys.verify(&transcript.parts(CONNECT_ROLE), &proof.proof),
            _ => false,
        };
        if !proven {
            return Err(refuse(&mut stream, "the key is not known here").await);
        }
        stream.codec_mut().end_hello();
        Ok((stream, hello))
    })
    .await
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
        Some(frame) => frame?.body.ok_or_else(|| refused("an empty frame")),
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
    refused(reason)
}

fn refused(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, reason.to_owned())
}

fn challenge() -> io::Result<Bytes> {
    let mut bytes = vec![0; CHALLENGE_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| io::Error::other(e.to_string()))?;
    Ok(bytes.into())
}
