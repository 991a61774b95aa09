//! A server of an undivided service, as the platform's pages describe it.

use {
    crate::{
        fleet::SERVER_PORT,
        http::{self, read_message, Message},
        record::Record,
    },
    std::{
        io::{self, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(870);

/// What a server is started with.
#[derive(Clone)]
pub struct ServerConfig {
    pub ip: Ipv4Addr,
    pub heartbeats: SocketAddr,
    pub service: String,
    pub instance: String,
    pub slots: u32,
    /// Time that it works on a request.
    pub work: Duration,
    /// Returns the body of the answer to a path.
    pub body: fn(&str) -> Vec<u8>,
}

/// A running server. Its threads end with the process.
pub struct Server {
    /// Whether a heartbeat was acknowledged.
    pub is_known: Arc<AtomicBool>,
}

impl Server {
    pub fn start(config: ServerConfig, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind((config.ip, SERVER_PORT)).map_err(|e| e.to_string())?;
        let (accepting, record) = (config.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (config, record) = (accepting.clone(), record.clone());
                thread::spawn(move || drop(serve(&stream, &config, &record)));
            }
        });
        let is_known = Arc::new(AtomicBool::new(false));
        let known = is_known.clone();
        thread::spawn(move || send_heartbeats(&config, &known));
        Ok(Self { is_known })
    }
}

fn serve(stream: &TcpStream, config: &ServerConfig, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-attempt-id").to_owned();
        if request.header("x-expect-instance") != config.instance {
            send(stream, "421 Misdirected Request", &id, "x-not-executed: 1\r\n", &[])?;
            continue;
        }
        thread::sleep(config.work);
        let body = (config.body)(path_of(&request));
        record.line(format_args!("server: ran {id}, answers 200 with {} bytes", body.len()));
        send(stream, "200 OK", &id, &format!("x-response-stamp: 1.{id}\r\n"), &body)?;
    }
    Ok(())
}

fn path_of(request: &Message) -> &str {
    request.start.split(' ').nth(1).unwrap_or_default()
}

fn send(mut stream: &TcpStream, status: &str, id: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\n{headers}keep-alive: timeout=10\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

fn send_heartbeats(config: &ServerConfig, is_known: &AtomicBool) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
    let ServerConfig { ip, service, instance, slots, .. } = config;
    for sequence in 1.. {
        let beat = format!(
            r#"{{"address":"{ip}:{SERVER_PORT}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"z1","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"warmupLeft":"0ms"}}}}"#
        );
        let path = format!("/v1/instances/{instance}/heartbeat");
        let answer = http::exchange(config.heartbeats, "POST", &path, &beat);
        if answer.is_some_and(|a| a.status == 200) {
            is_known.store(true, Ordering::SeqCst);
        }
        thread::sleep(HEARTBEAT);
    }
}
