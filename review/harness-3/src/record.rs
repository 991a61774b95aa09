//! The record of a run: what was sent, answered and run, with times in ms from the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

pub fn ms(at: Instant) -> u64 {
    let start = RECORD.get().expect("the record is open").0;
    u64::try_from(at.saturating_duration_since(start).as_millis()).unwrap_or(u64::MAX)
}

pub fn write(line: &str) {
    let (_, file) = RECORD.get().expect("the record is open");
    let at = ms(Instant::now());
    let _ = writeln!(file.lock().unwrap(), "{at:>7} {line}");
}

#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::write(&format!($($arg)*)) };
}
