//! The engine's event stream: split into events, counted, and freed of what only the agent asked
//! for.

use serde::Deserialize;

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Tokens as an engine counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub(crate) struct EngineUsage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    usage: Option<EngineUsage>,
}

/// What an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Carries output.
    Output,
    /// Carries the engine's own count and nothing else.
    Usage(EngineUsage),
    /// Says that the answer is complete.
    Done,
    /// Something else, such as a comment.
    Other,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buf: Vec<u8>,
}

/// An event is longer than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if an event exceeds its bound.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next complete event, its end included.
    pub(crate) fn next(&mut self) -> Option<Vec<u8>> {
        let at = self
            .buf
            .windows(EVENT_END.len())
            .position(|w| w == EVENT_END)?;
        let rest = self.buf.split_off(at + EVENT_END.len());
        Some(std::mem::replace(&mut self.buf, rest))
    }

    /// Whether bytes of an incomplete event are left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Tells what an event is.
pub(crate) fn classify(event: &[u8]) -> Kind {
    let Some(data) = event.strip_prefix(b"data:") else {
        return Kind::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Kind::Done;
    }
    match serde_json::from_slice::<Chunk>(data) {
        Ok(Chunk {
            choices,
            usage: Some(usage),
        }) if choices.is_empty() => Kind::Usage(usage),
        Ok(chunk) if !chunk.choices.is_empty() => Kind::Output,
        _ => Kind::Other,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn split(pieces: &[&[u8]]) -> Vec<Vec<u8>> {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for piece in pieces {
            splitter.push(piece).unwrap();
            events.extend(std::iter::from_fn(|| splitter.next()));
        }
        events
    }

    case::cases! {
        event_in_pieces: assert_eq!(split(&[b"data: a", b"\n", b"\ndata"]), [b"data: a\n\n"]);
        two_events_in_one_piece: assert_eq!(split(&[b"data: a\n\ndata: b\n\n"]).len(), 2);
        end_of_stream: assert_eq!(classify(b"data: [DONE]\n\n"), Kind::Done);
        output: assert_eq!(classify(br#"data: {"choices":[{"delta":{}}]}"#), Kind::Output);
        usage: assert_eq!(
            classify(br#"data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":5}}"#),
            Kind::Usage(EngineUsage { prompt_tokens: 3, completion_tokens: 5 })
        );
        comment: assert_eq!(classify(b": ping\n\n"), Kind::Other);
        noise: assert_eq!(classify(b"data: {{{{\n\n"), Kind::Other);
        overlong_event: assert_eq!(Splitter::default().push(&vec![0; 5 << 20]), Err(TooLong));
    }
}
