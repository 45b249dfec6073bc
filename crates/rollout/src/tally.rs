//! What fronts report about the responses of both versions.

use ids::{
    HostName,
    Incarnation, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Cumulative counts of one side of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Outcomes {
    /// Requests sent to endpoints of this side.
    pub sent: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose response started.
    pub started: u64,
    /// The sum of the times to the start of the response, each divided by the expected time for that
    /// prompt size, so that sizes compare.
    pub start_ms: f64,
    /// Starts or completions that took over three times the typical time of the old version at that
    /// route.
    pub slow: u64,
}

impl Outcomes {
    /// Merges a later or earlier report of the same counts, by maximum.
    pub fn merge(&mut self, other: &Self) {
        self.sent = self.sent.max(other.sent);
        self.failed = self.failed.max(other.failed);
        self.started = self.started.max(other.started);
        self.start_ms = self.start_ms.max(other.start_ms);
        self.slow = self.slow.max(other.slow);
    }

    /// The counts added since an earlier sum.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            failed: self.failed.saturating_sub(earlier.failed),
            started: self.started.saturating_sub(earlier.started),
            start_ms: (self.start_ms - earlier.start_ms).max(0.0),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// The mean relative time to the start of a response; 0 without responses.
    pub fn mean_start(&self) -> f64 {
        if self.started == 0 {
            return 0.0;
        }
        self.start_ms / self.started as f64
    }

    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.failed = self.failed.saturating_add(other.failed);
        self.started = self.started.saturating_add(other.started);
        self.start_ms += other.start_ms;
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// The counts of one route.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RouteTally {
    /// The route.
    pub route: String,
    /// The endpoints of other versions.
    pub old: Outcomes,
    /// The endpoints of the new version.
    pub new: Outcomes,
}

/// Cumulative counts of one front process for one order since the order's start.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Tally {
    /// The order's id.
    pub id: u64,
    /// The counts by route.
    pub routes: Vec<RouteTally>,
}

impl Tally {
    /// Merges another report of the same front process, by maximum for each route.
    pub fn merge(&mut self, other: &Self) {
        for theirs in &other.routes {
            match self.routes.iter_mut().find(|own| own.route == theirs.route) {
                Some(own) => {
                    own.old.merge(&theirs.old);
                    own.new.merge(&theirs.new);
                }
                None => self.routes.push(theirs.clone()),
            }
        }
    }
}

/// The tallies of one front process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FrontTally {
    /// The front's host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The counts by order.
    pub tallies: Vec<Tally>,
}
