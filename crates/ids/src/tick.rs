//! Clock readings, always given to a core from outside.

use std::ops::{
    Add,
    Sub, //
};
use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
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

/// The operating system's clock since boot. It counts the time that a host is suspended, so that
/// leases and freshness bounds run out meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(Duration);

impl Monotonic {
    /// Starts a clock whose origin is this moment.
    pub fn start() -> Self {
        Self(since_boot())
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Tick {
        Tick::default() + since_boot().saturating_sub(self.0)
    }
}

fn since_boot() -> Duration {
    // The kernel counts both fields up from zero, so they are never negative.
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
