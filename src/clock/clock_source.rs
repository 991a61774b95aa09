use {
    super::Ms,
    rustix::time::{clock_gettime, ClockId},
    std::{
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Source of the time since the start of the host.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// `CLOCK_BOOTTIME`, which also counts the time that the host was suspended.
    #[default]
    System,
    /// A clock that only moves when it is set, for tests.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Returns a manual clock that stands at `now`.
    pub fn manual(now: Ms) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(now.0)))
    }

    /// Returns the time since the start of the host.
    pub fn now(&self) -> Ms {
        match self {
            Self::System => {
                let t = clock_gettime(ClockId::Boottime);
                Ms(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
            }
            Self::Manual(now) => Ms(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time of `CLOCK_MONOTONIC`, which stands still while the host is suspended.
    pub fn monotonic(&self) -> Ms {
        match self {
            Self::System => {
                let t = clock_gettime(ClockId::Monotonic);
                Ms(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
            }
            Self::Manual(_) => self.now(),
        }
    }

    /// Moves a manual clock on by `span`. The system clock is not changed.
    pub fn advance(&self, span: Ms) {
        if let Self::Manual(now) = self {
            now.fetch_add(span.0, Ordering::SeqCst);
        }
    }

    /// Returns the wall clock in ms since the Unix epoch, for records that outlive the host's uptime.
    pub fn wall(&self) -> Ms {
        match self {
            Self::System => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                Ms(since.as_millis() as u64)
            }
            Self::Manual(_) => self.now(),
        }
    }
}
