//! Adapts the size of the lane for short prompts to its load.
//!
//! A lane of fixed size is too small in a burst of short prompts: they spill over to engines that
//! prefill long prompts, and their streams pause. Every front observes the occupancy of the same
//! engines in the responses that it forwards, so all fronts arrive at about the same size without
//! communication.

use std::time::Duration;

use ids::Tick;

use crate::message::Load;

/// The lane's share of a service's engines without a burst, and its largest share.
const SHARE: (f64, f64) = (0.2, 0.5);
/// Share of the lane's slots in use above which the lane grows. The remainder takes the requests that
/// arrive while the lane grows; a lower value takes engines, and what their caches hold, from long
/// prompts before short ones need them.
const GROW_OCCUPANCY: f64 = 0.6;
/// Share of the lane's slots in use below which the lane shrinks. It is half of the share above which
/// the lane grows, so that a change of size does not cause the opposite change.
const SHRINK_OCCUPANCY: f64 = GROW_OCCUPANCY / 2.0;
/// Factors by which the lane grows and shrinks in one interval. It grows to its largest share within
/// two seconds and shrinks over ten, since an engine that changes lanes has to prefill the parts that
/// the prompts of its new lane share.
const GROW_FACTOR: f64 = 1.1;
const SHRINK_FACTOR: f64 = 0.98;
/// Time between changes of the size.
const INTERVAL: Duration = Duration::from_millis(200);
/// Observations that a change of the size needs.
const MIN_OBSERVATIONS: u32 = 4;
/// Weight of one observation against the average of the earlier ones.
const WEIGHT: f64 = 0.15;

/// The size of the lane for short prompts, as a share of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LaneSize {
    share: f64,
    /// Average share of slots in use at the lane's engines.
    occupancy: f64,
    observations: u32,
    changed_at: Tick,
}

impl Default for LaneSize {
    fn default() -> Self {
        Self {
            share: SHARE.0,
            occupancy: 0.0,
            observations: 0,
            changed_at: Tick::default(),
        }
    }
}

impl LaneSize {
    /// Records the load of an engine in the lane. Returns whether the size changed.
    pub(crate) fn record(&mut self, now: Tick, load: Load) -> bool {
        let occupancy = f64::from(load.in_flight()) / f64::from(load.slots.max(1));
        self.occupancy += (occupancy - self.occupancy) * WEIGHT;
        self.observations += 1;
        let early = now.since(self.changed_at) < INTERVAL;
        if early || self.observations < MIN_OBSERVATIONS {
            return false;
        }
        self.changed_at = now;
        self.observations = 0;
        let factor = if self.occupancy > GROW_OCCUPANCY {
            GROW_FACTOR
        } else if self.occupancy < SHRINK_OCCUPANCY {
            SHRINK_FACTOR
        } else {
            return false;
        };
        let before = self.share;
        self.share = (self.share * factor).clamp(SHARE.0, SHARE.1);
        self.share != before
    }

    /// The number of engines in the lane, of the engines in a zone. A zone of two engines or more has
    /// one at least.
    pub(crate) fn engines(&self, zone: usize) -> usize {
        // The small summand keeps a fifth of 5 engines at 1 in spite of rounding.
        let count = (zone as f64 * self.share + 1e-9) as usize;
        count.max(usize::from(zone > 1))
    }

    /// The lane's share of a service's engines.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
