//! The concurrency limit of an engine: additive increase and multiplicative decrease, starting low
//! while the engine's caches are cold.

use std::time::Duration;

use ids::Tick;

/// Concurrency limit of a cold engine, and lower bound of any limit.
const COLD_LIMIT: f64 = 1.0;
/// Increase of the limit with each first token within its target. If all running requests meet
/// their targets, the limit doubles each time that all of them have produced their first token.
const INCREASE: f64 = 1.0;
/// Factor by which the limit decreases after a late token.
const DECREASE_FACTOR: f64 = 0.7;
/// Lower bound of a warm engine's limit, as a share of its slots.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// A first token that takes longer than this multiple of its target indicates cold caches.
const COLD_FIRST_TOKEN_FACTOR: u32 = 3;
/// Number of such slow first tokens, with no first token within its target in between, that resets
/// the window.
const COLD_FIRST_TOKENS: u32 = 3;
/// Divisor that gives the weight of the newest token gap in the moving average.
const GAP_SMOOTHING_DIVISOR: u32 = 64;
/// Minimum time between two decreases of the limit, so that one slow batch of the engine causes one
/// decrease.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// Adaptive limit on the number of concurrent requests at an engine.
#[derive(Clone, Debug)]
pub struct Window {
    limit: f64,
    slots: u32,
    /// Number of first tokens beyond [`COLD_FIRST_TOKEN_FACTOR`] times their target since the last
    /// first token within its target.
    slow_starts: u32,
    /// Whether the limit has reached `slots` since the last reset.
    warm: bool,
    decreased_at: Tick,
    /// Moving average of the time between tokens.
    gap: Duration,
}

impl Window {
    /// Creates the window of a cold engine with this many slots.
    pub fn cold(slots: u32) -> Self {
        Self {
            limit: COLD_LIMIT,
            slots: slots.max(1),
            slow_starts: 0,
            warm: false,
            decreased_at: Tick::default(),
            gap: Duration::ZERO,
        }
    }

    /// The maximum number of concurrent requests.
    pub fn limit(&self) -> u32 {
        // The cast is in range, as the limit is at least 1 and at most `slots`.
        self.limit as u32
    }

    /// Whether the limit has reached the number of slots since the last reset.
    pub fn is_warm(&self) -> bool {
        self.warm
    }

    /// Sets the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    /// Resets the window to that of a cold engine.
    pub fn reset(&mut self) {
        *self = Self::cold(self.slots);
    }

    /// Records the time to a first token, and adjusts the limit by the token's target. Returns
    /// whether the window was reset because the engine's caches seem to be cold.
    pub fn first_token(&mut self, now: Tick, elapsed: Duration, target: Duration) -> bool {
        if elapsed <= target {
            self.slow_starts = 0;
            self.limit = (self.limit + INCREASE).min(f64::from(self.slots));
            self.warm |= self.limit >= f64::from(self.slots);
            return false;
        }
        if elapsed > target * COLD_FIRST_TOKEN_FACTOR {
            self.slow_starts += 1;
        }
        if self.slow_starts >= COLD_FIRST_TOKENS {
            self.reset();
            return true;
        }
        self.decrease(now);
        false
    }

    /// Records the time between two tokens, and decreases the limit if the moving average is above
    /// the target. Single gaps do not count, as they are long whenever the engine prefills a
    /// prompt.
    pub fn token_gap(&mut self, now: Tick, gap: Duration, target: Duration) {
        self.gap = (self.gap * (GAP_SMOOTHING_DIVISOR - 1) + gap) / GAP_SMOOTHING_DIVISOR;
        if self.gap > target {
            self.decrease(now);
        }
    }

    /// Decreases the limit, at most once in [`DECREASE_INTERVAL`].
    fn decrease(&mut self, now: Tick) {
        if now.since(self.decreased_at) < DECREASE_INTERVAL && self.decreased_at != Tick::default()
        {
            return;
        }
        self.decreased_at = now;
        let floor = if self.warm {
            (f64::from(self.slots) * MIN_LIMIT_SHARE).max(COLD_LIMIT)
        } else {
            COLD_LIMIT
        };
        self.limit = (self.limit * DECREASE_FACTOR).max(floor);
    }
}
