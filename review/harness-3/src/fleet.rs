//! Starts the project's processes with the deploy file's command and template on loopback addresses.

use crate::{
    http::{exchange, Message},
    json::Json,
    record, template,
};
use std::{
    fs::{self, File, OpenOptions},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const OUTBOUND: u16 = 8304;
const READINESS: u16 = 8302;
const CONTROL: u16 = 8306;
const INTERNAL: u16 = 7620;
const METRICS: u16 = 9464;

/// Processes that run, so that the watchdog can end them.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    zone: String,
    service: Option<String>,
    first_start: bool,
    child: Option<Child>,
}

pub struct Fleet {
    pub dir: PathBuf,
    pub hosts: Vec<Host>,
    pub core: usize,
    zones: Vec<String>,
    seeds: Vec<String>,
}

/// Returns a loopback address on which all ports of a host are free.
fn free_ip(n: u8) -> IpAddr {
    let pid = std::process::id();
    for attempt in 0..200u32 {
        let [_, a, b, _] = (pid.wrapping_mul(2_654_435_761) ^ attempt.wrapping_mul(40_503)).to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 16 + a % 100, b, n + 10));
        let ports = [OUTBOUND, READINESS, CONTROL, INTERNAL, METRICS];
        if ports.iter().all(|p| TcpListener::bind((ip, *p)).is_ok()) {
            return ip;
        }
    }
    panic!("no free address")
}

impl Fleet {
    /// Prepares `core` control hosts and one sidecar host for each element of `sides`: its service and its zone.
    pub fn new(core: usize, sides: &[(&str, &str)], zones: &[&str]) -> Self {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a temporary folder");
        let mut hosts = Vec::new();
        for i in 0..core + sides.len() {
            let side = i.checked_sub(core).map(|i| sides[i]);
            let zone = side.map_or(zones[i % zones.len()], |(_, zone)| zone);
            hosts.push(Host {
                name: match side {
                    Some(_) => format!("sidecar-{}", i - core + 1),
                    None => format!("core-{}", i + 1),
                },
                ip: free_ip(u8::try_from(i).unwrap()),
                zone: zone.to_owned(),
                service: side.map(|(service, _)| service.to_owned()),
                first_start: true,
                child: None,
            });
        }
        let seeds = hosts[..core.min(3)].iter().map(|h| format!("{}:{CONTROL}", h.ip)).collect();
        Self {
            dir,
            hosts,
            core,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            seeds,
        }
    }

    pub fn start_all(&mut self) {
        for i in 0..self.hosts.len() {
            self.start(i);
        }
    }

    /// Starts the process of a host with its settings, which are rendered anew.
    pub fn start(&mut self, i: usize) {
        let settings = self.settings(i);
        let host = &mut self.hosts[i];
        let file = self.dir.join(format!("{}.json", host.name));
        fs::write(&file, settings).expect("the settings can be written");
        host.first_start = false;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", host.name)))
            .expect("the log can be written");
        let mut command = Command::new("target/release/clementine-platform");
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CLEMENTINEFOLD_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(File::create(self.dir.join(format!("{}.err", host.name))).expect("a file"));
        // The processes end with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("target/release/clementine-platform can be started");
        RUNNING.lock().unwrap().push(child.id() as i32);
        record!("process of {} is started", host.name);
        host.child = Some(child);
    }

