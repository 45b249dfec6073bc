//! Reports the usage of each window to the control group until the window is sealed.

use std::thread;
use std::time::Duration;

use ids::{
    HostName,
    Incarnation,
    Ticket, //
};
use obs::{
    Logger,
    event, //
};
use peer::ControlClient;
use relay::Input;
use smol::channel::bounded;
use usage::Runs;
use wire::{
    TallyRequest,
    paths, //
};

use crate::control::{
    Attachment,
    FrontInbox, //
};

/// Interval between reports. If the front is killed, the usage of requests that started since
/// its last report is lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// The ticket of queries for usage. At most one such query is pending at a time.
const TICKET: Ticket = Ticket(u64::MAX);

/// Reports the usage of one front.
pub(crate) struct UsageReporter {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: ControlClient,
    pub(crate) inbox: FrontInbox,
    pub(crate) log: Logger,
    /// The last window that the control group has sealed.
    pub(crate) last_sealed: Option<u64>,
    /// Whether the last report succeeded.
    pub(crate) reachable: bool,
}

impl UsageReporter {
    /// Waits for the next interval and reports. Returns `None` once the core has ended.
    pub(crate) fn step(&mut self) -> Option<()> {
        thread::park_timeout(REPORT_INTERVAL);
        self.report()
    }

    /// Reports all windows that are not sealed. Returns `None` once the core has ended.
    pub(crate) fn report(&mut self) -> Option<()> {
        let windows = self.unsealed_windows()?;
        if windows.is_empty() {
            return Some(());
        }
        let report = TallyRequest {
            host: self.host.clone(),
            incarnation: self.incarnation,
            windows,
        };
        match self
            .control
            .call::<_, Option<u64>>(paths::TALLY, &report, REPORT_TIMEOUT)
        {
            Ok(sealed) => {
                self.reachable = true;
                self.last_sealed = self.last_sealed.max(sealed);
            }
            Err(error) => {
                if std::mem::replace(&mut self.reachable, false) {
                    event!(self.log, UsageDeferred, "fault" => error.to_string());
                }
            }
        }
        Some(())
    }

    /// Queries the core for the usage of unsealed windows. Returns `None` once the core has ended.
    fn unsealed_windows(&self) -> Option<Vec<(u64, Runs)>> {
        let (tx, rx) = bounded(1);
        let input = Input::Usage(TICKET, self.last_sealed);
        let attachment = Attachment::Usage(TICKET, tx);
        self.inbox.call(attachment, input).ok()?;
        rx.recv_blocking().ok()
    }
}
