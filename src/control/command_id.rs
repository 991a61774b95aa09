use {
    crate::clock::Ms,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Limit on the length of a command id.
const MAX_CHARS: usize = 128;

/// Id of an operator's command: any text of 1 to 128 visible ASCII characters.
///
/// An id of the form `TIME-RANDOM`, with the time in ms since the Unix epoch, also tells when the command was issued.
/// Such a command is refused once its answer may have been evicted, whatever its base is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandId(String);

/// The text is not a valid command id.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a command id is 1 to {MAX_CHARS} visible ASCII characters, e.g. 1767225600000-0123456789abcdef")]
pub struct CommandIdError;

impl CommandId {
    /// Returns the id of a command issued at `at`, in ms since the Unix epoch.
    pub fn new(at: Ms, random: u64) -> Self {
        Self(format!("{}-{random:016x}", at.0))
    }

    /// Returns when the command was issued, in ms since the Unix epoch, or `None` if the id has no time.
    pub fn issued_at(&self) -> Option<Ms> {
        let (time, random) = self.0.split_once('-')?;
        let is_canonical = time.bytes().all(|b| b.is_ascii_digit()) && !time.starts_with('0');
        if !is_canonical || random.is_empty() {
            return None;
        }
        time.parse().ok().map(Ms)
    }

    /// Returns the text form.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for CommandId {
    type Err = CommandIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_CHARS || !is_visible {
            return Err(CommandIdError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
