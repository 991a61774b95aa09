//! Starts the project's daemons as processes, each on a loopback address of its own, with settings from the template of
//! the deploy file.

use {
    crate::{http::exchange, record::Record},
    std::{
        collections::HashMap,
        fs::{self, File},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread::sleep,
        time::{Duration, Instant},
    },
};

const INBOUND_PORT: u16 = 8300;
const READINESS_PORT: u16 = 8302;
const OUTBOUND_PORT: u16 = 8304;
const CONTROL_PORT: u16 = 8306;
const INTERNAL_PORT: u16 = 7620;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

/// Process ids of the daemons that run now.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all daemons that still run, e.g. after a failure of this program.
pub fn kill_all() {
    for pid in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        // SAFETY: `kill` takes two integers, and the process is a child that has not been waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

fn forget_child(child: &Child) {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    children.retain(|pid| *pid != child.id() as i32);
}

/// A host with its address and its process.
pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    /// Service of the server beside the daemon; `None` on a control host.
    pub service: Option<String>,
    is_first_start: bool,
    process: Option<Child>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    root: PathBuf,
    dir: PathBuf,
    seeds: Vec<String>,
    pub hosts: Vec<Mutex<Host>>,
    pub control_hosts: usize,
}

impl Fleet {
    /// Starts the control hosts, and one daemon for each element of `services`, the service of the server beside it.
    pub fn start(record: &Arc<Record>, root: PathBuf, control_hosts: usize, services: &[&str]) -> Arc<Self> {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("no temporary folder");
        let mut hosts = Vec::new();
        for i in 0..control_hosts + services.len() {
            let service = i.checked_sub(control_hosts).map(|i| services[i].to_owned());
            hosts.push(Host {
                name: match &service {
                    None => format!("core-{i}"),
                    Some(_) => format!("sidecar-{}", i - control_hosts),
                },
                ip: address(i),
                zone: ["zone-a", "zone-b", "zone-c"][i % 3].to_owned(),
                service,
                is_first_start: true,
                process: None,
            });
        }
        let seeds = hosts[..control_hosts]
            .iter()
            .map(|h| format!("{}:{CONTROL_PORT}", h.ip));
        let fleet = Self {
            record: record.clone(),
            root,
            dir,
            seeds: seeds.collect(),
            hosts: hosts.into_iter().map(Mutex::new).collect(),
            control_hosts,
        };
        for position in 0..fleet.hosts.len() {
            fleet.start_host(position);
        }
        Arc::new(fleet)
    }

    /// Returns the position of the daemon with this number, counted from 0.
    pub fn side(&self, number: usize) -> usize {
        self.control_hosts + number
    }

    pub fn side_count(&self) -> usize {
        self.hosts.len() - self.control_hosts
    }

