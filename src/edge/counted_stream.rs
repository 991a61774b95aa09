use {
    super::answer_filter::AnswerFilter,
    crate::{clock::Clock, lease::DaemonLease},
    hyper::rt::{Read, ReadBuf, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        cell::{Cell, RefCell},
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{ready, Context, Poll},
    },
    tokio::net::TcpStream,
};

/// Number of bytes that are read at a time if reads are limited. The HTTP library sizes its buffers by what its reads
/// return, and holds up to three of them for a connection whose response waits for memory: 1.2 MB without the limit.
const READ_BYTES: usize = 16 * 1024;

/// Counts the bytes of the current request that were sent on one connection, and decides whether more may be sent.
#[derive(Debug)]
pub(super) struct SendMeter {
    sent: Cell<u64>,
    closed: Cell<bool>,
    /// Whether the first byte of the request may only be sent while the lease is valid.
    needs_lease: Cell<bool>,
    clock: Clock,
    lease: DaemonLease,
    stopped: Rc<Cell<bool>>,
}

impl SendMeter {
    /// Returns the meter of a new connection. Nothing may be sent before [`Self::begin_request`].
    pub fn new(clock: Clock, lease: DaemonLease, stopped: Rc<Cell<bool>>) -> Self {
        Self {
            sent: Cell::new(0),
            closed: Cell::new(true),
            needs_lease: Cell::new(true),
            clock,
            lease,
            stopped,
        }
    }

    /// Allows sending, and counts the bytes of a new request from zero.
    pub fn begin_request(&self, needs_lease: bool) {
        self.needs_lease.set(needs_lease);
        self.sent.set(0);
        self.closed.set(false);
    }

    /// Forbids sending, and returns how many bytes of the request were sent before.
    pub fn close(&self) -> u64 {
        self.closed.set(true);
        self.sent.get()
    }

    /// Fails unless bytes may be sent now. Only the first byte of a request depends on the lease and on the stop: a
    /// request that has begun may be completed.
    fn check_may_send(&self) -> io::Result<()> {
        let has_lease = || !self.needs_lease.get() || self.lease.is_valid(self.clock.now());
        let may_begin = || !self.stopped.get() && has_lease();
        if self.closed.get() || self.sent.get() == 0 && !may_begin() {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(())
    }

    fn count(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.sent.set(self.sent.get() + *n as u64);
        }
    }
}

/// Number of bytes that are read at a time while the head of an answer is examined.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// A connection to a backend server that counts the sent bytes, and sends only while its [`SendMeter`] allows it. Answers to
/// other calls are dropped.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TokioIo<TcpStream>,
    meter: Rc<SendMeter>,
    filter: Rc<RefCell<AnswerFilter>>,
    /// Whether at most [`READ_BYTES`] are read at a time.
    limits_reads: bool,
}

impl CountedStream {
    pub fn new(
        stream: TcpStream,
        meter: Rc<SendMeter>,
        filter: Rc<RefCell<AnswerFilter>>,
        limits_reads: bool,
    ) -> Self {
        Self {
            stream: TokioIo::new(stream),
            meter,
            filter,
            limits_reads,
        }
    }

    /// Reads an answer whose head has not been passed on completely.
    fn poll_read_filtered(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let passed = self.filter.borrow_mut().take_passed(buf.remaining());
            if !passed.is_empty() {
                buf.put_slice(&passed);
                return Poll::Ready(Ok(()));
            }
            if self.filter.borrow().is_malformed() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let mut bytes = [0; HEAD_READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()))?;
            let mut filter = self.filter.borrow_mut();
            if read.filled().is_empty() {
                filter.end_input();
                if filter.is_idle() {
                    return Poll::Ready(Ok(()));
                }
            }
            filter.receive(read.filled());
        }
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.filter.borrow().is_idle() {
            return self.poll_read_filtered(cx, buf);
        }
        if !self.limits_reads || buf.remaining() <= READ_BYTES {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut bytes = [0; READ_BYTES];
        let mut read = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()))?;
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.meter.check_may_send()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter.count(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.check_may_send()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.meter.count(&written);
        written
    }
}
