//! Settles claims on a background thread, with retries.
//!
//! The claim of a request that was not executed must be released. Otherwise every resend is rejected
//! because the first request may be running or may have been executed. The control group may be
//! unavailable at that time, and a claim request that timed out may still be committed later, so a
//! settlement is retried until the group accepts it or the time limits below have passed.

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

/// Pause between two attempts at one settlement.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a settlement is retried while the control group is unavailable. After this time the
/// control group treats an unsettled claim as [`ledger::Stage::Unknown`].
const MAX_RETRY_TIME: Duration = Duration::from_secs(15 * 60);
/// How long a settlement is retried if the control group responds that this attempt holds no
/// unsettled claim. Longer than a delayed claim request can take to be committed.
const NO_CLAIM_RETRY_TIME: Duration = Duration::from_secs(10);

/// A settlement that the control group has not accepted yet.
pub(crate) struct PendingSettlement {
    pub(crate) claim: Claim,
    pub(crate) settlement: Settlement,
    created_at: Instant,
    next_attempt: Instant,
}

impl PendingSettlement {
    pub(crate) fn new(claim: Claim, settlement: Settlement) -> Self {
        let now = Instant::now();
        Self {
            claim,
            settlement,
            created_at: now,
            next_attempt: now,
        }
    }
}

/// The thread that retries settlements.
pub(crate) struct SettlementThread {
    pending: Sender<PendingSettlement>,
    thread: JoinHandle<()>,
}

impl SettlementThread {
    pub(crate) fn start(control: ControlClient, log: Logger) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let run = move || run(&control, &log, &rx);
        let thread = thread::Builder::new()
            .name("entry-settle".to_owned())
            .spawn(run)?;
        Ok(Self {
            pending: tx,
            thread,
        })
    }

    pub(crate) fn sender(&self) -> Sender<PendingSettlement> {
        self.pending.clone()
    }

    /// Tries each pending settlement once more, and ends the thread. Waits until all senders are
    /// dropped.
    pub(crate) fn close(self) {
        drop(self.pending);
        let _ = self.thread.join();
    }
}

fn run(control: &ControlClient, log: &Logger, incoming: &Receiver<PendingSettlement>) {
    let mut waiting: VecDeque<PendingSettlement> = VecDeque::new();
    loop {
        let next_attempt = waiting.front().map(|pending| pending.next_attempt);
        let received = match next_attempt {
            Some(deadline) => incoming.recv_deadline(deadline),
            None => incoming.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(pending) => waiting.push_front(pending),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                waiting.drain(..).for_each(|pending| {
                    attempt(control, log, pending);
                });
                return;
            }
        }
        if let Some(pending) = waiting
            .pop_front()
            .and_then(|pending| attempt(control, log, pending))
        {
            waiting.push_back(pending);
        }
    }
}

/// Tries a settlement once. Returns it if it has to be retried.
fn attempt(
    control: &ControlClient,
    log: &Logger,
    pending: PendingSettlement,
) -> Option<PendingSettlement> {
    let result = claim::settle(control, &pending.claim, pending.settlement.clone());
    let elapsed = pending.created_at.elapsed();
    let done = match &result {
        Ok(settled) => *settled || elapsed >= NO_CLAIM_RETRY_TIME,
        Err(_) => elapsed >= MAX_RETRY_TIME,
    };
    if done {
        if let Err(error) = result {
            let key = pending.claim.key.to_string();
            event!(log, SettlementFailed, "key" => key, "fault" => error.to_string());
        }
        return None;
    }
    Some(PendingSettlement {
        next_attempt: Instant::now() + RETRY_INTERVAL,
        ..pending
    })
}
