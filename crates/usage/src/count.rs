//! Usage counters of an agent.

use std::collections::BTreeMap;

use ids::{
    AccountName,
    ClassName,
    EndpointName,
    Incarnation,
    Tokens, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The process that counts: one incarnation of an endpoint's agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Source {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
}

/// The key by which usage is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct UsageKey {
    /// The account billed.
    pub account: AccountName,
    /// The class served.
    pub class: ClassName,
}

/// Usage under one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests executed.
    pub runs: u64,
    /// Prompt tokens.
    pub input: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

impl Counts {
    /// Adds `other` to each count.
    pub fn add(&mut self, other: Self) {
        self.runs += other.runs;
        self.input.0 += other.input.0;
        self.output.0 += other.output.0;
    }

    /// Returns the larger value of each count.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            runs: self.runs.max(other.runs),
            input: self.input.max(other.input),
            output: self.output.max(other.output),
        }
    }

    /// Subtracts `other`, of which no count may be larger than in `self`.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            runs: self.runs - other.runs,
            input: Tokens(self.input.0 - other.input.0),
            output: Tokens(self.output.0 - other.output.0),
        }
    }
}

/// Cumulative counts of one source. Keys left out have not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The source of the counts.
    pub source: Source,
    /// The counts since the source's start.
    pub lines: Vec<(UsageKey, Counts)>,
}

/// Counts the usage of one endpoint.
#[derive(Clone, Debug)]
pub struct Meter {
    source: Source,
    totals: BTreeMap<UsageKey, Counts>,
    /// Totals whose last change is not acknowledged.
    changed: BTreeMap<UsageKey, Counts>,
}

impl Meter {
    /// Starts counting from zero.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            totals: BTreeMap::new(),
            changed: BTreeMap::new(),
        }
    }

    /// Adds the usage of one request.
    pub fn record(&mut self, key: UsageKey, counts: Counts) {
        let sum = self.totals.entry(key.clone()).or_default();
        sum.add(counts);
        self.changed.insert(key, *sum);
    }

    /// Returns the totals that changed since they were last acknowledged, if there are any.
    pub fn report(&self) -> Option<Report> {
        if self.changed.is_empty() {
            return None;
        }
        Some(Report {
            source: self.source.clone(),
            lines: self.changed.clone().into_iter().collect(),
        })
    }

    /// Records that a report is committed by the control group. Totals that changed since the report
    /// remain in the next one.
    pub fn acknowledge(&mut self, report: &Report) {
        for (key, counts) in &report.lines {
            if self.changed.get(key) == Some(counts) {
                self.changed.remove(key);
            }
        }
    }
}
