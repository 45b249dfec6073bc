//! Newtypes for numbers that have a unit or an identity.

use std::fmt;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a number is out of range for its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitError {
    /// The value is not a tier from 0 (highest) to 3 (lowest).
    Tier(u8),
    /// The value is not a percentage from 0 to 100.
    Percent(u8),
    /// The value is not a finite number of requests per second, at least 0.
    Rate,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tier(n) => write!(f, "tier {n} does not exist; use 0 (highest) to 3"),
            Self::Percent(n) => write!(f, "{n} is not a percentage from 0 to 100"),
            Self::Rate => f.write_str("a rate is a finite number of at least 0"),
        }
    }
}

impl std::error::Error for UnitError {}

/// Converts a duration to whole milliseconds, rounded down and saturated at `u64::MAX`.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A priority tier; 0 is the highest, 3 the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Tier(u8);

impl Tier {
    /// Number of tiers.
    pub const COUNT: usize = 4;
    /// The highest tier.
    pub const HIGHEST: Self = Self(0);
    /// The lowest tier.
    pub const LOWEST: Self = Self(3);

    /// Returns the tier as an array index below [`Tier::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether `self` is a strictly higher tier than `other`.
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

/// A number of requests per second: finite, and at least 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

// A finite number equals itself.
impl Eq for Rate {}

impl TryFrom<f64> for Rate {
    type Error = UnitError;

    fn try_from(per_second: f64) -> Result<Self, UnitError> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(UnitError::Rate)
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
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
                /// Returns the successor of this number.
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
    /// A number of model tokens.
    Tokens;
    /// The revision of the configuration; each accepted proposal increments it by one.
    Revision;
    /// A term of the control group's consensus; each term has at most one leader.
    Term;
    /// A position in the replicated log; the first entry has index 1.
    Index;
    /// A fencing token. A receiver rejects a command whose token is lower than one it has already
    /// accepted.
    FencingToken;
    /// Identifies one execution of a process; a restarted process has a different incarnation.
    Incarnation;
    /// Identifies a part of a prompt, in all prompts that share the part, or a request as a whole,
    /// whenever it is repeated.
    PartId;
    /// Correlation identifier within one process: an output of a decision core carries the ticket of
    /// the input to which it responds.
    Ticket;
}

impl PartId {
    /// Set in the identities of requests, and only in these.
    const REQUEST: u64 = 1 << 63;

    /// The part of a prompt with this identity.
    pub fn of_prompt(id: u64) -> Self {
        Self(id & !Self::REQUEST)
    }

    /// The request with this digest.
    pub fn of_request(digest: u64) -> Self {
        Self(digest | Self::REQUEST)
    }

    /// Returns whether this is a request as a whole.
    pub fn is_request(self) -> bool {
        self.0 & Self::REQUEST != 0
    }
}

/// Identifies one attempt in all processes by the entry's incarnation and a number that is unique
/// within that incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the entry that started the attempt.
    pub entry: Incarnation,
    /// Number of the attempt within that incarnation.
    pub serial: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        tier_3_is_the_lowest: assert_eq!(Tier::try_from(3), Ok(Tier::LOWEST));
        tier_above_3_is_rejected: assert_eq!(Tier::try_from(4), Err(UnitError::Tier(4)));
        tier_0_outranks_tier_3: assert!(Tier::HIGHEST.outranks(Tier::LOWEST));
        tier_does_not_outrank_itself: assert!(!Tier::LOWEST.outranks(Tier::LOWEST));
        percent_above_100_is_rejected: assert_eq!(Percent::try_from(101), Err(UnitError::Percent(101)));
    }
}
