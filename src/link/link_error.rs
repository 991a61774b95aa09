use thiserror::Error;

/// A request over a link has no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LinkError {
    /// The request certainly did not leave this host.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have reached the other daemon.
    #[error("lost: {0}")]
    Lost(String),
}
