use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// What a fake server does with one request. `CALL` in a text is replaced by the id of the call.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Answers and keeps the connection.
    Good,
    /// Answers, then closes the connection.
    GoodThenClose,
    /// Answers, then resets the connection.
    GoodThenReset,
    /// Sends this text, then closes the connection.
    SendThenClose(&'static str),
    /// Sends this text and keeps the connection.
    Send(&'static str),
    /// Answers after this time.
    Late(Duration),
    /// Never answers.
    Hang,
    /// Answers with a body of this size, in bytes.
    Large(usize),
    /// Sends this text, then sends bytes until the connection is closed.
    SendThenEndless(&'static str),
    /// Sends this text, then nothing more.
    SendThenStall(&'static str),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Refuses the call for this reason.
    Refuse(&'static str),
}

/// A server that follows scripts, and counts how often it received each request id in a complete request.
pub struct FakeServer {
    pub address: String,
    received_ids: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// Starts a server. The n-th request gets the n-th script, and requests after the last script get a good answer.
    pub fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let received_ids = Arc::new(Mutex::new(Vec::new()));
        let shared_ids = received_ids.clone();
        let next = Arc::new(AtomicUsize::new(0));
        let scripts = Arc::new(scripts);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ids, next, scripts) = (shared_ids.clone(), next.clone(), scripts.clone());
                thread::spawn(move || serve(stream, &ids, &next, &scripts));
            }
        });
        Self {
            address,
            received_ids,
        }
    }

    /// Returns how often a complete request with this id was received.
    pub fn times_received(&self, id: &str) -> usize {
        self.received_ids
            .lock()
            .unwrap()
            .iter()
            .filter(|received| *received == id)
            .count()
    }
}

/// Returns the body of a good answer to the request `id`.
pub fn good_answer(id: &str) -> &'static str {
    match id {
        "first" => "hello",
        _ => "whole",
    }
}

fn serve(mut stream: TcpStream, received_ids: &Mutex<Vec<String>>, next: &AtomicUsize, scripts: &[Script]) {
    stream.set_nodelay(true).unwrap();
    while let Some(head) = read_request(&mut stream) {
        let id = header(&head, "fold-request-id");
        let call = header(&head, "fold-call");
        received_ids.lock().unwrap().push(id.clone());
        let number = next.fetch_add(1, Ordering::SeqCst);
        let script = scripts.get(number).copied().unwrap_or(Script::Good);
        if !run_script(script, &mut stream, &id, &call) {
            return;
        }
    }
}

/// Follows a script. Returns whether the connection stays open.
fn run_script(script: Script, stream: &mut TcpStream, id: &str, call: &str) -> bool {
    let body = good_answer(id);
    let good = format!(
        "HTTP/1.1 200 OK\r\nfold-call: {call}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut send = |text: &str| stream.write_all(text.replace("CALL", call).as_bytes()).is_ok();
    match script {
        Script::Good => send(&good),
        Script::GoodThenClose => {
            send(&good);
            false
        }
        Script::GoodThenReset => {
            send(&good);
            reset(stream);
            false
        }
        Script::SendThenClose(text) => {
            send(text);
            let _ = stream.shutdown(Shutdown::Write);
            false
        }
        Script::Send(text) => send(text),
        Script::Late(pause) => {
            thread::sleep(pause);
            send(&good)
        }
        Script::Hang => {
            let _ = stream.read(&mut [0; 64]);
            false
        }
        Script::Large(bytes) => {
            let head = format!("HTTP/1.1 200 OK\r\nfold-call: CALL\r\ncontent-length: {bytes}\r\n\r\n");
            send(&head) && send(&"x".repeat(bytes))
        }
        Script::SendThenEndless(text) => {
            let mut is_open = send(text);
            let chunk = "400\r\n".to_owned() + &"x".repeat(0x400) + "\r\n";
            while is_open {
                is_open = send(&chunk);
            }
            false
        }
        Script::SendThenStall(text) => {
            send(text);
            let _ = stream.read(&mut [0; 64]);
            false
        }
        Script::Close => false,
        Script::Reset => {
            reset(stream);
            false
        }
        Script::Refuse(reason) => send(&format!(
            "HTTP/1.1 409 Conflict\r\nfold-call: CALL\r\nfold-refused: {reason}\r\ncontent-length: 0\r\n\r\n"
        )),
    }
}

/// Makes the operating system reset the connection when it is closed.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(stream, linger).unwrap();
}

/// Reads a request with its body and returns its head, or `None` if the connection was closed.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length: usize = header(&text, "content-length").parse().unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                return Some(text[..end].to_owned());
            }
        }
    }
}

/// Returns the value of a header, or an empty string.
fn header(head: &str, name: &str) -> String {
    let found = head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    });
    found.unwrap_or_default()
}
