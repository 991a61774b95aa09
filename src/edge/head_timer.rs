use {
    crate::clock::Ms,
    std::{
        cell::Cell,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{sleep, Sleep},
};

/// Tracks whether a connection is in the middle of a request's head. The connection shares it with the service that
/// handles its requests.
#[derive(Debug, Default)]
pub(super) struct HeadProgress {
    /// Whether a request is being served, so that no head is expected.
    is_serving: Cell<bool>,
    /// Whether a part of a head has been received.
    has_begun: Cell<bool>,
}

impl HeadProgress {
    /// Records that a whole head was received.
    pub fn record_head(&self) {
        self.is_serving.set(true);
        self.has_begun.set(false);
    }

    /// Records that the response is ready and the next head may arrive.
    pub fn expect_next(&self) {
        self.is_serving.set(false);
    }
}

/// Limits the time from the first byte of a head to its last one, so that a deliberately slow sender cannot hold a
/// connection for long.
#[derive(Debug)]
pub(super) struct HeadTimer {
    progress: Rc<HeadProgress>,
    timeout: Duration,
    /// Set while a part of a head has been received and no more bytes are available.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    pub fn new(progress: Rc<HeadProgress>, timeout: Ms) -> Self {
        Self {
            progress,
            timeout: timeout.as_duration(),
            timer: None,
        }
    }

    /// Polls the timer while nothing can be read. Returns ready once the head has taken too long.
    pub fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.progress.is_serving.get() || !self.progress.has_begun.get() {
            self.timer = None;
            return Poll::Pending;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(cx)
    }

    /// Records that bytes were received.
    pub fn record_bytes(&self) {
        if !self.progress.is_serving.get() {
            self.progress.has_begun.set(true);
        }
    }
}
