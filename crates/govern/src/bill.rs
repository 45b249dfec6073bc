//! Usage by windows of the wall clock: collected, sealed through the log, reported by the leader.

use std::time::Duration;

use ids::Tick;
use usage::{
    Collector,
    Runs,
    Statement,
    Statements, //
};

use crate::message::PlanSeed;
use crate::viewers::ViewerId;

/// A window is sealed this long after its end at the earliest: sources report it a second after
/// its end and again a second later.
const SEAL_AFTER: Duration = Duration::from_millis(2500);
/// A window is sealed this long after its end though a source has not reported it.
const SEAL_ANYWAY: Duration = Duration::from_secs(6);
/// How long a report that was refused or lost waits.
const REPORT_AGAIN: Duration = Duration::from_millis(700);

/// What is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Seal a window with these figures, from so many sources.
    Seal(u64, Runs, usize),
    /// Report a sealed window.
    Report(Statement),
}

/// The leader's side of usage by windows.
#[derive(Debug, Default)]
pub(crate) struct Biller {
    collector: Collector<ViewerId>,
    sealing: Option<u64>,
    reporting: bool,
    again: Tick,
    led: Option<Tick>,
}

impl Biller {
    /// Takes a source's figures.
    pub(crate) fn report(
        &mut self,
        last: Option<u64>,
        source: &ViewerId,
        windows: Vec<(u64, Runs)>,
    ) {
        for (window, runs) in windows {
            if last.is_none_or(|last| window > last) {
                self.collector.report(source.clone(), window, runs);
            }
        }
    }

    /// Notes that a window was sealed.
    pub(crate) fn sealed(&mut self, window: u64) {
        self.sealing = None;
        self.collector.forget(window);
    }

    /// Notes the answer to a report.
    pub(crate) fn answered(&mut self, now: Tick, accepted: bool) {
        if !accepted {
            self.reporting = false;
            self.again = now + REPORT_AGAIN;
        }
    }

    /// Notes that a report's acceptance is committed.
    pub(crate) fn settled(&mut self) {
        self.reporting = false;
    }

    /// What is due now. `wall` is Unix time in milliseconds.
    pub(crate) fn next(
        &mut self,
        now: Tick,
        wall: u64,
        plan: &PlanSeed,
        statements: &Statements,
    ) -> Option<Due> {
        let led = *self.led.get_or_insert(now);
        if let Some(window) = self.due(wall, plan.window, statements) {
            self.sealing = Some(window);
            let sources = self.collector.sources(window);
            return Some(Due::Seal(window, self.collector.sum(window), sources));
        }
        let settled = now.since(led) >= plan.settle;
        if self.reporting || !settled || now < self.again {
            return None;
        }
        let statement = statements.pending()?.clone();
        self.reporting = true;
        Some(Due::Report(statement))
    }

    fn due(&self, wall: u64, length: Duration, statements: &Statements) -> Option<u64> {
        if self.sealing.is_some() {
            return None;
        }
        let window = match statements.last() {
            Some(last) => last + 1,
            None => self.collector.first()?,
        };
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let end = (window + 1).saturating_mul(millis(length));
        let complete = self.collector.sources(window) >= statements.sources().max(1);
        let due = if complete { SEAL_AFTER } else { SEAL_ANYWAY };
        (wall >= end.saturating_add(millis(due))).then_some(window)
    }
}
