//! Clock readings. The decision cores take them as inputs and never read a clock themselves.

use std::ops::{
    Add,
    Sub, //
};
use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// A reading of a monotonic clock, in microseconds since an origin that is specific to the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later than `self`.
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

/// A source of clock readings.
pub trait Clock {
    /// Returns the current reading.
    fn now(&self) -> Tick;
}

/// The operating system's boot-time clock. It includes the time during which the host is suspended,
/// so that leases and freshness limits expire across a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(Duration);

impl Monotonic {
    /// Starts a clock whose origin is the current time.
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
    // Both fields count up from zero, so neither conversion fails.
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
