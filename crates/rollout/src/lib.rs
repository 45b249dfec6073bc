//! Rollouts of service versions.
//!
//! An [`Order`] asks that a service's requests be moved to engines of another version. Fronts get a
//! [`Stage`] for each order, which states the part of the requests that the new version may get, and
//! report a [`Tally`] of how both versions responded.

mod ages;
mod evidence;
mod judge;
mod order;
mod orders;
mod tally;

pub use ages::Ages;
pub use evidence::{
    Pair,
    Seen, //
};
pub use judge::{
    Decision,
    Judge,
    Limits,
    Reason,
    Service, //
};
pub use order::{
    Exposure,
    Order,
    OrderError,
    OrderRequest,
    RawOrder,
    Stage,
    Stages,
    State, //
};
pub use orders::{
    Change,
    Effect,
    Orders,
    Progress, //
};
pub use tally::{
    FrontTally,
    Outcomes,
    RouteTally,
    Tally, //
};
