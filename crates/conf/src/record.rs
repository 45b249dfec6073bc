//! What operators write: records that refer to each other by name.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use ids::{
    AccountName,
    ClassName,
    Digest,
    EndpointName,
    GrantName,
    ModelName,
    Percent,
    RegionName,
    RouteName,
    Tier,
    ZoneName, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DeserializeFromStr,
    DurationMilliSeconds,
    SerializeDisplay,
    serde_as, //
};

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// The zone's name.
    pub name: ZoneName,
    /// The region the zone lies in.
    pub region: RegionName,
    /// Whether the zone takes new work.
    #[serde(default = "yes")]
    pub open: bool,
    /// Most endpoints the zone may run.
    #[serde(default = "no_limit")]
    pub capacity: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The account's name.
    pub name: AccountName,
    /// The account's share against others of its class; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A request class.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The class's name.
    pub name: ClassName,
    /// The tier all requests of the class have.
    pub tier: Tier,
    /// Target for the time to the first token.
    #[serde(rename = "first_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Target for the time between tokens.
    #[serde(rename = "gap_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub token_gap: Duration,
    /// Share of an endpoint's slots that the class is not starved below.
    #[serde(default)]
    pub reserve: Percent,
}

/// What a route serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Serves {
    /// Calls that name this model.
    Model(ModelName),
    /// Calls whose path begins with a prefix.
    Service {
        /// The prefix; it stays in the path that the endpoint sees.
        prefix: Prefix,
        /// Methods that may be repeated without harm.
        #[serde(default)]
        idempotent: Vec<Method>,
    },
}

/// Who may use a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Every account, with its key.
    #[default]
    Keyed,
    /// The accounts named, with their keys.
    Only(Vec<AccountName>),
    /// Anyone; requests without a key run for the account named.
    Open(AccountName),
}

/// A route: what callers ask for and the class it has by default.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The route's name.
    pub name: RouteName,
    /// What the route serves.
    pub serves: Serves,
    /// The class of requests that neither key nor caller gives another.
    pub class: ClassName,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
}

/// An endpoint, reached through the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// The routes it serves.
    pub routes: Vec<RouteName>,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// Most requests it runs at once when warm; at least 1.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    #[serde(rename = "leaving", default)]
    pub draining: bool,
}

/// The record of one caller key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSpec {
    /// The grant's name; not secret.
    pub name: GrantName,
    /// The account the key stands for.
    pub account: AccountName,
    /// The key's digest.
    pub digest: Digest,
    /// The class of requests under this key, where it differs from the route's.
    #[serde(default)]
    pub class: Option<ClassName>,
}

fn yes() -> bool {
    true
}

fn one() -> u32 {
    1
}

fn no_limit() -> u32 {
    u32::MAX
}

/// An HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub enum Method {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

const METHODS: [(Method, &str); 7] = [
    (Method::Get, "GET"),
    (Method::Head, "HEAD"),
    (Method::Post, "POST"),
    (Method::Put, "PUT"),
    (Method::Patch, "PATCH"),
    (Method::Delete, "DELETE"),
    (Method::Options, "OPTIONS"),
];

/// The text is not a supported HTTP method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MethodError(pub String);

impl fmt::Display for MethodError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "method {:?} is not supported", self.0)
    }
}

impl std::error::Error for MethodError {}

impl FromStr for Method {
    type Err = MethodError;

    fn from_str(text: &str) -> Result<Self, MethodError> {
        let found = METHODS.iter().find(|(_, name)| *name == text);
        found
            .map(|(method, _)| *method)
            .ok_or_else(|| MethodError(text.to_owned()))
    }
}

impl Method {
    /// The method's name on the wire.
    pub fn as_str(self) -> &'static str {
        METHODS[self as usize].1
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The beginning of a path: `/` and one or more segments, without a trailing `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct Prefix(String);

/// Why a text is not a route prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixError {
    /// It does not begin with `/`, ends with `/`, or holds `//`, `?`, `#`, `%` or a blank.
    Malformed(String),
    /// It lies below `/v1`, where the model calls are.
    Reserved(String),
}

impl fmt::Display for PrefixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(f, "prefix {text:?} is not of the form /name/name"),
            Self::Reserved(text) => write!(f, "prefix {text:?} lies below /v1, which is reserved"),
        }
    }
}

impl std::error::Error for PrefixError {}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let bad = |c: char| c.is_whitespace() || c.is_control() || "?#%".contains(c);
        let formed = text.starts_with('/') && text.len() > 1 && !text.ends_with('/');
        if !formed || text.contains("//") || text.contains(bad) {
            return Err(PrefixError::Malformed(text.to_owned()));
        }
        if text == "/v1" || text.starts_with("/v1/") {
            return Err(PrefixError::Reserved(text.to_owned()));
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Prefix {
    /// Whether `path` is the prefix itself or lies below it.
    pub fn covers(&self, path: &str) -> bool {
        match path.strip_prefix(self.0.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }

    /// Length in bytes; the longest prefix that covers a path wins.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Always false: a prefix has at least one segment.
    pub fn is_empty(&self) -> bool {
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn prefix(text: &str) -> Prefix {
        text.parse().unwrap()
    }

    case::cases! {
        prefix_covers_itself: assert!(prefix("/svc").covers("/svc"));
        prefix_covers_below: assert!(prefix("/svc").covers("/svc/a"));
        prefix_stops_at_segments: assert!(!prefix("/svc").covers("/svcs"));
        prefix_needs_a_slash: assert_matches!("svc".parse::<Prefix>(), Err(PrefixError::Malformed(_)));
        prefix_below_v1: assert_matches!("/v1/x".parse::<Prefix>(), Err(PrefixError::Reserved(_)));
        methods_in_table_order: for (i, (method, name)) in METHODS.iter().enumerate() {
            assert_eq!((*method as usize, name.parse()), (i, Ok(*method)));
        };
    }
}
