//! Reports usage to the control group from a thread of its own, until it is acknowledged.

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
use obs::{
    Logger,
    event, //
};
use peer::ControlClient;
use usage::{
    Counts,
    Meter,
    UsageKey, //
};
use wire::paths;

/// How long one report may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// Takes what was consumed, and reports it.
pub(crate) struct Reporter {
    counts: Sender<(UsageKey, Counts)>,
    thread: JoinHandle<()>,
}

impl Reporter {
    pub(crate) fn start(
        meter: Meter,
        every: Duration,
        control: ControlClient,
        log: Logger,
    ) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let thread = thread::Builder::new()
            .name("agent-usage".to_owned())
            .spawn(move || run(meter, every, &control, &log, &rx))?;
        Ok(Self { counts: tx, thread })
    }

    /// A sender of what was consumed; it must be dropped before [`Reporter::close`].
    pub(crate) fn sender(&self) -> Sender<(UsageKey, Counts)> {
        self.counts.clone()
    }

    /// Reports the rest and ends.
    pub(crate) fn close(self) {
        drop(self.counts);
        let _ = self.thread.join();
    }
}

fn run(
    mut meter: Meter,
    every: Duration,
    control: &ControlClient,
    log: &Logger,
    counts: &Receiver<(UsageKey, Counts)>,
) {
    let mut next = Instant::now() + every;
    loop {
        match counts.recv_deadline(next) {
            Ok((line, consumed)) => meter.record(line, consumed),
            Err(RecvTimeoutError::Timeout) => {
                report(&mut meter, control, log);
                next = Instant::now() + every;
            }
            Err(RecvTimeoutError::Disconnected) => {
                report(&mut meter, control, log);
                return;
            }
        }
    }
}

fn report(meter: &mut Meter, control: &ControlClient, log: &Logger) {
    let Some(report) = meter.report() else {
        return;
    };
    match control.call::<_, ()>(paths::USAGE, &report, PATIENCE) {
        Ok(()) => meter.acknowledge(&report),
        Err(fault) => event!(log, UsageHeld, "fault" => fault.to_string()),
    }
}
