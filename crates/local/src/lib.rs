//! Runs all roles and the stand-ins of external systems in one process on loopback, for the quick
//! start, the demo and tests.

mod caller;
mod demo;
mod local;

pub use caller::{
    Response,
    post, //
};
pub use demo::{
    Check,
    demo, //
};
pub use local::{
    LocalError,
    LocalSystem,
    Options, //
};
