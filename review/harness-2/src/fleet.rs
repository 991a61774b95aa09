//! Starts control hosts and daemons as processes of their own, on loopback addresses.

use {
    crate::http,
    std::{
        env, fs,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{self, Child, Command, Stdio},
        thread::sleep,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Program of both roles in `deploy/system.toml`, which is started without arguments.
const PROGRAM: &str = "target/release/clementine-platform";
const CALLER_PORT: u16 = 8304;
const CONTROL_PORT: u16 = 8306;
const READINESS_PORT: u16 = 8302;
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7620;
/// Port of a server, which the settings of its machine call `appAddr`.
pub const SERVER_PORT: u16 = 8301;
const WAIT: Duration = Duration::from_secs(20);

/// The case cannot run here.
pub type Result<T> = std::result::Result<T, String>;

/// One machine and its process.
struct Machine {
    ip: Ipv4Addr,
    /// Service of the server on the machine, or `None` for a control host.
    service: Option<String>,
    is_first_start: bool,
    process: Option<Child>,
}

/// Control hosts, followed by machines with a server. All processes end when it is dropped.
pub struct Fleet {
    dir: PathBuf,
    control_hosts: usize,
    memory_mb: u32,
    machines: Vec<Machine>,
}

impl Fleet {
    /// Starts `control_hosts` control hosts, and a daemon for each of `services`.
    pub fn start(control_hosts: usize, services: &[&str], memory_mb: u32) -> Result<Self> {
        let dir = env::temp_dir().join(format!("review-2-{}-{}", process::id(), seed()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let ips = free_addresses(control_hosts + services.len())?;
        let machines = ips.into_iter().enumerate().map(|(i, ip)| Machine {
            ip,
            service: i.checked_sub(control_hosts).map(|i| services[i].to_owned()),
            is_first_start: true,
            process: None,
        });
        let mut fleet = Self {
            dir,
            control_hosts,
            memory_mb,
            machines: machines.collect(),
        };
        for i in 0..fleet.machines.len() {
            fleet.start_machine(i)?;
        }
        Ok(fleet)
    }

    fn start_machine(&mut self, i: usize) -> Result<()> {
        let settings = self.settings(i);
        let file = self.dir.join(format!("{i}.json"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{i}.log")));
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("CLEMENTINEFOLD_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.map_err(|e| e.to_string())?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.machines[i].is_first_start = false;
        self.machines[i].process = Some(child);
        Ok(())
    }

    /// Returns what `deploy/settings.json` becomes for a machine.
    fn settings(&self, i: usize) -> String {
        let Machine { ip, service, is_first_start, .. } = &self.machines[i];
        let seeds: Vec<String> = self.machines[..self.control_hosts.min(3)]
            .iter()
            .map(|m| format!("\"{}:{CONTROL_PORT}\"", m.ip))
            .collect();
        let seeds = seeds.join(",");
        let (servers, operators, services) = match service {
            Some(name) => (format!("{ip}:{CONTROL_PORT}"), String::new(), format!("\"{name}\"")),
            None => (String::new(), format!("{ip}:{CONTROL_PORT}"), String::new()),
        };
        let (callers, readiness) = match service {
            Some(_) => (format!("{ip}:{CALLER_PORT}"), format!("{ip}:{READINESS_PORT}")),
            None => Default::default(),
        };
        let control = match service {
            Some(_) => String::new(),
            None => format!(
                r#""control": {{"data_dir": "{}", "first_voters": [{}], "tolerated_losses": 1}},"#,
                self.dir.join(format!("disk-{i}")).display(),
                if *is_first_start { seeds.as_str() } else { "" }
            ),
        };
        format!(
            r#"{{
  "cluster": "clementinefold", "host": "host-{i}", "failure_domain": "z1", "region": "r1",
  "peer_address": "{ip}:{PEER_PORT}", "caller_address": "{callers}", "readiness_address": "{readiness}",
  "metrics_address": "{ip}:{METRICS_PORT}", "server_address": "{servers}", "operator_address": "{operators}",
  "control_hosts": [{seeds}], "control_hosts_port": {PEER_PORT}, "services": [{services}], {control}
  "unauthenticated_links": true, "killed_after": "6s", "failure_domains": ["z1"],
  "memory_bytes": {}000000,
  "caller_limits": {{ "body_bytes": 67108864, "answer_bytes": 33554432, "idle_ms": 60000 }},
  "lease": {{ "ttl_ms": 3000, "renew_ms": 500, "drift_ms": 100, "election_ms": 300, "config_lag_ms": 4000, "config_fresh_ms": 1800 }},
  "log": {{ "format": "json", "level": "info" }}
}}"#,
            self.memory_mb
        )
    }

    /// Sends a configuration until it is acknowledged, and waits until all daemons are ready.
    pub fn configure(&self, config: &str) -> Result<()> {
        self.replace_config(config)?;
        for machine in &self.machines[self.control_hosts..] {
            let address = SocketAddr::new(IpAddr::V4(machine.ip), READINESS_PORT);
            wait_until("a daemon is ready", || {
                http::exchange(address, "GET", "/v1/readiness", "").is_some_and(|a| a.status == 200)
            })?;
        }
        Ok(())
    }

    /// Sends a configuration until it is acknowledged.
    pub fn replace_config(&self, config: &str) -> Result<()> {
        let operator = SocketAddr::new(IpAddr::V4(self.machines[0].ip), CONTROL_PORT);
        wait_until("the configuration is acknowledged", || {
            http::exchange(operator, "POST", "/v1/config/replace", config).is_some_and(|a| a.status == 200)
        })
    }

    /// Returns the address of the machine beside the server with this number, counted from 0.
    pub fn ip(&self, server: usize) -> Ipv4Addr {
        self.machines[self.control_hosts + server].ip
    }

    /// Returns the address at which clients reach the daemon beside a server.
    pub fn callers(&self, server: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(server)), CALLER_PORT)
    }

    /// Returns the address at which a server reaches the daemon beside it.
    pub fn heartbeats(&self, server: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(server)), CONTROL_PORT)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + WAIT;
    while Instant::now() < end {
        if condition() {
            return Ok(());
        }
        sleep(Duration::from_millis(50));
    }
    Err(format!("{what}: not within {} s", WAIT.as_secs()))
}

fn seed() -> u32 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.subsec_nanos())
}

/// Returns loopback addresses on which the ports of a machine are free.
fn free_addresses(count: usize) -> Result<Vec<Ipv4Addr>> {
    let mut number = seed();
    let mut found = Vec::new();
    for _ in 0..count * 50 {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let [a, b, c, _] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, a.clamp(1, 250), b, c.clamp(1, 250));
        let ports = [CALLER_PORT, CONTROL_PORT, READINESS_PORT, METRICS_PORT, PEER_PORT, SERVER_PORT];
        if !found.contains(&ip) && ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            found.push(ip);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err("there are not enough free addresses".into())
}
