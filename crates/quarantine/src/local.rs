//! What one process decides by its own observations.

use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};

use crate::suspects::Suspects;

/// Interval at which the decisions are renewed.
const INTERVAL: Duration = Duration::from_millis(100);

/// The parts that a process rejects by its own observations.
#[derive(Clone, Debug, Default)]
pub struct LocalVerdicts {
    parts: Vec<PartId>,
    decided_at: Tick,
}

impl LocalVerdicts {
    /// How long callers are told to wait when a part is rejected.
    pub const RETRY_AFTER: Duration = Duration::from_secs(5);

    /// One of the parts that is rejected, if any.
    pub fn rejected(&mut self, now: Tick, suspects: &Suspects, parts: &[PartId]) -> Option<PartId> {
        if now.since(self.decided_at) >= INTERVAL {
            let verdicts = suspects.verdicts(now, |_| false);
            self.parts = verdicts.into_iter().map(|verdict| verdict.part).collect();
            self.decided_at = now;
        }
        parts.iter().find(|part| self.parts.contains(part)).copied()
    }
}
