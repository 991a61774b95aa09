use {
    crate::wire::control as wire,
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Length of a revision's digest, which is a truncated SHA-256 hash.
const DIGEST_BYTES: usize = 8;

/// Revision of the configuration: the log index of its last change and a digest of all changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Revision {
    /// Log index of the last accepted change of the configuration.
    pub index: u64,
    /// Digest of all accepted changes of the configuration.
    pub digest: [u8; DIGEST_BYTES],
}

/// The text is not a valid revision.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a revision has the form INDEX-DIGEST, e.g. 12-0123456789abcdef")]
pub struct RevisionTextError;

impl Revision {
    /// Returns the revision after the change `content`, which was committed at `index`.
    pub fn next(&self, index: u64, content: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.digest);
        hasher.update(content);
        let hash = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self { index, digest }
    }

    /// Returns the revision of a message. A digest of the wrong length becomes all zeros.
    pub fn from_wire(wire: &wire::Revision) -> Self {
        let digest = wire.digest.as_ref().try_into().unwrap_or_default();
        Self {
            index: wire.index,
            digest,
        }
    }

    /// Returns the revision in the form of a message.
    pub fn to_wire(self) -> wire::Revision {
        wire::Revision {
            index: self.index,
            digest: self.digest.to_vec().into(),
        }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.index, u64::from_be_bytes(self.digest))
    }
}

impl FromStr for Revision {
    type Err = RevisionTextError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (index, digest) = text.split_once('-').ok_or(RevisionTextError)?;
        if digest.len() != 2 * DIGEST_BYTES {
            return Err(RevisionTextError);
        }
        let digest = u64::from_str_radix(digest, 16).map_err(|_| RevisionTextError)?;
        let index = index.parse().map_err(|_| RevisionTextError)?;
        Ok(Self {
            index,
            digest: digest.to_be_bytes(),
        })
    }
}
