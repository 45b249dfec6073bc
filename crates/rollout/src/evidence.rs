//! The evidence about one order: the sum of the fronts' counts over different spans of time, and the
//! comparison of both versions.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use ids::{
    HostName,
    Incarnation,
    Tick, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::tally::{
    Outcomes,
    Tally, //
};

/// Samples of the sums that are kept.
const MAX_SAMPLES: usize = 10;
/// Samples that a short span covers.
const SHORT_SAMPLES: usize = 4;
/// Separate samples in which bad responses must have been added. The crash of one engine ends all its
/// requests at once, also with a good version.
const MIN_MOMENTS: u64 = 3;
/// Part of the responses that may fail where none of the old version do.
const FAILED_FLOOR: f64 = 0.005;
/// Part of the responses that may be slow where none of the old version are: new engines start with
/// an empty cache.
const SLOW_FLOOR: f64 = 0.02;
/// How many times the old version's part of bad responses the new version may have. Fewer engines
/// serve the new version, so that one crash weighs more.
const MAX_RATIO: f64 = 2.0;
/// Standard deviations by which the count of bad responses may exceed the allowed mean, and a constant
/// for small counts.
const DEVIATIONS: (f64, f64) = (3.0, 4.0);
/// How many times the old version's mean time to the start of a response the new version may take.
/// "Several times slower" is at least three times.
const MAX_START_RATIO: f64 = 2.5;
/// Responses of each version that the comparison of these times needs.
const MIN_STARTED: u64 = 50;
/// Requests to the old version in a span, and at least as many as to the new version, that the new
/// version is compared with; if there are fewer, all since the order are used. After the switchover
/// began, a span contains few of them, whose outcomes are mere chance.
const MIN_OLD: u64 = 100;
/// The same for the weaker test before the switchover.
const SUSPICION_DEVIATIONS: (f64, f64) = (2.0, 1.0);
/// Separate samples with bad responses from which the switchover waits for more evidence.
const UNCLEAR_MOMENTS: u64 = 2;

/// The outcomes of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Pair {
    /// The old version.
    pub old: Outcomes,
    /// The new version.
    pub new: Outcomes,
}

/// What a leader knew of an order when it decided on a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Seen {
    /// The outcomes since the order.
    pub outcomes: Pair,
    /// How many samples added bad responses of the new version.
    pub moments: u64,
}

impl Seen {
    /// Whether the new version should not serve all requests.
    pub(crate) fn suspects(&self) -> bool {
        self.moments >= MIN_MOMENTS && suspect(&self.outcomes)
    }

    /// Whether more evidence may show that the new version should not serve all requests.
    pub(crate) fn unclear(&self) -> bool {
        self.moments >= UNCLEAR_MOMENTS && suspect(&self.outcomes)
    }

    /// What two leaders knew: the one that knew more of the new version.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match other.outcomes.new.sent > self.outcomes.new.sent {
            true => other,
            false => self,
        }
    }
}

/// The outcomes by route.
type Sums = BTreeMap<String, Pair>;

/// The fronts' counts for one order.
#[derive(Debug)]
pub(crate) struct Evidence {
    fronts: BTreeMap<(HostName, Incarnation), Tally>,
    sums: Sums,
    /// Earlier sums, and whether bad responses were added since the one before.
    samples: VecDeque<(Sums, bool)>,
    moments: u64,
    sampled_at: Tick,
}

impl Evidence {
    /// Evidence of a leader, whose predecessors knew `seen`. The counts of fronts include what they
    /// knew, but not its moments.
    pub(crate) fn new(now: Tick, seen: &Seen) -> Self {
        Self {
            fronts: BTreeMap::new(),
            sums: Sums::new(),
            samples: VecDeque::from([(Sums::new(), false)]),
            moments: seen.moments,
            sampled_at: now,
        }
    }

    /// Merges a front's counts.
    pub(crate) fn record(&mut self, front: (HostName, Incarnation), tally: &Tally) {
        let held = self.fronts.entry(front).or_insert_with(|| Tally {
            id: tally.id,
            routes: Vec::new(),
        });
        held.merge(tally);
    }

