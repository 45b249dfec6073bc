//! What this front makes of an endpoint, from what its requests met.

use std::time::Duration;

use ids::Tick;

/// Failures in a row after which an endpoint is left out.
const EJECT_AFTER: u32 = 3;
/// How long an endpoint is left out at first; doubles with each further failure.
const EJECT_FIRST: Duration = Duration::from_millis(500);
/// Longest time that an endpoint is left out.
const EJECT_MOST: Duration = Duration::from_secs(4);
/// Time in which the weight of a past failure halves.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A front's opinion of an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    row: u32,
    until: Tick,
    failures: f64,
    answers: f64,
    at: Tick,
}

impl Health {
    /// Whether the endpoint is left out.
    pub(crate) fn ejected(&self, now: Tick) -> bool {
        now < self.until
    }

    /// The share of attempts that failed lately, counting two good ones in advance.
    pub(crate) fn failing(&self, now: Tick) -> f64 {
        let fade = self.fade(now);
        self.failures * fade / ((self.failures + self.answers) * fade + 2.0)
    }

    pub(crate) fn succeeded(&mut self, now: Tick) {
        self.age(now);
        self.answers += 1.0;
        self.row = 0;
    }

    /// Notes a failure. Returns whether the endpoint is left out for it.
    pub(crate) fn failed(&mut self, now: Tick) -> bool {
        self.age(now);
        self.failures += 1.0;
        self.row += 1;
        if self.row < EJECT_AFTER {
            return false;
        }
        let doublings = (self.row - EJECT_AFTER).min(8);
        self.until = now + (EJECT_FIRST * 2u32.pow(doublings)).min(EJECT_MOST);
        true
    }

    fn age(&mut self, now: Tick) {
        let fade = self.fade(now);
        self.failures *= fade;
        self.answers *= fade;
        self.at = now;
    }

    fn fade(&self, now: Tick) -> f64 {
        0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
