//! Evidence about prompt parts that crash engines, on its way from fronts to the leader.

use std::collections::BTreeMap;

use ids::Tick;
use quarantine::Evidence;

use crate::subscribers::SubscriberId;

/// Reports held at most. Above it, the one received first is dropped; its front repeats it.
const MAX_REPORTS: usize = 1024;
/// Parts and attempts in one request above which the other reports wait for the next request. It keeps the request
/// far below the limit of a body's size.
const MAX_PARTS: usize = 32 * 1024;

/// A front's last report, and when it was received.
type Report = (Tick, Evidence);

/// What fronts reported to a control process that does not lead. A later report of a front replaces
/// its earlier one, because fronts repeat what they observed.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    held: BTreeMap<SubscriberId, Report>,
    /// The reports in the request in progress.
    sending: BTreeMap<SubscriberId, Report>,
}

impl Reports {
    /// Adds a front's report.
    pub(crate) fn add(&mut self, now: Tick, front: SubscriberId, evidence: Evidence) {
        if !evidence.is_empty() {
            self.held.insert(front, (now, evidence));
        }
        if self.held.len() > MAX_REPORTS {
            let oldest = self.held.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(front, _)| front.clone());
            oldest.and_then(|front| self.held.remove(&front));
        }
    }

    /// Takes the evidence for a request to the leader.
    pub(crate) fn send(&mut self, now: Tick) -> Evidence {
        let mut evidence = Evidence::default();
        let mut parts = 0;
        while parts < MAX_PARTS {
            let Some((front, report)) = self.held.pop_first() else {
                break;
            };
            let (received_at, reported) = &report;
            let crashes = reported.crashes.iter();
            let entries = crashes.map(|crash| crash.parts.len() + crash.attempts.len());
            parts += reported.served.len() + entries.sum::<usize>();
            evidence.append(reported.clone().aged(now.since(*received_at)));
            self.sending.insert(front, report);
        }
        evidence
    }

    /// Takes evidence as the leader, also that of a request that was in progress at the election.
    pub(crate) fn take(&mut self, now: Tick) -> Evidence {
        self.unsent();
        let evidence = self.send(now);
        self.sent();
        evidence
    }

    /// Records that the leader has the evidence that was sent.
    pub(crate) fn sent(&mut self) {
        self.sending.clear();
    }

    /// Records that the request failed. Its evidence is sent again, except that of fronts that have
    /// reported since.
    pub(crate) fn unsent(&mut self) {
        for (front, report) in std::mem::take(&mut self.sending) {
            self.held.entry(front).or_insert(report);
        }
    }
}
