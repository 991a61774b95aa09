use {
    super::ReadMeter,
    crate::wire::peer::Frame,
    bytes::{Bytes, BytesMut},
    prost::Message,
    std::io,
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Maximum size of a frame after the hello.
const FRAME_MAX_BYTES: usize = 80 * 1024 * 1024;
/// Maximum size of a frame of the hello.
const HELLO_FRAME_MAX_BYTES: usize = 4096;

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

    /// Returns the meter of the bytes that are received.
    pub(super) fn meter(&self) -> ReadMeter {
        self.meter.clone()
    }

    /// Accepts frames of full size from now on.
    pub fn end_hello(&mut self) {
        self.lengths.set_max_frame_length(FRAME_MAX_BYTES);
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
        let frame = Frame::decode(bytes.freeze());
        frame
            .map(Some)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), io::Error> {
        self.lengths.encode(Bytes::from(frame.encode_to_vec()), buf)
    }
}
