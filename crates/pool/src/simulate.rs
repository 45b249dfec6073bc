//! Plays a run with its choice of endpoint.

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

/// Plays a run.
///
/// # Errors
///
/// [`PlanError`], if the model's own plan is not valid.
pub fn simulate(options: RunOptions) -> Result<Metrics, PlanError> {
    let plan = Arc::new(deployment::plan()?);
    Ok(match options.policy {
        Policy::Product => Simulation::new(options, PredictedLatency).play(&plan),
        Policy::WithoutAffinity => Simulation::new(options, IgnoreAffinity::default()).play(&plan),
        Policy::LeastInflight => Simulation::new(options, LeastInflight).play(&plan),
        Policy::RoundRobin => Simulation::new(options, RoundRobin::default()).play(&plan),
    })
}
