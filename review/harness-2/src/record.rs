//! The record of a case: what was sent, answered and run.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Instant,
};

/// Writes lines with the time since the start. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    breaks: Arc<AtomicU32>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            breaks: Arc::default(),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }

    /// Counts a break of the rule.
    pub fn count_break(&self) {
        self.breaks.fetch_add(1, Ordering::SeqCst);
    }

    pub fn breaks(&self) -> u32 {
        self.breaks.load(Ordering::SeqCst)
    }
}
