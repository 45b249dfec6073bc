//! The configuration aggregate: what operators create, its rules, and the one line of revisions.
//!
//! A [`Config`] changes only by [`Change`]s that obey the rules. The control group decides on
//! [`Proposal`]s through a [`Registry`]; entries and agents follow with [`Update`]s.

mod access;
mod change;
mod config;
mod record;
mod registry;
mod update;

pub use access::{
    AccessError,
    Permit, //
};
pub use change::{
    Change,
    ChangeError, //
};
pub use config::{
    Account,
    Class,
    Config,
    Endpoint,
    Grant,
    Route,
    RouteAccess,
    Zone, //
};
pub use record::{
    Access,
    AccountSpec,
    ClassSpec,
    EndpointSpec,
    GrantSpec,
    Method,
    MethodError,
    Prefix,
    PrefixError,
    RouteSpec,
    Serves,
    ZoneSpec, //
};
pub use registry::{
    Accepted,
    Proposal,
    Registry,
    RegistryState,
    Verdict, //
};
pub use update::{
    Content,
    Update, //
    UpdateError,
};
