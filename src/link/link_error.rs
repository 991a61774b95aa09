use thiserror::Error;

/// Why a request over a link has no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LinkError {
    /// The request was certainly not sent, or the other daemon has stated that it has not taken it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the other daemon.
    #[error("lost: {0}")]
    Lost(String),
}
