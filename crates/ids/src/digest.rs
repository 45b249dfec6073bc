//! Caller and operator keys, and their keyed digests. Only digests are stored and compared.

use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::distr::Alphanumeric;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::hex::Hex;
use serde_with::serde_as;

/// Prefix of every plaintext key.
const SECRET_PREFIX: &str = "bk_";
/// Number of random characters after the prefix; 40 letters or digits carry 238 bits of entropy.
const SECRET_CHARS: usize = 40;
/// BLAKE3 key-derivation context; separates the digest key from other keys derived from the cluster
/// secret.
const DIGEST_CONTEXT: &str = "bergamothinge 2026-12 caller key digest";

/// Why a string is not a plaintext key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecretError {
    /// The string is not the prefix followed by the required number of letters and digits.
    Malformed,
}

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "malformed key: expected {SECRET_PREFIX:?} followed by {SECRET_CHARS} letters or digits"
        )
    }
}

impl std::error::Error for SecretError {}

/// A plaintext key. `Debug` redacts it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Generates a key with the thread's cryptographically secure random number generator.
    pub fn generate() -> Self {
        let suffix = rand::rng().sample_iter(Alphanumeric).take(SECRET_CHARS);
        Self(
            SECRET_PREFIX
                .chars()
                .chain(suffix.map(char::from))
                .collect(),
        )
    }

    /// Returns the plaintext. Only the response to the key's creator may contain it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the byte range of the first substring of `bytes` that has the form of a key.
    pub fn find(bytes: &[u8]) -> Option<std::ops::Range<usize>> {
        let prefix = SECRET_PREFIX.as_bytes();
        let len = prefix.len() + SECRET_CHARS;
        let is_key = |window: &[u8]| {
            window.starts_with(prefix)
                && window[prefix.len()..].iter().all(u8::is_ascii_alphanumeric)
        };
        let start = bytes.windows(len).position(is_key)?;
        Some(start..start + len)
    }
}

impl FromStr for Secret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        match Self::find(text.as_bytes()) {
            Some(range) if range == (0..text.len()) => Ok(Self(text.to_owned())),
            _ => Err(SecretError::Malformed),
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The keyed BLAKE3 digest of a plaintext key.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The error of parsing a string that is not 64 hexadecimal digits as a [`Digest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest has 64 hexadecimal digits")
    }
}

impl std::error::Error for DigestError {}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return Err(DigestError);
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

/// The secret that keys the digests. It is derived from the cluster secret.
#[derive(Clone)]
pub struct DigestKey([u8; 32]);

impl DigestKey {
    /// Derives the digest key from the cluster secret.
    pub fn derive(cluster_secret: &str) -> Self {
        Self(blake3::derive_key(
            DIGEST_CONTEXT,
            cluster_secret.as_bytes(),
        ))
    }

    /// Computes the digest of a plaintext key.
    pub fn digest(&self, secret: &Secret) -> Digest {
        Digest(*blake3::keyed_hash(&self.0, secret.0.as_bytes()).as_bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(cluster: &str, secret: &Secret) -> Digest {
        DigestKey::derive(cluster).digest(secret)
    }

    case::cases! {
        generated_key_parses: {
            let secret = Secret::generate();
            assert_eq!(secret.reveal().parse::<Secret>(), Ok(secret.clone()));
        };
        short_key_is_rejected: assert_eq!("bk_abc".parse::<Secret>(), Err(SecretError::Malformed));
        finds_key_inside_text: {
            let text = format!("x={}&y", Secret::generate().reveal());
            assert_eq!(Secret::find(text.as_bytes()), Some(2..45));
        };
        digest_depends_on_cluster_secret: {
            let secret = Secret::generate();
            assert_ne!(digest("a", &secret), digest("b", &secret));
        };
        digest_round_trip: {
            let digest = digest("a", &Secret::generate());
            assert_eq!(digest.to_string().parse(), Ok(digest));
        };
        short_digest_is_rejected: assert_eq!("00".parse::<Digest>(), Err(DigestError));
        debug_hides_the_key: assert_eq!(format!("{:?}", Secret::generate()), "Secret(..)");
    }
}
