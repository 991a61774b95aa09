use {
    bytes::Bytes,
    flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression},
    std::io::{Read, Write},
};

/// Limit of the size of an unpacked text. It is above the size that an operator may send.
const TEXT_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// A text that is stored and sent compressed. Schemas are repetitive, and each daemon gets every version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedText(Bytes);

impl PackedText {
    /// Compresses a text. An empty text becomes no bytes.
    pub fn pack(text: &[u8]) -> Self {
        if text.is_empty() {
            return Self::default();
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(text).and_then(|()| encoder.finish());
        // Writing to memory does not fail.
        Self(packed.unwrap_or_default().into())
    }

    /// Returns a text from its compressed bytes, which are not checked.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the compressed bytes.
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the text, or `None` if the bytes are not a compressed text or the text is too long.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        if self.is_empty() {
            return Some(Vec::new());
        }
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.0[..]).take(TEXT_BYTES_MAX);
        let length = decoder.read_to_end(&mut text).ok()?;
        (length < TEXT_BYTES_MAX as usize).then_some(text)
    }

    /// Returns the text as a string, or `None` if [`Self::unpack`] fails or the text is not UTF-8.
    pub fn to_text(&self) -> Option<String> {
        String::from_utf8(self.unpack()?).ok()
    }
}
