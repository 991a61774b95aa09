use {
    super::line_buffer::WholeLines,
    slog::{o, Drain, Level, Logger},
    slog_async::{Async, OverflowStrategy},
    std::io,
};

/// Records that wait for the log thread before further ones are dropped and counted.
const LOG_RING_RECORDS: usize = 1024;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Terminal,
    /// One JSON object an event.
    Json,
}

impl LogFormat {
    /// The words for the forms.
    pub const WORDS: [&'static str; 2] = ["terminal", "json"];

    /// Returns the form with this word.
    pub fn from_word(word: &str) -> Option<Self> {
        match word {
            "terminal" => Some(Self::Terminal),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// The words for the levels that a daemon can log at.
pub const LEVEL_WORDS: [&str; 4] = ["debug", "info", "warning", "error"];

/// Returns the log level with this word.
pub fn level_from_word(word: &str) -> Option<Level> {
    match word {
        "debug" => Some(Level::Debug),
        "info" => Some(Level::Info),
        "warning" => Some(Level::Warning),
        "error" => Some(Level::Error),
        _ => None,
    }
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
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

/// Starts a logger to standard error. A thread of its own writes the lines.
pub fn start_logger(settings: LogSettings) -> Logger {
    start_logger_to(settings, io::stderr())
}

/// Starts a logger to `writer`, which gets one write a line: the formatters write in many small pieces.
pub fn start_logger_to(settings: LogSettings, writer: impl io::Write + Send + 'static) -> Logger {
    let writer = WholeLines::new(writer);
    let drain = match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(writer);
            let drain = slog_term::FullFormat::new(decorator)
                .use_original_order()
                .build()
                .fuse();
            asynchronous(drain)
        }
        LogFormat::Json => asynchronous(slog_json::Json::default(writer).fuse()),
    };
    Logger::root(drain.filter_level(settings.level).fuse(), o!())
}

/// Puts a bounded ring and a thread in front of `drain`.
fn asynchronous<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain)
        .chan_size(LOG_RING_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
