//! What the body of a successful response to a stream's request contains.

use edge::Framing;
use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;

/// The content type of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The content of a body. It determines whether the body is complete at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Events, also if no type is stated.
    Events(Framing),
    /// Content of another type. It is complete as HTTP frames it.
    Other,
}

impl Content {
    /// The content of a body with these header fields and this length in bytes, if it was stated.
    pub fn of(headers: &HeaderMap, length: Option<u64>) -> Self {
        match headers.get(CONTENT_TYPE) {
            Some(value) if !is_event_stream(value.as_bytes()) => Self::Other,
            _ => Self::Events(Framing::of(headers, length)),
        }
    }
}

fn is_event_stream(value: &[u8]) -> bool {
    let name = value.split(|byte| *byte == b';').next().unwrap_or_default();
    name.trim_ascii()
        .eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
}
