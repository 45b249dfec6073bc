//! Usage by windows of the wall clock. The leader writes the fronts' tallies to the replicated log,
//! seals each window there as a [`Statement`], and reports the sealed statements to the billing
//! interface.

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

/// Interval between log entries with new tallies. If the leader fails, tallies newer than the last
/// entry are lost unless the process that counted still runs and sends them again.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time from a window's end to its seal. Processes report twice a second, so their final
/// counts have arrived by then.
const MIN_SEAL_DELAY: Duration = Duration::from_millis(2500);
/// Time from a window's end to its seal if some process has not reported it.
const MAX_SEAL_DELAY: Duration = Duration::from_secs(6);
/// Time for which a new leader does not seal a window that some processes have not reported, so
/// that they can discover the new leader.
const LEADER_DISCOVERY: Duration = Duration::from_millis(2500);
/// Delay before a report that was rejected or lost is retried.
const REPORT_RETRY: Duration = Duration::from_millis(700);

/// The leader's next step in reporting usage.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Write these tallies to the log.
    Record(Vec<Tally>),
    /// Seal the window with this number.
    Seal(u64),
    /// Report a sealed window to the billing interface.
    Report(Statement),
}

/// The leader's state for sealing and reporting windows. It starts empty with each term.
#[derive(Debug, Default)]
pub(crate) struct Billing {
    /// Tallies received since the last ones were written to the log.
    unrecorded: BTreeMap<Reporter, Vec<(u64, Runs)>>,
    recorded_at: Tick,
    /// Whether a seal command is in the log and not committed.
    pub(crate) sealing: bool,
    /// Whether a report is in progress or its acceptance not committed.
    reporting: bool,
    retry_at: Tick,
    /// When [`Billing::next_action`] was first called in this term.
    led_since: Option<Tick>,
}

impl Billing {
    /// Adds a process's tally, which replaces its earlier ones not yet in the log.
    pub(crate) fn add(&mut self, tally: Tally, last_sealed: Option<u64>) {
        let (reporter, mut windows) = tally;
        usage::trim(&mut windows, last_sealed);
        self.unrecorded.insert(reporter, windows);
    }

    /// Records that the seal command is committed, so that the next window may be sealed.
    pub(crate) fn sealed(&mut self) {
        self.sealing = false;
    }

    /// Schedules another report of the same statement, because the last one was not accepted or its
    /// acceptance could not be proposed.
    pub(crate) fn report_failed(&mut self, now: Tick) {
        self.reporting = false;
        self.retry_at = now + REPORT_RETRY;
    }

    /// Records that the acceptance of a report is committed, so that the next statement may be
    /// reported.
    pub(crate) fn accepted(&mut self) {
        self.reporting = false;
    }

    /// Returns the next action that is due. `unix_ms` is Unix time in milliseconds. No window is
    /// sealed while the statements that are not accepted take more than `capacity` bytes; the
    /// processes keep their counts until then.
    pub(crate) fn next_action(
        &mut self,
        now: Tick,
        unix_ms: u64,
        plan: &PlanOptions,
        statements: &Statements,
        capacity: usize,
    ) -> Option<Action> {
        let led_since = *self.led_since.get_or_insert(now);
        if !self.unrecorded.is_empty() && now.since(self.recorded_at) >= RECORD_INTERVAL {
            self.recorded_at = now;
            return Some(Action::Record(
                std::mem::take(&mut self.unrecorded).into_iter().collect(),
            ));
        }
        let window =
            self.window_to_seal(now.since(led_since), unix_ms, plan.usage_window, statements);
        if let Some(window) = window.filter(|_| statements.pending_bytes() <= capacity) {
            self.sealing = true;
            return Some(Action::Seal(window));
        }
        let may_report = now.since(led_since) >= plan.report_delay;
        if self.reporting || !may_report || now < self.retry_at {
            return None;
        }
        let statement = statements.pending()?.clone();
        self.reporting = true;
        Some(Action::Report(statement))
    }

    /// Returns the next window if it may be sealed now. `led_for` is how long this host has led. A
    /// window is complete once as many processes have sent their final counts of it as reported the
    /// last sealed window.
    fn window_to_seal(
        &self,
        led_for: Duration,
        unix_ms: u64,
        length: Duration,
        statements: &Statements,
    ) -> Option<u64> {
        if self.sealing {
            return None;
        }
        let window = statements.next_to_seal()?;
        let end = (window + 1).saturating_mul(millis(length));
        let complete = statements.complete_reports(window) >= statements.sources().max(1);
        let delay = if complete {
            MIN_SEAL_DELAY
        } else {
            MAX_SEAL_DELAY
        };
        let discovered = complete || led_for >= LEADER_DISCOVERY;
        (discovered && unix_ms >= end.saturating_add(millis(delay))).then_some(window)
    }
}
