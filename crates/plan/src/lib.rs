//! The routing plan: a versioned document of routes, services and accounts.
//!
//! The configuration of the crate `conf` is changed record by record; a plan is replaced as a
//! whole, and the highest version takes effect. A [`Plan`] is validated once, when it is built from
//! a [`PlanSpec`], and is immutable afterwards. The control group replicates a [`Deployment`]: the
//! plan's document as the operator sent it, and the closed zones.

mod deployment;
mod plan;
mod spec;

pub use deployment::{
    Deployment,
    DeploymentSnapshot,
    Directory,
    Distributor,
    Document, //
};
pub use plan::{
    Account,
    Plan,
    PlanError,
    Route,
    Service, //
};
pub use spec::{
    AccountSpec,
    ClientLimits,
    ColdStart,
    EngineLimits,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};
