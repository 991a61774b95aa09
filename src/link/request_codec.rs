use {
    super::{frame_codec::LENGTH_BYTES, FrameCodec},
    crate::{memory::SMALL_BYTES, wire::peer::Frame},
    bytes::{Buf, BytesMut},
    prost::encoding::{decode_key, decode_varint, WireType},
    std::io,
    tokio_util::codec::Decoder,
};

/// Number of bytes of a frame from which its correlation and its kind are known: two field keys of one byte, and a
/// number of up to ten bytes.
const HEAD_BYTES: usize = 12;
/// Fields of a frame, see `peer.proto`.
const CORRELATION_FIELD: u32 = 1;
const CALL_REQUEST_FIELD: u32 = 10;
/// Number of bytes for which there is room while a call is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// What the accepting side of a link receives.
// Nearly all items are frames: to box these would cost each an allocation.
#[allow(clippy::large_enum_variant)]
#[derive(Debug, PartialEq)]
pub enum Received {
    /// A whole frame.
    Frame(Frame),
    /// A call whose frame has this many bytes, more than [`SMALL_BYTES`], is about to be received. It follows as a frame
    /// unless it is discarded.
    LargeCall {
        /// Length of the frame.
        bytes: usize,
    },
    /// The last byte of a discarded call was received.
    Discarded {
        /// Correlation of the call.
        correlation: u64,
    },
}

/// Decoder of the accepting side of a link. It announces large calls before it buffers their bytes, so that the receiver
/// can account for them first or discard them.
///
/// Load: several peers that forward large bodies at once. Frames other than calls are not announced: they do not depend on
/// what callers send.
#[derive(Debug)]
pub struct RequestCodec {
    frames: FrameCodec,
    state: ReadState,
}

#[derive(Clone, Copy, Debug)]
enum ReadState {
    /// The next byte is the first one of a length.
    Between,
    /// A large call was announced. The next byte is the first one of its length.
    Announced(CallHead),
    /// A frame is being read, and its length may have been consumed.
    Reading(Option<CallHead>),
    /// A call is being discarded, and `left` bytes of it are still to come.
    Discarding { correlation: u64, left: usize },
}

/// What is known about a large call before its frame is complete.
#[derive(Clone, Copy, Debug)]
struct CallHead {
    correlation: u64,
    length: usize,
}

impl RequestCodec {
    /// Returns a decoder of the frames that follow the hello.
    pub fn new(frames: FrameCodec) -> Self {
        Self {
            frames,
            state: ReadState::Between,
        }
    }

    /// Discards the large call that was announced last, also if a part of it is in `buf`, the read buffer of the link.
    /// The memory of that part is freed at once. Does nothing if the call is complete.
    pub fn discard(&mut self, buf: &mut BytesMut) {
        let (correlation, left) = match self.state {
            ReadState::Announced(head) => (head.correlation, LENGTH_BYTES + head.length),
            ReadState::Reading(Some(head)) => (head.correlation, head.length),
            ReadState::Between | ReadState::Reading(None) | ReadState::Discarding { .. } => return,
        };
        self.frames.restart();
        let left = skip(buf, left);
        self.state = ReadState::Discarding { correlation, left };
    }

    /// Returns the head of the frame at the start of `buf` if it is a large call, or `None` if more bytes are needed.
    fn peek(&self, buf: &BytesMut) -> Option<Option<CallHead>> {
        let length = buf.get(..LENGTH_BYTES)?;
        let length = length.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
        // A length over the maximum is an error of the frame codec.
        if length <= SMALL_BYTES || length > self.frames.frame_max_bytes() {
            return Some(None);
        }
        let head = buf.get(LENGTH_BYTES..LENGTH_BYTES + HEAD_BYTES)?;
        let correlation = call_correlation(head);
        Some(correlation.map(|correlation| CallHead { correlation, length }))
    }
}

/// Removes up to `bytes` from the start of `buf`. Returns how many are still to come.
fn skip(buf: &mut BytesMut, bytes: usize) -> usize {
    let skipped = bytes.min(buf.len());
    if skipped == buf.len() {
        // Also frees a buffer that was made for the whole frame.
        *buf = BytesMut::with_capacity(DISCARD_BUFFER_BYTES);
    } else {
        buf.advance(skipped);
    }
    bytes - skipped
}

/// Returns the correlation of a frame that starts with `head` if it is a call. Peers write the correlation first.
fn call_correlation(mut head: &[u8]) -> Option<u64> {
    let (CORRELATION_FIELD, WireType::Varint) = decode_key(&mut head).ok()? else {
        return None;
    };
    let correlation = decode_varint(&mut head).ok()?;
    let kind = decode_key(&mut head).ok()?;
    (kind == (CALL_REQUEST_FIELD, WireType::LengthDelimited)).then_some(correlation)
}

impl Decoder for RequestCodec {
    type Item = Received;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Received>, io::Error> {
        match &mut self.state {
            ReadState::Between => {
                let Some(head) = self.peek(buf) else {
                    return Ok(None);
                };
                if let Some(head) = head {
                    self.state = ReadState::Announced(head);
                    return Ok(Some(Received::LargeCall { bytes: head.length }));
                }
                self.state = ReadState::Reading(None);
            }
            ReadState::Announced(head) => self.state = ReadState::Reading(Some(*head)),
            ReadState::Reading(_) => {}
            ReadState::Discarding { correlation, left } => {
                *left = skip(buf, *left);
                if *left > 0 {
                    return Ok(None);
                }
                let correlation = *correlation;
                self.state = ReadState::Between;
                return Ok(Some(Received::Discarded { correlation }));
            }
        }
        let frame = self.frames.decode(buf)?;
        if frame.is_some() {
            self.state = ReadState::Between;
        }
        Ok(frame.map(Received::Frame))
    }
}
