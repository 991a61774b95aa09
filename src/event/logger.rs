use {
    super::line_buffer::LineBuffer,
    slog::{o, Drain, Level, Logger},
    slog_async::{Async, OverflowStrategy},
    std::io,
};

/// Maximum number of records that wait for the log thread. Further records are dropped and counted.
const LOG_QUEUE_RECORDS: usize = 1024;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One human-readable line per event.
    #[default]
    Terminal,
    /// One JSON object per event.
    Json,
}

impl LogFormat {
    /// The words that name the formats in settings and options.
    pub const WORDS: [&'static str; 2] = ["terminal", "json"];

    /// Returns the format that `word` names, or `None` if there is none.
    pub fn from_word(word: &str) -> Option<Self> {
        match word {
            "terminal" => Some(Self::Terminal),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// The words that name the log levels in settings and options, from the lowest level to the highest.
pub const LEVEL_WORDS: [&str; 4] = ["debug", "info", "warning", "error"];

/// Returns the log level that `word` names, or `None` if there is none.
pub fn level_from_word(word: &str) -> Option<Level> {
    match word {
        "debug" => Some(Level::Debug),
        "info" => Some(Level::Info),
        "warning" => Some(Level::Warning),
        "error" => Some(Level::Error),
        _ => None,
    }
}

/// Level and format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is logged.
    pub level: Level,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: Level::Info,
        }
    }
}

/// Starts a logger that writes to standard error from its own thread.
pub fn start_logger(settings: LogSettings) -> Logger {
    start_logger_to(settings, io::stderr())
}

/// Starts a logger that writes to `writer` from its own thread, with one write per line.
pub fn start_logger_to(settings: LogSettings, writer: impl io::Write + Send + 'static) -> Logger {
    let writer = LineBuffer::new(writer);
    let drain = match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(writer);
            let drain = slog_term::FullFormat::new(decorator)
                .use_original_order()
                .build()
                .fuse();
            with_async_queue(drain)
        }
        LogFormat::Json => with_async_queue(slog_json::Json::default(writer).fuse()),
    };
    Logger::root(drain.filter_level(settings.level).fuse(), o!())
}

/// Puts a bounded queue and a thread in front of `drain`.
fn with_async_queue<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain)
        .chan_size(LOG_QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
