use {
    rustix::process::{kill_process, Pid, Signal},
    std::{
        fs::{File, OpenOptions},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lowest port that a test process uses.
const FIRST_PORT: u16 = 10_000;

/// One process of a cluster. Dropping the value kills it.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program that logs to `log` on its standard error.
    pub fn start(program: &str, args: &[String], folder: &Path, log: &str) -> Self {
        let mut command = Command::new(program);
        command
            .args(args)
            .stdout(Stdio::null())
            .stderr(log_file(folder, log));
        Self::spawn(&mut command, folder)
    }

    /// Starts a command in a folder, without standard input.
    pub fn spawn(command: &mut Command, folder: &Path) -> Self {
        Self(command.current_dir(folder).stdin(Stdio::null()).spawn().unwrap())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).unwrap();
    }

    /// Returns the processor time that the process has used, in ms.
    pub fn cpu_ms(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: u64 = [11, 12].map(|i| fields[i].parse::<u64>().unwrap()).iter().sum();
        // A tick is 10 ms on Linux.
        ticks * 10
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }

    /// Waits for the end of the process. Returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.0.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Opens the log file of a process. If it exists, new lines are appended.
pub fn log_file(folder: &Path, log: &str) -> File {
    let options = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(log));
    options.unwrap()
}

/// Returns an address that no other process uses. Each test process has its own loopback addresses, and the ports are
/// below those that the system assigns to outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let ip = Ipv4Addr::new(127, 1 + (pid >> 16) as u8 % 127, (pid >> 8) as u8, pid as u8);
    SocketAddr::new(IpAddr::V4(ip), FIRST_PORT + number)
}

/// Waits until `condition` returns true.
///
/// # Panics
/// Panics if it does not within `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < timeout,
            "{what}: condition not met within {timeout:?}"
        );
        sleep(POLL_INTERVAL);
    }
}
