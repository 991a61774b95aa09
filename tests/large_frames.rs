//! The decoder of the accepting side of a link: which frames it announces before it buffers them, and what it discards.

use {
    bytes::{Bytes, BytesMut},
    clementinefold::{
        link::{FrameCodec, Received, RequestCodec},
        memory::SMALL_BYTES,
        wire::peer::{frame::Body, CallRequest, Frame, GuardCopy, Ping},
    },
    tokio_util::codec::{Decoder, Encoder},
};

const LARGE: usize = 1024 * 1024;
/// Size of the pieces in which the bytes arrive.
const PIECE: usize = 1000;
/// Most that the buffer may hold while a call is discarded.
const DISCARD_BUFFER_MAX: usize = 64 * 1024;

fn codec() -> RequestCodec {
    let mut frames = FrameCodec::for_hello();
    frames.end_hello();
    RequestCodec::new(frames)
}

fn call(correlation: u64, body_bytes: usize) -> Frame {
    let call = CallRequest {
        service: "desk".into(),
        body: vec![b'x'; body_bytes].into(),
        ..CallRequest::default()
    };
    frame(correlation, Body::CallRequest(call))
}

fn frame(correlation: u64, body: Body) -> Frame {
    Frame {
        correlation,
        body: Some(body),
    }
}

fn encode(frames: &[Frame]) -> BytesMut {
    let mut codec = FrameCodec::for_hello();
    codec.end_hello();
    let mut buf = BytesMut::new();
    for frame in frames {
        codec.encode(frame.clone(), &mut buf).unwrap();
    }
    buf
}

/// Decodes bytes that arrive in pieces. Discards the large calls for which `is_discarded` returns true.
fn decode_pieces(bytes: &[u8], piece: usize, is_discarded: impl Fn(usize) -> bool) -> Vec<Received> {
    let (mut codec, mut buf, mut received) = (codec(), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(piece) {
        buf.extend_from_slice(piece);
        while let Some(item) = codec.decode(&mut buf).unwrap() {
            if let Received::LargeCall { bytes } = item {
                if is_discarded(bytes) {
                    codec.discard(&mut buf);
                }
            }
            received.push(item);
        }
    }
    assert!(buf.is_empty(), "{} bytes are left", buf.len());
    received
}

/// Small frames cost no decision, whatever they are.
#[test]
fn small_frames() {
    let frames = [
        call(1, 10),
        frame(0, Body::Ping(Ping {})),
        call(2, SMALL_BYTES - 100),
    ];
    for piece in [1, PIECE, usize::MAX] {
        let received = decode_pieces(&encode(&frames), piece, |_| true);
        assert_eq!(received, frames.clone().map(Received::Frame));
    }
}

/// A large call is announced by its first bytes and then decoded. The frames behind it are intact.
#[test]
fn accepted_call() {
    let frames = [call(300, LARGE), call(301, 10)];
    let bytes = encode(&frames);
    for piece in [7, PIECE, usize::MAX] {
        let received = decode_pieces(&bytes, piece, |_| false);
        let [first, second] = frames.clone().map(Received::Frame);
        let length = encode(&frames[..1]).len() - 4;
        assert_eq!(received, [Received::LargeCall { bytes: length }, first, second]);
    }
    let (mut codec, mut buf) = (codec(), BytesMut::from(&bytes[..16]));
    let announced = codec.decode(&mut buf).unwrap();
    assert!(
        matches!(announced, Some(Received::LargeCall { .. })),
        "{announced:?}"
    );
}

/// Discarded calls end with their correlation, and the frames between and behind them are intact. Guards against a
/// discarded part that is taken for a frame.
#[test]
fn discarded_calls() {
    let frames = [
        call(1, LARGE),
        call(u64::MAX, 2 * LARGE),
        call(3, 10),
        call(4, LARGE),
    ];
    let bytes = encode(&frames);
    for piece in [7, PIECE, usize::MAX] {
        let received = decode_pieces(&bytes, piece, |bytes| bytes > 2 * LARGE);
        let ends: Vec<_> = received
            .iter()
            .filter(|r| !matches!(r, Received::LargeCall { .. }))
            .collect();
        let [first, _, third, fourth] = frames.clone().map(Received::Frame);
        let discarded = Received::Discarded {
            correlation: u64::MAX,
        };
        assert_eq!(ends, [&first, &discarded, &third, &fourth]);
    }
}

/// The bytes of a discarded call are not collected.
#[test]
fn bounded_buffer() {
    let (mut codec, mut buf) = (codec(), BytesMut::new());
    for piece in encode(&[call(1, 20 * LARGE)]).chunks(16 * 1024) {
        buf.extend_from_slice(piece);
        while let Some(received) = codec.decode(&mut buf).unwrap() {
            if let Received::LargeCall { .. } = received {
                codec.discard(&mut buf);
            }
        }
        assert!(buf.capacity() <= DISCARD_BUFFER_MAX, "{}", buf.capacity());
    }
}

/// A call that is partly received can still be discarded, and its part is freed at once.
#[test]
fn discarded_halfway() {
    let bytes = encode(&[call(9, LARGE), call(10, 10)]);
    let (start, end) = bytes.split_at(LARGE / 2);
    let (mut codec, mut buf) = (codec(), BytesMut::from(start));
    assert!(matches!(
        codec.decode(&mut buf),
        Ok(Some(Received::LargeCall { .. }))
    ));
    assert_eq!(codec.decode(&mut buf).unwrap(), None);
    assert!(buf.capacity() >= LARGE);
    codec.discard(&mut buf);
    assert!(buf.capacity() <= DISCARD_BUFFER_MAX, "{}", buf.capacity());
    buf.extend_from_slice(end);
    let discarded = Received::Discarded { correlation: 9 };
    assert_eq!(codec.decode(&mut buf).unwrap(), Some(discarded));
    let next = codec.decode(&mut buf).unwrap();
    assert_eq!(next, Some(Received::Frame(call(10, 10))));
    // There is nothing left to discard.
    codec.discard(&mut buf);
    assert_eq!(codec.decode(&mut buf).unwrap(), None);
}

/// Frames that are not calls are not announced, so that they are never refused.
#[test]
fn other_large_frames() {
    let copy = GuardCopy {
        service: "x".repeat(LARGE),
        ..GuardCopy::default()
    };
    let frames = [
        frame(5, Body::GuardCopy(copy)),
        frame(0, Body::Control(Bytes::from(vec![1; LARGE]))),
    ];
    let received = decode_pieces(&encode(&frames), PIECE, |_| true);
    assert_eq!(received, frames.map(Received::Frame));
}

/// A length over the maximum is an error, and not a large call.
#[test]
fn oversize_length() {
    let mut buf = encode(&[call(1, LARGE)]);
    buf[..4].copy_from_slice(&(80 * 1024 * 1024 + 1_u32).to_be_bytes());
    assert!(codec().decode(&mut buf).is_err());
}
