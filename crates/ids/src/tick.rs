//! Clock readings, always given to a core from outside.

use std::ops::{
    Add,
    Sub, //
};
use std::time::{
    Duration,
    Instant, //
};

/// A reading of a monotonic clock, in microseconds since an origin private to the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// The time from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Tick {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Gives the current [`Tick`].
pub trait Clock {
    /// Reads the clock.
    fn now(&self) -> Tick;
}

/// The operating system's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(Instant);

impl Monotonic {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        Self(Instant::now())
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Tick {
        Tick::default() + self.0.elapsed()
    }
}
