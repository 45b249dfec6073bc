//! Names chosen by operators. Each type validates a name when it is parsed.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;

/// Why a string is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    Empty,
    /// The name exceeds 63 bytes: the first 63 characters of the name.
    TooLong(String),
    /// The name contains a character other than `a-z`, `0-9`, `-`, `_`, `.` and `/`: the name and
    /// the first such character.
    InvalidChar(String, char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name is empty"),
            Self::TooLong(start) => {
                write!(f, "name {start:?} is longer than {MAX_NAME_BYTES} bytes")
            }
            Self::InvalidChar(name, c) => write!(
                f,
                "name {name:?} holds {c:?}; use a-z, 0-9, '-', '_', '.' and '/'"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(
            text.chars().take(MAX_NAME_BYTES).collect(),
        ));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_./".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::InvalidChar(text.to_owned(), c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(SerializeDisplay, DeserializeFromStr)]
            pub struct $name(Arc<str>);

            impl TryFrom<&str> for $name {
                type Error = NameError;

                fn try_from(text: &str) -> Result<Self, NameError> {
                    validate(text)?;
                    Ok(Self(text.into()))
                }
            }

            impl FromStr for $name {
                type Err = NameError;

                fn from_str(text: &str) -> Result<Self, NameError> {
                    Self::try_from(text)
                }
            }

            impl AsRef<str> for $name {
                fn as_ref(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

names! {
    /// Name of a client account.
    AccountName;
    /// Name of a request class.
    ClassName;
    /// Name of a cluster, which is one installation of the router.
    ClusterName;
    /// Name of an endpoint.
    EndpointName;
    /// Name of a grant. Unlike the caller key that the grant records, it is not secret.
    GrantName;
    /// Name of a host.
    HostName;
    /// Name of a model as callers send it.
    ModelName;
    /// Name of an operator.
    OperatorName;
    /// Idempotency key of one proposal by an operator. The control group uses it to detect retries.
    ProposalName;
    /// Name of a region.
    RegionName;
    /// Name of a route.
    RouteName;
    /// Name of an availability zone.
    ZoneName;
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    case::cases! {
        valid_name_round_trip: assert_eq!(ZoneName::try_from("quito-norte").unwrap().to_string(), "quito-norte");
        empty_name_is_rejected: assert_eq!(ZoneName::try_from(""), Err(NameError::Empty));
        name_above_63_bytes_is_rejected: assert_matches!(ZoneName::try_from("a".repeat(64).as_str()), Err(NameError::TooLong(_)));
        upper_case_is_rejected: assert_matches!(ZoneName::try_from("Quito"), Err(NameError::InvalidChar(_, 'Q')));
        control_char_is_rejected: assert_matches!(HostName::try_from("a\nb"), Err(NameError::InvalidChar(_, '\n')));
    }
}
