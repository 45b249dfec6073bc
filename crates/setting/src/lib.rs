//! Settings files: TOML, read raw, checked field by field, every fault named with its place.

mod check;
mod common;

pub use check::{
    Check,
    Fault,
    SettingsError,
    read, //
};
pub use common::{
    Common,
    RawCommon,
    RawLimits,
    RawLog, //
};
