//! How much an engine is given at once: little while it is cold, then as much as it bears.

use std::time::Duration;

use ids::Tick;

/// Starts that a cold engine is given at once.
const COLD_LIMIT: f64 = 1.0;
/// What a first token in time adds to the limit; the limit doubles with each full round.
const GROWTH: f64 = 1.0;
/// What is left of the limit after a token that came too late.
const SHRINK: f64 = 0.7;
/// The limit of a warm engine is never taken below this share of its slots.
const FLOOR_SHARE: f64 = 0.25;
/// A first token this many times over its target is a sign of a cold engine.
const COLD_FACTOR: u32 = 3;
/// So many such first tokens in a row turn the window cold.
const COLD_SIGNS: u32 = 3;
/// Weight of the newest gap in the moving average, as a divisor.
const GAP_SMOOTHING: u32 = 64;
/// The limit shrinks at most once in this time, so that one slow batch counts once.
const SHRINK_PAUSE: Duration = Duration::from_secs(1);

/// The number of requests an engine may have at once.
#[derive(Clone, Debug)]
pub struct Window {
    limit: f64,
    slots: u32,
    signs: u32,
    warm: bool,
    shrunk: Tick,
    /// Moving average of the time between tokens.
    gap: Duration,
}

impl Window {
    /// The window of a cold engine with this many slots.
    pub fn cold(slots: u32) -> Self {
        Self {
            limit: COLD_LIMIT,
            slots: slots.max(1),
            signs: 0,
            warm: false,
            shrunk: Tick::default(),
            gap: Duration::ZERO,
        }
    }

    /// How many requests may run at once.
    pub fn limit(&self) -> u32 {
        // In range: the limit is at least 1 and at most `slots`.
        self.limit as u32
    }

    /// Whether the engine has reached its full size since it was cold.
    pub fn is_warm(&self) -> bool {
        self.warm
    }

    /// Takes over another number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    /// The engine turned cold.
    pub fn cool(&mut self) {
        *self = Self::cold(self.slots);
    }

    /// A first token came after `took`, against a target. Returns whether the engine seems to
    /// have turned cold.
    pub fn first_token(&mut self, now: Tick, took: Duration, target: Duration) -> bool {
        if took <= target {
            self.signs = 0;
            self.limit = (self.limit + GROWTH).min(f64::from(self.slots));
            self.warm |= self.limit >= f64::from(self.slots);
            return false;
        }
        if took > target * COLD_FACTOR {
            self.signs += 1;
        }
        if self.signs >= COLD_SIGNS {
            self.cool();
            return true;
        }
        self.shrink(now);
        false
    }

    /// Tokens came `gap` apart, against a target. Single gaps are long whenever the engine reads a
    /// prompt, so the average decides.
    pub fn token_gap(&mut self, now: Tick, gap: Duration, target: Duration) {
        self.gap = (self.gap * (GAP_SMOOTHING - 1) + gap) / GAP_SMOOTHING;
        if self.gap > target {
            self.shrink(now);
        }
    }

    fn shrink(&mut self, now: Tick) {
        if now.since(self.shrunk) < SHRINK_PAUSE && self.shrunk != Tick::default() {
            return;
        }
        self.shrunk = now;
        let floor = if self.warm {
            (f64::from(self.slots) * FLOOR_SHARE).max(COLD_LIMIT)
        } else {
            COLD_LIMIT
        };
        self.limit = (self.limit * SHRINK).max(floor);
    }
}
