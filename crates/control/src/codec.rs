//! The encoding of journal frames and snapshot files.

use agree::{
    Record,
    SnapshotMeta, //
};
use wire::{
    WireError,
    compress,
    decode,
    decompress,
    encode, //
};

/// The start of a compressed snapshot file. An uncompressed one starts with a MessagePack array.
const PACKED: &[u8] = b"zstd";

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

/// Compresses an encoded snapshot file.
pub(crate) fn pack_snapshot(bytes: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut packed = PACKED.to_vec();
    packed.extend(compress(bytes)?);
    Ok(packed)
}

/// Decodes a snapshot file, compressed or not. An empty file stands for a log without a snapshot.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<(SnapshotMeta, Vec<u8>), WireError> {
    if bytes.is_empty() {
        return Ok(Default::default());
    }
    if let Some(packed) = bytes.strip_prefix(PACKED) {
        return decode_snapshot(&decompress(packed)?);
    }
    let (meta, state): (SnapshotMeta, serde_bytes::ByteBuf) = decode(bytes)?;
    Ok((meta, state.into_vec()))
}
