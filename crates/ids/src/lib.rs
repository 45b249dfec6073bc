//! Validated names, units, clock readings, key digests and arena keys shared by all crates.

mod digest;
mod key;
mod name;
mod tick;
mod unit;

pub use digest::{
    Digest,
    DigestError,
    DigestKey,
    Secret,
    SecretError, //
};
pub use key::{
    AccountId,
    AttemptKey,
    ClassId,
    EndpointId,
    GrantId,
    RequestId,
    RouteId,
    ServiceId,
    ZoneId, //
};
pub use name::{
    AccountName,
    ClassName,
    ClusterName,
    EndpointName,
    GrantName,
    HostName,
    ModelName,
    NameError,
    OperatorName,
    ProposalName,
    RegionName,
    RouteName,
    ZoneName, //
};
pub use tick::{
    Clock,
    Monotonic,
    Tick, //
};
pub use unit::{
    AttemptId,
    FencingToken,
    Incarnation,
    Index,
    PartId,
    Percent,
    Rate,
    Revision,
    Term,
    Ticket,
    Tier,
    Tokens,
    UnitError,
    millis, //
};
