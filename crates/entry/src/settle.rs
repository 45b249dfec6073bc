//! Settles claims in the background, for as long as that may help.
//!
//! A claim whose request did not run must be given back, or a resend would be told for ever that
//! the first one may be running. The control group may be away just then, and a claim that nobody
//! answered may still be committed later, so a settlement is repeated until it is taken.

use std::collections::VecDeque;
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::{
    Duration,
    Instant, //
};

use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender,
    unbounded, //
};
use ledger::Settlement;
use obs::{
    Logger,
    event, //
};
use peer::ControlClient;
use route::Claim;

use crate::claim;

/// Pause between two tries of one settlement.
const PAUSE: Duration = Duration::from_secs(1);
/// How long a settlement is tried. A claim that is still unsettled counts as unknown by then.
const KEEP_TRYING: Duration = Duration::from_secs(15 * 60);
/// How long a settlement of a claim that was never granted is tried once the group answers that
/// it knows no such claim: longer than a delayed claim can be on its way.
const NEVER_CLAIMED: Duration = Duration::from_secs(10);

/// A settlement to be made.
pub(crate) struct Due {
    pub(crate) claim: Claim,
    pub(crate) settlement: Settlement,
    since: Instant,
    next: Instant,
}

impl Due {
    pub(crate) fn new(claim: Claim, settlement: Settlement) -> Self {
        let now = Instant::now();
        Self {
            claim,
            settlement,
            since: now,
            next: now,
        }
    }
}

/// A running settling thread.
pub(crate) struct Settler {
    due: Sender<Due>,
    thread: JoinHandle<()>,
}

impl Settler {
    pub(crate) fn start(control: ControlClient, log: Logger) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let run = move || run(&control, &log, &rx);
        let thread = thread::Builder::new()
            .name("entry-settle".to_owned())
            .spawn(run)?;
        Ok(Self { due: tx, thread })
    }

    pub(crate) fn sender(&self) -> Sender<Due> {
        self.due.clone()
    }

    /// Tries what is due once more and ends. All senders must be gone.
    pub(crate) fn close(self) {
        drop(self.due);
        let _ = self.thread.join();
    }
}

fn run(control: &ControlClient, log: &Logger, incoming: &Receiver<Due>) {
    let mut waiting: VecDeque<Due> = VecDeque::new();
    loop {
        let next = waiting.front().map(|due| due.next);
        let received = match next {
            Some(next) => incoming.recv_deadline(next),
            None => incoming.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(due) => waiting.push_front(due),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                waiting.drain(..).for_each(|due| {
                    attempt(control, log, due);
                });
                return;
            }
        }
        if let Some(again) = waiting
            .pop_front()
            .and_then(|due| attempt(control, log, due))
        {
            waiting.push_back(again);
        }
    }
}

/// Tries a settlement once. Returns it if it should be tried again.
fn attempt(control: &ControlClient, log: &Logger, due: Due) -> Option<Due> {
    let result = claim::settle(control, &due.claim, due.settlement.clone());
    let tried = due.since.elapsed();
    let done = match &result {
        Ok(taken) => *taken || tried >= NEVER_CLAIMED,
        Err(_) => tried >= KEEP_TRYING,
    };
    if done {
        if let Err(fault) = result {
            let key = due.claim.key.to_string();
            event!(log, SettleFailed, "key" => key, "fault" => fault.to_string());
        }
        return None;
    }
    Some(Due {
        next: Instant::now() + PAUSE,
        ..due
    })
}
