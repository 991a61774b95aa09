use {
    super::head_timer::HeadTimer,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io,
        pin::Pin,
        task::{ready, Context, Poll},
    },
    tokio::net::TcpStream,
};

/// Start of every refusal that the HTTP library writes on its own.
const REFUSAL_START: &[u8] = b"HTTP/1.1 4";
/// Header that every other response carries.
const OUTCOME_HEADER: &[u8] = b"fold-outcome:";
/// What a refusal of the library is given.
const REFUSAL_HEADERS: &[u8] = b"fold-outcome: not-run\r\nfold-reason: bad-header\r\n";

/// A caller's connection. It adds the outcome to refusals that the HTTP library writes on its own, e.g. of a
/// head that cannot be read, and ends a connection whose head takes too long.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TokioIo<TcpStream>,
    heads: HeadTimer,
    /// A refusal that has not left yet.
    pending: Vec<u8>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, heads: HeadTimer) -> Self {
        Self {
            stream: TokioIo::new(stream),
            heads,
            pending: Vec::new(),
        }
    }

    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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

/// Returns the refusal with its outcome, if `buf` is a refusal without one.
fn with_outcome(buf: &[u8]) -> Option<Vec<u8>> {
    if !buf.starts_with(REFUSAL_START) {
        return None;
    }
    let head = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let has_outcome = buf[..head]
        .windows(OUTCOME_HEADER.len())
        .any(|w| w.eq_ignore_ascii_case(OUTCOME_HEADER));
    if has_outcome {
        return None;
    }
    let line_end = buf.windows(2).position(|w| w == b"\r\n")? + 2;
    Some([&buf[..line_end], REFUSAL_HEADERS, &buf[line_end..]].concat())
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            self.heads.note_bytes();
            return read;
        }
        // What has come counts, also after a pause of this process.
        ready!(self.heads.poll_late(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Write for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        if let Some(refusal) = with_outcome(buf) {
            self.pending = refusal;
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
