//! A small language for scenarios: real cores under a virtual clock, and what happens to them.
//!
//! A [`World`] holds a few control hosts, entries and agents. [`World::run`] carries out one verb
//! and says what was seen. There is no network model beyond delivering, delaying and cutting.

mod calls;
mod control;
mod faults;
mod hosts;
mod node;
mod seen;
mod setup;
mod traffic;
mod verb;
mod world;

pub use verb::{
    Verb,
    VerbError, //
};
pub use world::World;
