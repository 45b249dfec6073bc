//! Splits the engine's stream of server-sent events and classifies the events, so that the agent can
//! count tokens and remove the usage event that only the agent requested.

use serde::Deserialize;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// The token counts that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub(crate) struct EngineUsage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

/// The fields of a chunk of a streamed completion that decide how its event is classified.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    usage: Option<EngineUsage>,
}

/// The class of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// Contains output.
    Output,
    /// Contains the engine's token counts and no output.
    Usage(EngineUsage),
    /// Marks the end of a complete response.
    Done,
    /// Something else, such as a comment.
    Other,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buf: Vec<u8>,
}

/// The error for an event that exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLong;

impl Splitter {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if the bytes not yet split exceed the maximum length of an event.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the next complete event and returns it, including the blank line at its end.
    pub(crate) fn next(&mut self) -> Option<Vec<u8>> {
        let end = self
            .buf
            .windows(EVENT_END.len())
            .position(|w| w == EVENT_END)?;
        let remaining = self.buf.split_off(end + EVENT_END.len());
        Some(std::mem::replace(&mut self.buf, remaining))
    }

    /// Whether no bytes of an incomplete event are left.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Follows a stream of events that is forwarded unchanged.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Whether the stream contained a complete event.
    pub(crate) started: bool,
    /// Whether the stream is inside an event.
    pub(crate) inside_event: bool,
    /// Whether the current line has content.
    inside_line: bool,
}

impl Progress {
    /// Follows further bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if self.inside_line => self.inside_line = false,
                b'\n' => {
                    self.started |= self.inside_event;
                    self.inside_event = false;
                }
                b'\r' => {}
                _ => (self.inside_line, self.inside_event) = (true, true),
            }
        }
    }
}

/// Classifies an event.
pub(crate) fn classify(event: &[u8]) -> EventKind {
    let Some(data) = event.strip_prefix(b"data:") else {
        return EventKind::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return EventKind::Done;
    }
    match serde_json::from_slice::<Chunk>(data) {
        Ok(Chunk {
            choices,
            usage: Some(usage),
        }) if choices.is_empty() => EventKind::Usage(usage),
        Ok(chunk) if !chunk.choices.is_empty() => EventKind::Output,
        _ => EventKind::Other,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn split(chunks: &[&[u8]]) -> Vec<Vec<u8>> {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in chunks {
            splitter.push(chunk).unwrap();
            events.extend(std::iter::from_fn(|| splitter.next()));
        }
        events
    }

    /// Whether the stream has started, and whether it is inside an event.
    fn progress(chunks: &[&[u8]]) -> (bool, bool) {
        let mut progress = Progress::default();
        chunks.iter().for_each(|chunk| progress.push(chunk));
        (progress.started, progress.inside_event)
    }

    case::cases! {
        progress_before_an_event: {
            assert_eq!(progress(&[]), (false, false));
            assert_eq!(progress(&[b"\r\n", b"\n"]), (false, false));
        };
        progress_inside_the_first_event: {
            for event in [&b"da"[..], b"data: a\n", b"data: a\r\n\r", b"data: a\ndata: b"] {
                assert_eq!(progress(&[event]), (false, true));
            }
        };
        progress_after_an_event: {
            assert_eq!(progress(&[b"data: a\n", b"\n"]), (true, false));
            assert_eq!(progress(&[b"data: a\r\n\r", b"\n"]), (true, false));
            assert_eq!(progress(&[b"data: a\n\n\n"]), (true, false));
        };
        progress_inside_a_later_event: assert_eq!(progress(&[b"data: a\n\n", b"d"]), (true, true));
        event_split_across_pushes: assert_eq!(split(&[b"data: a", b"\n", b"\ndata"]), [b"data: a\n\n"]);
        two_events_in_one_push: assert_eq!(split(&[b"data: a\n\ndata: b\n\n"]).len(), 2);
        end_of_stream: assert_eq!(classify(b"data: [DONE]\n\n"), EventKind::Done);
        output: assert_eq!(classify(br#"data: {"choices":[{"delta":{}}]}"#), EventKind::Output);
        usage: assert_eq!(
            classify(br#"data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":5}}"#),
            EventKind::Usage(EngineUsage { prompt_tokens: 3, completion_tokens: 5 })
        );
        comment: assert_eq!(classify(b": ping\n\n"), EventKind::Other);
        invalid_json: assert_eq!(classify(b"data: {{{{\n\n"), EventKind::Other);
        overlong_event: assert_eq!(Splitter::default().push(&vec![0; 5 << 20]), Err(TooLong));
    }
}
