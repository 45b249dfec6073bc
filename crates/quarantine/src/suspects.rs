//! Infers from crashes which part caused them.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};

use crate::evidence::{
    Attempt,
    Crash,
    Evidence,
    SAME_CRASH,
    Served,
    Suspect,
    share_attempt, //
};
use crate::order::{
    Dated,
    Reported,
    in_order, //
};

/// Crashes within this time count as one, since one cause, such as the loss of a rack, may end
/// several engines at once.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Number of separate crashes after which a part that was not served since the first is the cause.
const MIN_CRASHES: usize = 3;
/// Time after the last of these crashes in which all fronts report what they know: a report may be
/// held on its way for [`REPORT_DELAY`] and for the interval at which control processes request the
/// feed.
const SETTLE: Duration = Duration::from_millis(700);
/// Interval between reports of a front while it observes crashes, and so the longest time for which it
/// collects observations.
pub(crate) const REPORT_DELAY: Duration = Duration::from_millis(100);
/// How long fronts repeat an observation with later reports. With clocks that drift by 5 percent, the
/// age of a repeated crash is off by less than [`SAME_CRASH`].
const REPEAT_SPAN: Duration = Duration::from_secs(10);
/// Crashes in a report at most: the latest.
const MAX_REPORTED: usize = 32;
/// Age at which crashes no longer count.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Crashes above which the oldest is dropped.
const MAX_CRASHES: usize = 256;
/// Served parts above which those served longest ago are dropped, and the same for requests.
const MAX_SERVED: usize = 8192;

/// A crash and the parts that may have caused it.
#[derive(Clone, Debug)]
struct Observed {
    instance: String,
    at: Tick,
    /// The suspects by part, each with its greatest depth and shortest time.
    suspects: BTreeMap<PartId, Suspect>,
    /// The attempts that ended with the crash, by request.
    attempts: BTreeMap<u64, Attempt>,
}

impl Observed {
    fn add(&mut self, suspects: impl IntoIterator<Item = Suspect>) {
        for suspect in suspects {
            let held = self.suspects.entry(suspect.part).or_insert(suspect);
            held.depth = held.depth.max(suspect.depth);
            held.elapsed = held.elapsed.min(suspect.elapsed);
        }
    }

    /// Adds attempts. Of two of one request, such as one that was sent to an endpoint that had just
    /// crashed, the later one counts.
    fn add_attempts(&mut self, attempts: &[Attempt]) {
        for attempt in attempts {
            let held = self.attempts.entry(attempt.request).or_insert(*attempt);
            if held.number < attempt.number {
                *held = *attempt;
            }
        }
    }

    fn has_any(&self, parts: &BTreeSet<PartId>) -> bool {
        self.suspects.keys().any(|part| parts.contains(part))
    }
}

impl Reported for Observed {
    fn at(&self) -> Tick {
        self.at
    }

    fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values()
    }
}

/// The crashes that count against a part.
#[derive(Clone, Debug, Default)]
struct Count {
    /// The separate moments of these crashes.
    moments: Vec<Tick>,
    /// For a request: crashes of which each came after the request was sent once more.
    repetitions: Vec<Tick>,
}

impl Count {
    /// The crashes that decide on the part.
    fn deciding(&self, part: PartId) -> &[Tick] {
        if part.is_request() {
            &self.repetitions
        } else {
            &self.moments
        }
    }
}

/// A part that causes crashes, with the first crash that counts and the one that decides.
#[derive(Clone, Copy, Debug)]
struct Cause {
    part: PartId,
    since: Tick,
    decisive: Tick,
}

/// A part that causes crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub part: PartId,
    /// The first crash that counted.
    pub since: Tick,
}

/// Crashes, and when parts were last served.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The crashes, oldest first.
    crashes: Vec<Observed>,
    served_parts: BTreeMap<PartId, Tick>,
    /// Requests are kept apart, since each one is new.
    served_requests: BTreeMap<PartId, Tick>,
}

impl Suspects {
    /// Interval between reports of a front while it observes crashes.
    pub const REPORT_DELAY: Duration = REPORT_DELAY;

    /// Records the crash of an engine and the suspects of a request that was in progress there.
    pub fn crashed(
        &mut self,
        at: Tick,
        instance: &str,
        suspects: impl IntoIterator<Item = Suspect>,
    ) {
        self.observe(at, instance, suspects, &[]);
    }

    /// As [`Self::crashed`], with the attempt of the request that ended with the crash.
    pub fn attempt_crashed(
        &mut self,
        at: Tick,
        instance: &str,
        attempt: Attempt,
        suspects: impl IntoIterator<Item = Suspect>,
    ) {
        self.observe(at, instance, suspects, &[attempt]);
    }

