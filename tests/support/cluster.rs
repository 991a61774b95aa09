use {
    super::processes::{free_address, wait_until, Process},
    clementinefold::{clock::Clock, control::CommandId},
    rustix::process::Signal,
    serde_json::{json, Value},
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tempfile::TempDir,
    ureq::Agent,
};

/// Key of operators and peers in test clusters.
const TEST_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration of a cluster.
pub struct ClusterPlan {
    pub hosts: usize,
    /// Number of hosts with the control role, which are the first ones.
    pub control_hosts: usize,
    pub services: Vec<String>,
    /// The `lease` part of the settings.
    pub lease: Value,
    /// Lowest level that the daemons log.
    pub log_level: &'static str,
    /// Additional arguments of each daemon.
    pub daemon_args: Vec<String>,
    /// Path of the daemons' program. Benches compare builds.
    pub daemon_program: String,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            hosts: 3,
            control_hosts: 1,
            services: vec!["ledger".into()],
            lease: json!({}),
            log_level: "info",
            daemon_args: Vec::new(),
            daemon_program: env!("CARGO_BIN_EXE_clementined").into(),
        }
    }
}

/// One daemon with its addresses.
pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    pub server: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    pub data_dir: PathBuf,
    process: Option<Process>,
}

/// Configuration of a stand-in server.
#[derive(Clone)]
pub struct StandinPlan {
    /// Position of its host.
    pub host: usize,
    pub service: String,
    pub checks_fencing: bool,
    pub slots: u32,
    pub work_ms: u32,
    /// A call that contains this text crashes the server.
    pub crash_on: Option<String>,
}

impl Default for StandinPlan {
    fn default() -> Self {
        Self {
            host: 0,
            service: "ledger".into(),
            checks_fencing: true,
            slots: 4,
            work_ms: 1,
            crash_on: None,
        }
    }
}

/// One stand-in server with its addresses.
pub struct Standin {
    pub plan: StandinPlan,
    pub address: SocketAddr,
    pub report: SocketAddr,
    process: Option<Process>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub body: String,
}

/// Daemons and stand-in servers on loopback. Dropping the value ends all of them.
pub struct Cluster {
    pub dir: TempDir,
    pub hosts: Vec<Host>,
    pub servers: Vec<Standin>,
    daemon_args: Vec<String>,
    daemon_program: String,
    agent: Agent,
}

impl Cluster {
    /// Writes the settings and starts the daemons.
    pub fn start(plan: &ClusterPlan) -> Self {
        let dir = TempDir::new().unwrap();
        fs::write(dir.path().join("test.keys"), TEST_KEY).unwrap();
        let hosts = (1..=plan.hosts).map(|number| Host {
            name: format!("host-{number}"),
            caller: free_address(),
            server: free_address(),
            operator: free_address(),
            peer: free_address(),
            data_dir: dir.path().join(format!("data-{number}")),
            process: None,
        });
        let hosts: Vec<Host> = hosts.collect();
        let voters: Vec<String> = hosts[..plan.control_hosts]
            .iter()
            .map(|host| host.peer.to_string())
            .collect();
        for (position, host) in hosts.iter().enumerate() {
            let mut settings = json!({
                "cluster": "test",
                "host": host.name,
                "failure_domain": format!("domain-{}", 1 + position % 3),
                "region": "region-1",
                "caller_address": host.caller.to_string(),
                "server_address": host.server.to_string(),
                "operator_address": host.operator.to_string(),
                "peer_address": host.peer.to_string(),
                "control_hosts": voters,
                "services": plan.services,
                "peer_key_file": "test.keys",
                "operator_key_file": "test.keys",
                "lease": plan.lease,
                "log": { "format": "terminal", "level": plan.log_level },
            });
            if position < plan.control_hosts {
                settings["control"] = json!({ "data_dir": host.data_dir, "first_voters": voters });
            }
            let file = dir.path().join(format!("{}.json", host.name));
            fs::write(file, settings.to_string()).unwrap();
        }
        let config = Agent::config_builder().http_status_as_error(false).proxy(None);
        let mut cluster = Self {
            dir,
            hosts,
            servers: Vec::new(),
            daemon_args: plan.daemon_args.clone(),
            daemon_program: plan.daemon_program.clone(),
            agent: config
                .timeout_global(Some(Duration::from_secs(10)))
                .build()
                .into(),
        };
        for position in 0..plan.hosts {
            cluster.start_host(position);
        }
        cluster
    }

