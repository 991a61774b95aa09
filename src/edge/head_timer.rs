use {
    super::connection_state::{ConnectionState, Stage},
    crate::clock::Ms,
    std::{
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{sleep, Sleep},
};

/// Limits the time from the first byte of a head to its last one, so that a deliberately slow sender cannot hold a
/// connection for long.
#[derive(Debug)]
pub(super) struct HeadTimer {
    state: Rc<ConnectionState>,
    timeout: Duration,
    /// Set while a part of a head has been received and no more bytes are available.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    pub fn new(state: Rc<ConnectionState>, timeout: Ms) -> Self {
        Self {
            state,
            timeout: timeout.as_duration(),
            timer: None,
        }
    }

    /// Polls the timer while nothing can be read. Returns ready once the head has taken too long.
    pub fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.stage() != Stage::Head {
            self.timer = None;
            return Poll::Pending;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(cx)
    }
}
