//! Names that people choose, checked once where they enter the system.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

/// Longest name accepted, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text has more than 63 bytes.
    TooLong(String),
    /// The text holds a character other than `a-z`, `0-9`, `-`, `_`, `.` and `/`.
    BadChar(String, char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name is empty"),
            Self::TooLong(text) => {
                write!(f, "name {text:?} is longer than {MAX_NAME_BYTES} bytes")
            }
            Self::BadChar(text, c) => write!(
                f,
                "name {text:?} holds {c:?}; use a-z, 0-9, '-', '_', '.' and '/'"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(
            text.chars().take(MAX_NAME_BYTES).collect(),
        ));
    }
    let good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_./".contains(c);
    match text.chars().find(|c| !good(*c)) {
        Some(c) => Err(NameError::BadChar(text.to_owned(), c)),
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
                    check(text)?;
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
    /// Names a client account.
    AccountName;
    /// Names a request class.
    ClassName;
    /// Names a cluster: one installation of the router.
    ClusterName;
    /// Names an endpoint.
    EndpointName;
    /// Names a grant. It is not secret, unlike the caller key the grant stands for.
    GrantName;
    /// Names a host.
    HostName;
    /// Names a model as callers write it.
    ModelName;
    /// Names an operator.
    OperatorName;
    /// Names one operator request, so that a resend is recognised.
    ProposalName;
    /// Names a region.
    RegionName;
    /// Names a route.
    RouteName;
    /// Names an availability zone.
    ZoneName;
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    case::cases! {
        plain_name: assert_eq!(ZoneName::try_from("quito-norte").unwrap().to_string(), "quito-norte");
        empty_name: assert_eq!(ZoneName::try_from(""), Err(NameError::Empty));
        long_name: assert_matches!(ZoneName::try_from("a".repeat(64).as_str()), Err(NameError::TooLong(_)));
        upper_case: assert_matches!(ZoneName::try_from("Quito"), Err(NameError::BadChar(_, 'Q')));
        control_char: assert_matches!(HostName::try_from("a\nb"), Err(NameError::BadChar(_, '\n')));
    }
}
