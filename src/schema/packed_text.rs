use {
    bytes::Bytes,
    flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression},
    std::io::{Read, Write},
};

/// Longest text that is unpacked, in bytes. It is above what an operator may send.
const TEXT_MAX: u64 = 64 * 1024 * 1024;

/// A text that is kept and sent compressed. Schemas repeat themselves a lot, and each daemon gets every one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedText(Bytes);

impl PackedText {
    /// Compresses a text. An empty one takes no bytes.
    pub fn pack(text: &[u8]) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(text).and_then(|()| encoder.finish());
        // Nothing fails when the bytes go to memory.
        Self(packed.unwrap_or_default().into())
    }

    /// Takes compressed bytes as they are.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the compressed bytes.
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }

    /// Tells if the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the text. `None`: the bytes are no compressed text, or it is too long.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        if self.is_empty() {
            return Some(Vec::new());
        }
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.0[..]).take(TEXT_MAX);
        let length = decoder.read_to_end(&mut text).ok()?;
        (length < TEXT_MAX as usize).then_some(text)
    }

    /// Returns the text as a string. `None`: as for [`Self::unpack`], or it is not UTF-8.
    pub fn to_text(&self) -> Option<String> {
        String::from_utf8(self.unpack()?).ok()
    }
}
