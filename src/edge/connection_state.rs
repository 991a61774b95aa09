use {
    super::{message_scanner::BodyLength, open_connections::RequestWait, stop_rule::StopRule},
    crate::{clock::Clock, memory::Reservation},
    std::{cell::Cell, rc::Rc},
    tokio::sync::{watch, Notify},
};

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
    /// The connection is shut down, and its caller has not received all that was written.
    Delivering,
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
            Self::Delivering => "delivering",
        }
    }

    /// Returns whether a whole request has been received whose caller does not have the complete answer.
    pub fn owes_answer(self) -> bool {
        matches!(self, Self::Serving | Self::Answering | Self::Delivering)
    }
}

/// State of a caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    stage: Cell<Stage>,
    /// Length of the body of the request whose head was received last, until it is taken.
    body_length: Cell<Option<BodyLength>>,
    /// Whether bytes after the current request, or after the given part of it, have been received.
    has_ahead: Cell<bool>,
    /// Whether the answer that is being written announces the end of the connection.
    announces_close: Cell<bool>,
    /// Number of written bytes that the caller has not received, as far as known.
    undelivered: Cell<usize>,
    stop: watch::Receiver<bool>,
    stop_rule: StopRule,
    became_idle: Notify,
    /// The response that is being written.
    writing: Reservation,
    wait: Rc<RequestWait>,
}

impl ConnectionState {
    /// Returns the state of a new connection. `stop` tells whether the connection has to end by its rule, and `writing` is the
    /// reservation of memory of the responses that are written. `wait` tells the listener what the connection waits for.
    pub fn new(
        stop: watch::Receiver<bool>,
        stop_rule: StopRule,
        writing: Reservation,
        wait: Rc<RequestWait>,
    ) -> Self {
        Self {
            stage: Cell::default(),
            body_length: Cell::default(),
            has_ahead: Cell::default(),
            announces_close: Cell::default(),
            undelivered: Cell::default(),
            stop,
            stop_rule,
            became_idle: Notify::new(),
            writing,
            wait,
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub fn writing(&self) -> &Reservation {
        &self.writing
    }

    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Returns whether the connection ends as soon as its peer has received everything that was written.
    pub fn ends_once_delivered(&self) -> bool {
        self.is_stopping() && self.stop_rule == StopRule::OnceDelivered
    }

    /// Returns whether the connection may end with the answer to the current request, so that the next request must not
    /// be read.
    pub fn ends_after_answer(&self) -> bool {
        self.announces_close.get() || self.is_stopping()
    }

    pub fn set_ahead(&self, has_ahead: bool) {
        self.has_ahead.set(has_ahead);
    }

    /// Returns the length of the body of the current request, once.
    pub fn take_body_length(&self) -> Option<BodyLength> {
        self.body_length.take()
    }

    /// Records that bytes were received.
    pub fn record_bytes(&self) {
        if self.stage.get() == Stage::Idle {
            self.stage.set(Stage::Head);
        }
    }

    /// Records that nothing can be read now.
    pub fn record_read_wait(&self) {
        let now = || Clock::System.now();
        match self.stage.get() {
            Stage::Idle | Stage::Head => self.wait.record_head_wait(now),
            Stage::Body => self.wait.record_body_wait(now),
            Stage::Serving | Stage::Answering | Stage::Delivering => {}
        }
    }

    /// Records that a whole head was received.
    pub fn record_head(&self, body_length: BodyLength) {
        self.body_length.set(Some(body_length));
        self.stage.set(Stage::Body);
        self.wait.record_head();
    }

    /// Records that the body of the request was received, or that it will not be.
    pub fn record_body(&self) {
        self.stage.set(Stage::Serving);
        self.wait.record_request();
    }

    /// Records that the answer is ready to be written. Returns whether it has to announce the end of the connection: the
    /// process is stopping, and no part of another request has been read.
    pub fn record_answer(&self) -> bool {
        self.stage.set(Stage::Answering);
        let announces_close = self.is_stopping() && !self.has_ahead.get();
        self.announces_close.set(announces_close);
        announces_close
    }

    /// Records that everything has been written that was to be written so far. Returns whether that ends an answer.
    pub fn record_flush(&self) -> bool {
        let ends_answer = self.stage.get() == Stage::Answering;
        if ends_answer {
            self.stage.set(Stage::Idle);
            self.writing.set_freed_bytes(0);
            self.became_idle.notify_one();
        }
        ends_answer
    }

    pub fn undelivered(&self) -> usize {
        self.undelivered.get()
    }

    /// Records how many of the written bytes the caller has not received. The connection is shut down.
    pub fn record_undelivered(&self, bytes: usize) {
        self.undelivered.set(bytes);
        match (self.stage.get(), bytes) {
            (Stage::Delivering, 0) => self.stage.set(Stage::Idle),
            (Stage::Idle | Stage::Head, 1..) => self.stage.set(Stage::Delivering),
            _ => {}
        }
    }

    /// Waits until no request is in progress or has been read in part.
    pub async fn wait_until_idle(&self) {
        while self.stage.get() != Stage::Idle || self.has_ahead.get() {
            self.became_idle.notified().await;
        }
    }
}
