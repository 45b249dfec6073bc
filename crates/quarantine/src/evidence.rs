//! Reports of crashes and of served parts.

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
