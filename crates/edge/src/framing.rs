//! Which responses are final, and how the end of their body is marked.

use hyper::HeaderMap;
use hyper::header::TRANSFER_ENCODING;

/// Whether a status is that of a final response. The HTTP library skips interim responses, but passes
/// on a switch of protocols and numbers that mean nothing.
pub fn is_final(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// What marks the end of a body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The stated length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which looks the same if the server has failed.
    Connection,
}

impl Framing {
    /// The framing of a body with these header fields and this length in bytes, if it was stated.
    pub fn of(headers: &HeaderMap, length: Option<u64>) -> Self {
        if length.is_some() {
            Self::Length
        } else if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Whether a stream of events is complete at the end of its body: `started` if it contained a
    /// complete event, `inside_event` if an incomplete one is left.
    pub fn ends_stream(self, started: bool, inside_event: bool) -> bool {
        match self {
            Self::Length => true,
            Self::Chunks => !inside_event,
            Self::Connection => started && !inside_event,
        }
    }
}
