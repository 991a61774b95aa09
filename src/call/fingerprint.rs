use {
    super::Call,
    sha2::{Digest, Sha256},
};

/// Digest that identifies a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the digest of the content of a request: service, kind, key, method, path and body.
    pub fn of_request(call: &Call) -> Self {
        let parts = [
            call.service.as_bytes(),
            call.kind.as_bytes(),
            &call.key,
            call.method.as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ];
        Self::of_parts(&parts)
    }

    /// Returns the digests by which a call that crashes servers is recognised when it is sent again: one of its
    /// content, and one of its service, kind and request id if it has a request id.
    pub fn of_suspect(call: &Call) -> Vec<Self> {
        let mut digests = vec![Self::of_request(call)];
        if !call.request_id.is_empty() {
            let id = [
                call.service.as_bytes(),
                call.kind.as_bytes(),
                call.request_id.as_bytes(),
            ];
            digests.push(Self::of_parts(&id));
        }
        digests
    }

    /// Returns the first bytes of the digest of a request id. In an undivided service they are the key whose owner
    /// keeps the guard entry.
    pub fn id_key(request_id: &str) -> [u8; 8] {
        let mut key = [0; 8];
        key.copy_from_slice(&Self::of_parts(&[request_id.as_bytes()]).0[..8]);
        key
    }

    /// Converts from the message form. Returns `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the digest in hexadecimal.
    pub fn to_text(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut short = [0; 16];
        short.copy_from_slice(&digest[..16]);
        Self(short)
    }
}
