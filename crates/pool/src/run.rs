//! What can be played.

use std::time::Duration;

use crate::trouble::Trouble;

/// The choice of endpoint that a run is played with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's.
    Product,
    /// The product's before lanes and homes.
    Former,
    /// The fewest requests.
    LeastBusy,
    /// One after the other.
    RoundRobin,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::Former,
        Self::LeastBusy,
        Self::RoundRobin,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Former => "without-lanes",
            Self::LeastBusy => "least-busy",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Load as a multiple of the sheet's.
    pub load: f64,
    /// The disturbance.
    pub trouble: Trouble,
    /// The choice of endpoint.
    pub policy: Policy,
    /// How long callers ask.
    pub length: Duration,
    /// Seeds arrivals and choices.
    pub seed: u64,
}