    fn socket(&self, position: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.hosts[position].lock().unwrap().ip, port)
    }

    pub fn outbound(&self, number: usize) -> SocketAddr {
        self.socket(self.side(number), OUTBOUND_PORT)
    }

    /// Returns the address to which the server beside a daemon sends its heartbeats.
    pub fn heartbeat_address(&self, number: usize) -> SocketAddr {
        self.socket(self.side(number), CONTROL_PORT)
    }

    pub fn zone_of(&self, number: usize) -> String {
        self.hosts[self.side(number)].lock().unwrap().zone.clone()
    }

    /// Starts the process of a host, as the platform does.
    pub fn start_host(&self, position: usize) {
        let mut host = self.hosts[position].lock().unwrap();
        let file = self.dir.join(format!("{}.json", host.name));
        fs::write(&file, self.settings(&host)).expect("the settings cannot be written");
        host.is_first_start = false;
        let log = self.dir.join(format!("{}.log", host.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("no log file");
        let child = Command::new(self.root.join("target/release/clementine-platform"))
            .current_dir(&self.root)
            .env("CLEMENTINEFOLD_SETTINGS", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon cannot be started");
        self.record.line(&format!(
            "platform: starts {} as process {}",
            host.name,
            child.id()
        ));
        CHILDREN
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(child.id() as i32);
        host.process = Some(child);
    }

    /// Sends SIGKILL to the process of a host and waits for its end.
    pub fn kill_host(&self, position: usize) {
        let mut host = self.hosts[position].lock().unwrap();
        if let Some(mut child) = host.process.take() {
            forget_child(&child);
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: killed {}", host.name));
        }
    }

    /// Asks a daemon whether it is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let to = self.socket(self.side(number), READINESS_PORT);
        let answer = exchange(
            to,
            "GET /v1/readiness HTTP/1.1\r\nhost: d",
            b"",
            Duration::from_secs(1),
        );
        answer.is_some_and(|m| m.status() == 200)
    }

    /// Sends a configuration to a control host, as the operator.
    pub fn replace_config(&self, position: usize, config: &str) -> Option<u16> {
        let head = "POST /v1/config/replace HTTP/1.1\r\nhost: d\r\ncontent-type: application/json";
        let to = self.socket(position, CONTROL_PORT);
        let status = exchange(to, head, config.as_bytes(), Duration::from_secs(2)).map(|m| m.status());
        self.record.line(&format!(
            "operator: sent a configuration to core-{position}, answer {status:?}"
        ));
        status
    }

    /// Sends a configuration until it is acknowledged, and waits until all daemons are ready. Returns whether both
    /// happened within the limit.
    pub fn configure(&self, config: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut position = 0;
        while self.replace_config(position, config) != Some(200) {
            if Instant::now() > end {
                return false;
            }
            position = (position + 1) % self.control_hosts;
            sleep(Duration::from_millis(200));
        }
        while !(0..self.side_count()).all(|number| self.is_ready(number)) {
            if Instant::now() > end {
                return false;
            }
            sleep(Duration::from_millis(100));
        }
        true
    }

    fn settings(&self, host: &Host) -> String {
        let template = fs::read_to_string(self.root.join("deploy/settings.json")).expect("no template");
        let text = |text: &str| Value {
            text: text.to_owned(),
            json: format!("{text:?}"),
            is_present: true,
        };
        let raw = |json: String| Value {
            text: json.clone(),
            is_present: json != "null" && json != "false",
            json,
        };
        let ip = host.ip;
        let mut values: HashMap<String, Value> = HashMap::new();
        let mut set = |name: &str, value: Value| {
            values.insert(name.to_owned(), value);
        };
        set("nodeName", text(&host.name));
        set("ip", text(&ip.to_string()));
        set("zone", text(&host.zone));
        set("region", text("region-1"));
        set("firstStart", raw(host.is_first_start.to_string()));
        set("internalPorts.0", raw(INTERNAL_PORT.to_string()));
        set("internalPorts.1", raw((INTERNAL_PORT + 15).to_string()));
        set("listen.control", text(&format!("{ip}:{CONTROL_PORT}")));
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("{s:?}")).collect();
        set("seeds", raw(format!("[{}]", seeds.join(","))));
        set("faultTolerance.machines", raw("1".into()));
        match &host.service {
            Some(service) => {
                set("service", text(service));
                set("listen.inbound", text(&format!("{ip}:{INBOUND_PORT}")));
                set("listen.outbound", text(&format!("{ip}:{OUTBOUND_PORT}")));
                set("listen.readiness", text(&format!("{ip}:{READINESS_PORT}")));
            }
            None => {
                let data = self.dir.join(format!("data-{}", host.name));
                set("dataDir", text(&data.display().to_string()));
            }
        }
        render(&template, &values)
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        for position in 0..self.hosts.len() {
            self.kill_host(position);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

struct Value {
    text: String,
    json: String,
    is_present: bool,
}

/// Renders the template by the rules of the platform's page on deployment.
fn render(template: &str, values: &HashMap<String, Value>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}").expect("the template has an open tag");
        let tag = &after[..end];
        rest = &after[end + 2..];
        if let Some(name) = tag.strip_prefix('#').or(tag.strip_prefix('^')) {
            let close = format!("{{{{/{name}}}}}");
            let at = rest.find(&close).expect("the template has an open section");
            let inner = &rest[..at];
            rest = &rest[at + close.len()..];
            let is_present = values.get(name).is_some_and(|v| v.is_present);
            if is_present == tag.starts_with('#') {
                out.push_str(&render(inner, values));
            }
            continue;
        }
        match tag.strip_suffix("|json") {
            Some(name) => out.push_str(values.get(name).map_or("null", |v| &v.json)),
            None => out.push_str(values.get(tag).map_or("", |v| &v.text)),
        }
    }
    out + rest
}

/// Returns a loopback address that belongs to this process and to one host.
fn address(number: usize) -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 | (high << 4 | middle >> 4) & 0x3f,
        middle << 4 | low >> 4,
        low << 4 | number as u8,
    ))
}
