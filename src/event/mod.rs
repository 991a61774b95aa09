//! Numbered log events, the logger that writes them, and a rate limit for log lines.

mod event_code;
mod line_buffer;
mod logger;
mod rate_limit;

pub use {
    event_code::Event,
    logger::{level_from_word, start_logger, start_logger_to, LogFormat, LogSettings, LEVEL_WORDS},
    rate_limit::RateLimit,
};

/// Logs an [`Event`] with its code, level and message, and the given fields.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $event:expr $(; $($fields:tt)*)?) => {{
        let event: $crate::event::Event = $event;
        match event.level() {
            slog::Level::Critical | slog::Level::Error => {
                slog::error!($log, "{}", event.message(); "event" => event.code() $(, $($fields)*)?)
            }
            slog::Level::Warning => {
                slog::warn!($log, "{}", event.message(); "event" => event.code() $(, $($fields)*)?)
            }
            slog::Level::Info => {
                slog::info!($log, "{}", event.message(); "event" => event.code() $(, $($fields)*)?)
            }
            slog::Level::Debug | slog::Level::Trace => {
                slog::debug!($log, "{}", event.message(); "event" => event.code() $(, $($fields)*)?)
            }
        }
    }};
}
