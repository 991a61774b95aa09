use {
    super::message_scanner::{BodyLength, MessageScanner},
    std::mem::take,
};

/// Longest head of an answer that is examined. The HTTP library accepts longer ones.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// What is done with the next bytes of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    /// They belong to the head of an answer, which is held back until it is complete.
    Head,
    /// They belong to the body of an answer to another call.
    Dropped,
    /// They are passed on.
    #[default]
    Passed,
}

/// Drops answers to other calls from the bytes of a connection to a backend server.
///
/// A server may send a copy of an earlier answer late, in place of the next one. The HTTP library would take it for the answer
/// to the running call, which would have to be broken off although the server is at work. An answer whose end cannot be
/// found is passed on, and so fails the call.
#[derive(Debug, Default)]
pub(super) struct AnswerFilter {
    /// Name of the header in which answers repeat the id of their call.
    id_header: &'static str,
    /// Id of the running call.
    id: String,
    part: Part,
    scanner: MessageScanner,
    /// The part of a head that has been received.
    head: Vec<u8>,
    /// Bytes that are to be passed on.
    passed: Vec<u8>,
    /// Whether answers to requests without a body in the answer, i.e. HEAD requests, may arrive.
    has_sent_head_request: bool,
    has_dropped: bool,
    is_malformed: bool,
}

impl AnswerFilter {
    /// Returns the filter of a new connection, whose answers repeat the id of their call in the header `id_header`.
    pub fn new(id_header: &'static str) -> Self {
        Self {
            id_header,
            ..Self::default()
        }
    }

    /// Begins to wait for the answer to the call `id`.
    pub fn begin(&mut self, id: &str, method: &str) {
        id.clone_into(&mut self.id);
        self.has_sent_head_request |= method == "HEAD";
        self.has_dropped = false;
        self.is_malformed = false;
        self.part = Part::Head;
        self.scanner = MessageScanner::default();
    }

    /// Returns whether an answer to another call was dropped, or a part of one, while the running call waits for its own.
    pub fn has_dropped(&self) -> bool {
        self.has_dropped
    }

    /// Returns whether the server has sent what the HTTP library would wait behind, although no answer can follow.
    pub fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Returns whether all received bytes are passed on as they are.
    pub fn is_idle(&self) -> bool {
        self.part == Part::Passed && self.passed.is_empty()
    }

    /// Examines received bytes.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.is_malformed {
            if self.part == Part::Passed {
                self.passed.extend_from_slice(bytes);
                return;
            }
            let count = self.scanner.scan(bytes);
            let (scanned, rest) = bytes.split_at(count);
            bytes = rest;
            if self.part == Part::Head {
                self.head.extend_from_slice(scanned);
                if self.scanner.is_head_complete() {
                    self.end_head();
                } else if self.head.len() > HEAD_BYTES_MAX {
                    self.end_input();
                }
            }
            if self.part == Part::Dropped && self.scanner.is_complete() {
                self.await_head();
            }
        }
    }

    /// Records that no more bytes are received, or that the rest is not examined.
    pub fn end_input(&mut self) {
        self.part = Part::Passed;
        self.passed.append(&mut self.head);
    }

    /// Removes and returns up to `count` bytes that are to be passed on.
    pub fn take_passed(&mut self, count: usize) -> Vec<u8> {
        match count < self.passed.len() {
            true => self.passed.drain(..count).collect(),
            false => take(&mut self.passed),
        }
    }

    fn await_head(&mut self) {
        self.part = Part::Head;
        self.scanner = MessageScanner::default();
    }

    fn end_head(&mut self) {
        match AnswerOf::read(&self.head, self.id_header, &self.id) {
            // The length in an answer to HEAD is not that of its body, so that its end cannot be found.
            AnswerOf::Other(_) if self.has_sent_head_request => self.end_input(),
            AnswerOf::Other(length) => {
                self.head.clear();
                self.has_dropped = true;
                self.part = Part::Dropped;
                self.scanner.begin_body(length);
            }
            AnswerOf::Interim => {
                self.passed.append(&mut self.head);
                self.await_head();
            }
            AnswerOf::Malformed => self.is_malformed = true,
            AnswerOf::Running => self.end_input(),
        }
    }
}

/// Which call an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerOf {
    /// The running call, as far as the head tells.
    Running,
    /// Another call. The end of the answer can be found.
    Other(BodyLength),
    /// None yet: an informational response, which precedes the answer.
    Interim,
    /// None: an informational response with a body. The HTTP library ignores it and takes the body for the next head.
    Malformed,
}

impl AnswerOf {
    fn read(head: &[u8], id_header: &str, id: &str) -> Self {
        let mut lines = head.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
        let status = lines.find(|line| !line.is_empty()).and_then(status);
        let fields = lines.filter_map(|line| {
            let colon = line.iter().position(|byte| *byte == b':')?;
            Some((&line[..colon], line[colon + 1..].trim_ascii()))
        });
        let (mut named, mut length, mut is_chunked) = (None, None, false);
        for (name, value) in fields {
            if name.eq_ignore_ascii_case(id_header.as_bytes()) {
                named = named.or(Some(value));
            } else if name.eq_ignore_ascii_case(b"content-length") {
                length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                is_chunked = value.eq_ignore_ascii_case(b"chunked");
            }
        }
        let body = match (status, is_chunked) {
            (Some(101), _) => return Self::Running,
            (Some(100..=199), false) if length.unwrap_or(0) == 0 => return Self::Interim,
            (Some(100..=199), _) => return Self::Malformed,
            (Some(204 | 304), _) => Some(BodyLength::Exact(0)),
            (_, true) => Some(BodyLength::Chunked),
            (_, false) => length.map(BodyLength::Exact),
        };
        match (named, body) {
            (Some(named), Some(body)) if named != id.as_bytes() => Self::Other(body),
            _ => Self::Running,
        }
    }
}

/// Returns the status code in the first line of an answer.
fn status(line: &[u8]) -> Option<u16> {
    let code = line.split(|byte| *byte == b' ').nth(1)?;
    std::str::from_utf8(code).ok()?.parse().ok()
}
