//! Reports to the control group how both versions of a rollout respond.

use std::thread;
use std::time::Duration;

use ids::{
    Clock,
    HostName,
    Incarnation,
    Monotonic,
    Tick,
    Ticket, //
};
use obs::{
    Logger,
    event, //
};
use peer::{
    ControlClient,
    PeerError, //
};
use relay::Input;
use rollout::{
    FrontTally,
    Tally, //
};
use smol::channel::bounded;
use wire::{
    RolloutRequest,
    paths, //
};

use crate::control::{
    Attachment,
    FrontInbox, //
};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which unchanged tallies are repeated, since the control process that acknowledged them
/// may fail before it passes them on.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a report to one control host.
const HOST_TIMEOUT: Duration = Duration::from_millis(300);
/// The ticket of queries for tallies. At most one such query is pending at a time.
const TICKET: Ticket = Ticket(u64::MAX);

/// Reports the tallies of one front.
pub(crate) struct RolloutReporter {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: ControlClient,
    pub(crate) inbox: FrontInbox,
    pub(crate) clock: Monotonic,
    pub(crate) log: Logger,
    /// The tallies that the control group acknowledged last, and when.
    pub(crate) acknowledged: Option<(Vec<Tally>, Tick)>,
    /// Whether the last report succeeded.
    pub(crate) reachable: bool,
}

impl RolloutReporter {
    /// Waits for the next interval and reports. Returns `None` once the core has ended.
    pub(crate) fn step(&mut self) -> Option<()> {
        thread::park_timeout(REPORT_INTERVAL);
        let tallies = self.tallies()?;
        if tallies.is_empty() || self.repeats_too_soon(&tallies) {
            return Some(());
        }
        match self.report(&tallies) {
            Ok(()) => {
                self.reachable = true;
                self.acknowledged = Some((tallies, self.clock.now()));
            }
            Err(error) => {
                if std::mem::replace(&mut self.reachable, false) {
                    event!(self.log, TallyDeferred, "fault" => error.to_string());
                }
            }
        }
        Some(())
    }

    /// Whether the control group acknowledged the same tallies a short time ago.
    fn repeats_too_soon(&self, tallies: &[Tally]) -> bool {
        self.acknowledged.as_ref().is_some_and(|(last, at)| {
            last == tallies && self.clock.now().since(*at) < REPEAT_INTERVAL
        })
    }

    /// Reports to one control host after the other until one acknowledges.
    fn report(&self, tallies: &[Tally]) -> Result<(), PeerError> {
        let request = RolloutRequest {
            report: FrontTally {
                host: self.host.clone(),
                incarnation: self.incarnation,
                tallies: tallies.to_vec(),
            },
        };
        let mut result = Err(PeerError::Unavailable);
        for host in self.control.host_order(None) {
            result = self
                .control
                .call_host(host, paths::ROLLOUT, &request, HOST_TIMEOUT);
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Queries the core for the tallies. Returns `None` once the core has ended.
    fn tallies(&self) -> Option<Vec<Tally>> {
        let (tx, rx) = bounded(1);
        let attachment = Attachment::Tallies(TICKET, tx);
        self.inbox.call(attachment, Input::Tallies(TICKET)).ok()?;
        rx.recv_blocking().ok()
    }
}
