//! Runs scenario files against the decision cores of all roles under a simulated clock.
//!
//! A [`Simulation`] holds control hosts, entries and agents. [`Simulation::run`] executes one
//! directive of a scenario and returns its output. The simulated network delivers each message
//! after a fixed delay or, across a partition, not at all.

mod calls;
mod control_host;
mod directive;
mod faults;
mod node;
mod report;
mod setup;
mod simulation;
mod stepping;
mod traffic;

pub use directive::{
    Directive,
    DirectiveError, //
};
pub use simulation::Simulation;
