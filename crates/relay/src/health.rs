//! Outlier ejection: an endpoint's health, derived from the outcomes of this front's attempts.

use std::time::Duration;

use ids::Tick;

/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;
/// First ejection time; it doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Cap on the doublings, so that the multiplication cannot overflow. Ejections reach their maximum
/// time with fewer doublings.
const MAX_DOUBLINGS: u32 = 8;
/// Half-life of past outcomes in the failure rate.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Successes added to the failure rate, so that a single failure does not give a rate of 1.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Health of an endpoint as observed by one front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejected_until: Tick,
    /// Failures, decayed to `updated_at`.
    failures: f64,
    /// Successes, decayed to `updated_at`.
    successes: f64,
    updated_at: Tick,
}

impl Health {
    /// Whether the endpoint is ejected.
    pub(crate) fn ejected(&self, now: Tick) -> bool {
        now < self.ejected_until
    }

    /// The recent share of failed attempts.
    pub(crate) fn failure_rate(&self, now: Tick) -> f64 {
        let decay = self.decay(now);
        self.failures * decay / ((self.failures + self.successes) * decay + PRIOR_SUCCESSES)
    }

    pub(crate) fn record_success(&mut self, now: Tick) {
        self.apply_decay(now);
        self.successes += 1.0;
        self.consecutive_failures = 0;
    }

    /// Records a failure. Returns whether it ejects the endpoint.
    pub(crate) fn record_failure(&mut self, now: Tick) -> bool {
        self.apply_decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECT_AFTER {
            return false;
        }
        let doublings = (self.consecutive_failures - EJECT_AFTER).min(MAX_DOUBLINGS);
        self.ejected_until = now + (MIN_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        true
    }

    fn apply_decay(&mut self, now: Tick) {
        let decay = self.decay(now);
        self.failures *= decay;
        self.successes *= decay;
        self.updated_at = now;
    }

    fn decay(&self, now: Tick) -> f64 {
        0.5f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
