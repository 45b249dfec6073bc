//! Settings files: TOML, read raw, checked field by field, every error named with its place.

mod common;
mod validator;

pub use common::{
    Common,
    RawCommon,
    RawLimits,
    RawLog, //
};
pub use validator::{
    FieldError,
    SettingsError,
    Validator,
    read, //
};
