//! The frame around each record: magic, length, checksum of the payload, checksum of the header.

/// Marks the beginning of a frame.
const MAGIC: [u8; 4] = *b"BRG1";
/// Bytes before the payload.
pub(crate) const HEAD_BYTES: usize = 16;

/// What stands at one place of a journal.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// An intact frame whose payload has this many bytes.
    Intact(usize),
    /// Anything else: torn, damaged or not a frame.
    Bad,
}

/// Appends the frame of `payload` to `buf`.
pub(crate) fn put(buf: &mut Vec<u8>, payload: &[u8]) {
    let start = buf.len();
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let head = crc32c::crc32c(&buf[start..]);
    buf.extend_from_slice(&head.to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Looks at the beginning of `bytes`.
pub(crate) fn look(bytes: &[u8]) -> Found {
    if bytes.len() < HEAD_BYTES || bytes[..4] != MAGIC {
        return Found::Bad;
    }
    if word(bytes, 12) != crc32c::crc32c(&bytes[..12]) {
        return Found::Bad;
    }
    let len = word(bytes, 4) as usize;
    match bytes.get(HEAD_BYTES..HEAD_BYTES + len) {
        Some(payload) if crc32c::crc32c(payload) == word(bytes, 8) => Found::Intact(len),
        _ => Found::Bad,
    }
}

/// Whether an intact frame begins anywhere in `bytes`.
pub(crate) fn any(bytes: &[u8]) -> bool {
    let magic = bytes
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, w)| *w == MAGIC);
    magic
        .into_iter()
        .any(|(at, _)| look(&bytes[at..]) != Found::Bad)
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}
