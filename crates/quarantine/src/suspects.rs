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
    Crash,
    Evidence,
    Served,
    Suspect, //
};

/// Observations of the same instance within this time are of the same crash.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Crashes within this time count as one, since one cause, such as the loss of a rack, may end
/// several engines at once.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Number of separate crashes after which a part that was not served since the first is the cause.
const MIN_CRASHES: usize = 3;
/// Time after the last of these crashes in which all fronts report what they know: a report may be
/// held on its way for [`REPORT_DELAY`] and for the interval at which control processes request the
/// feed.
const SETTLE: Duration = Duration::from_millis(700);
/// How long a front collects observations before it reports them.
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
/// Served parts above which those served longest ago are dropped.
const MAX_SERVED: usize = 8192;

/// A crash and the parts that may have caused it.
#[derive(Clone, Debug)]
struct Observed {
    instance: String,
    at: Tick,
    /// The parts, with their greatest depth.
    parts: BTreeMap<PartId, u32>,
}

impl Observed {
    fn add(&mut self, suspects: impl IntoIterator<Item = Suspect>) {
        for Suspect { part, depth } in suspects {
            let greatest = self.parts.entry(part).or_default();
            *greatest = depth.max(*greatest);
        }
    }

    fn has_any(&self, parts: &BTreeSet<PartId>) -> bool {
        self.parts.keys().any(|part| parts.contains(part))
    }

    fn suspects(&self) -> impl Iterator<Item = Suspect> + '_ {
        let parts = self.parts.iter();
        parts.map(|(part, depth)| Suspect {
            part: *part,
            depth: *depth,
        })
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
    served: BTreeMap<PartId, Tick>,
}

impl Suspects {
    /// How long a front collects observations before it reports them.
    pub const REPORT_DELAY: Duration = REPORT_DELAY;

    /// Records the crash of an engine and the shared parts of a prompt that was in progress there.
    pub fn crashed(&mut self, at: Tick, instance: &str, parts: impl IntoIterator<Item = PartId>) {
        self.observe(at, instance, Suspect::of_prompt(parts));
    }

    /// Returns whether the crash or one of the suspects is new.
    fn observe(
        &mut self,
        at: Tick,
        instance: &str,
        suspects: impl IntoIterator<Item = Suspect>,
    ) -> bool {
        let same = self.crashes.iter_mut().find(|crash| {
            let apart = crash.at.since(at).max(at.since(crash.at));
            crash.instance == instance && apart < SAME_CRASH
        });
        let new = match same {
            Some(crash) => {
                let before = crash.parts.len();
                crash.add(suspects);
                crash.parts.len() > before
            }
            None => {
                let mut crash = Observed {
                    instance: instance.to_owned(),
                    at,
                    parts: BTreeMap::new(),
                };
                crash.add(suspects);
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

    /// Records that a prompt with a part was served completely, by a response that began at `at`.
    pub fn served(&mut self, at: Tick, part: PartId) {
        let last = self.served.entry(part).or_insert(at);
        *last = at.max(*last);
        if self.served.len() > MAX_SERVED {
            let mut times: Vec<_> = self.served.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_SERVED / 2);
            let median = *median;
            self.served.retain(|_, served_at| *served_at > median);
        }
    }

    /// When a part was last served.
    pub fn served_at(&self, part: PartId) -> Option<Tick> {
        self.served.get(&part).copied()
    }

    /// Merges reported evidence. Returns whether it contains anything new.
    pub fn record(&mut self, now: Tick, evidence: &Evidence) -> bool {
        let mut new = false;
        for crash in &evidence.crashes {
            let suspects = crash.parts.iter().copied();
            new |= self.observe(now - crash.age, &crash.instance, suspects);
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
        let recent = |crash: &&Observed| now.since(crash.at) < REPEAT_SPAN;
        let recent: Vec<_> = self.crashes.iter().filter(recent).collect();
        let recent = &recent[recent.len().saturating_sub(MAX_REPORTED)..];
        let parts: BTreeSet<_> = recent.iter().flat_map(|crash| crash.parts.keys()).collect();
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
                    parts: crash.suspects().collect(),
                })
                .collect(),
        }
    }

