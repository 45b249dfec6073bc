//! Reports usage to the control group on a background thread. Counts that the group has not
//! acknowledged are sent again with the next report.

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
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The thread that collects the usage of requests and reports it.
pub(crate) struct UsageReporter {
    counts: Sender<(UsageKey, Counts)>,
    thread: JoinHandle<()>,
}

impl UsageReporter {
    pub(crate) fn start(
        meter: Meter,
        interval: Duration,
        control: ControlClient,
        log: Logger,
    ) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let thread = thread::Builder::new()
            .name("agent-usage".to_owned())
            .spawn(move || run(meter, interval, &control, &log, &rx))?;
        Ok(Self { counts: tx, thread })
    }

    /// Returns a sender for the usage of a request. It must be dropped before
    /// [`UsageReporter::close`], which otherwise blocks.
    pub(crate) fn sender(&self) -> Sender<(UsageKey, Counts)> {
        self.counts.clone()
    }

    /// Reports the remaining usage once, and ends the thread.
    pub(crate) fn close(self) {
        drop(self.counts);
        let _ = self.thread.join();
    }
}

fn run(
    mut meter: Meter,
    interval: Duration,
    control: &ControlClient,
    log: &Logger,
    counts: &Receiver<(UsageKey, Counts)>,
) {
    let mut next_report = Instant::now() + interval;
    loop {
        match counts.recv_deadline(next_report) {
            Ok((key, consumed)) => meter.record(key, consumed),
            Err(RecvTimeoutError::Timeout) => {
                report(&mut meter, control, log);
                next_report = Instant::now() + interval;
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
    match control.call::<_, ()>(paths::USAGE, &report, REPORT_TIMEOUT) {
        Ok(()) => meter.acknowledge(&report),
        Err(error) => event!(log, UsageDeferred, "fault" => error.to_string()),
    }
}
