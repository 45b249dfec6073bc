//! The time since each running order, as one process knows it without a common clock.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::Tick;

use crate::orders::Orders;

/// The time since an order at a time of this process.
#[derive(Clone, Copy, Debug)]
struct Mark {
    elapsed: Duration,
    at: Tick,
}

impl Mark {
    fn elapsed(&self, now: Tick) -> Duration {
        self.elapsed + now.since(self.at)
    }
}

/// Follows the committed times since the orders. Between two of them the process's own clock counts.
/// Every member of the group keeps this record, so that a new leader continues where the last one
/// stopped.
#[derive(Clone, Debug, Default)]
pub struct Ages(BTreeMap<u64, Mark>);

impl Ages {
    /// Takes over the committed times, which have just been applied.
    pub fn follow(&mut self, now: Tick, orders: &Orders) {
        let running = |id: &u64| orders.get(*id).is_some_and(|progress| progress.running());
        self.0.retain(|id, _| running(id));
        for progress in orders.list().filter(|progress| progress.running()) {
            let elapsed = Duration::from_millis(progress.elapsed_ms);
            let mark = Mark { elapsed, at: now };
            let held = self.0.entry(progress.order.id).or_insert(mark);
            if held.elapsed(now) < elapsed {
                *held = mark;
            }
        }
    }

    /// The time since an order; zero if it does not run.
    pub fn elapsed(&self, now: Tick, id: u64) -> Duration {
        self.0
            .get(&id)
            .map_or(Duration::ZERO, |mark| mark.elapsed(now))
    }
}
