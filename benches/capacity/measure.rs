use {
    rustix::time::{clock_gettime, ClockId},
    std::{fs, time::Instant},
};

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Processor time of this process so far, in µs.
pub fn cpu_us() -> f64 {
    let t = clock_gettime(ClockId::ProcessCPUTime);
    t.tv_sec as f64 * 1e6 + t.tv_nsec as f64 / 1e3
}

/// Resident memory of a process, in bytes.
pub fn resident(pid: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}

/// Processor time of another process so far, in ms. The kernel counts it in ticks of 10 ms.
pub fn process_cpu_ms(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let after = text.rsplit_once(')').unwrap().1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    ticks as f64 * 10.0
}

/// Returns the wall time of `f` in µs, and what it returned.
pub fn timed<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let value = f();
    (started.elapsed().as_secs_f64() * 1e6, value)
}
