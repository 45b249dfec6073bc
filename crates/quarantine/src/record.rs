//! The replicated record of crashes, from which a new leader starts.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use ids::{
    PartId,
    Tick,
    millis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::evidence::{
    Evidence,
    Served, //
};
use crate::suspects::Suspects;

/// Suspects and attempts in one addition above which further crashes wait for the next one.
const MAX_ADDED: usize = 4096;
/// Suspects and attempts above which the oldest crashes are dropped.
const MAX_RECORDED: usize = 16 * 1024;

/// The crashes that still count, the suspects that were not served since, and when these were last
/// served. Times are those of the leaders' clocks, in milliseconds of Unix time, and never go back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Incremented by each addition.
    version: u64,
    /// The time from which the ages in `evidence` count.
    at_ms: u64,
    /// The time of the last crash that was dropped for lack of space.
    dropped_ms: u64,
    evidence: Evidence,
}

impl Record {
    /// The version: initially 0, incremented by each addition.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The time of the last addition. A leader whose clock is behind continues from here.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Number of crashes on record.
    pub fn crashes(&self) -> usize {
        self.evidence.crashes.len()
    }

    /// Everything on record, with ages from `now_ms`.
    pub fn evidence(&self, now_ms: u64) -> Evidence {
        let by = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        self.evidence.clone().aged(by)
    }

    /// Adds evidence, whose ages count from `at_ms`.
    pub fn add(&mut self, at_ms: u64, evidence: &Evidence) {
        let at_ms = at_ms.max(self.at_ms);
        let at = Tick(at_ms.saturating_mul(1000));
        let mut suspects = Suspects::default();
        suspects.record(at, &self.evidence(at_ms));
        suspects.record(at, evidence);
        let mut all = suspects.all_evidence(at);
        all.drop_served();
        let sizes = all.crashes.iter().rev().scan(0, |total, crash| {
            *total += crash.size();
            Some(*total)
        });
        let kept = sizes.take_while(|total| *total <= MAX_RECORDED).count();
        let dropped = all.crashes.len() - kept;
        for crash in all.crashes.drain(..dropped) {
            let crashed_ms = at_ms.saturating_sub(millis(crash.age));
            self.dropped_ms = self.dropped_ms.max(crashed_ms);
        }
        let parts = all.parts();
        all.served.retain(|served| parts.contains(&served.part));
        self.evidence = all;
        self.at_ms = at_ms;
        self.version += 1;
    }

    /// What other evidence adds to the record, as far as it may change a verdict: crashes and suspects
    /// that are not on record, and services after a crash on record. All ages count from `now_ms`.
    pub fn missing(&self, now_ms: u64, mut evidence: Evidence) -> Evidence {
        let recorded = self.evidence(now_ms);
        let oldest = Duration::from_millis(now_ms.saturating_sub(self.dropped_ms));
        evidence.drop_served();
        evidence.crashes.retain(|crash| crash.age < oldest);
        let mut room = MAX_ADDED;
        evidence.crashes.retain_mut(|crash| {
            let same = recorded.crashes.iter().find(|held| held.is_same(crash));
            let known: BTreeSet<_> = same.iter().flat_map(|held| held.part_ids()).collect();
            crash.parts.retain(|suspect| !known.contains(&suspect.part));
            let adds = same.is_none() || !crash.parts.is_empty();
            let fits = adds && room > 0;
            room = room.saturating_sub(if fits { crash.size() } else { 0 });
            fits
        });
        let added = evidence.parts();
        let held: BTreeMap<PartId, Duration> = recorded
            .served
            .iter()
            .map(|served| (served.part, served.age))
            .collect();
        let acquits = |served: &Served| {
            let mut crashes = recorded.crashes.iter();
            crashes.any(|crash| {
                crash.age >= served.age && crash.part_ids().any(|part| part == served.part)
            })
        };
        let later = |served: &Served| held.get(&served.part).is_none_or(|age| served.age < *age);
        evidence
            .served
            .retain(|served| added.contains(&served.part) && later(served) || acquits(served));
        evidence
    }
}
