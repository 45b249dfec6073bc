//! The parameters of a run.

use std::time::Duration;

use crate::disturbance::Disturbance;
use crate::workload::Workload;

/// The balancing policy that fronts choose endpoints with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's balancer.
    Product,
    /// The product's balancer without prefix-cache affinity and prompt lanes; reported as
    /// `without-lanes`.
    WithoutAffinity,
    /// The endpoint with the fewest in-flight requests; reported as `least-busy`.
    LeastInflight,
    /// The endpoints in turn.
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

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::WithoutAffinity => "without-lanes",
            Self::LeastInflight => "least-busy",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// The deployment and its traffic.
    pub workload: Workload,
    /// Speed of the engines as a multiple of the workload's. Request rates rise with it, and latency
    /// targets and timeouts fall, so that the relative load stays the same.
    pub speed: f64,
    /// Load as a multiple of the workload's.
    pub load: f64,
    /// The disturbance to inject.
    pub disturbance: Disturbance,
    /// The balancing policy.
    pub policy: Policy,
    /// Virtual time during which clients send requests.
    pub duration: Duration,
    /// Seed of the random generators for the workload and the balancers.
    pub seed: u64,
}