    /// The parts outside of quarantine that cause crashes.
    pub fn verdicts(&self, now: Tick, quarantined: impl Fn(PartId) -> bool) -> Vec<Verdict> {
        let crashes = self.current(now);
        let causes = self.causes(&crashes, parts_that(&crashes, quarantined));
        let settled = |cause: &&Cause| now.since(cause.decisive) >= SETTLE;
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
            .is_some_and(|moments| moments.len() >= MIN_CRASHES);
        let causes = self.causes(&crashes, explaining);
        suspected && !causes.iter().any(|cause| cause.part == part)
    }

    fn current(&self, now: Tick) -> Vec<&Observed> {
        let current = |crash: &&Observed| now.since(crash.at) < MAX_AGE;
        self.crashes.iter().filter(current).collect()
    }

    /// The causes of crashes.
    ///
    /// Prompts without the cause break off with the engine too, and some part may come with the cause
    /// each time. So of the parts present in enough crashes, the one served longest ago is the cause;
    /// of several, such as parts never served, the one present in the most crashes, then the one with
    /// the most parts before it, which the fewest prompts share. It explains all crashes in which it
    /// was present.
    fn causes(&self, crashes: &[&Observed], mut explaining: BTreeSet<PartId>) -> Vec<Cause> {
        let mut causes = Vec::new();
        loop {
            let mut counts = self.counts(crashes, &explaining);
            counts.retain(|_, moments| moments.len() >= MIN_CRASHES);
            let depth = |part: PartId| {
                let open = crashes.iter().filter(|crash| !crash.has_any(&explaining));
                let depths = open.filter_map(|crash| crash.parts.get(&part));
                depths.max().copied()
            };
            let weight = |(part, moments): &(&PartId, &Vec<Tick>)| {
                let longest_ago = Reverse(self.served_at(**part));
                (longest_ago, moments.len(), depth(**part))
            };
            let Some(heaviest) = counts.iter().map(|entry| weight(&entry)).max() else {
                return causes;
            };
            let chosen = counts.iter().filter(|entry| weight(entry) == heaviest);
            let chosen: Vec<_> = chosen
                .map(|(part, moments)| Cause {
                    part: *part,
                    since: moments[0],
                    decisive: moments[MIN_CRASHES - 1],
                })
                .collect();
            explaining.extend(chosen.iter().map(|cause| cause.part));
            causes.extend(chosen);
        }
    }

    /// For each part, the separate moments of the crashes in which it was present, after which it was
    /// not served, and which no part in `explaining` explains. If several engines crash in one moment,
    /// the part must be present in most of these crashes: otherwise they have another cause.
    fn counts(
        &self,
        crashes: &[&Observed],
        explaining: &BTreeSet<PartId>,
    ) -> BTreeMap<PartId, Vec<Tick>> {
        let mut counts: BTreeMap<PartId, Vec<Tick>> = BTreeMap::new();
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let end = rest.partition_point(|crash| crash.at.since(first.at) < SAME_MOMENT);
            let (moment, later) = rest.split_at(end.max(1));
            rest = later;
            let mut present: BTreeMap<PartId, usize> = BTreeMap::new();
            let open = moment.iter().filter(|crash| !crash.has_any(explaining));
            let parts = open.flat_map(|crash| crash.parts.keys());
            parts.for_each(|part| *present.entry(*part).or_default() += 1);
            for (part, crashes) in present {
                if crashes * 2 > moment.len() && self.served_at(part) < Some(first.at) {
                    counts.entry(part).or_default().push(first.at);
                }
            }
        }
        counts
    }
}

/// The parts of crashes for which a condition holds.
fn parts_that(crashes: &[&Observed], holds: impl Fn(PartId) -> bool) -> BTreeSet<PartId> {
    let parts = crashes.iter().flat_map(|crash| crash.parts.keys().copied());
    parts.filter(|part| holds(*part)).collect()
}
