//! Numbers with a unit or a meaning of their own.

use std::fmt;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a number is outside the range of its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitError {
    /// A tier is one of 0 (highest) to 3.
    Tier(u8),
    /// A percentage is one of 0 to 100.
    Percent(u8),
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tier(n) => write!(f, "tier {n} does not exist; use 0 (highest) to 3"),
            Self::Percent(n) => write!(f, "{n} is not a percentage from 0 to 100"),
        }
    }
}

impl std::error::Error for UnitError {}

/// A span in whole milliseconds, as logs, figures and messages give it.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A service tier; 0 is the highest, 3 the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Tier(u8);

impl Tier {
    /// How many tiers there are.
    pub const COUNT: usize = 4;
    /// The highest tier.
    pub const HIGHEST: Self = Self(0);
    /// The lowest tier.
    pub const LOWEST: Self = Self(3);

    /// The tier as an index below [`Tier::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Whether `self` ranks above `other`.
    pub fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl TryFrom<u8> for Tier {
    type Error = UnitError;

    fn try_from(n: u8) -> Result<Self, UnitError> {
        if usize::from(n) < Self::COUNT {
            Ok(Self(n))
        } else {
            Err(UnitError::Tier(n))
        }
    }
}

impl From<Tier> for u8 {
    fn from(tier: Tier) -> Self {
        tier.0
    }
}

/// A percentage from 0 to 100.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Percent(u8);

impl TryFrom<u8> for Percent {
    type Error = UnitError;

    fn try_from(n: u8) -> Result<Self, UnitError> {
        if n <= 100 {
            Ok(Self(n))
        } else {
            Err(UnitError::Percent(n))
        }
    }
}

impl From<Percent> for u8 {
    fn from(percent: Percent) -> Self {
        percent.0
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// The number that follows.
                pub fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    self.0.fmt(f)
                }
            }
        )+
    };
}

counters! {
    /// A count of model tokens.
    Tokens;
    /// The number of an accepted configuration; rises by one with each change.
    Revision;
    /// A term of the control group; at most one leader in each.
    Term;
    /// A position in the replicated log; the first entry has index 1.
    Index;
    /// A fencing number: an order that carries a lower one than was seen before is refused.
    Fence;
    /// Tells two runs of the same process apart.
    Incarnation;
    /// Pairs an input of a core with the output that answers it, inside one process.
    Ticket;
}

/// Names one attempt across processes: the entry's incarnation and a number unique within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// The run of the entry that made the attempt.
    pub entry: Incarnation,
    /// The attempt's number within that run.
    pub serial: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        tier_in_range: assert_eq!(Tier::try_from(3), Ok(Tier::LOWEST));
        tier_out_of_range: assert_eq!(Tier::try_from(4), Err(UnitError::Tier(4)));
        tier_order: assert!(Tier::HIGHEST.outranks(Tier::LOWEST));
        tier_equal: assert!(!Tier::LOWEST.outranks(Tier::LOWEST));
        percent_out_of_range: assert_eq!(Percent::try_from(101), Err(UnitError::Percent(101)));
    }
}
