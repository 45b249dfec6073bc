//! The frame of each record: a header of magic number, payload length, payload checksum and header
//! checksum, followed by the payload. Integers are little-endian, checksums are CRC-32C.

/// The magic number at the start of each frame.
const MAGIC: [u8; 4] = *b"BRG1";
/// The length of the header in bytes.
pub(crate) const HEADER_BYTES: usize = 16;

/// The result of reading a frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Frame {
    /// A valid frame with a payload of this many bytes.
    Valid(usize),
    /// No frame, an incomplete frame, or a frame with a wrong checksum.
    Invalid,
}

/// Appends the frame of `payload` to `buf`.
pub(crate) fn append(buf: &mut Vec<u8>, payload: &[u8]) {
    let start = buf.len();
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let header_checksum = crc32c::crc32c(&buf[start..]);
    buf.extend_from_slice(&header_checksum.to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Reads the frame at the beginning of `bytes`.
pub(crate) fn read(bytes: &[u8]) -> Frame {
    if bytes.len() < HEADER_BYTES || bytes[..4] != MAGIC {
        return Frame::Invalid;
    }
    if read_u32(bytes, 12) != crc32c::crc32c(&bytes[..12]) {
        return Frame::Invalid;
    }
    let len = read_u32(bytes, 4) as usize;
    match bytes.get(HEADER_BYTES..HEADER_BYTES + len) {
        Some(payload) if crc32c::crc32c(payload) == read_u32(bytes, 8) => Frame::Valid(len),
        _ => Frame::Invalid,
    }
}

/// Whether `bytes` contains a valid frame at any offset.
pub(crate) fn contains_valid(bytes: &[u8]) -> bool {
    let magic = bytes
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, w)| *w == MAGIC);
    magic
        .into_iter()
        .any(|(at, _)| read(&bytes[at..]) != Frame::Invalid)
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}
