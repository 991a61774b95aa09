//! The record of a case: what was sent, answered and run.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start. Clones share the file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Self(Arc::new(Mutex::new(file)), Instant::now()))
    }

    pub fn line(&self, text: impl Display) {
        let seconds = self.1.elapsed().as_secs_f64();
        if let Ok(mut file) = self.0.lock() {
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}
