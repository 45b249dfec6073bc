//! The routing plan: one whole document of routes, services and accounts under a version.
//!
//! Where [`conf`] changes one record at a time, a plan is replaced as a whole, and the highest
//! version wins. A [`Plan`] is checked once, when it enters, and keeps its rules from then on. The
//! control group replicates a [`Deployment`]: the plan's document as it was sent, and the zones that
//! are closed.
//!
//! [`conf`]: https://docs.rs/conf

mod deployment;
mod plan;
mod spec;

pub use deployment::{
    Deployment,
    DeploymentSnapshot,
    Directory,
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
