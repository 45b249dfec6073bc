//! A small language for scenarios: real cores under a virtual clock, and what happens to them.
//!
//! A [`World`] holds a few control hosts, entries and agents. [`World::run`] carries out one verb
//! and says what was seen. There is no network model beyond delivering, delaying and cutting.

mod control;
mod node;
mod verb;
mod world;

pub use verb::{
    Verb,
    VerbError, //
};
pub use world::World;
