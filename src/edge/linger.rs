use {
    super::{connection_state::ConnectionState, send_queue::undelivered_bytes},
    crate::clock::{Clock, Ms},
    std::rc::Rc,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Time for which a caller that has received everything may go on without sending a byte or closing its connection.
const SILENCE_TIMEOUT: Ms = Ms(2000);
/// Longest time for which the bytes of a caller that has received everything are discarded.
const DISCARD_TIMEOUT: Ms = Ms(10_000);
/// Time without progress after which a caller that has not received everything is given up. A receive buffer of 128 KB
/// that is read at 10 KB/s takes more bytes after over 6 s.
pub(super) const STALL_TIMEOUT: Ms = Ms(15_000);
/// Interval at which it is checked what the caller has received.
const CHECK_INTERVAL: Ms = Ms(250);
/// The same for a connection that ends once its peer has received everything, which delays the end of the process.
const STOP_CHECK_INTERVAL: Ms = Ms(10);
/// Number of bytes that are discarded at a time.
const BUF_BYTES: usize = 4096;

/// Decides how long a connection that is shut down for writing stays open.
///
/// Closing a socket with unread bytes, or bytes that arrive after its close, reset the connection, and the caller loses
/// what it has not received yet. So the connection stays open until the caller closes it as well, has received everything
/// and had time to close it, or takes no more bytes.
#[derive(Debug)]
struct LingerTimer {
    /// When the caller had received everything, or the beginning.
    delivered_at: Ms,
    /// When the caller last sent or took bytes.
    progress_at: Ms,
    /// Number of bytes that the caller had not received at the last check.
    undelivered: usize,
}

impl LingerTimer {
    fn new(now: Ms) -> Self {
        Self {
            delivered_at: now,
            progress_at: now,
            undelivered: 0,
        }
    }

    fn record_received(&mut self, now: Ms) {
        // A caller that sends and does not read makes no progress.
        if self.undelivered == 0 {
            self.progress_at = now;
        }
    }

    /// Returns whether the connection may be closed. `undelivered` is the number of bytes that the caller has not received.
    fn is_over(&mut self, undelivered: usize, now: Ms) -> bool {
        if self.undelivered != undelivered {
            self.undelivered = undelivered;
            self.progress_at = now;
            self.delivered_at = now;
        }
        match undelivered {
            0 => now - self.progress_at >= SILENCE_TIMEOUT || now - self.delivered_at >= DISCARD_TIMEOUT,
            _ => now - self.progress_at >= STALL_TIMEOUT,
        }
    }
}

/// A connection that ends, and what is known about it.
pub(super) struct Linger {
    pub stream: TcpStream,
    pub state: Rc<ConnectionState>,
}

impl Linger {
    /// Shuts the connection down for writing, and goes on as [`Self::run`] does if its caller has not received everything.
    pub async fn run_if_undelivered(mut self) {
        if self.stream.shutdown().await.is_ok() && self.check_undelivered() > 0 {
            self.run().await;
        }
    }

    fn check_undelivered(&self) -> usize {
        let undelivered = undelivered_bytes(&self.stream).unwrap_or(0);
        self.state.record_undelivered(undelivered);
        undelivered
    }

    /// Returns whether the connection was reset. Once the caller has ended its sending side, reads do not tell this any
    /// more, and the number of undelivered bytes stays as it was.
    fn is_reset(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Shuts the connection down for writing and discards what its caller still sends, until it may be closed.
    pub async fn run(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let clock = Clock::System;
        let mut timer = LingerTimer::new(clock.now());
        let mut discarded = vec![0; BUF_BYTES];
        let mut is_ended = false;
        loop {
            let ends_once_delivered = self.state.ends_once_delivered();
            let undelivered = self.check_undelivered();
            let is_delivered = undelivered == 0 && (is_ended || ends_once_delivered);
            if is_delivered || timer.is_over(undelivered, clock.now()) {
                return;
            }
            let interval = match ends_once_delivered {
                true => STOP_CHECK_INTERVAL,
                false => CHECK_INTERVAL,
            };
            let received = tokio::select! {
                received = self.stream.read(&mut discarded), if !is_ended => Some(received),
                () = sleep(interval.as_duration()) => None,
            };
            match received {
                Some(Ok(1..)) => timer.record_received(clock.now()),
                // The kernel would deliver the rest after the close, but not if the network of the machine ends together with
                // the process, and a stop does not wait for a closed connection.
                Some(Ok(0)) => is_ended = true,
                Some(Err(_)) => return,
                None => {}
            }
            if is_ended && self.is_reset() {
                return;
            }
        }
    }
}
