use {
    crate::{
        clock::{Clock, Ms},
        link::KeyRing,
    },
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Fold-Mac";
/// Domain separation label of the MAC of an operator's request.
const LABEL: &[u8] = b"clementinefold operator request";
/// Largest accepted difference between the wall clocks of an operator's host and a daemon.
const CLOCK_DIFFERENCE_MAX: Ms = Ms(300_000);

/// Signature of an operator's request in the `Authorization` header: an HMAC with an operator's key, which is not
/// sent itself. A copy of the request stays valid for [`CLOCK_DIFFERENCE_MAX`]. A replayed command has the same
/// command id and changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSignature {
    /// Wall clock of the sender at signing.
    time: Ms,
    mac: Vec<u8>,
}

/// Why a request is not accepted as an operator's.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SignatureError {
    /// The header is missing or malformed.
    #[error("the request has no proof of a key")]
    Missing,
    /// No key of this daemon matches the signature.
    #[error("the operator's key is not known here, or the request was changed")]
    UnknownKey,
    /// The request is too old or from the future.
    #[error("the clocks of the two hosts differ too much, or the request is an old copy")]
    BadTime,
}

impl RequestSignature {
    /// Signs a request that is sent now.
    pub fn new(keys: &KeyRing, method: &str, target: &str, body: &[u8]) -> Self {
        let time = Clock::System.wall();
        Self {
            time,
            mac: keys.sign(&signed_parts(&time_bytes(time), method, target, body)),
        }
    }

    /// Verifies the signature of a request that arrived at `now` by the wall clock.
    ///
    /// # Errors
    /// Returns an error if no key matches the signature of this request, or if it was signed too long ago or too
    /// far in the future.
    pub fn verify(
        &self,
        keys: &KeyRing,
        (method, target, body): (&str, &str, &[u8]),
        now: Ms,
    ) -> Result<(), SignatureError> {
        let time = time_bytes(self.time);
        if !keys.verify(&signed_parts(&time, method, target, body), &self.mac) {
            return Err(SignatureError::UnknownKey);
        }
        let difference = Ms(self.time.0.abs_diff(now.0));
        if difference > CLOCK_DIFFERENCE_MAX {
            return Err(SignatureError::BadTime);
        }
        Ok(())
    }
}

impl fmt::Display for RequestSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{SCHEME} {}-", self.time.0)?;
        self.mac.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestSignature {
    type Err = SignatureError;

    fn from_str(text: &str) -> Result<Self, SignatureError> {
        let rest = text.strip_prefix(SCHEME).ok_or(SignatureError::Missing)?;
        let (time, mac) = rest.trim().split_once('-').ok_or(SignatureError::Missing)?;
        Ok(Self {
            time: Ms(time.parse().map_err(|_| SignatureError::Missing)?),
            mac: crate::link::from_hex(mac).ok_or(SignatureError::Missing)?,
        })
    }
}

fn time_bytes(time: Ms) -> [u8; 8] {
    time.0.to_be_bytes()
}

fn signed_parts<'a>(time: &'a [u8], method: &'a str, target: &'a str, body: &'a [u8]) -> [&'a [u8]; 5] {
    [LABEL, time, method.as_bytes(), target.as_bytes(), body]
}
