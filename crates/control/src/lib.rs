//! The control host: disk, links and HTTP fronts around the [`govern`] core.

mod admin;
mod codec;
mod disk;
mod effects;
mod front;
mod post;
mod report;
mod role;
mod settings;

pub use role::{
    Handle,
    RunError,
    Start,
    init,
    run, //
};
pub use settings::{
    Settings,
    read_secret, //
};
