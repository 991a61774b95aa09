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

/// Whether a connection is in the middle of the head of a request. It is shared by the connection and by what
/// serves its requests.
#[derive(Debug, Default)]
pub(super) struct HeadProgress {
    /// True: a request is served, so that no head is expected.
    serving: Cell<bool>,
    /// True: a part of a head has come.
    begun: Cell<bool>,
}

impl HeadProgress {
    /// Notes that a whole head has come.
    pub fn end(&self) {
        self.serving.set(true);
        self.begun.set(false);
    }

    /// Notes that the next head may come.
    pub fn expect_next(&self) {
        self.serving.set(false);
    }
}

/// Bounds the time from the first byte of a head to its last one, so that a sender that is slow on purpose holds no
/// connection for long.
#[derive(Debug)]
pub(super) struct HeadTimer {
    progress: Rc<HeadProgress>,
    longest: Duration,
    /// Runs while a part of a head has come and nothing more can be read.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    pub fn new(progress: Rc<HeadProgress>, longest: Ms) -> Self {
        Self {
            progress,
            longest: longest.as_duration(),
            timer: None,
        }
    }

    /// Looks at the time when nothing can be read. Ready: the head took too long.
    pub fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.progress.serving.get() || !self.progress.begun.get() {
            self.timer = None;
            return Poll::Pending;
        }
        let longest = self.longest;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(longest)));
        timer.as_mut().poll(cx)
    }

    /// Notes that bytes came.
    pub fn note_bytes(&self) {
        if !self.progress.serving.get() {
            self.progress.begun.set(true);
        }
    }
}
