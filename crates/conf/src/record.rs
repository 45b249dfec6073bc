//! The records that operators create. They refer to each other by name.

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
    /// The region that the zone belongs to.
    pub region: RegionName,
    /// Whether the zone accepts new requests.
    #[serde(default = "yes")]
    pub open: bool,
    /// Maximum number of endpoints that the zone can run. The configuration does not enforce it.
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
    /// The weight of the account in fair sharing with other accounts of the same class; at least 1.
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
    /// The tier of all requests of the class.
    pub tier: Tier,
    /// Target for the time to first token.
    #[serde(rename = "first_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Target for the time between tokens.
    #[serde(rename = "gap_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub token_gap: Duration,
    /// Minimum share of an endpoint's slots that a backlogged class gets, so that requests of higher
    /// tiers do not starve it.
    #[serde(default)]
    pub reserve: Percent,
}

/// What a route serves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Serves {
    /// Requests that name this model.
    Model(ModelName),
    /// Requests whose path starts with a prefix.
    Service {
        /// The prefix; the path is forwarded to the endpoint with it.
        prefix: Prefix,
        /// The idempotent methods, whose requests may be retried.
        #[serde(default)]
        idempotent: Vec<Method>,
    },
}

/// Who may use a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Every account; requests must carry a key.
    #[default]
    Keyed,
    /// The named accounts; requests must carry a key.
    Only(Vec<AccountName>),
    /// Anyone; requests without a key are billed to the named account.
    Open(AccountName),
}

/// A route: the requests it serves, their default class, and who may use it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The route's name.
    pub name: RouteName,
    /// What the route serves.
    pub serves: Serves,
    /// The class of requests for which neither the key nor the caller selects another class.
    pub class: ClassName,
    /// Who may use the route.
    #[serde(default)]
    pub access: Access,
}

/// An endpoint. Requests reach it through its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The zone that the endpoint runs in.
    pub zone: ZoneName,
    /// The routes that the endpoint serves.
    pub routes: Vec<RouteName>,
    /// The address on which the endpoint's agent listens.
    pub agent: SocketAddr,
    /// Maximum number of concurrent requests once the endpoint is warm; at least 1.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new requests.
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
    /// The account that requests with this key are billed to.
    pub account: AccountName,
    /// The key's digest.
    pub digest: Digest,
    /// The class of requests with this key; `None` for the route's class.
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

/// The string is not a supported HTTP method.
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
    /// Returns the method's name in an HTTP request.
    pub fn as_str(self) -> &'static str {
        METHODS[self as usize].1
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A path prefix: one or more segments, each with a leading `/`, and no trailing `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct Prefix(String);

/// Why a string is not a valid path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixError {
    /// The prefix does not start with `/`, ends with `/`, or contains `//`, `?`, `#`, `%`, white
    /// space or a control character.
    Malformed(String),
    /// The prefix is `/v1` or below it, which is reserved for the model API.
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
        let forbidden = |c: char| c.is_whitespace() || c.is_control() || "?#%".contains(c);
        let delimited = text.starts_with('/') && text.len() > 1 && !text.ends_with('/');
        if !delimited || text.contains("//") || text.contains(forbidden) {
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
    /// Returns whether `path` is the prefix itself or is below it.
    pub fn covers(&self, path: &str) -> bool {
        match path.strip_prefix(self.0.as_str()) {
            Some(suffix) => suffix.is_empty() || suffix.starts_with('/'),
            None => false,
        }
    }

    /// Returns the length in bytes. Of several prefixes that cover a path, the longest is used.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns `false`, because a prefix has at least one segment.
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
        prefix_covers_its_own_path: assert!(prefix("/svc").covers("/svc"));
        prefix_covers_subpath: assert!(prefix("/svc").covers("/svc/a"));
        prefix_covers_whole_segments_only: assert!(!prefix("/svc").covers("/svcs"));
        prefix_without_leading_slash_is_rejected: assert_matches!("svc".parse::<Prefix>(), Err(PrefixError::Malformed(_)));
        prefix_below_v1_is_reserved: assert_matches!("/v1/x".parse::<Prefix>(), Err(PrefixError::Reserved(_)));
        method_table_follows_variant_order: for (i, (method, name)) in METHODS.iter().enumerate() {
            assert_eq!((*method as usize, name.parse()), (i, Ok(*method)));
        };
    }
}
