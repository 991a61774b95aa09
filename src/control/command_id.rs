use {
    crate::clock::Ms,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Most characters of a command id.
const MAX_CHARS: usize = 64;

/// Id of an operator's command: when it was made, by the operator's wall clock, and a random part.
///
/// The time orders the ids, so that the state can forget answers and still knows which ids it may have
/// forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandId {
    at: Ms,
    text: String,
}

/// The text of a command id could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a command id has the form TIME-RANDOM, e.g. 1767225600000-0123456789abcdef, with the time in ms since 1970 and 1 to 40 letters, digits, '.' or '_'")]
pub struct CommandIdError;

impl CommandId {
    /// Returns the id of a command that is made at `at`, in ms since the Unix epoch.
    pub fn new(at: Ms, random: u64) -> Self {
        Self {
            at,
            text: format!("{}-{random:016x}", at.0),
        }
    }

    /// Returns when the command was made, in ms since the Unix epoch.
    pub fn at(&self) -> Ms {
        self.at
    }

    /// Returns the text form.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl FromStr for CommandId {
    type Err = CommandIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (time, random) = text.split_once('-').ok_or(CommandIdError)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '.' || c == '_';
        let is_canonical = time.bytes().all(|b| b.is_ascii_digit()) && !time.starts_with('0');
        if !is_canonical || random.is_empty() || !random.chars().all(allowed) || text.len() > MAX_CHARS {
            return Err(CommandIdError);
        }
        let at = time.parse().map_err(|_| CommandIdError)?;
        Ok(Self {
            at: Ms(at),
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