    /// Starts a second daemon with the name of a host and other addresses. Returns its position.
    pub fn start_twin(&mut self, position: usize) -> usize {
        let original = &self.hosts[position];
        let file = self.dir.path().join(format!("{}.json", original.name));
        let mut settings: Value = serde_json::from_str(&fs::read_to_string(file).unwrap()).unwrap();
        let twin = Host {
            name: format!("{}-twin", original.name),
            caller: free_address(),
            server: free_address(),
            operator: free_address(),
            peer: free_address(),
            data_dir: original.data_dir.with_extension("twin"),
            process: None,
        };
        settings["caller_address"] = json!(twin.caller.to_string());
        settings["server_address"] = json!(twin.server.to_string());
        settings["operator_address"] = json!(twin.operator.to_string());
        settings["peer_address"] = json!(twin.peer.to_string());
        let file = self.dir.path().join(format!("{}.json", twin.name));
        fs::write(file, settings.to_string()).unwrap();
        self.hosts.push(twin);
        self.start_host(self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    /// Starts a daemon, or restarts it.
    pub fn start_host(&mut self, position: usize) {
        let host = &mut self.hosts[position];
        host.process = None;
        let settings = format!("{}.json", host.name);
        let log = format!("{}.log", host.name);
        let mut args = vec!["--settings".into(), settings];
        args.extend(self.daemon_args.iter().cloned());
        host.process = Some(Process::start(&self.daemon_program, &args, self.dir.path(), &log));
    }

    /// Returns the process id of a daemon.
    pub fn pid(&self, position: usize) -> u32 {
        let process = self.hosts[position].process.as_ref();
        process.unwrap().id()
    }

    /// Kills a daemon.
    pub fn kill_host(&mut self, position: usize) {
        self.hosts[position].process = None;
    }

    /// Asks a daemon to stop and waits for its end. Returns whether it exited successfully.
    pub fn stop_host(&mut self, position: usize) -> bool {
        self.signal_host(position, Signal::TERM);
        let process = self.hosts[position].process.take();
        process.is_some_and(|mut p| p.wait())
    }

    /// Sends a signal to a daemon, e.g. `STOP` or `CONT`.
    pub fn signal_host(&self, position: usize, signal: Signal) {
        let process = self.hosts[position].process.as_ref();
        process.unwrap().signal(signal);
    }

    /// Returns the processor time that a daemon has used, in ms.
    pub fn host_cpu_ms(&self, position: usize) -> u64 {
        self.hosts[position].process.as_ref().unwrap().cpu_ms()
    }

    /// Starts a stand-in server and returns its position.
    pub fn start_server(&mut self, plan: StandinPlan) -> usize {
        self.servers.push(Standin {
            plan,
            address: free_address(),
            report: free_address(),
            process: None,
        });
        self.restart_server(self.servers.len() - 1);
        self.servers.len() - 1
    }

    /// Restarts a stand-in server at its address.
    pub fn restart_server(&mut self, position: usize) {
        let server = &mut self.servers[position];
        server.process = None;
        let plan = &server.plan;
        let mut args: Vec<String> = vec![
            "--service".into(),
            plan.service.clone(),
            "--address".into(),
            server.address.to_string(),
            "--daemon".into(),
            self.hosts[plan.host].server.to_string(),
            "--report".into(),
            server.report.to_string(),
            "--slots".into(),
            plan.slots.to_string(),
            "--work-ms".into(),
            plan.work_ms.to_string(),
        ];
        if let Some(text) = &plan.crash_on {
            args.extend(["--crash-on".into(), text.clone()]);
        }
        if plan.checks_fencing {
            args.push("--checks-fencing".into());
        }
        let program = env!("CARGO_BIN_EXE_clementine-standin");
        let log = format!("server-{position}.log");
        server.process = Some(Process::start(program, &args, self.dir.path(), &log));
    }

    /// Restarts the stand-in servers whose processes have ended. Returns their number.
    pub fn restart_ended_servers(&mut self) -> usize {
        let has_ended = |s: &mut Standin| s.process.as_mut().is_some_and(Process::has_ended);
        let ended: Vec<bool> = self.servers.iter_mut().map(has_ended).collect();
        let ended: Vec<usize> = (0..ended.len()).filter(|i| ended[*i]).collect();
        ended.iter().for_each(|position| self.restart_server(*position));
        ended.len()
    }

    /// Kills a stand-in server.
    pub fn kill_server(&mut self, position: usize) {
        self.servers[position].process = None;
    }

    /// Sends a signal to a stand-in server.
    pub fn signal_server(&self, position: usize, signal: Signal) {
        let process = self.servers[position].process.as_ref();
        process.unwrap().signal(signal);
    }

    /// Sends an operator's query. Returns its answer, or `None` if there is none.
    pub fn ask(&self, host: usize, query: &str) -> Option<Value> {
        let url = format!("http://{}/{query}", self.hosts[host].operator);
        let request = self
            .agent
            .get(url)
            .header("authorization", format!("Bearer {TEST_KEY}"));
        read_json(request.call().ok()?)
    }

    /// Sends an operator's command. Returns its answer, or `None` if there is none.
    pub fn command(&self, host: usize, name: &str, body: &Value) -> Option<Value> {
        let url = format!("http://{}/{name}", self.hosts[host].operator);
        let request = self
            .agent
            .post(url)
            .header("authorization", format!("Bearer {TEST_KEY}"));
        read_json(request.send(body.to_string()).ok()?)
    }

    /// Puts a schema in force. Retries until it is accepted.
    pub fn apply(&self, host: usize, schema: &Value) {
        wait_until("the schema is accepted", WAIT_TIMEOUT, || {
            // A daemon that does not listen yet gives no answer.
            let Some(shown) = self.ask(host, "show") else {
                return false;
            };
            let base = &shown["revision"];
            let body = json!({ "command_id": self.command_id(), "base": base, "schema": schema });
            let answer = self.command(host, "apply", &body).unwrap_or_default();
            assert!(answer.get("refused").is_none(), "{answer}");
            answer.get("accepted").is_some()
        });
    }

    /// Returns a new id for an operator's command.
    pub fn command_id(&self) -> String {
        CommandId::new(Clock::System.wall(), getrandom::u64().unwrap()).to_string()
    }

    /// Returns the address of the server that owns `range` according to `host`, or `None` if no server does.
    pub fn owner(&self, host: usize, range: &str) -> Option<String> {
        let status = self.ask(host, "status")?;
        let ranges = status["ranges"].as_array()?;
        let found = ranges.iter().find(|r| r["range"] == range)?;
        found["server"].as_str().map(str::to_owned)
    }

    /// Returns the address of the server that owns `key` according to `host`, or `None` if no server does.
    pub fn owner_of_key(&self, host: usize, key: &str) -> Option<String> {
        let status = self.ask(host, "status")?;
        let ranges = status["ranges"].as_array()?;
        let holds = |range: &&Value| {
            let text = range["range"].as_str().unwrap_or_default();
            let bounds = text.strip_prefix('[').and_then(|t| t.strip_suffix(')'));
            let (start, end) = bounds.and_then(|b| b.split_once(", ")).unwrap_or_default();
            start <= key && (end == "no bound" || key < end)
        };
        let found = ranges.iter().find(holds)?;
        found["server"].as_str().map(str::to_owned)
    }

    /// Sends a call to the caller address of `host`. Returns its answer, or `None` if there is none.
    pub fn call(&self, host: usize, method: &str, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.hosts[host].caller));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = self.agent.run(request.body("").unwrap()).ok()?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
        };
        Some(Answer {
            status: response.status().as_u16(),
            outcome: header("fold-outcome"),
            reason: header("fold-reason"),
            body: response.body_mut().read_to_string().ok()?,
        })
    }

    /// Returns the report of a stand-in server, or `None` if it does not answer.
    pub fn report(&self, server: usize) -> Option<Value> {
        let url = format!("http://{}/report", self.servers[server].report);
        read_json(self.agent.get(url).call().ok()?)
    }

    /// Returns the log of a host or server up to now, e.g. of `host-1` or `server-0`.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }
}

fn read_json(mut response: http::Response<ureq::Body>) -> Option<Value> {
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.dir.disable_cleanup(true);
            eprintln!("logs are kept in {}", self.dir.path().display());
        }
    }
}
