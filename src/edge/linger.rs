use {
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::TcpStream,
        time::{sleep, Instant, Sleep},
    },
};

/// Time without bytes from the caller after which its connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which bytes are discarded.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of bytes that are discarded at a time.
const BUF_BYTES: usize = 4096;

/// Discards what a caller still sends on a connection that is shut down for writing. Closing a socket with unread bytes
/// resets the connection, and the caller loses the part of the answer that it has not received yet.
#[derive(Debug)]
pub(super) struct Linger {
    idle: Pin<Box<Sleep>>,
    end: Pin<Box<Sleep>>,
}

impl Linger {
    pub fn new() -> Self {
        Self {
            idle: Box::pin(sleep(IDLE_TIMEOUT)),
            end: Box::pin(sleep(TIMEOUT)),
        }
    }

    /// Returns ready once the caller has closed the connection as well, or has had the time to do so.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; BUF_BYTES];
        loop {
            if self.end.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.idle.as_mut().reset(Instant::now() + IDLE_TIMEOUT);
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.idle.as_mut().poll(cx),
            }
        }
    }
}
