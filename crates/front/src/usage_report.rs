//! Sends the usage of windows to the control group until they are sealed.

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

/// How often usage is sent. The figures of a front that is killed are short by what began since.
const EVERY: Duration = Duration::from_millis(500);
/// How long the control group may take.
const PATIENCE: Duration = Duration::from_millis(900);
/// The ticket of questions for usage; there is one at a time.
const TICKET: Ticket = Ticket(u64::MAX);

/// Sends the usage.
pub(crate) struct Sender {
    pub(crate) host: HostName,
    pub(crate) run: Incarnation,
    pub(crate) control: ControlClient,
    pub(crate) inbox: FrontInbox,
    pub(crate) log: Logger,
    pub(crate) sealed: Option<u64>,
    pub(crate) reached: bool,
}

impl Sender {
    /// Waits and sends. None once the core has ended.
    pub(crate) fn turn(&mut self) -> Option<()> {
        thread::park_timeout(EVERY);
        self.send()
    }

    /// Sends the windows that are not sealed.
    pub(crate) fn send(&mut self) -> Option<()> {
        let windows = self.ask()?;
        if windows.is_empty() {
            return Some(());
        }
        let ask = TallyRequest {
            host: self.host.clone(),
            incarnation: self.run,
            windows,
        };
        match self
            .control
            .call::<_, Option<u64>>(paths::TALLY, &ask, PATIENCE)
        {
            Ok(sealed) => {
                self.reached = true;
                self.sealed = self.sealed.max(sealed);
            }
            Err(fault) => {
                if std::mem::replace(&mut self.reached, false) {
                    event!(self.log, UsageDeferred, "fault" => fault.to_string());
                }
            }
        }
        Some(())
    }

    fn ask(&self) -> Option<Vec<(u64, Runs)>> {
        let (tx, rx) = bounded(1);
        let input = Input::Usage(TICKET, self.sealed);
        let attachment = Attachment::Usage(TICKET, tx);
        self.inbox.call(attachment, input).ok()?;
        rx.recv_blocking().ok()
    }
}
