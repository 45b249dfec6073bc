//! The changes that a configuration accepts, and the reasons for rejecting one.

use std::fmt;

use ids::{
    AccountName,
    ClassName,
    EndpointName,
    GrantName,
    RouteName,
    ZoneName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::record::{
    AccountSpec,
    ClassSpec,
    EndpointSpec,
    GrantSpec,
    RouteSpec,
    ZoneSpec, //
};

/// One change of the configuration. Except for grants, `Put` creates a record or replaces the record
/// of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a zone.
    PutZone(ZoneSpec),
    /// Removes a zone that has no endpoints.
    DropZone(ZoneName),
    /// Creates or replaces an account.
    PutAccount(AccountSpec),
    /// Closes an account permanently and withdraws its keys.
    CloseAccount(AccountName),
    /// Creates or replaces a class.
    PutClass(ClassSpec),
    /// Removes a class that no route and no grant refers to.
    DropClass(ClassName),
    /// Creates or replaces a route.
    PutRoute(RouteSpec),
    /// Removes a route that no endpoint serves.
    DropRoute(RouteName),
    /// Creates or replaces an endpoint.
    PutEndpoint(EndpointSpec),
    /// Removes an endpoint.
    DropEndpoint(EndpointName),
    /// Creates a grant. An existing grant cannot be replaced.
    PutGrant(GrantSpec),
    /// Withdraws a key permanently; its grant remains as a tombstone.
    WithdrawGrant(GrantName),
}

impl Change {
    /// Returns the kind and name of the record that the change affects.
    pub fn subject(&self) -> (&'static str, &str) {
        match self {
            Self::PutZone(z) => ("zone", z.name.as_ref()),
            Self::DropZone(name) => ("zone", name.as_ref()),
            Self::PutAccount(a) => ("account", a.name.as_ref()),
            Self::CloseAccount(name) => ("account", name.as_ref()),
            Self::PutClass(c) => ("class", c.name.as_ref()),
            Self::DropClass(name) => ("class", name.as_ref()),
            Self::PutRoute(r) => ("route", r.name.as_ref()),
            Self::DropRoute(name) => ("route", name.as_ref()),
            Self::PutEndpoint(e) => ("endpoint", e.name.as_ref()),
            Self::DropEndpoint(name) => ("endpoint", name.as_ref()),
            Self::PutGrant(g) => ("key", g.name.as_ref()),
            Self::WithdrawGrant(name) => ("key", name.as_ref()),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = match self {
            Self::PutZone(_)
            | Self::PutAccount(_)
            | Self::PutClass(_)
            | Self::PutRoute(_)
            | Self::PutEndpoint(_)
            | Self::PutGrant(_) => "put",
            Self::DropZone(_) | Self::DropClass(_) | Self::DropRoute(_) | Self::DropEndpoint(_) => {
                "drop"
            }
            Self::CloseAccount(_) => "close",
            Self::WithdrawGrant(_) => "withdraw",
        };
        let (kind, name) = self.subject();
        write!(f, "{verb} {kind} {name}")
    }
}

/// Which invariant of the configuration a change violates.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeError {
    /// The named record does not exist: kind and name.
    Missing(String, String),
    /// Another record refers to the record: kind and name of the record, name of the other record.
    InUse(String, String, String),
    /// A grant of that name exists, possibly withdrawn.
    GrantExists(GrantName),
    /// Another grant has the same digest: the name of that grant.
    DigestTaken(GrantName),
    /// The account is closed permanently.
    AccountClosed(AccountName),
    /// A field that must be at least 1 is 0: kind and name of the record, field.
    Zero(String, String, String),
    /// Another route serves the same model or prefix: the rejected route, the existing route.
    RouteTaken(RouteName, RouteName),
    /// The reserves of all classes exceed 100 percent: their sum.
    ReserveExceeded(u32),
}

impl ChangeError {
    pub(crate) fn missing(kind: &str, name: impl AsRef<str>) -> Self {
        Self::Missing(kind.to_owned(), name.as_ref().to_owned())
    }

    pub(crate) fn in_use(kind: &str, name: impl AsRef<str>, by: impl AsRef<str>) -> Self {
        Self::InUse(
            kind.to_owned(),
            name.as_ref().to_owned(),
            by.as_ref().to_owned(),
        )
    }

    pub(crate) fn zero(kind: &str, name: impl AsRef<str>, field: &str) -> Self {
        Self::Zero(kind.to_owned(), name.as_ref().to_owned(), field.to_owned())
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(kind, name) => write!(f, "{kind} {name:?} does not exist"),
            Self::InUse(kind, name, by) => write!(f, "{kind} {name:?} is used by {by:?}"),
            Self::GrantExists(name) => {
                write!(f, "key name {:?} was used before", name.as_ref())
            }
            Self::DigestTaken(name) => {
                write!(
                    f,
                    "the key already stands under the name {:?}",
                    name.as_ref()
                )
            }
            Self::AccountClosed(name) => write!(f, "account {:?} was closed", name.as_ref()),
            Self::Zero(kind, name, field) => {
                write!(f, "{field} of {kind} {name:?} must be at least 1")
            }
            Self::RouteTaken(name, by) => write!(
                f,
                "route {:?} serves what route {:?} serves",
                name.as_ref(),
                by.as_ref()
            ),
            Self::ReserveExceeded(sum) => {
                write!(f, "the reserves of all classes add up to {sum} percent")
            }
        }
    }
}

impl std::error::Error for ChangeError {}
