//! The operators' client: finds the leader, proposes changes, waits until they are in force.

mod client;
mod plan;

pub use client::{
    Ops,
    OpsError, //
};
pub use plan::{
    PlanError,
    diff,
    read_plan, //
};
