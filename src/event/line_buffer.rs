use std::io::{self, Write};

/// Gathers what is written until a line is whole, then passes it on in one write. The formatters write a line
/// in some 26 small pieces, each of which would be a system call.
#[derive(Debug)]
pub(super) struct WholeLines<W> {
    line: Vec<u8>,
    out: W,
}

impl<W: Write> WholeLines<W> {
    pub(super) fn new(out: W) -> Self {
        Self {
            line: Vec::new(),
            out,
        }
    }
}

impl<W: Write> Write for WholeLines<W> {
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
