use std::cell::Cell;

/// What a caller's connection is doing. The stream of the connection shares it with the service that handles its
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Stage {
    /// No request is in progress.
    #[default]
    Idle,
    /// A part of a request's head has been received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A whole request has been received and has no answer yet.
    Serving,
    /// The answer to a request is being written.
    Answering,
}

impl Stage {
    /// Returns the name of the stage for logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Serving => "serving",
            Self::Answering => "answering",
        }
    }

    /// Returns whether a whole request has been received that is not completely answered.
    pub fn owes_answer(self) -> bool {
        matches!(self, Self::Serving | Self::Answering)
    }
}

/// State of a caller's connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    stage: Cell<Stage>,
}

impl ConnectionState {
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Records that bytes were received.
    pub fn record_bytes(&self) {
        if self.stage.get() == Stage::Idle {
            self.stage.set(Stage::Head);
        }
    }

    /// Records that a whole head was received.
    pub fn record_head(&self) {
        self.stage.set(Stage::Body);
    }

    /// Records that the body of the request was received, or that it will not be.
    pub fn record_body(&self) {
        self.stage.set(Stage::Serving);
    }

    /// Records that the answer is ready to be written.
    pub fn record_answer(&self) {
        self.stage.set(Stage::Answering);
    }

    /// Records that everything has been written that was to be written so far.
    pub fn record_flush(&self) {
        if self.stage.get() == Stage::Answering {
            self.stage.set(Stage::Idle);
        }
    }
}
