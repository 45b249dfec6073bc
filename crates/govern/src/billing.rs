//! Usage by windows of the wall clock: noted and sealed through the log, reported by the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{
    Tick,
    millis, //
};
use usage::{
    Reporter,
    Runs,
    Statement,
    Statements,
    Tally, //
};

use crate::message::PlanOptions;

/// Figures are noted in the log this often; what is newer is lost with the leader, unless the
/// process that counted lives and sends it again.
const NOTE_EVERY: Duration = Duration::from_millis(500);
/// A window is sealed this long after its end at the earliest; processes report twice a second.
const SEAL_AFTER: Duration = Duration::from_millis(2500);
/// A window is sealed this long after its end though a process has not reported it.
const SEAL_ANYWAY: Duration = Duration::from_secs(6);
/// A new leader waits this long for processes to find it before it seals a window that some have
/// not reported.
const FIND_LEADER: Duration = Duration::from_millis(2500);
/// How long a report that was refused or lost waits.
const REPORT_AGAIN: Duration = Duration::from_millis(700);

/// What is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Note these figures in the log.
    Note(Vec<Tally>),
    /// Seal a window.
    Seal(u64),
    /// Report a sealed window.
    Report(Statement),
}

/// The leader's side of usage by windows.
#[derive(Debug, Default)]
pub(crate) struct Biller {
    /// Figures that came since the last were noted.
    fresh: BTreeMap<Reporter, Vec<(u64, Runs)>>,
    noted: Tick,
    sealing: bool,
    reporting: bool,
    again: Tick,
    led: Option<Tick>,
}

impl Biller {
    /// Takes a process's figures.
    pub(crate) fn report(&mut self, tally: Tally) {
        let (reporter, windows) = tally;
        self.fresh.insert(reporter, windows);
    }

    /// Notes that a window was sealed.
    pub(crate) fn sealed(&mut self) {
        self.sealing = false;
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

    /// What is due now. `unix_ms` is Unix time in milliseconds.
    pub(crate) fn next(
        &mut self,
        now: Tick,
        unix_ms: u64,
        plan: &PlanOptions,
        statements: &Statements,
    ) -> Option<Due> {
        let led = *self.led.get_or_insert(now);
        if !self.fresh.is_empty() && now.since(self.noted) >= NOTE_EVERY {
            self.noted = now;
            return Some(Due::Note(
                std::mem::take(&mut self.fresh).into_iter().collect(),
            ));
        }
        if let Some(window) = self.due(now.since(led), unix_ms, plan.usage_window, statements) {
            self.sealing = true;
            return Some(Due::Seal(window));
        }
        let settled = now.since(led) >= plan.report_delay;
        if self.reporting || !settled || now < self.again {
            return None;
        }
        let statement = statements.pending()?.clone();
        self.reporting = true;
        Some(Due::Report(statement))
    }

    fn due(
        &self,
        led: Duration,
        unix_ms: u64,
        length: Duration,
        statements: &Statements,
    ) -> Option<u64> {
        if self.sealing {
            return None;
        }
        let window = statements.next()?;
        let end = (window + 1).saturating_mul(millis(length));
        let complete = statements.reported(window) >= statements.sources().max(1);
        let due = if complete { SEAL_AFTER } else { SEAL_ANYWAY };
        let found = complete || led >= FIND_LEADER;
        (found && unix_ms >= end.saturating_add(millis(due))).then_some(window)
    }
}
