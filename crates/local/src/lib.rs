//! All roles and the stand-ins in one process on loopback: the quick start and the demo.

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
