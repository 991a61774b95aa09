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

/// What a fake server does with one request. `CALL` in a text stands for the id of the call.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Answers and keeps the connection.
    Good,
    /// Answers, then closes the connection.
    GoodThenClose,
    /// Answers, then resets the connection.
    GoodThenReset,
    /// Says this, then closes the connection.
    Say(&'static str),
    /// Says this and keeps the connection.
    Keep(&'static str),
    /// Answers after this time.
    Late(Duration),
    /// Never answers.
    Hang,
    /// Answers with a body of this size.
    Large(usize),
    /// Says this, then sends bytes until the connection is closed.
    Endless(&'static str),
    /// Says this, then sends nothing more.
    Stall(&'static str),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Refuses the call with this word.
    Refuse(&'static str),
}

/// A server that follows a script, and counts how often it got each request id whole.
pub struct FakeServer {
    pub address: String,
    seen: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// Starts a server. The n-th request gets the n-th script, those after the last one a good answer.
    pub fn start(scripts: Vec<Script>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let counted = seen.clone();
        let next = Arc::new(AtomicUsize::new(0));
        let scripts = Arc::new(scripts);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, next, scripts) = (counted.clone(), next.clone(), scripts.clone());
                thread::spawn(move || serve(stream, &seen, &next, &scripts));
            }
        });
        Self { address, seen }
    }

    /// Returns how often a request id was received whole.
    pub fn runs(&self, id: &str) -> usize {
        self.seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| *seen == id)
            .count()
    }
}

/// Returns the body of a good answer.
pub fn good_answer(id: &str) -> &'static str {
    match id {
        "first" => "hello",
        _ => "whole",
    }
}

fn serve(mut stream: TcpStream, seen: &Mutex<Vec<String>>, next: &AtomicUsize, scripts: &[Script]) {
    stream.set_nodelay(true).unwrap();
    while let Some(head) = read_request(&mut stream) {
        let id = header(&head, "fold-request-id");
        let call = header(&head, "fold-call");
        seen.lock().unwrap().push(id.clone());
        let number = next.fetch_add(1, Ordering::SeqCst);
        let script = scripts.get(number).copied().unwrap_or(Script::Good);
        if !follow(script, &mut stream, &id, &call) {
            return;
        }
    }
}

/// Follows the script. False: the connection is closed.
fn follow(script: Script, stream: &mut TcpStream, id: &str, call: &str) -> bool {
    let body = good_answer(id);
    let good = format!(
        "HTTP/1.1 200 OK\r\nfold-call: {call}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut say = |text: &str| stream.write_all(text.replace("CALL", call).as_bytes()).is_ok();
    match script {
        Script::Good => say(&good),
        Script::GoodThenClose => {
            say(&good);
            false
        }
        Script::GoodThenReset => {
            say(&good);
            reset(stream);
            false
        }
        Script::Say(text) => {
            say(text);
            let _ = stream.shutdown(Shutdown::Write);
            false
        }
        Script::Keep(text) => say(text),
        Script::Late(pause) => {
            thread::sleep(pause);
            say(&good)
        }
        Script::Hang => {
            let _ = stream.read(&mut [0; 64]);
            false
        }
        Script::Large(bytes) => {
            let head = format!("HTTP/1.1 200 OK\r\nfold-call: CALL\r\ncontent-length: {bytes}\r\n\r\n");
            say(&head) && say(&"x".repeat(bytes))
        }
        Script::Endless(text) => {
            let mut sending = say(text);
            let piece = "400\r\n".to_owned() + &"x".repeat(0x400) + "\r\n";
            while sending {
                sending = say(&piece);
            }
            false
        }
        Script::Stall(text) => {
            say(text);
            let _ = stream.read(&mut [0; 64]);
            false
        }
        Script::Close => false,
        Script::Reset => {
            reset(stream);
            false
        }
        Script::Refuse(word) => say(&format!(
            "HTTP/1.1 409 Conflict\r\nfold-call: CALL\r\nfold-refused: {word}\r\ncontent-length: 0\r\n\r\n"
        )),
    }
}

/// Makes the system reset the connection instead of closing it.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(stream, linger).unwrap();
}

/// Reads a request with its body and returns its head. `None`: the connection was closed.
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

/// Returns the value of a header, or an empty text.
fn header(head: &str, name: &str) -> String {
    let found = head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    });
    found.unwrap_or_default()
}
