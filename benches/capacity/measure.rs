use {
    rustix::time::{clock_gettime, ClockId},
    std::{fs, time::Instant},
};

/// Size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time that this process has used, in µs.
pub fn cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Returns the resident memory of the process `pid` or, with "self", of this process.
pub fn resident_bytes(pid: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}

/// Returns the processor time that another process has used, in ms. The kernel counts it in ticks of 10 ms.
pub fn process_cpu_ms(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let after_name = text.rsplit_once(')').unwrap().1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    ticks as f64 * 10.0
}

/// Returns the wall time of `f` in µs, and its result.
pub fn timed<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let value = f();
    (started.elapsed().as_secs_f64() * 1e6, value)
}
