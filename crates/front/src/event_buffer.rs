//! Splits a stream of events, so that only whole events are passed on.

/// Bytes of a stream of events that have not been passed on.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    last: Option<String>,
}

impl EventBuffer {
    /// The identity of the last whole event taken.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Adds bytes and takes the whole events among those held; empty if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_end(&self.buffer) else {
            return Vec::new();
        };
        let rest = self.buffer.split_off(end);
        let whole = std::mem::replace(&mut self.buffer, rest);
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Takes what is left at the regular end of a stream.
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

/// Where the last whole event ends: after an empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = find_last(bytes, b"\n\n").map(|at| at + 2);
    let carriage = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// The value of the last `id` field.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
