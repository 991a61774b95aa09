use {
    crate::settings::SettingsError,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{
        fmt, fs,
        path::Path,
        sync::{PoisonError, RwLock, RwLockReadGuard},
    },
    subtle::{Choice, ConstantTimeEq},
};

/// Minimum size of a key.
const KEY_MIN_BYTES: usize = 32;

/// A set of shared secret keys. The first key signs, all keys verify. The keys can be replaced at any time, also while
/// other threads use them.
pub struct KeyRing {
    keys: RwLock<Vec<Vec<u8>>>,
}

impl KeyRing {
    /// Reads a key file, which has one key in hexadecimal per line. Empty lines and lines that start with `#` are
    /// skipped.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has no key, or if a key is too short or not hexadecimal.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let unreadable = |reason: String| SettingsError::Unreadable {
            file: file.clone(),
            reason,
        };
        let text = fs::read_to_string(path).map_err(|e| unreadable(e.to_string()))?;
        let mut keys = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let key = from_hex(line).filter(|key| key.len() >= KEY_MIN_BYTES);
            let reason = format!(
                "line {}: a key is at least {KEY_MIN_BYTES} bytes in hexadecimal",
                i + 1
            );
            keys.push(key.ok_or_else(|| unreadable(reason))?);
        }
        if keys.is_empty() {
            return Err(unreadable("there is no key in it".into()));
        }
        Ok(Self {
            keys: RwLock::new(keys),
        })
    }

    /// Reads the key file if a path is given, else returns [`Self::unauthenticated`].
    ///
    /// # Errors
    /// Same as [`Self::load`].
    pub fn load_or_unauthenticated(path: Option<&Path>) -> Result<Self, SettingsError> {
        path.map_or_else(|| Ok(Self::unauthenticated()), Self::load)
    }

    /// Returns a ring whose only key is publicly known, for clusters without authentication.
    pub fn unauthenticated() -> Self {
        Self::single(vec![0; KEY_MIN_BYTES])
    }

    /// Returns a ring with a single key.
    pub fn single(key: Vec<u8>) -> Self {
        Self {
            keys: RwLock::new(vec![key]),
        }
    }

    /// Replaces the keys by those of `other`.
    pub fn replace(&self, other: Self) {
        let keys = other.keys.into_inner().unwrap_or_else(PoisonError::into_inner);
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    fn keys(&self) -> RwLockReadGuard<'_, Vec<Vec<u8>>> {
        self.keys.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of keys.
    pub fn count(&self) -> usize {
        self.keys().len()
    }

    /// Signs `parts` with the first key.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        mac(&self.keys()[0], parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether `signature` was made over `parts` with any of the keys.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.keys()
            .iter()
            .any(|key| mac(key, parts).verify_slice(signature).is_ok())
    }

    /// Returns whether `text` is one of the keys in hexadecimal. Takes the same time whichever key matches.
    pub fn holds_hex(&self, text: &str) -> bool {
        let given = from_hex(text.trim()).unwrap_or_default();
        let found = self
            .keys()
            .iter()
            .fold(Choice::from(0), |found, key| found | key.ct_eq(&given));
        found.into()
    }
}

impl fmt::Debug for KeyRing {
    /// Prints the number of keys, never the keys themselves.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.count())
    }
}

/// Returns the MAC over `parts`. Each part is prefixed with its length, so that different lists never give the same
/// input.
fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

/// Decodes hexadecimal digits, or returns `None` if `text` is not hexadecimal.
pub(crate) fn from_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() % 2 != 0 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let byte = |i: usize| u8::from_str_radix(&text[i..i + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
