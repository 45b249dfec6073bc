//! Request keys, which identify requests that must not be executed twice, and request fingerprints.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::hex::Hex;
use serde_with::{
    DeserializeFromStr,
    SerializeDisplay,
    serde_as, //
};

/// Longest request key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Why a text is not a valid request key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKeyError {
    /// The text is empty or longer than 128 bytes.
    Length,
    /// The text contains a byte that is not visible ASCII.
    NotVisibleAscii,
}

impl fmt::Display for RequestKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length => write!(f, "request key must have 1 to {MAX_KEY_BYTES} bytes"),
            Self::NotVisibleAscii => {
                f.write_str("request key must contain only visible ASCII characters")
            }
        }
    }
}

impl std::error::Error for RequestKeyError {}

/// The client's identifier for a request, from the `idempotency-key` header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct RequestKey(String);

impl FromStr for RequestKey {
    type Err = RequestKeyError;

    fn from_str(text: &str) -> Result<Self, RequestKeyError> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(RequestKeyError::Length);
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(RequestKeyError::NotVisibleAscii);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A digest of a request's method, target and body.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(#[serde_as(as = "Hex")] pub [u8; 32]);
