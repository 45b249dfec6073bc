//! Nodes and their clocks.

use std::fmt;
use std::str::FromStr;

use ids::Tick;

/// A node of a scenario: `c0` is the first control host, `e0` the first entry, `a0` the first
/// agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A control host.
    Control(usize),
    /// An entry.
    Entry(usize),
    /// An agent.
    Agent(usize),
}

impl FromStr for Node {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is not a node");
        let number = text
            .get(1..)
            .and_then(|n| n.parse().ok())
            .ok_or_else(invalid)?;
        match text.as_bytes()[0] {
            b'c' => Ok(Self::Control(number)),
            b'e' => Ok(Self::Entry(number)),
            b'a' => Ok(Self::Agent(number)),
            _ => Err(invalid()),
        }
    }
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(n) => write!(f, "c{n}"),
            Self::Entry(n) => write!(f, "e{n}"),
            Self::Agent(n) => write!(f, "a{n}"),
        }
    }
}

/// The rate of a node's clock, which may drift from true time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockRate {
    /// Local time for each 1000 units of true time.
    pub(crate) per_mille: u64,
}

impl ClockRate {
    /// The local time at a true time in microseconds.
    pub(crate) fn local_time(self, now: u64) -> Tick {
        Tick(now * self.per_mille / 1000)
    }

    /// The true time in microseconds at which the clock reaches `tick`.
    pub(crate) fn true_time(self, tick: Tick) -> u64 {
        (tick.0 * 1000).div_ceil(self.per_mille)
    }
}
