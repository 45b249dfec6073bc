//! A limit that an endpoint states on its rate of requests, and this front's share of it.
//!
//! The limit is a sum over all fronts, which do not communicate about it. Each front gets permits at
//! an equal share of the rate, starting at a random time. A permit that is not used expires, so the
//! permits of many idle fronts do not add up to a burst.
//!
//! The permits of different fronts may coincide. An endpoint tolerates more than its limit for a
//! moment, and fronts use all of the limit as long as coincidences stay within that.

use std::time::Duration;

use ids::{
    Rate,
    Tick, //
};

/// Span over which an endpoint's requests are compared with its limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that an endpoint tolerates within [`WINDOW`].
const TOLERATED_FACTOR: f64 = 1.5;
/// Requests that an endpoint tolerates within [`WINDOW`] beyond that multiple.
const TOLERATED_EXTRA: f64 = 5.0;
/// Standard deviations by which the permits in a window may exceed their mean.
const DEVIATIONS: f64 = 4.0;
/// Lowest rate in requests per second that all fronts use, so that they notice the end of a limit.
const MIN_RATE: f64 = 0.25;
/// How long a permit may be used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(1500);

/// The limit of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    rate: Rate,
    /// Permits at hand plus the elapsed part of the interval to the next one.
    level: f64,
    updated_at: Tick,
}

impl RateLimit {
    /// `level` is the initial part of the interval to the first permit, from 0 to 1.
    pub(crate) fn new(now: Tick, rate: Rate, level: f64) -> Self {
        Self {
            rate,
            level,
            updated_at: now,
        }
    }

    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Applies another stated rate.
    pub(crate) fn set_rate(&mut self, now: Tick, rate: Rate, fronts: usize) {
        self.level = self.level(now, fronts);
        self.updated_at = now;
        self.rate = rate;
    }

    pub(crate) fn has_permit(&self, now: Tick, fronts: usize) -> bool {
        self.level(now, fronts) >= 1.0
    }

    pub(crate) fn take_permit(&mut self, now: Tick, fronts: usize) {
        self.level = self.level(now, fronts) - 1.0;
        self.updated_at = now;
    }

    /// Time until the next permit.
    pub(crate) fn next_permit(&self, now: Tick, fronts: usize) -> Duration {
        let missing = (1.0 - self.level(now, fronts)).max(0.0);
        Duration::try_from_secs_f64(missing / self.share(fronts)).unwrap_or(Duration::MAX)
    }

    /// Permits per second of this front.
    fn share(&self, fronts: usize) -> f64 {
        let fronts = fronts.max(1) as f64;
        let rate = f64::from(self.rate);
        rate.min(Self::max_rate(rate, fronts)).max(MIN_RATE) / fronts
    }

    /// The rate of all fronts' permits at which coincidences stay within what an endpoint tolerates.
    ///
    /// If the permits of a window are `mean` on average, their variance is at most `mean`, and at
    /// most a quarter for each front, since a front's permits come at equal intervals.
    fn max_rate(rate: f64, fronts: f64) -> f64 {
        let tolerated = rate * WINDOW.as_secs_f64() * TOLERATED_FACTOR + TOLERATED_EXTRA;
        let few_fronts = tolerated - DEVIATIONS * (fronts / 4.0).sqrt();
        // Solves `mean + DEVIATIONS * sqrt(mean) = tolerated`.
        let root = (DEVIATIONS * DEVIATIONS + 4.0 * tolerated).sqrt() - DEVIATIONS;
        let many_fronts = (root / 2.0).powi(2);
        // A permit may be used up to its lifetime later.
        few_fronts.max(many_fronts) / (WINDOW + PERMIT_LIFETIME).as_secs_f64()
    }

    fn level(&self, now: Tick, fronts: usize) -> f64 {
        let share = self.share(fronts);
        let level = self.level + now.since(self.updated_at).as_secs_f64() * share;
        let expired = (level - share * PERMIT_LIFETIME.as_secs_f64()).floor();
        level - expired.max(0.0)
    }
}
