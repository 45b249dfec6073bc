//! `rmp-serde` encoding, and the seal that ties a message to its cluster, version and path.

use std::fmt;
use std::io;

use ids::ClusterName;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::attempt::Frame;

/// The version of the messages between processes. A process refuses any other.
const VERSION: u8 = 1;
/// Separates this use of the cluster secret from any other.
const SEAL_CONTEXT: &str = "bergamothinge 2026-12 peer message seal";
/// Bytes of the seal.
const SEAL_BYTES: usize = 32;

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// It does not decode.
    Malformed(String),
    /// It has another version.
    Version(u8),
    /// It is not authentic, or of another cluster, or for another path.
    Unauthenticated,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(fault) => write!(f, "the message does not decode: {fault}"),
            Self::Version(version) => {
                write!(f, "the message has version {version}, not {VERSION}")
            }
            Self::Unauthenticated => f.write_str("the message is not from this cluster"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a value without a seal.
///
/// # Errors
///
/// [`WireError::Malformed`] for a value that the format cannot hold.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    rmp_serde::to_vec(value).map_err(|fault| WireError::Malformed(fault.to_string()))
}

/// Decodes a value without a seal.
///
/// # Errors
///
/// [`WireError::Malformed`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    rmp_serde::from_slice(bytes).map_err(|fault| WireError::Malformed(fault.to_string()))
}

/// Seals and opens messages of one cluster.
#[derive(Clone)]
pub struct Sealer {
    cluster: ClusterName,
    key: [u8; 32],
}

impl Sealer {
    /// Derives the sealing key from the cluster's name and secret.
    pub fn new(cluster: ClusterName, secret: &str) -> Self {
        let key = blake3::derive_key(SEAL_CONTEXT, secret.as_bytes());
        Self { cluster, key }
    }

    /// Encodes and seals a message for a path: version, seal, payload.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] for a value that the format cannot hold.
    pub fn seal<T: Serialize>(&self, path: &str, value: &T) -> Result<Vec<u8>, WireError> {
        let payload = encode(value)?;
        let mut bytes = Vec::with_capacity(1 + SEAL_BYTES + payload.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(self.tag(path, &payload).as_bytes());
        bytes.extend_from_slice(&payload);
        Ok(bytes)
    }

    /// Checks and decodes a message for a path.
    ///
    /// # Errors
    ///
    /// [`WireError`], with the reason.
    pub fn open<T: DeserializeOwned>(&self, path: &str, bytes: &[u8]) -> Result<T, WireError> {
        let (version, rest) = bytes.split_first().ok_or(WireError::Unauthenticated)?;
        if *version != VERSION {
            return Err(WireError::Version(*version));
        }
        let (tag, payload) = rest
            .split_first_chunk::<SEAL_BYTES>()
            .ok_or(WireError::Unauthenticated)?;
        // The comparison of two `Hash` values takes constant time.
        if self.tag(path, payload) != blake3::Hash::from_bytes(*tag) {
            return Err(WireError::Unauthenticated);
        }
        decode(payload)
    }

    fn tag(&self, path: &str, payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in [self.cluster.as_ref(), path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(payload);
        hasher.finalize()
    }
}

/// Why no frame could be read.
#[derive(Debug)]
pub enum FrameError {
    /// The stream failed or ended.
    Io(io::Error),
    /// What came is no frame.
    Malformed(String),
}

impl FrameError {
    /// Whether nothing came in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Io(fault) if fault.kind() == io::ErrorKind::TimedOut)
    }
}

/// Reads the next frame of an answer.
///
/// # Errors
///
/// [`FrameError`]; an answer must not be read further then.
pub fn read_frame(source: impl io::Read) -> Result<Frame, FrameError> {
    use rmp_serde::decode::Error;
    rmp_serde::decode::from_read(source).map_err(|fault| match fault {
        Error::InvalidMarkerRead(fault) | Error::InvalidDataRead(fault) => FrameError::Io(fault),
        other => FrameError::Malformed(other.to_string()),
    })
}
