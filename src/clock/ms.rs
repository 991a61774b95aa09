use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

/// A point in time or a duration, in milliseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ms(pub u64);

impl Ms {
    /// Start of the clock, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the duration in whole seconds, rounded up, as the `Retry-After` header requires.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }

    /// Converts the duration into a [`Duration`].
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Ms {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Ms {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Ms {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<u32> for Ms {
    fn from(ms: u32) -> Self {
        Self(ms.into())
    }
}

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
