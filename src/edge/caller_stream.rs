use {
    super::{
        connection_state::{ConnectionState, Stage},
        head_timer::HeadTimer,
        linger::STALL_TIMEOUT,
        message_scanner::MessageScanner,
    },
    crate::clock::Ms,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        future::Future,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{ready, Context, Poll, Waker},
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::TcpStream,
        time::{sleep, Sleep},
    },
};

/// Prefix of each error response that the HTTP library generates.
const ERROR_PREFIX: &[u8] = b"HTTP/1.1 4";
/// Header of every response that the handler generates.
const OUTCOME_HEADER: &[u8] = b"fold-outcome:";
/// Headers that are inserted into an error response of the library.
const ADDED_HEADERS: &[u8] = b"fold-outcome: not-run\r\nfold-reason: bad-header\r\n";
/// Number of bytes that are read from the socket at a time.
const BUF_BYTES: usize = 8192;

/// A caller's connection. It gives the HTTP library the bytes of one request at a time. It adds the outcome to error
/// responses that the library generates, e.g. for a malformed head, and fails once a head takes too long.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
    head_timer: HeadTimer,
    scanner: MessageScanner,
    /// Bytes that were received and not yet given to the HTTP library.
    received: Vec<u8>,
    /// Whether the caller has ended its sending side.
    is_ended: bool,
    /// Set while the caller takes no bytes of its answer.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Wakes the library, which waits for the next request, once the one before it is answered.
    reader: Option<Waker>,
    /// The part of an error response that is still to be written.
    pending: Vec<u8>,
    /// Whether the library passes on a response in parts instead of copying it into one buffer. The copy would not be
    /// accounted for in the budget of memory.
    writes_vectored: bool,
}

impl CallerStream {
    /// Error of a write whose caller has taken no bytes for [`STALL_TIMEOUT`].
    pub const STALL_ERROR: io::ErrorKind = io::ErrorKind::ConnectionAborted;

    /// Returns the stream of a connection. It fails once a head takes longer than `head_timeout`.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>, head_timeout: Ms) -> Self {
        Self {
            stream: TokioIo::new(stream),
            writes_vectored: state.writing().is_limited(),
            head_timer: HeadTimer::new(state.clone(), head_timeout),
            state,
            scanner: MessageScanner::default(),
            received: Vec::new(),
            is_ended: false,
            stall_timer: None,
            reader: None,
            pending: Vec::new(),
        }
    }

    /// Returns the socket.
    pub fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }

    /// Reads from the socket. Returns the number of bytes, which is 0 at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; BUF_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(self.stream.inner_mut()).poll_read(cx, &mut buf))?;
        self.received.extend_from_slice(buf.filled());
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Polls a connection whose request is complete and not answered. Returns ready if the caller has closed it before its
    /// answer was ready: once it is, a caller that has ended its sending side may still read. The next request is read at
    /// most once, and not at all when the connection is going to end.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.received.is_empty() && !self.state.ends_after_answer() && !self.is_ended {
            let count = ready!(self.poll_receive(cx))?;
            self.is_ended = count == 0;
            if self.is_ended && self.state.stage() != Stage::Answering {
                return Poll::Ready(Ok(()));
            }
            self.state.set_ahead(!self.is_ended);
        }
        self.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records a write of the HTTP library. Fails if the caller takes no bytes for long, since no other time limit applies while
    /// an answer is written, and connections are limited.
    fn poll_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall_timer = None;
            if let Poll::Ready(Ok(count)) = &written {
                self.state.writing().record_progress(*count);
            }
            return written;
        }
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT.as_duration())));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(Self::STALL_ERROR.into()))
    }

    fn poll_write_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the response with an outcome if `buf` is an error response of the library without one.
fn with_outcome(buf: &[u8]) -> Option<Vec<u8>> {
    if !buf.starts_with(ERROR_PREFIX) {
        return None;
    }
    let head_end = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let has_outcome = buf[..head_end]
        .windows(OUTCOME_HEADER.len())
        .any(|w| w.eq_ignore_ascii_case(OUTCOME_HEADER));
    if has_outcome {
        return None;
    }
    let line_end = buf.windows(2).position(|w| w == b"\r\n")? + 2;
    Some([&buf[..line_end], ADDED_HEADERS, &buf[line_end..]].concat())
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(length) = self.state.take_body_length() {
            self.scanner.begin_body(length);
        }
        if self.scanner.is_complete() {
            if !matches!(self.state.stage(), Stage::Idle | Stage::Head) {
                return self.poll_end(cx);
            }
            self.scanner = MessageScanner::default();
        }
        if self.received.is_empty() {
            let received = self.poll_receive(cx);
            if received.is_pending() {
                self.state.record_read_wait();
                // Bytes that have arrived are read first, so that a pause of this process doesn't count against the caller.
                ready!(self.head_timer.poll_timeout(cx));
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            if ready!(received)? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        let available = self.received.len().min(buf.remaining());
        let Self {
            scanner, received, ..
        } = &mut *self;
        let count = scanner.scan(&received[..available]);
        buf.put_slice(&received[..count]);
        if count == received.len() {
            // Idle connections keep no buffer.
            *received = Vec::new();
        } else {
            received.drain(..count);
        }
        if self.scanner.has_begun() {
            self.state.record_bytes();
        }
        self.state.set_ahead(!self.received.is_empty());
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_pending(cx))?;
        if let Some(response) = with_outcome(buf) {
            self.pending = response;
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.writes_vectored
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_pending(cx))?;
        let first = bufs.iter().find(|buf| !buf.is_empty());
        if let Some((first, response)) = first.and_then(|buf| Some((buf, with_outcome(buf)?))) {
            self.pending = response;
            return Poll::Ready(Ok(first.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.poll_written(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_pending(cx))?;
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.state.record_flush() {
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_pending(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
