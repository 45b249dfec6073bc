//! Reports of crashes and of served parts.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use ids::PartId;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// Observations of the same instance within this time are of the same crash.
pub(crate) const SAME_CRASH: Duration = Duration::from_secs(1);

/// A crash of an engine, as fronts observed it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The engine's instance.
    pub instance: String,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The shared parts of the prompts to which the engine had begun no response, or only just.
    pub parts: Vec<Suspect>,
    /// The attempts that ended with the crash. Processes of the version before state none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<Attempt>,
}

impl Crash {
    /// Whether this is another observation of a crash. The attempts decide where the ages cannot:
    /// they count from clocks of different hosts after a change of the leader.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let close = self.age.abs_diff(other.age) < SAME_CRASH;
        self.instance == other.instance && (close || share_attempt(&self.attempts, &other.attempts))
    }

    pub(crate) fn part_ids(&self) -> impl Iterator<Item = PartId> + '_ {
        self.parts.iter().map(|suspect| suspect.part)
    }

    /// Number of suspects and attempts, and one for the crash.
    pub(crate) fn size(&self) -> usize {
        1 + self.parts.len() + self.attempts.len()
    }
}

/// Whether some attempt is in both lists. An attempt ends with one crash at most.
pub(crate) fn share_attempt<'a>(
    one: impl IntoIterator<Item = &'a Attempt>,
    other: &[Attempt],
) -> bool {
    let same = |a: &Attempt, b: &Attempt| (a.request, a.number) == (b.request, b.number);
    let mut one = one.into_iter();
    one.any(|attempt| other.iter().any(|held| same(attempt, held)))
}

/// An attempt of a request that ended with a crash. Of two crashes, the one with the higher number of
/// the same request is the later one, whatever times are stated: a front sends an attempt after the
/// one before it has failed.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The request, by a number that no other request of any front has. It is not a request's
    /// content, which may come again.
    pub request: u64,
    /// The attempt's number within the request, from 1.
    pub number: u32,
    /// Time from the dispatch of the attempt to the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub elapsed: Duration,
}

/// A part of a prompt, or a request as a whole, that was in progress at a crash.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The part.
    pub part: PartId,
    /// How many parts precede it in the prompt.
    pub depth: u32,
    /// Time from the dispatch of the request to the crash; of several requests, the shortest.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub elapsed: Duration,
}

impl Suspect {
    /// The suspects of a request with these parts, which was dispatched this time before the crash.
    pub fn of_request(
        parts: impl IntoIterator<Item = PartId>,
        elapsed: Duration,
    ) -> impl Iterator<Item = Self> {
        (0..).zip(parts).map(move |(depth, part)| Self {
            part,
            depth,
            elapsed,
        })
    }
}

/// The last response to a prompt with a part that was complete in the end.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Served {
    /// The part.
    pub part: PartId,
    /// Time since the response began.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// What one or more fronts observed. Fronts repeat their evidence, so that a new leader gets it too.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Evidence {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// When the parts involved were last served.
    pub served: Vec<Served>,
}

impl Evidence {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.served.is_empty()
    }

    /// Adds to all ages the time for which the evidence was held.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        let crashes = self.crashes.iter_mut().map(|crash| &mut crash.age);
        let served = self.served.iter_mut().map(|served| &mut served.age);
        crashes.chain(served).for_each(|age| *age += by);
        self
    }

    /// The suspects of all crashes.
    pub(crate) fn parts(&self) -> BTreeSet<PartId> {
        self.crashes.iter().flat_map(Crash::part_ids).collect()
    }

    /// Drops the suspects that were served after the crash, which therefore do not count.
    pub(crate) fn drop_served(&mut self) {
        let served = self.served.iter().map(|served| (served.part, served.age));
        let served: BTreeMap<_, _> = served.collect();
        for crash in &mut self.crashes {
            let age = crash.age;
            let counts = |part: PartId| served.get(&part).is_none_or(|served| *served > age);
            crash.parts.retain(|suspect| counts(suspect.part));
        }
    }

    /// Merges a newer report of the same front, which repeats the recent crashes.
    #[must_use]
    pub fn followed_by(mut self, newer: Self) -> Self {
        self.crashes = newer.crashes;
        self.served.extend(newer.served);
        self
    }

    /// Adds the evidence of another front.
    pub fn append(&mut self, mut other: Self) {
        self.crashes.append(&mut other.crashes);
        self.served.append(&mut other.served);
    }
}