    fn settings(&self, i: usize) -> String {
        let host = &self.hosts[i];
        let ip = host.ip;
        let listen = match &host.service {
            Some(_) => format!(
                r#"{{"outbound":"{ip}:{OUTBOUND}","readiness":"{ip}:{READINESS}","control":"{ip}:{CONTROL}"}}"#
            ),
            None => format!(r#"{{"control":"{ip}:{CONTROL}"}}"#),
        };
        let (service, data_dir, memory) = match &host.service {
            Some(service) => (format!("{service:?}"), "null".to_owned(), 260),
            None => (
                "null".to_owned(),
                format!("{:?}", self.dir.join(format!("{}-data", host.name))),
                256,
            ),
        };
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("{s:?}")).collect();
        let zones: Vec<String> = self.zones.iter().map(|z| format!(r#"{z:?}:"r1""#)).collect();
        let values = format!(
            r#"{{"localNode":{{"nodeName":"{}","ip":"{ip}","zone":"{}","region":"r1","inTolerance":{},"firstStart":{},"dataDir":{data_dir},"service":{service},"limits":{{"memoryMb":{memory}}}}},
            "network":{{"listen":{listen},"internalPorts":[{INTERNAL},{}],"seeds":[{}],"zones":{{{}}}}},
            "platform":{{"heartbeat":"870ms"}},
            "terms":{{"faultTolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"grace":"6s"}}}}}}"#,
            host.name,
            host.zone,
            host.service.is_none(),
            host.first_start,
            INTERNAL + 15,
            seeds.join(","),
            zones.join(","),
        );
        let values = Json::parse(&values).expect("the values are JSON");
        let template = fs::read_to_string("deploy/settings.json").expect("the template can be read");
        template::render(&template, &values)
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, i: usize, signal: i32) {
        if let Some(child) = &self.hosts[i].child {
            record!("signal {signal} to {}", self.hosts[i].name);
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process of a host and waits for its end.
    pub fn kill(&mut self, i: usize) {
        self.signal(i, SIGKILL);
        self.wait_end(i);
    }

    /// Waits for the end of a process.
    pub fn wait_end(&mut self, i: usize) {
        if let Some(mut child) = self.hosts[i].child.take() {
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id() as i32);
            record!("process of {} has ended", self.hosts[i].name);
        }
    }

    pub fn side(&self, n: usize) -> usize {
        self.core + n
    }

    /// Address of the server's pings at the n-th sidecar host.
    pub fn pings(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[self.side(n)].ip, CONTROL)
    }

    /// Address of the clients of the n-th sidecar host.
    pub fn outbound(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[self.side(n)].ip, OUTBOUND)
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let to = SocketAddr::new(self.hosts[self.side(n)].ip, READINESS);
        let answer = exchange(to, "GET /v1/readiness HTTP/1.1\r\nhost: d", "", Duration::from_secs(1));
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Returns the lines of a host's log with this event.
    pub fn log(&self, i: usize, event: &str) -> Vec<Json> {
        let text = fs::read_to_string(self.dir.join(format!("{}.log", self.hosts[i].name))).unwrap_or_default();
        let event = format!("\"event\":\"{event}\"");
        let lines = text.lines().filter(|line| line.contains(&event));
        lines.filter_map(Json::parse).collect()
    }

    /// Returns the control host that became leader last.
    pub fn leader(&self) -> usize {
        let term = |i: usize| {
            let lines = self.log(i, "CF5103");
            lines.iter().filter_map(|l| l.get("term")).map(|t| t.num() as u64).max()
        };
        (0..self.core).max_by_key(|i| term(*i)).unwrap_or_default()
    }

    /// Sends an order of the operator to one control host after another until it is acknowledged.
    pub fn order(&self, head: &str, body: &str) -> bool {
        for i in 0..40 {
            let host = &self.hosts[i % self.core];
            let to = SocketAddr::new(host.ip, CONTROL);
            let head = format!("{head} HTTP/1.1\r\nhost: d\r\ncontent-type: application/json");
            let answer = exchange(to, &head, body, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            record!("operator: {} at {}: {status}", head.lines().next().unwrap_or_default(), host.name);
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..self.hosts.len() {
            if let Some(mut child) = self.hosts[i].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until `condition` holds. Ends the case as one that could not run if it does not within `limit`.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() > end {
            record!("gave up waiting until {what}");
            panic!("gave up waiting until {what}");
        }
        thread::sleep(Duration::from_millis(10));
    }
    record!("{what}");
}
