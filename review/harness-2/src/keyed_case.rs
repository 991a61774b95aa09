//! What the cases on keys have in common: a deployment with one service that is divided by key, its servers, and clients.

use {
    crate::{
        fleet::{wait_until, Fleet},
        http::read_message,
        keyed_server::{check_overlaps, servers, start, KeyedConfig, Servers},
        record::Record,
    },
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread::{self, sleep},
        time::Duration,
    },
};

pub const SERVERS: usize = 4;
/// Number of servers that are there when the service is configured first. The others join, as when a service grows.
const FIRST_SERVERS: usize = 2;
const CLIENTS: u64 = 32;
/// Time without any disturbance.
pub const CALM: Duration = Duration::from_secs(6);
/// Time by which the clients' first tries lie apart, and the next ones after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(45);
/// Number of answers below which a run shows nothing.
const ANSWERED_MIN: u64 = 200;

/// Returns a configuration with the divided service, or without it and its route.
pub fn config(version: u64, has_keyed: bool) -> String {
    let timeout = 4000 + version;
    let (route, service) = match has_keyed {
        true => (
            format!(
                r#"{{"resourceType":"routes","metadata":{{"name":"r-ucty"}},"spec":{{"hostname":"ucty.example","pathPrefix":"/ucty/","routeType":"idempotent","timeout":"{timeout}ms","targetLatency":"2000ms","priority":2,"service":"ucty","attempts":2}}}},"#
            ),
            r#"{"resourceType":"services","metadata":{"name":"ucty"},"spec":{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"sharded":true,"warm":"2s","grants":"heartbeat"}},"#,
        ),
        false => Default::default(),
    };
    format!(
        r#"{{"version":"{version:08x}","resources":[{route}{service}
{{"resourceType":"routes","metadata":{{"name":"r-portal"}},"spec":{{"hostname":"portal.example","pathPrefix":"/stav/","routeType":"idempotent","timeout":"{timeout}ms","targetLatency":"400ms","priority":2,"service":"portal","attempts":2}}}},
{{"resourceType":"services","metadata":{{"name":"portal"}},"spec":{{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}}}},
{{"resourceType":"limits","metadata":{{}},"spec":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}]}}"#
    )
}

/// Starts everything, lets `disturb` run beside the clients, and returns how often the rule on keys was broken.
pub fn run(
    record: &Record,
    work: Duration,
    disturb: impl FnOnce(&Fleet, &Servers) -> Result<(), String>,
) -> Result<u32, String> {
    let fleet = Fleet::start(3, &["ucty"; SERVERS], 260)?;
    let configs = (0..SERVERS).map(|i| KeyedConfig {
        ip: fleet.ip(i),
        heartbeats: fleet.heartbeats(i),
        service: "ucty".into(),
        instance: format!("i-ucty-{i}"),
        slots: 12,
        queue: 48,
        work,
    });
    let servers = servers(configs);
    let all_held = || servers.iter().map(|s| s.held_keys()).sum::<u64>() == 65_536;
    start(&servers, 0..FIRST_SERVERS, record)?;
    fleet.configure(&config(1, true))?;
    wait_until("all keys are held", all_held)?;
    start(&servers, FIRST_SERVERS..SERVERS, record)?;
    sleep(CALM);
    wait_until("all keys are held", all_held)?;
    let daemons: Vec<SocketAddr> = (0..SERVERS).map(|i| fleet.callers(i)).collect();
    let (ends, answered) = (AtomicBool::new(false), AtomicU64::new(0));
    let result = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (ends, answered, daemon) = (&ends, &answered, daemons[client as usize % SERVERS]);
            scope.spawn(move || {
                sleep(RETRY_DELAY * client as u32);
                for number in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = client << 32 | number;
                    let key = id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48;
                    if call(daemon, id, key).is_ok_and(|status| status == 200) {
                        answered.fetch_add(1, Ordering::SeqCst);
                    } else {
                        sleep(RETRY_DELAY * (client as u32 + 1));
                    }
                }
            });
        }
        sleep(CALM);
        let result = disturb(&fleet, &servers);
        ends.store(true, Ordering::SeqCst);
        result
    });
    result?;
    check_overlaps(&servers, record);
    let ran: u64 = servers.iter().map(|s| s.ran()).sum();
    let answered = answered.into_inner();
    record.line(format_args!("the servers began {ran} requests, {answered} were answered with 200"));
    match answered < ANSWERED_MIN {
        true => Err(format!("only {answered} requests were served")),
        false => Ok(record.breaks()),
    }
}

/// Makes one call, and returns its status.
fn call(daemon: SocketAddr, id: u64, key: u64) -> io::Result<u16> {
    let stream = TcpStream::connect(daemon)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let head = format!(
        "GET /ucty/{key} HTTP/1.1\r\nhost: ucty.example\r\nx-attempt-id: {id:016x}\r\nx-shard-key: {key}\r\nx-request-deadline: 5000\r\nconnection: close\r\n\r\n"
    );
    (&stream).write_all(head.as_bytes())?;
    Ok(read_message(&mut BufReader::new(&stream))?.map_or(0, |answer| answer.status))
}