    /// Updates the sums, and takes a sample if `window` has passed since the last one.
    pub(crate) fn sum(&mut self, now: Tick, window: Duration) {
        self.sums.clear();
        for route in self.fronts.values().flat_map(|tally| &tally.routes) {
            let pair = self.sums.entry(route.route.clone()).or_default();
            pair.old.add(&route.old);
            pair.new.add(&route.new);
        }
        if now.since(self.sampled_at) < window {
            return;
        }
        self.sampled_at = now;
        let before = self.samples.back().map_or(0, |(sums, _)| bad(sums));
        let added = bad(&self.sums) > before;
        self.moments += u64::from(added);
        self.samples.push_back((self.sums.clone(), added));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The sum over all routes since the order.
    pub(crate) fn seen(&self) -> Seen {
        Seen {
            outcomes: total(&self.sums),
            moments: self.moments,
        }
    }

    /// Whether the new version is certainly worse than the old one: since the order or recently, on
    /// one route or on all together.
    pub(crate) fn convicts(&self) -> bool {
        let spans = [
            (self.sums.clone(), self.moments),
            self.recent(MAX_SAMPLES),
            self.recent(SHORT_SAMPLES),
        ];
        spans.iter().any(|(span, moments)| {
            // Times to the start of a response have no single moments.
            self.compare(span, slower) || *moments >= MIN_MOMENTS && self.compare(span, worse)
        })
    }

    /// Whether the new version seems worse than the old one, since the order, on one route or on all
    /// together.
    pub(crate) fn suspects(&self) -> bool {
        self.moments >= MIN_MOMENTS && self.compare(&self.sums, suspect)
    }

    /// Whether more evidence may show that the new version is worse than the old one.
    pub(crate) fn unclear(&self) -> bool {
        self.moments >= UNCLEAR_MOMENTS && self.compare(&self.sums, suspect)
    }

    /// The sums since the sample that many samples ago, and the number of samples since then in which
    /// bad responses were added.
    fn recent(&self, samples: usize) -> (Sums, u64) {
        let since = self.samples.len().saturating_sub(samples);
        let Some((before, _)) = self.samples.get(since) else {
            return (self.sums.clone(), self.moments);
        };
        let mut span = self.sums.clone();
        for (route, earlier) in before {
            if let Some(pair) = span.get_mut(route) {
                pair.old = pair.old.since(&earlier.old);
                pair.new = pair.new.since(&earlier.new);
            }
        }
        let moments = self.samples.iter().skip(since + 1);
        (span, moments.map(|(_, added)| u64::from(*added)).sum())
    }

    /// Compares both versions on each route and on all together.
    fn compare(&self, span: &Sums, test: impl Fn(&Pair) -> bool) -> bool {
        let with_old = |pair: Pair, since_order: Pair| {
            let few = pair.old.sent < MIN_OLD.max(pair.new.sent);
            let old = if few { since_order.old } else { pair.old };
            Pair { old, ..pair }
        };
        let route = |(name, pair): (&String, &Pair)| {
            let since_order = self.sums.get(name).copied().unwrap_or_default();
            test(&with_old(*pair, since_order))
        };
        test(&with_old(total(span), total(&self.sums))) || span.iter().any(route)
    }
}

fn total(sums: &Sums) -> Pair {
    sums.values().fold(Pair::default(), |mut total, pair| {
        total.old.add(&pair.old);
        total.new.add(&pair.new);
        total
    })
}

/// Bad responses of the new version.
fn bad(sums: &Sums) -> u64 {
    let new = total(sums).new;
    new.failed + new.slow
}

/// Whether the new version fails more often, or is slow more often, than the old one explains.
fn worse(pair: &Pair) -> bool {
    exceeds(pair, DEVIATIONS)
}

/// Whether the new version seems to fail or to be slow more often.
fn suspect(pair: &Pair) -> bool {
    exceeds(pair, SUSPICION_DEVIATIONS)
}

fn exceeds(pair: &Pair, (deviations, constant): (f64, f64)) -> bool {
    let excess = |bad: u64, count: u64, rate: f64| {
        let mean = count as f64 * rate * MAX_RATIO;
        bad as f64 > mean + deviations * mean.sqrt() + constant
    };
    let failed = rate(pair.old.failed, pair.old.sent).max(FAILED_FLOOR);
    let slow = rate(pair.old.slow, pair.old.started).max(SLOW_FLOOR);
    excess(pair.new.failed, pair.new.sent, failed) || excess(pair.new.slow, pair.new.started, slow)
}

/// Whether the new version's responses start several times later than the old one's.
fn slower(pair: &Pair) -> bool {
    let (old, new) = (&pair.old, &pair.new);
    old.started >= MIN_STARTED
        && new.started >= MIN_STARTED
        && new.mean_start() > MAX_START_RATIO * old.mean_start()
}

fn rate(part: u64, count: u64) -> f64 {
    if count == 0 {
        return 0.0;
    }
    part as f64 / count as f64
}
