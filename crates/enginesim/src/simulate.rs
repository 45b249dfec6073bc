//! The entry point: runs a simulation with the balancer that its options name.

use std::sync::Arc;

use plan::PlanError;
use relay::PredictedLatency;

use crate::balancers::{
    IgnoreAffinity,
    LeastInflight,
    RoundRobin, //
};
use crate::deployment;
use crate::metrics::Metrics;
use crate::options::{
    Policy,
    RunOptions, //
};
use crate::simulation::Simulation;

/// Simulates a run and returns its results. Equal options give equal results.
///
/// # Errors
///
/// [`PlanError`] if the simulated deployment's plan is invalid.
pub fn simulate(options: RunOptions) -> Result<Metrics, PlanError> {
    let plan = Arc::new(deployment::plan(options.workload, options.speed)?);
    Ok(match options.policy {
        Policy::Product => Simulation::new(options, PredictedLatency).run(&plan),
        Policy::WithoutAffinity => Simulation::new(options, IgnoreAffinity::default()).run(&plan),
        Policy::LeastInflight => Simulation::new(options, LeastInflight).run(&plan),
        Policy::RoundRobin => Simulation::new(options, RoundRobin::default()).run(&plan),
    })
}
