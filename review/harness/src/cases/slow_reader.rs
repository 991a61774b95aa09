//! A client stops reading for a while in the middle of a long answer, so that the daemon's writes are cut short. The
//! answer is a text that contains recorded HTTP heads.

use {
    super::{services, Deployment, MACHINES},
    crate::{client::new_id, http::request_bytes, record::Record, Verdict},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        path::PathBuf,
        sync::Arc,
        thread::sleep,
        time::Duration,
    },
};

/// Machine of the client. The server of the route is elsewhere.
const CLIENT: usize = 6;
const REQUESTS: usize = 80;
/// A line of the server's text.
const LINE: &str = "HTTP/1.1 404 Not Found\r\n\r\n";
const BODY_BYTES: usize = 8_000_000;
/// Length of the text without the disruption: the longest answer in the site file. It fits into the buffers of a socket.
const SHORT_BODY_BYTES: usize = 30_000;
/// Bytes that a client reads at once.
const READ_BYTES: usize = 65_536;
/// The slow client pauses for this time after so many bytes, and before the first one.
const PAUSE: Duration = Duration::from_millis(60);
const BYTES_PER_PAUSE: usize = 1_000_000;

pub fn run(record: &Arc<Record>, root: PathBuf, is_disrupted: bool) -> Verdict {
    let deployment = match Deployment::start(record, root, &services(), &MACHINES) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let length = if is_disrupted {
        BODY_BYTES
    } else {
        SHORT_BODY_BYTES
    };
    let mut wrong = 0;
    let mut whole = 0;
    for number in 0..REQUESTS {
        // Each text has another title, so that its lines lie at other places.
        let title = format!("{:->1$}\r\n", "", number);
        let body: Vec<u8> = title.bytes().chain(LINE.bytes().cycle()).take(length).collect();
        deployment.servers.iter().for_each(|s| s.set_body(body.clone()));
        let attempt = new_id();
        record.line(&format!("client at {CLIENT}: sends {attempt}"));
        let got = fetch(deployment.fleet.outbound(CLIENT), &attempt, is_disrupted);
        let Some((status, received, extra)) = got else {
            record.line(&format!("client at {CLIENT}: {attempt} got no whole answer"));
            continue;
        };
        let is_same = received == body && extra == 0;
        record.line(&format!(
            "client at {CLIENT}: {attempt} got {status} with {} bytes, the same as the server's: {is_same}",
            received.len()
        ));
        if status != 200 {
            continue;
        }
        whole += 1;
        if !is_same {
            wrong += 1;
            let at = received.iter().zip(&body).position(|(a, b)| a != b).unwrap_or(0);
            let shown = String::from_utf8_lossy(&received[at..(at + 80).min(received.len())]).into_owned();
            record.line(&format!(
                "broken: from byte {at} on, the answer to {attempt} reads {shown:?}; {extra} bytes follow it"
            ));
        }
    }
    deployment.stop();
    record.say(&format!(
        "{wrong} of {whole} successes had another body than the server's"
    ));
    match (wrong, whole) {
        (0, 0) => Verdict::CouldNotRun("no request succeeded".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request and reads the answer. Returns its status, its body by its length, and the number of bytes after it.
fn fetch(to: SocketAddr, attempt: &str, is_slow: bool) -> Option<(u16, Vec<u8>, usize)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let head = format!(
        "GET /portal-stav/{attempt} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {attempt}\r\nx-request-deadline: 5000"
    );
    stream.write_all(&request_bytes(&head, b"")).ok()?;
    let mut bytes = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    let mut wanted = usize::MAX;
    let (mut status, mut start) = (0, 0);
    let mut next_pause = 0;
    while bytes.len() < wanted {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
        if wanted == usize::MAX {
            if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
                status = head.split(' ').nth(1)?.parse().ok()?;
                let length = head.lines().find_map(|l| l.strip_prefix("content-length:"))?;
                start = end + 4;
                wanted = start + length.trim().parse::<usize>().ok()?;
            }
        }
        if is_slow && bytes.len() >= next_pause {
            sleep(PAUSE);
            next_pause += BYTES_PER_PAUSE;
        }
    }
    // Nothing may follow the answer, since no request is waiting.
    stream.set_read_timeout(Some(Duration::from_millis(50))).ok()?;
    let mut extra = bytes.len() - wanted;
    if let Ok(n) = stream.read(&mut buf) {
        extra += n;
    }
    Some((status, bytes[start..wanted].to_vec(), extra))
}
