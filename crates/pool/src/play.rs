//! Plays a run with its choice of endpoint.

use std::sync::Arc;

use plan::PlanError;
use relay::PredictedLatency;

use crate::choices::{
    LeastBusy,
    Nearest,
    RoundRobin, //
};
use crate::deployment;
use crate::run::{
    Policy,
    Run, //
};
use crate::score::Score;
use crate::world::World;

/// Plays a run.
///
/// # Errors
///
/// [`PlanError`], if the model's own plan is not valid.
pub fn run(of: Run) -> Result<Score, PlanError> {
    let plan = Arc::new(deployment::plan()?);
    Ok(match of.policy {
        Policy::Product => World::new(of, PredictedLatency).play(&plan),
        Policy::Former => World::new(of, Nearest::default()).play(&plan),
        Policy::LeastBusy => World::new(of, LeastBusy).play(&plan),
        Policy::RoundRobin => World::new(of, RoundRobin::default()).play(&plan),
    })
}
