//! The little of HTTP/1.1 that clients and servers of a case need.

use std::{
    io::{self, BufRead, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status of an answer, or 0.
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads a message whose body has a length. Returns `None` at the end of the stream.
pub fn read_message(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: line.trim_end().to_owned(), ..Message::default() };
    message.status = message.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Makes one request on a connection of its own.
pub fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    read_message(&mut io::BufReader::new(stream)).ok()?
}
