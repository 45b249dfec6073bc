//! What can be played.

use std::time::Duration;

use crate::disturbance::Disturbance;

/// The choice of endpoint that a run is played with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's.
    Product,
    /// The product's before lanes and homes.
    WithoutAffinity,
    /// The fewest requests.
    LeastInflight,
    /// One after the other.
    RoundRobin,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::WithoutAffinity,
        Self::LeastInflight,
        Self::RoundRobin,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::WithoutAffinity => "without-lanes",
            Self::LeastInflight => "least-busy",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Load as a multiple of the sheet's.
    pub load: f64,
    /// The disturbance.
    pub disturbance: Disturbance,
    /// The choice of endpoint.
    pub policy: Policy,
    /// How long callers ask.
    pub duration: Duration,
    /// Seeds arrivals and choices.
    pub seed: u64,
}