    /// Returns whether the crash or one of the suspects is new.
    fn observe(
        &mut self,
        at: Tick,
        instance: &str,
        suspects: impl IntoIterator<Item = Suspect>,
        attempts: &[Attempt],
    ) -> bool {
        let same = self.crashes.iter_mut().find(|crash| {
            let apart = crash.at.since(at).max(at.since(crash.at));
            let known = || share_attempt(crash.attempts.values(), attempts);
            crash.instance == instance && (apart < SAME_CRASH || known())
        });
        let new = match same {
            Some(crash) => {
                let before = (crash.suspects.len(), crash.attempts.len());
                crash.add(suspects);
                crash.add_attempts(attempts);
                (crash.suspects.len(), crash.attempts.len()) != before
            }
            None => {
                let mut crash = Observed {
                    instance: instance.to_owned(),
                    at,
                    suspects: BTreeMap::new(),
                    attempts: BTreeMap::new(),
                };
                crash.add(suspects);
                crash.add_attempts(attempts);
                let after = self.crashes.partition_point(|earlier| earlier.at <= at);
                self.crashes.insert(after, crash);
                true
            }
        };
        let oldest = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..oldest);
        self.crashes.retain(|crash| at.since(crash.at) < MAX_AGE);
        new
    }

    /// Records that a request with a part was served completely, by a response that began at `at`.
    pub fn served(&mut self, at: Tick, part: PartId) {
        let served = if part.is_request() {
            &mut self.served_requests
        } else {
            &mut self.served_parts
        };
        let last = served.entry(part).or_insert(at);
        *last = at.max(*last);
        if served.len() > MAX_SERVED {
            let mut times: Vec<_> = served.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_SERVED / 2);
            let median = *median;
            served.retain(|_, served_at| *served_at > median);
        }
    }

    /// When a part was last served.
    pub fn served_at(&self, part: PartId) -> Option<Tick> {
        let served = if part.is_request() {
            &self.served_requests
        } else {
            &self.served_parts
        };
        served.get(&part).copied()
    }

    /// Merges reported evidence. Returns whether it contains anything new.
    pub fn record(&mut self, now: Tick, evidence: &Evidence) -> bool {
        let mut new = false;
        for crash in &evidence.crashes {
            let suspects = crash.parts.iter().copied();
            let at = now - crash.age;
            new |= self.observe(at, &crash.instance, suspects, &crash.attempts);
        }
        for served in &evidence.served {
            let at = now - served.age;
            let before = self.served_at(served.part);
            new |= before.is_none_or(|before| at.since(before) >= SAME_CRASH);
            self.served(at, served.part);
        }
        new
    }

    /// The recent crashes, and when their parts were last served.
    pub fn evidence(&self, now: Tick) -> Evidence {
        self.report(now, REPEAT_SPAN, MAX_REPORTED)
    }

    /// As [`Self::evidence`], with the crashes since a time and those that were recent then.
    pub fn evidence_since(&self, now: Tick, since: Tick) -> Evidence {
        self.report(now, now.since(since) + REPEAT_SPAN, MAX_REPORTED)
    }

    /// All crashes that count.
    pub fn all_evidence(&self, now: Tick) -> Evidence {
        self.report(now, MAX_AGE, MAX_CRASHES)
    }

    /// The latest crashes, `most` at most, within a time, and when their parts were last served.
    fn report(&self, now: Tick, span: Duration, most: usize) -> Evidence {
        let recent = |crash: &&Observed| now.since(crash.at) < span;
        let recent: Vec<_> = self.crashes.iter().filter(recent).collect();
        let recent = &recent[recent.len().saturating_sub(most)..];
        let parts: BTreeSet<_> = recent
            .iter()
            .flat_map(|crash| crash.suspects.keys())
            .collect();
        let served = parts.into_iter().filter_map(|part| {
            let age = now.since(self.served_at(*part)?);
            Some(Served { part: *part, age })
        });
        Evidence {
            served: served.collect(),
            crashes: recent
                .iter()
                .map(|crash| Crash {
                    instance: crash.instance.clone(),
                    age: now.since(crash.at),
                    parts: crash.suspects.values().copied().collect(),
                    attempts: crash.attempts.values().copied().collect(),
                })
                .collect(),
        }
    }

    /// The parts outside of quarantine that cause crashes.
    ///
    /// A part in quarantine explains the crashes in which it was present. A request does so only
    /// unless a part of its prompt explains more: repetitions of one request may be the first to
    /// meet a part that crashes engines.
    pub fn verdicts(&self, now: Tick, quarantined: impl Fn(PartId) -> bool) -> Vec<Verdict> {
        let crashes = self.current(now);
        let explains = |part: PartId| quarantined(part) && !part.is_request();
        let causes = self.causes(&crashes, parts_that(&crashes, explains));
        let settled =
            |cause: &&Cause| now.since(cause.decisive) >= SETTLE && !quarantined(cause.part);
        let verdict = |cause: &Cause| Verdict {
            part: cause.part,
            since: cause.since,
        };
        causes.iter().filter(settled).map(verdict).collect()
    }

    /// Whether other parts explain the crashes that count against a part, apart from those that are
    /// explained by parts in quarantine.
    pub fn explained(&self, now: Tick, part: PartId, quarantined: impl Fn(PartId) -> bool) -> bool {
        let crashes = self.current(now);
        let explaining = parts_that(&crashes, quarantined);
        let counts = self.counts(&crashes, &explaining);
        let suspected = counts
            .get(&part)
            .is_some_and(|count| count.deciding(part).len() >= MIN_CRASHES);
        let causes = self.causes(&crashes, explaining);
        suspected && !causes.iter().any(|cause| cause.part == part)
    }

    fn current(&self, now: Tick) -> Vec<Dated<'_, Observed>> {
        let current = |crash: &&Observed| now.since(crash.at) < MAX_AGE;
        in_order(self.crashes.iter().filter(current))
    }

    /// The causes of crashes.
    ///
    /// Prompts without the cause break off with the engine too, and some part may come with the cause
    /// each time. So of the parts present in enough crashes, the one served longest ago is the cause;
    /// of several, such as parts never served, the one present in the most crashes, then the one with
    /// the most parts before it, which the fewest prompts share. It explains all crashes in which it
    /// was present.
    fn causes(
        &self,
        crashes: &[Dated<'_, Observed>],
        mut explaining: BTreeSet<PartId>,
    ) -> Vec<Cause> {
        let mut causes = Vec::new();
        loop {
            let mut counts = self.counts(crashes, &explaining);
            counts.retain(|part, count| count.deciding(*part).len() >= MIN_CRASHES);
            let depth = |part: PartId| {
                let open = crashes.iter().map(|dated| dated.crash);
                let open = open.filter(|crash| !crash.has_any(&explaining));
                let suspects = open.filter_map(|crash| crash.suspects.get(&part));
                suspects.map(|suspect| suspect.depth).max()
            };
            let weight = |(part, count): &(&PartId, &Count)| {
                let longest_ago = Reverse(self.served_at(**part));
                (longest_ago, count.moments.len(), depth(**part))
            };
            let Some(heaviest) = counts.iter().map(|entry| weight(&entry)).max() else {
                return causes;
            };
            let chosen = counts.iter().filter(|entry| weight(entry) == heaviest);
            let chosen: Vec<_> = chosen
                .map(|(part, count)| {
                    let crashes = count.deciding(*part);
                    Cause {
                        part: *part,
                        since: crashes[0],
                        decisive: crashes[MIN_CRASHES - 1],
                    }
                })
                .collect();
            explaining.extend(chosen.iter().map(|cause| cause.part));
            causes.extend(chosen);
        }
    }

    /// For each part, the crashes in which it was present, after which it was not served, and which
    /// no part in `explaining` explains. If several engines crash in one moment, the part must be
    /// present in most of these crashes: otherwise they have another cause.
    fn counts(
        &self,
        crashes: &[Dated<'_, Observed>],
        explaining: &BTreeSet<PartId>,
    ) -> BTreeMap<PartId, Count> {
        let mut counts: BTreeMap<PartId, Count> = BTreeMap::new();
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let end = rest.partition_point(|crash| crash.at.since(first.at) < SAME_MOMENT);
            let (moment, later) = rest.split_at(end.max(1));
            rest = later;
            let mut present: BTreeMap<PartId, usize> = BTreeMap::new();
            let open = moment
                .iter()
                .filter(|dated| !dated.crash.has_any(explaining));
            let suspects =
                open.flat_map(|dated| dated.crash.suspects.values().map(|s| (s, dated.at)));
            for (suspect, at) in suspects {
                *present.entry(suspect.part).or_default() += 1;
                if suspect.part.is_request() && self.served_at(suspect.part) < Some(first.at) {
                    let count = counts.entry(suspect.part).or_default();
                    let sent_at = at - suspect.elapsed;
                    // A request that was sent before the last crash may have met the same loss of
                    // several engines.
                    if count.repetitions.last().is_none_or(|last| sent_at >= *last) {
                        count.repetitions.push(at);
                    }
                }
            }
            for (part, crashes) in present {
                if crashes * 2 > moment.len() && self.served_at(part) < Some(first.at) {
                    counts.entry(part).or_default().moments.push(first.at);
                }
            }
        }
        counts
    }
}

/// The parts of crashes for which a condition holds.
fn parts_that(crashes: &[Dated<'_, Observed>], holds: impl Fn(PartId) -> bool) -> BTreeSet<PartId> {
    let parts = crashes
        .iter()
        .flat_map(|dated| dated.crash.suspects.keys().copied());
    parts.filter(|part| holds(*part)).collect()
}
