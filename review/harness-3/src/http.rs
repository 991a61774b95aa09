//! HTTP/1.1 messages with a length, as the stand-ins send and read them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    pub fn word(&self, i: usize) -> &str {
        self.start.split(' ').nth(i).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Reads one message. Bytes behind it stay in `buf`.
    pub fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
        let mut chunk = [0; 8192];
        loop {
            if let Some((message, end)) = Self::parse(buf) {
                buf.drain(..end);
                return Some(message);
            }
            let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
            buf.extend_from_slice(&chunk[..n]);
        }
    }

    fn parse(bytes: &[u8]) -> Option<(Message, usize)> {
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = head.lines();
        let start = lines.next()?.to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        let body = &bytes[end + 4..];
        (body.len() >= length).then(|| {
            message.body = body[..length].to_vec();
            (message, end + 4 + length)
        })
    }
}

/// Sends a request on a new connection and waits for the answer for up to `timeout`.
pub fn exchange(to: SocketAddr, head: &str, body: &str, timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(&mut stream, &mut Vec::new())
}
