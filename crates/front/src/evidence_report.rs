//! Reports evidence on prompt parts that crash engines to the control group.

use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use ids::{
    Clock,
    HostName,
    Incarnation,
    Monotonic,
    Tick, //
};
use obs::{
    Logger,
    event, //
};
use peer::{
    ControlClient,
    PeerError, //
};
use quarantine::Evidence;
use wire::{
    EvidenceRequest,
    paths, //
};

/// Timeout of a report to one control host.
const HOST_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a report that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reports the evidence of one front.
pub(crate) struct EvidenceReporter {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: ControlClient,
    /// Evidence, and when the core collected it.
    pub(crate) reports: Receiver<(Evidence, Tick)>,
    pub(crate) clock: Monotonic,
    pub(crate) log: Logger,
    /// Evidence that the control group has not acknowledged, and when it was collected.
    pub(crate) unacknowledged: Option<(Evidence, Tick)>,
}

impl EvidenceReporter {
    /// Waits for evidence, unless some is unacknowledged, and reports it. Returns `None` once the
    /// core has ended.
    pub(crate) fn step(&mut self) -> Option<()> {
        let (evidence, collected_at) = match self.unacknowledged.take() {
            Some(earlier) => self.reports.try_iter().fold(earlier, followed_by),
            None => self.reports.recv().ok()?,
        };
        if let Err(error) = self.report(&evidence, collected_at) {
            event!(self.log, EvidenceDeferred, "fault" => error.to_string());
            self.unacknowledged = Some((evidence, collected_at));
            thread::park_timeout(RETRY_PAUSE);
        }
        Some(())
    }

    /// Reports to one control host after the other. Each request states the ages at its time.
    fn report(&self, evidence: &Evidence, collected_at: Tick) -> Result<(), PeerError> {
        let mut result = Err(PeerError::Unavailable);
        for host in self.control.host_order(None) {
            let held = self.clock.now().since(collected_at);
            let request = EvidenceRequest {
                host: self.host.clone(),
                incarnation: self.incarnation,
                evidence: evidence.clone().aged(held),
            };
            result = self
                .control
                .call_host(host, paths::EVIDENCE, &request, HOST_TIMEOUT);
            if result.is_ok() {
                break;
            }
        }
        result
    }
}

/// Merges evidence with what the same core collected later.
fn followed_by(earlier: (Evidence, Tick), later: (Evidence, Tick)) -> (Evidence, Tick) {
    let ((earlier, earlier_at), (later, later_at)) = (earlier, later);
    let aged = earlier.aged(later_at.since(earlier_at));
    (aged.followed_by(later), later_at)
}
