//! The configuration aggregate: the records that operators create, their invariants, and the linear
//! sequence of revisions.
//!
//! A [`Config`] changes only through [`Change`]s that keep its invariants. The control group accepts
//! or rejects [`Proposal`]s through a [`Registry`]; entries and agents replicate the accepted
//! configuration by applying [`Update`]s.

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
