//! Buffers a stream of server-sent events, so that the front forwards only complete events.

use crate::content::Content;

/// Maximum size of an incomplete event, in bytes. Events of engines take about a hundred bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The endpoint sends an event without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// The response ended before its end: inside an event, or without any event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// Buffers the bytes of an incomplete event at the end of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    /// Whether the response contained a complete event.
    started: bool,
    last_id: Option<String>,
}

impl EventBuffer {
    /// The identifier of the last complete event that was returned.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Adds bytes and returns all complete events in the buffer; empty if there are none.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`] if the incomplete event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buffer) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLarge)
            } else {
                Ok(Vec::new())
            };
        };
        self.started = true;
        let rest = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, rest);
        if let Some(id) = find_last_id(&events) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Ends the response. Returns the bytes after its last complete event; in a stream of events,
    /// these are empty lines.
    ///
    /// # Errors
    ///
    /// [`BrokenOff`] if the response is not complete.
    pub fn end(&mut self, content: Content) -> Result<Vec<u8>, BrokenOff> {
        let rest = std::mem::take(&mut self.buffer);
        let inside_event = !rest.iter().all(|byte| b"\r\n".contains(byte));
        let complete = match content {
            Content::Events(framing) => framing.ends_stream(self.started, inside_event),
            Content::Other => true,
        };
        if complete { Ok(rest) } else { Err(BrokenOff) }
    }

    /// Prepares for another response, which resumes the stream after the last complete event and
    /// sends the incomplete one again from its start.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.started = false;
    }
}

/// The position after the last complete event. An empty line ends an event.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|start| start + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|start| start + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// The value of the last `id` field.
fn find_last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
