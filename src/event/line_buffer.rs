use std::io::{self, Write};

/// Buffers written bytes until a line is complete and then passes it on in one write. The formatters write a line
/// in about 26 small pieces, each of which would be a system call otherwise.
#[derive(Debug)]
pub(super) struct LineBuffer<W> {
    line: Vec<u8>,
    out: W,
}

impl<W: Write> LineBuffer<W> {
    pub(super) fn new(out: W) -> Self {
        Self {
            line: Vec::new(),
            out,
        }
    }
}

impl<W: Write> Write for LineBuffer<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            let written = self.out.write_all(&self.line);
            self.line.clear();
            written?;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}
