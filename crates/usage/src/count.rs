//! Counting where the work runs.

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

/// Who counts: one run of one endpoint's agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Source {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The run of its agent.
    pub incarnation: Incarnation,
}

/// What is counted separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct UsageKey {
    /// The account billed.
    pub account: AccountName,
    /// The class served.
    pub class: ClassName,
}

/// Amounts consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ran.
    pub runs: u64,
    /// Tokens read.
    pub input: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

impl Counts {
    /// Adds `other`.
    pub fn add(&mut self, other: Self) {
        self.runs += other.runs;
        self.input.0 += other.input.0;
        self.output.0 += other.output.0;
    }

    /// The larger of each amount.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            runs: self.runs.max(other.runs),
            input: self.input.max(other.input),
            output: self.output.max(other.output),
        }
    }

    /// What `self` has beyond `other`, which is nowhere larger.
    pub(crate) fn beyond(self, other: Self) -> Self {
        Self {
            runs: self.runs - other.runs,
            input: Tokens(self.input.0 - other.input.0),
            output: Tokens(self.output.0 - other.output.0),
        }
    }
}

/// Cumulative counts of one source. Lines left out did not change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Who counted.
    pub source: Source,
    /// The counts since the source's start.
    pub lines: Vec<(UsageKey, Counts)>,
}

/// Counts the work of one endpoint.
#[derive(Clone, Debug)]
pub struct Meter {
    source: Source,
    lines: BTreeMap<UsageKey, Counts>,
    changed: BTreeMap<UsageKey, Counts>,
}

impl Meter {
    /// Starts counting from zero.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            lines: BTreeMap::new(),
            changed: BTreeMap::new(),
        }
    }

    /// Counts a piece of work.
    pub fn record(&mut self, line: UsageKey, counts: Counts) {
        let sum = self.lines.entry(line.clone()).or_default();
        sum.add(counts);
        self.changed.insert(line, *sum);
    }

    /// The lines that changed since they were last acknowledged; none if nothing did.
    pub fn report(&self) -> Option<Report> {
        if self.changed.is_empty() {
            return None;
        }
        Some(Report {
            source: self.source.clone(),
            lines: self.changed.clone().into_iter().collect(),
        })
    }

    /// Notes that a report is durable with the control group.
    pub fn acknowledge(&mut self, report: &Report) {
        for (line, counts) in &report.lines {
            if self.changed.get(line) == Some(counts) {
                self.changed.remove(line);
            }
        }
    }
}
