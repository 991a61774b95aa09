/// How the end of a message's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this number of bytes.
    Exact(u64),
    /// The body is sent in chunks.
    Chunked,
}

/// The part of a message that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Empty lines may precede the head.
    HeadStart,
    /// A line of the head.
    Line {
        is_empty: bool,
    },
    /// The head is complete, and the length of the body is not known yet.
    HeadEnd,
    /// A body with this number of bytes left.
    Body(u64),
    /// The digits of a chunk's size.
    ChunkSize(u64),
    /// The rest of the line after a chunk's size.
    ChunkLine(u64),
    /// A chunk and its line end, with this number of bytes left.
    Chunk(u64),
    /// A line after the last chunk.
    Trailer {
        is_empty: bool,
    },
    End,
    /// The end cannot be found, because the HTTP library reads the message in another way.
    Unknown,
}

/// Finds the end of a request or an answer in the bytes of a connection, so that the bytes of the next request are not given
/// to the HTTP library before the request is answered, and answers to other calls are dropped. The library parses and checks
/// messages; this decides only where one ends.
#[derive(Clone, Copy, Debug)]
pub struct MessageScanner {
    part: Part,
}

impl Default for MessageScanner {
    fn default() -> Self {
        Self {
            part: Part::HeadStart,
        }
    }
}

impl MessageScanner {
    /// Returns how many of the next `bytes` of the connection belong to the message. Stops at the end of the head and at
    /// the end of the message.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        if self.part == Part::HeadEnd {
            self.part = Part::Unknown;
        }
        let mut position = 0;
        while position < bytes.len() && !matches!(self.part, Part::HeadEnd | Part::End) {
            position += self.scan_part(&bytes[position..]);
        }
        position
    }

    /// Sets the length of the body, once the head has been parsed.
    pub fn begin_body(&mut self, length: BodyLength) {
        if self.part == Part::HeadEnd {
            self.part = match length {
                BodyLength::Exact(0) => Part::End,
                BodyLength::Exact(bytes) => Part::Body(bytes),
                BodyLength::Chunked => Part::ChunkSize(0),
            };
        }
    }

    /// Returns whether a part of the head has been scanned.
    pub fn has_begun(&self) -> bool {
        self.part != Part::HeadStart
    }

    /// Returns whether the head has been scanned and the length of the body is not known yet.
    pub fn is_head_complete(&self) -> bool {
        self.part == Part::HeadEnd
    }

    /// Returns whether the whole message has been scanned.
    pub fn is_complete(&self) -> bool {
        self.part == Part::End
    }

    /// Scans bytes of the current part, at least one. Returns their number.
    fn scan_part(&mut self, bytes: &[u8]) -> usize {
        let byte = bytes[0];
        self.part = match self.part {
            Part::HeadStart if byte == b'\r' || byte == b'\n' => Part::HeadStart,
            Part::HeadStart => Part::Line { is_empty: false },
            Part::Line { is_empty } => match (byte, is_empty) {
                (b'\n', true) => Part::HeadEnd,
                (b'\n', false) => Part::Line { is_empty: true },
                (b'\r', _) => Part::Line { is_empty },
                _ => Part::Line { is_empty: false },
            },
            Part::Body(left) => {
                let n = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.part = match left - n as u64 {
                    0 => Part::End,
                    left => Part::Body(left),
                };
                return n;
            }
            Part::ChunkSize(size) => match char::from(byte).to_digit(16) {
                Some(digit) => Part::ChunkSize(size.saturating_mul(16).saturating_add(digit.into())),
                None => Part::after_size(byte, size),
            },
            Part::ChunkLine(size) => Part::after_size(byte, size),
            Part::Chunk(left) => {
                let n = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.part = match left - n as u64 {
                    0 => Part::ChunkSize(0),
                    left => Part::Chunk(left),
                };
                return n;
            }
            Part::Trailer { is_empty } => match (byte, is_empty) {
                (b'\n', true) => Part::End,
                (b'\n', false) => Part::Trailer { is_empty: true },
                (b'\r', _) => Part::Trailer { is_empty },
                _ => Part::Trailer { is_empty: false },
            },
            Part::HeadEnd | Part::End => return 0,
            Part::Unknown => return bytes.len(),
        };
        1
    }
}

impl Part {
    /// Returns the part after a byte of the line that holds the size of a chunk.
    fn after_size(byte: u8, size: u64) -> Self {
        match (byte, size) {
            (b'\n', 0) => Self::Trailer { is_empty: true },
            // The line end after the chunk has two bytes.
            (b'\n', size) => Self::Chunk(size.saturating_add(2)),
            _ => Self::ChunkLine(size),
        }
    }
}
