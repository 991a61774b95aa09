//! The logger passes each line on in a single write, because the formatters write lines in many small pieces.

use {
    clementinefold::{
        event::{start_logger_to, Event, LogFormat, LogSettings},
        log_event,
    },
    std::{
        io::{self, Write},
        sync::{Arc, Mutex},
    },
};

/// Records the text of each write.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<String>>>);

impl Write for Writes {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8(buf.to_vec()).unwrap();
        self.0.lock().unwrap().push(text);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn one_write_per_line() {
    for format in [LogFormat::Terminal, LogFormat::Json] {
        let writes = Writes::default();
        let settings = LogSettings {
            format,
            ..LogSettings::default()
        };
        let log = start_logger_to(settings, writes.clone());
        for number in 0..10 {
            log_event!(log, Event::CallForwarded; "service" => "ucty", "key" => "k", "session" => number);
        }
        // Dropping the logger waits until its thread has written all queued lines.
        drop(log);
        let writes = writes.0.lock().unwrap();
        assert_eq!(writes.len(), 10, "{format:?}: {writes:?}");
        for line in writes.iter() {
            assert!(
                line.contains("CF2002") && line.ends_with('\n'),
                "{format:?}: {line:?}"
            );
        }
    }
}
