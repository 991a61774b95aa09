//! Case 6: clients that read slowly get a body that is not the server's.

use {
    crate::{
        fleet::{wait_until, Fleet},
        record::Record,
        server::{Server, ServerConfig},
        socket::connect_with_window,
    },
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicU32, Ordering},
        thread::{self, sleep},
        time::Duration,
    },
};

const DOWNLOADS: u32 = 240;
const CLIENTS: u32 = 12;
/// Size of the receive buffer of a client that reads slowly.
const SMALL_WINDOW: usize = 16 * 1024;
/// Time after which such a client begins to read, and its pause between two reads.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(2);

/// An archive of recorded HTTP messages, as a service of exports may hold it. Each path has one of its own.
fn archive(path: &str) -> Vec<u8> {
    let mut text = format!("# export of {path}\r\n");
    while text.len() < 60_000 {
        text.push_str("HTTP/1.1 404 Not Found\r\n\r\n");
    }
    text.into_bytes()
}

/// Returns how many successes had another body than the server's.
pub fn run(record: &Record, has_trouble: bool) -> Result<u32, String> {
    let fleet = Fleet::start(3, &["archiver"], 160)?;
    let server = Server::start(
        ServerConfig {
            ip: fleet.ip(0),
            heartbeats: fleet.heartbeats(0),
            service: "archiver".into(),
            instance: "i-archiver-1".into(),
            slots: 12,
            work: Duration::from_millis(20),
            body: archive,
        },
        record,
    )?;
    fleet.configure(
        r#"{"version":"00000001","resources":[
{"resourceType":"routes","metadata":{"name":"r-export"},"spec":{"hostname":"archive.example","pathPrefix":"/export/","routeType":"download","timeout":"2000ms","targetLatency":"1500ms","priority":2,"service":"archiver","attempts":2}},
{"resourceType":"services","metadata":{"name":"archiver"},"spec":{"healthPath":"/health","maxConnections":420,"protocol":"h1","tls":false}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#,
    )?;
    wait_until("the server is known", || server.is_known.load(Ordering::SeqCst))?;
    sleep(Duration::from_secs(2));
    let (broken, whole) = (AtomicU32::new(0), AtomicU32::new(0));
    let daemon = fleet.callers(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (broken, whole) = (&broken, &whole);
            scope.spawn(move || {
                for number in (client..DOWNLOADS).step_by(CLIENTS as usize) {
                    match download(daemon, number, has_trouble, record) {
                        Some(true) => whole.fetch_add(1, Ordering::SeqCst),
                        Some(false) => broken.fetch_add(1, Ordering::SeqCst),
                        None => 0,
                    };
                }
            });
        }
    });
    let (broken, whole) = (broken.into_inner(), whole.into_inner());
    record.line(format_args!("{whole} successes with the server's body, {broken} with another one"));
    if broken + whole < DOWNLOADS / 2 {
        return Err(format!("only {} of {DOWNLOADS} downloads succeeded", broken + whole));
    }
    Ok(broken)
}

/// Makes one request, and reads the answer up to the end of the connection. Returns whether a success had the server's body,
/// or `None` without a success.
fn download(daemon: SocketAddr, number: u32, is_slow: bool, record: &Record) -> Option<bool> {
    let path = format!("/export/{number}/{}", "x".repeat(number as usize % 26));
    let id = format!("{number:016x}");
    let answer = request(daemon, &path, &id, is_slow);
    let answer = match answer {
        Ok(answer) => answer,
        Err(e) => {
            record.line(format_args!("client: {id} got no complete answer: {e}"));
            return None;
        }
    };
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let (head, rest) = answer.split_at(end);
    let head = String::from_utf8_lossy(head);
    if !head.starts_with("HTTP/1.1 200 ") {
        record.line(format_args!("client: {id} answered {:?}", head.lines().next()));
        return None;
    }
    let length = head.to_ascii_lowercase();
    let length = length.split_once("content-length: ").and_then(|(_, rest)| rest.lines().next());
    let length: usize = length.and_then(|text| text.parse().ok())?;
    let (body, extra) = rest.split_at(length.min(rest.len()));
    if body.len() < length {
        record.line(format_args!("client: {id} answered 200, cut off after {} of {length} bytes", body.len()));
        return None;
    }
    let expected = archive(&path);
    if body == expected {
        record.line(format_args!("client: {id} answered 200 with the server's {length} bytes"));
        return Some(true);
    }
    let at = body.iter().zip(&expected).take_while(|(a, b)| a == b).count();
    let shown = String::from_utf8_lossy(&body[at.saturating_sub(24)..body.len().min(at + 60)]).into_owned();
    record.line(format_args!(
        "client: {id} answered 200 with {length} bytes that are not the server's: they differ from byte {at}, near {shown:?}; {} more bytes follow the answer",
        extra.len()
    ));
    Some(false)
}

fn request(daemon: SocketAddr, path: &str, id: &str, is_slow: bool) -> io::Result<Vec<u8>> {
    let mut stream = match is_slow {
        true => connect_with_window(daemon, SMALL_WINDOW)?,
        false => TcpStream::connect(daemon)?,
    };
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: archive.example\r\nx-attempt-id: {id}\r\nx-request-deadline: 2000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    if !is_slow {
        stream.read_to_end(&mut answer)?;
        return Ok(answer);
    }
    sleep(FIRST_PAUSE);
    let mut bytes = [0; 4096];
    loop {
        let count = stream.read(&mut bytes)?;
        if count == 0 {
            return Ok(answer);
        }
        answer.extend_from_slice(&bytes[..count]);
        sleep(PAUSE);
    }
}
