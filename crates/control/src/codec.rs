//! How journal records and snapshot files are written.

use agree::{
    Record,
    SnapshotMeta, //
};
use wire::{
    WireError,
    decode,
    encode, //
};

/// One frame of the journal: the records that were synced together.
pub(crate) fn frame(records: &[Record]) -> Result<Vec<u8>, WireError> {
    encode(&records)
}

/// Reads a frame of the journal back.
pub(crate) fn read_frame(bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    decode(bytes)
}

/// A snapshot file: what it covers, and the state.
pub(crate) fn snapshot(meta: &SnapshotMeta, state: &[u8]) -> Result<Vec<u8>, WireError> {
    encode(&(meta, serde_bytes::Bytes::new(state)))
}

/// Reads a snapshot file back; an empty one covers nothing.
pub(crate) fn read_snapshot(bytes: &[u8]) -> Result<(SnapshotMeta, Vec<u8>), WireError> {
    if bytes.is_empty() {
        return Ok(Default::default());
    }
    let (meta, state): (SnapshotMeta, serde_bytes::ByteBuf) = decode(bytes)?;
    Ok((meta, state.into_vec()))
}
