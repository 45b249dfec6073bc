//! Loading and validation of settings files. A file is parsed from TOML into a raw form and then
//! validated field by field, so that one run reports every invalid field.

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
