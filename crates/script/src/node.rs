//! Names of nodes, and the clock of each.

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
        let bad = || format!("{text:?} is no node");
        let number = text.get(1..).and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        match text.as_bytes()[0] {
            b'c' => Ok(Self::Control(number)),
            b'e' => Ok(Self::Entry(number)),
            b'a' => Ok(Self::Agent(number)),
            _ => Err(bad()),
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

/// A clock that runs at its own rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drift {
    /// Rate in thousandths of true time.
    pub(crate) rate: u64,
}

impl Drift {
    /// What the clock shows at a true time in microseconds.
    pub(crate) fn at(self, now: u64) -> Tick {
        Tick(now * self.rate / 1000)
    }

    /// The true time at which the clock shows `tick`.
    pub(crate) fn until(self, tick: Tick) -> u64 {
        (tick.0 * 1000).div_ceil(self.rate)
    }
}
