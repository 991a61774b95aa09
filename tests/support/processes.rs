use {
    rustix::process::{kill_process, Pid, Signal},
    std::{
        fs::OpenOptions,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::Path,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Time between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// One process of a cluster. It is ended with its value.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program that logs to `log`.
    pub fn start(program: &str, args: &[String], folder: &Path, log: &str) -> Self {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(log))
            .unwrap();
        let child = Command::new(program)
            .args(args)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        Self(child.unwrap())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).unwrap();
    }

    /// Tells if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }

    /// Waits for the end of the process. True: it ended well.
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

/// Returns an address that no other process uses. Each cluster has loopback addresses of its own, so that
/// no outgoing connection takes the port before it is used.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let last = u8::try_from(2 + number % 250).unwrap();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 127, pid as u8, last));
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Waits until `condition` holds.
///
/// # Panics
/// It does not hold within `patience`.
pub fn wait_until(what: &str, patience: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < patience,
            "{what}: not seen within {patience:?}"
        );
        sleep(LOOK_PAUSE);
    }
}
