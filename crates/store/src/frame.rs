//! The frame of each record: a header of magic number, payload length, payload checksum and header
//! checksum, followed by the payload. Integers are little-endian, checksums are CRC-32C.

/// The magic number at the start of each frame.
const MAGIC: [u8; 4] = *b"BRG1";
/// The length of the header in bytes.
pub(crate) const HEADER_BYTES: usize = 16;

/// The content of a frame's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    /// The length of the payload in bytes.
    pub(crate) len: usize,
    /// The checksum of the payload.
    checksum: u32,
}

impl Header {
    /// Reads a header; none if it is not valid.
    pub(crate) fn read(bytes: &[u8; HEADER_BYTES]) -> Option<Self> {
        let valid = bytes[..4] == MAGIC && read_u32(bytes, 12) == crc32c::crc32c(&bytes[..12]);
        valid.then(|| Self {
            len: read_u32(bytes, 4) as usize,
            checksum: read_u32(bytes, 8),
        })
    }

    /// Whether `payload` is the payload that belongs to this header.
    pub(crate) fn matches(self, payload: &[u8]) -> bool {
        payload.len() == self.len && crc32c::crc32c(payload) == self.checksum
    }
}

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
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Frame::Invalid;
    };
    match Header::read(header) {
        Some(header) if rest.get(..header.len).is_some_and(|p| header.matches(p)) => {
            Frame::Valid(header.len)
        }
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
