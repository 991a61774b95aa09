use {
    base64::{engine::general_purpose::STANDARD, Engine},
    bytes::Bytes,
    std::fmt,
    thiserror::Error,
};

/// Prefix of the text form of a key that is encoded in base64.
const BASE64_PREFIX: &str = "base64:";

/// A key, which may be any sequence of bytes. Keys are ordered bytewise, so the empty key is the lowest one.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Bytes);

/// Error returned when the text form of a key cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("the part after \"base64:\" is not base64")]
pub struct KeyTextError;

impl Key {
    /// Creates a key from its bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self(bytes.into())
    }

    /// Returns the same key in memory of its own. A key that was read from a message shares the memory of the whole message.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }

    /// Reads the text form: plain text, or `base64:` followed by the encoded bytes.
    ///
    /// # Errors
    /// Fails if the part after `base64:` is not valid base64.
    pub fn from_text(text: &str) -> Result<Self, KeyTextError> {
        match text.strip_prefix(BASE64_PREFIX) {
            Some(encoded) => STANDARD.decode(encoded).map(Self::new).map_err(|_| KeyTextError),
            None => Ok(Self::new(text.as_bytes().to_vec())),
        }
    }

    /// Returns the text form, which [`Self::from_text`] reads back. A key is encoded in base64 if it is not valid
    /// UTF-8, contains control characters or starts with the prefix `base64:`.
    pub fn to_text(&self) -> String {
        match std::str::from_utf8(&self.0) {
            Ok(text) if !text.starts_with(BASE64_PREFIX) && !text.contains(char::is_control) => {
                text.to_owned()
            }
            _ => format!("{BASE64_PREFIX}{}", STANDARD.encode(&self.0)),
        }
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the bytes without copying them.
    pub fn to_bytes(&self) -> Bytes {
        self.0.clone()
    }

    /// Returns the lowest key above this one.
    pub fn successor(&self) -> Self {
        let mut bytes = Vec::with_capacity(self.0.len() + 1);
        bytes.extend_from_slice(&self.0);
        bytes.push(0);
        Self::new(bytes)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_text())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.to_text())
    }
}
