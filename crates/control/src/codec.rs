//! The encoding of journal frames and snapshot files.

use agree::{
    Record,
    SnapshotMeta, //
};
use wire::{
    WireError,
    decode,
    encode, //
};

/// Encodes a journal frame, which holds the records that are synced together.
pub(crate) fn encode_frame(records: &[Record]) -> Result<Vec<u8>, WireError> {
    encode(&records)
}

/// Decodes a journal frame.
pub(crate) fn decode_frame(bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    decode(bytes)
}

/// Encodes a snapshot file: the metadata of the snapshot, and the state.
pub(crate) fn encode_snapshot(meta: &SnapshotMeta, state: &[u8]) -> Result<Vec<u8>, WireError> {
    encode(&(meta, serde_bytes::Bytes::new(state)))
}

/// Decodes a snapshot file. An empty file stands for a log without a snapshot.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<(SnapshotMeta, Vec<u8>), WireError> {
    if bytes.is_empty() {
        return Ok(Default::default());
    }
    let (meta, state): (SnapshotMeta, serde_bytes::ByteBuf) = decode(bytes)?;
    Ok((meta, state.into_vec()))
}
