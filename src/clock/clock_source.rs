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

/// Clock of a process: time since the host booted, monotonic time and wall time.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The clocks of the system. Time since boot comes from `CLOCK_BOOTTIME`, which includes the time that the host
    /// was suspended.
    #[default]
    System,
    /// A clock for tests that moves only when [`Self::advance`] is called.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a manual clock that shows `now`.
    pub fn manual(now: Ms) -> Self {
        Self::Manual(Arc::new(AtomicU64::new(now.0)))
    }

    /// Returns the time since the host booted.
    pub fn now(&self) -> Ms {
        match self {
            Self::System => {
                let t = clock_gettime(ClockId::Boottime);
                Ms(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
            }
            Self::Manual(now) => Ms(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time of `CLOCK_MONOTONIC`, which does not advance while the host is suspended.
    pub fn monotonic(&self) -> Ms {
        match self {
            Self::System => {
                let t = clock_gettime(ClockId::Monotonic);
                Ms(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
            }
            Self::Manual(_) => self.now(),
        }
    }

    /// Advances a manual clock by `span`. Does nothing on the system clock.
    pub fn advance(&self, span: Ms) {
        if let Self::Manual(now) = self {
            now.fetch_add(span.0, Ordering::SeqCst);
        }
    }

    /// Returns the wall-clock time since the Unix epoch, for records that must stay comparable after a reboot.
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
