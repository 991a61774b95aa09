use crate::wire::peer as wire;

/// Whether a call was run, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server's complete answer was received.
    Answered,
    /// The call was certainly not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Fold-Outcome` header.
    pub fn word(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Converts from the message form. An unspecified value becomes `Unknown`.
    pub fn from_wire(outcome: wire::Outcome) -> Self {
        match outcome {
            wire::Outcome::Answered => Self::Answered,
            wire::Outcome::NotRun => Self::NotRun,
            wire::Outcome::Unknown | wire::Outcome::Unspecified => Self::Unknown,
        }
    }

    /// Converts to the message form.
    pub fn to_wire(self) -> wire::Outcome {
        match self {
            Self::Answered => wire::Outcome::Answered,
            Self::NotRun => wire::Outcome::NotRun,
            Self::Unknown => wire::Outcome::Unknown,
        }
    }
}
