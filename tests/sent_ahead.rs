//! Requests that are sent before the answer to the one before them are separated, and answered in their order.

use {
    clementinefold::{
        edge::{
            plain_response, serve_http, BodyError, BodyLength, HttpRequest, HttpResponse, MessageScanner,
        },
        settings::CallerLimits,
    },
    http::StatusCode,
    quickcheck::{quickcheck, Arbitrary, Gen},
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS_MAX: usize = 8;
const BODY_BYTES_MAX: usize = 40_000;

/// A request as it is sent.
#[derive(Clone, Debug)]
struct SentRequest {
    head: String,
    body: Vec<u8>,
    /// The content of the body.
    content: Vec<u8>,
    length: BodyLength,
}

impl SentRequest {
    fn bytes(&self) -> Vec<u8> {
        [self.head.as_bytes(), &self.body].concat()
    }
}

impl Arbitrary for SentRequest {
    fn arbitrary(g: &mut Gen) -> Self {
        // Line ends and the head of another request may be a part of a body.
        let pattern = *g
            .choose(&["\r\n\r\n", "0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "x"])
            .unwrap();
        let size = *g.choose(&[0, 1, 5, 700, 9000, BODY_BYTES_MAX]).unwrap();
        let content: Vec<u8> = pattern.bytes().cycle().take(size).collect();
        let line_end = *g.choose(&["\r\n", "\r\n", "\n"]).unwrap();
        let leading = *g.choose(&["", "", "\r\n"]).unwrap();
        let lines = |field: &str| {
            let lines = ["POST /x HTTP/1.1", "host: a", field, "", ""];
            format!("{leading}{}", lines.join(line_end))
        };
        if bool::arbitrary(g) {
            return Self {
                head: lines(&format!("content-length: {size}")),
                body: content.clone(),
                length: BodyLength::Exact(size as u64),
                content,
            };
        }
        let extension = *g.choose(&["", ";a=b", " "]).unwrap();
        let chunk_bytes = *g.choose(&[1, 16, 300, 5000]).unwrap();
        let mut body = Vec::new();
        for chunk in content.chunks(chunk_bytes.max(size / 50 + 1)) {
            write!(body, "{:X}{extension}\r\n", chunk.len()).unwrap();
            body.extend_from_slice(chunk);
            body.extend_from_slice(b"\r\n");
        }
        let trailer = *g.choose(&["", "t: 1\r\n"]).unwrap();
        write!(body, "0\r\n{trailer}\r\n").unwrap();
        Self {
            head: lines("transfer-encoding: chunked"),
            body,
            content,
            length: BodyLength::Chunked,
        }
    }
}

/// Requests on one connection, and the sizes of the pieces in which they arrive.
#[derive(Clone, Debug)]
struct Sequence {
    requests: Vec<SentRequest>,
    piece_sizes: Vec<usize>,
}

impl Arbitrary for Sequence {
    fn arbitrary(g: &mut Gen) -> Self {
        let requests = (0..=usize::arbitrary(g) % REQUESTS_MAX).map(|_| SentRequest::arbitrary(g));
        let requests = requests.collect();
        let sizes = [1, 2, 3, 7, 50, 1000, 8192, 100_000];
        let piece_sizes = (0..16).map(|_| *g.choose(&sizes).unwrap()).collect();
        Self {
            requests,
            piece_sizes,
        }
    }
}

impl Sequence {
    fn pieces(&self) -> Vec<Vec<u8>> {
        let bytes = self
            .requests
            .iter()
            .map(SentRequest::bytes)
            .collect::<Vec<_>>()
            .concat();
        let mut rest = &bytes[..];
        let mut pieces = Vec::new();
        for size in self.piece_sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            // Pieces of a few bytes are only for the first requests.
            let size = (*size).max(bytes.len() / 200).min(rest.len());
            pieces.push(rest[..size].to_vec());
            rest = &rest[size..];
        }
        pieces
    }
}

quickcheck! {
    fn requests_separated(sequence: Sequence) -> bool {
        let mut scanner = MessageScanner::default();
        let mut found = vec![Vec::new()];
        let mut received = Vec::new();
        for piece in sequence.pieces() {
            received.extend(piece);
            while !received.is_empty() {
                let count = scanner.scan(&received);
                found.last_mut().unwrap().extend(received.drain(..count));
                let number = found.len() - 1;
                if found[number].len() == sequence.requests[number].head.len() {
                    scanner.begin_body(sequence.requests[number].length);
                }
                if scanner.is_complete() {
                    scanner = MessageScanner::default();
                    found.push(Vec::new());
                }
            }
        }
        let sent = sequence.requests.iter().map(SentRequest::bytes);
        found.pop() == Some(Vec::new()) && found == sent.collect::<Vec<_>>()
    }
}

fn start_server() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let (_stop, stop) = watch::channel(false);
            let log = slog::Logger::root(slog::Discard, slog::o!());
            serve_http(listener, CallerLimits::default, log, stop, answer).await;
        });
    });
    rx.recv().unwrap()
}

/// Answers with the length of the body and its sum.
async fn answer(request: Result<HttpRequest, BodyError>) -> HttpResponse {
    let body = request.unwrap().body;
    plain_response(StatusCode::OK, &summary(&body))
}

fn summary(body: &[u8]) -> String {
    let sum: u64 = body.iter().map(|b| u64::from(*b)).sum();
    format!("{} bytes, sum {sum}", body.len())
}

#[test]
fn answered_in_order() {
    let address = start_server();
    let mut g = Gen::new(100);
    for _ in 0..150 {
        let sequence = Sequence::arbitrary(&mut g);
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        for piece in sequence.pieces() {
            stream.write_all(&piece).unwrap();
        }
        let expected: Vec<String> = sequence.requests.iter().map(|r| summary(&r.content)).collect();
        let mut answers = String::new();
        let mut buf = [0; 4096];
        while answers.matches(" sum ").count() < expected.len() || !answers.ends_with('\n') {
            let n = stream.read(&mut buf).unwrap();
            assert!(n > 0, "{sequence:?}: {answers}");
            answers.push_str(std::str::from_utf8(&buf[..n]).unwrap());
        }
        let found: Vec<&str> = answers.lines().filter(|line| line.contains(" sum ")).collect();
        assert_eq!(found, expected);
        stream.shutdown(Shutdown::Both).unwrap();
    }
}
