//! Case 7: a ping of another writer that lacks the lists which each ping of a server of a divided service includes.

use {
    crate::{
        fleet::{Fleet, SERVER_PORT},
        http,
        keyed_case::{self, CALM, SERVERS},
        record::Record,
    },
    std::{
        thread::sleep,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time that the servers work on a request.
const WORK: Duration = Duration::from_millis(300);

/// Returns how often the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<u32, String> {
    keyed_case::run(record, WORK, |fleet, _| {
        for server in 0..SERVERS {
            if has_trouble {
                send_ping(fleet, server, record);
            }
            sleep(CALM);
        }
        Ok(())
    })
}

/// Sends a ping of another writer to the daemon beside a server, with the address of that server.
fn send_ping(fleet: &Fleet, server: usize, record: &Record) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
    let ip = fleet.ip(server);
    let ping = format!(
        r#"{{"address":"{ip}:{SERVER_PORT}","born":{born},"info":{{"service":"ucty","version":"v1","zone":"z1","slots":12}},"status":{{"state":"draining","sequence":1,"warmupLeft":"0ms"}}}}"#
    );
    let path = format!("/v1/instances/i-other-{server}/heartbeat");
    record.line(format_args!("other writer: POST {path} to the daemon beside i-ucty-{server}: {ping}"));
    let answer = http::exchange(fleet.heartbeats(server), "POST", &path, &ping);
    record.line(format_args!("other writer: answered {:?}", answer.map(|a| a.status)));
}
