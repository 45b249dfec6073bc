//! MessagePack encoding with `rmp-serde`, and the seal of a message: a version byte and a keyed
//! BLAKE3 hash that authenticates the message for one cluster and one path. A seal does not
//! encrypt.

use std::fmt;
use std::io;

use ids::ClusterName;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::attempt::Frame;

/// The version of the messages between processes. A process rejects messages of other versions.
const VERSION: u8 = 1;
/// The version of messages whose payload is compressed, after its size before compression as a
/// little-endian number of [`SIZE_BYTES`].
const COMPRESSED_VERSION: u8 = 2;
/// Payloads of at least this size are compressed: the plan and the directory, which each control
/// process sends to many others over its one link.
const MIN_COMPRESSED_BYTES: usize = 4096;
/// Level of the compression; 1 is the fastest.
const COMPRESSION_LEVEL: i32 = 1;
/// Size of the length before a compressed payload.
const SIZE_BYTES: usize = 4;
/// Largest payload after decompression, in bytes. It bounds the memory that a message can take.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// The context of the key derivation. It keeps this key distinct from other keys that are derived
/// from the cluster secret.
const SEAL_CONTEXT: &str = "bergamothinge 2026-12 peer message seal";
/// Size of the authentication tag in bytes.
const TAG_BYTES: usize = 32;

/// Why a message was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The message cannot be encoded or decoded.
    Malformed(String),
    /// The message has a different version, which is given.
    Version(u8),
    /// The authentication tag does not match: the message was altered, or belongs to another
    /// cluster or another path.
    Unauthenticated,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "the message cannot be decoded: {error}"),
            Self::Version(version) => {
                write!(f, "the message has version {version}; expected {VERSION}")
            }
            Self::Unauthenticated => {
                f.write_str("the message is not authenticated for this cluster and path")
            }
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a value without a seal.
///
/// # Errors
///
/// [`WireError::Malformed`] if the format cannot represent the value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    rmp_serde::to_vec(value).map_err(|error| WireError::Malformed(error.to_string()))
}

/// Decodes a value without a seal.
///
/// # Errors
///
/// [`WireError::Malformed`] if the bytes do not encode a value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    rmp_serde::from_slice(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}

/// Seals messages of one cluster and opens sealed ones.
#[derive(Clone)]
pub struct Sealer {
    cluster: ClusterName,
    key: [u8; 32],
}

impl Sealer {
    /// Derives the key from the cluster's secret. Each tag also covers the cluster's name.
    pub fn new(cluster: ClusterName, secret: &str) -> Self {
        let key = blake3::derive_key(SEAL_CONTEXT, secret.as_bytes());
        Self { cluster, key }
    }

    /// Encodes and seals a message for a path. The result is the version, the authentication tag
    /// and the payload.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the format cannot represent the value.
    pub fn seal<T: Serialize>(&self, path: &str, value: &T) -> Result<Vec<u8>, WireError> {
        let payload = encode(value)?;
        let (version, payload) = if payload.len() < MIN_COMPRESSED_BYTES {
            (VERSION, payload)
        } else {
            (COMPRESSED_VERSION, compress(&payload)?)
        };
        let mut bytes = Vec::with_capacity(1 + TAG_BYTES + payload.len());
        bytes.push(version);
        bytes.extend_from_slice(self.tag(path, &payload).as_bytes());
        bytes.extend_from_slice(&payload);
        Ok(bytes)
    }

    /// Verifies and decodes a sealed message for a path.
    ///
    /// # Errors
    ///
    /// [`WireError`], which states why the message was rejected.
    pub fn open<T: DeserializeOwned>(&self, path: &str, bytes: &[u8]) -> Result<T, WireError> {
        let (version, rest) = bytes.split_first().ok_or(WireError::Unauthenticated)?;
        if ![VERSION, COMPRESSED_VERSION].contains(version) {
            return Err(WireError::Version(*version));
        }
        let (tag, payload) = rest
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(WireError::Unauthenticated)?;
        // `blake3::Hash` compares in constant time, so the comparison leaks nothing about the tag.
        if self.tag(path, payload) != blake3::Hash::from_bytes(*tag) {
            return Err(WireError::Unauthenticated);
        }
        if *version == COMPRESSED_VERSION {
            return decode(&decompress(payload)?);
        }
        decode(payload)
    }

    /// Computes the authentication tag. The lengths of cluster name and path are hashed too, so
    /// that no two pairs of them yield the same input.
    fn tag(&self, path: &str, payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for text in [self.cluster.as_ref(), path] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(payload);
        hasher.finalize()
    }
}

/// Compresses bytes and puts their size before them.
///
/// # Errors
///
/// [`WireError::Malformed`] if they are larger than 64 MiB, which [`decompress`] rejects.
pub fn compress(payload: &[u8]) -> Result<Vec<u8>, WireError> {
    let size = u32::try_from(payload.len())
        .ok()
        .filter(|_| payload.len() <= MAX_PAYLOAD_BYTES)
        .ok_or_else(|| WireError::Malformed("the message is too large".to_owned()))?;
    let packed = zstd::bulk::compress(payload, COMPRESSION_LEVEL)
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    let mut bytes = Vec::with_capacity(SIZE_BYTES + packed.len());
    bytes.extend_from_slice(&size.to_le_bytes());
    bytes.extend_from_slice(&packed);
    Ok(bytes)
}

/// Undoes [`compress`]. Allocates no more than the stated size, which is limited.
///
/// # Errors
///
/// [`WireError::Malformed`] if the bytes are not compressed ones, or stand for more than 64 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, WireError> {
    let malformed = |error: &str| WireError::Malformed(error.to_owned());
    let (size, packed) = bytes
        .split_first_chunk::<SIZE_BYTES>()
        .ok_or_else(|| malformed("the compressed message is too short"))?;
    let size = usize::try_from(u32::from_le_bytes(*size)).unwrap_or(usize::MAX);
    if size > MAX_PAYLOAD_BYTES {
        return Err(malformed("the compressed message is too large"));
    }
    zstd::bulk::decompress(packed, size).map_err(|error| malformed(&error.to_string()))
}

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The stream failed or ended.
    Io(io::Error),
    /// The received bytes are not a frame.
    Malformed(String),
}

impl FrameError {
    /// Whether the read timed out.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::TimedOut)
    }
}

/// Reads the next frame of an agent's response.
///
/// # Errors
///
/// [`FrameError`]. The response must not be read further after an error.
pub fn read_frame(source: impl io::Read) -> Result<Frame, FrameError> {
    use rmp_serde::decode::Error;
    rmp_serde::decode::from_read(source).map_err(|error| match error {
        Error::InvalidMarkerRead(error) | Error::InvalidDataRead(error) => FrameError::Io(error),
        error => FrameError::Malformed(error.to_string()),
    })
}
