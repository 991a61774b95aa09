use {
    super::ReadMeter,
    crate::wire::peer::Frame,
    bytes::{BufMut, BytesMut},
    prost::Message,
    std::io,
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Maximum size of a frame after the hello.
const FRAME_MAX_BYTES: usize = 80 * 1024 * 1024;
/// Maximum size of a frame of the hello.
const HELLO_FRAME_MAX_BYTES: usize = 4096;

/// Size of the length before a frame.
pub(super) const LENGTH_BYTES: usize = 4;
/// An empty buffer of a link is kept up to this size. Frames other than those of large bodies fit into it.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Codec of the frames on a byte stream. A frame is a length of four bytes, followed by the message.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    meter: ReadMeter,
    /// Number of received bytes that have not been decoded yet.
    buffered: usize,
}

impl FrameCodec {
    /// Returns a codec for the hello, which accepts small frames only.
    pub fn for_hello() -> Self {
        Self {
            lengths: length_codec(HELLO_FRAME_MAX_BYTES),
            meter: ReadMeter::default(),
            buffered: 0,
        }
    }

    /// Returns a codec for frames of full size.
    pub(super) fn after_hello() -> Self {
        let mut codec = Self::for_hello();
        codec.end_hello();
        codec
    }

    /// Returns the meter of the bytes that are received.
    pub(super) fn meter(&self) -> ReadMeter {
        self.meter.clone()
    }

    /// Accepts frames of full size from now on.
    pub fn end_hello(&mut self) {
        self.lengths.set_max_frame_length(FRAME_MAX_BYTES);
    }

    /// Returns the maximum size of a frame.
    pub(super) fn frame_max_bytes(&self) -> usize {
        self.lengths.max_frame_length()
    }

    /// Expects the length of a frame next, also if a frame was partly decoded.
    pub(super) fn restart(&mut self) {
        self.lengths = length_codec(self.frame_max_bytes());
    }
}

/// Frees an empty buffer that a large frame has made large. A daemon has thousands of links.
fn shrink(buf: &mut BytesMut) {
    if buf.is_empty() && buf.capacity() > KEPT_BUFFER_BYTES {
        *buf = BytesMut::new();
    }
}

fn length_codec(bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(bytes)
        .new_codec()
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, io::Error> {
        if buf.len() > self.buffered {
            self.meter.record_read();
        }
        let bytes = self.lengths.decode(buf);
        self.buffered = buf.len();
        let Some(bytes) = bytes? else {
            return Ok(None);
        };
        shrink(buf);
        let frame = Frame::decode(bytes.freeze());
        frame
            .map(Some)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), io::Error> {
        shrink(buf);
        let length = frame.encoded_len();
        let max = self.lengths.max_frame_length();
        let header = u32::try_from(length).ok().filter(|_| length <= max);
        let header =
            header.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "the frame is too large"))?;
        buf.reserve(LENGTH_BYTES + length);
        buf.put_u32(header);
        frame
            .encode(buf)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))
    }
}
