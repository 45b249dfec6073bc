//! Which ends of a response to a stream's request are complete, and which are broken off.

use edge::Framing;
use front::{
    BrokenOff,
    Content,
    EventBuffer, //
};
use hyper::HeaderMap;
use hyper::header::{
    HeaderName,
    HeaderValue, //
};

const EVENTS: (&str, &str) = ("content-type", "text/event-stream; charset=utf-8");
const JSON: (&str, &str) = ("content-type", "application/json");
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");

const CHUNKS: Content = Content::Events(Framing::Chunks);
const UNFRAMED: Content = Content::Events(Framing::Connection);

fn content(fields: &[(&'static str, &'static str)], length: Option<u64>) -> Content {
    let fields = fields.iter().map(|(name, value)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    });
    Content::of(&HeaderMap::from_iter(fields), length)
}

/// Receives the pieces of a body, and ends it.
fn end(content: Content, pieces: &[&str]) -> Result<String, BrokenOff> {
    let mut events = EventBuffer::default();
    for piece in pieces {
        events.push(piece.as_bytes()).unwrap();
    }
    let rest = events.end(content)?;
    Ok(String::from_utf8(rest).unwrap())
}

/// Ends a response that resumes a stream and consists of `piece`.
fn end_resumed(content: Content, piece: &str) -> Result<Vec<u8>, BrokenOff> {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    events.restart();
    events.push(piece.as_bytes()).unwrap();
    assert!(!events.last_id().unwrap().is_empty());
    events.end(content)
}

case::cases! {
    events_in_chunks: assert_eq!(content(&[EVENTS, CHUNKED], None), CHUNKS);
    events_until_the_connection_ends: assert_eq!(content(&[EVENTS], None), UNFRAMED);
    unnamed_content_is_events: assert_eq!(content(&[], None), UNFRAMED);
    type_in_capitals: {
        let fields = [("content-type", "Text/Event-Stream")];
        assert_eq!(content(&fields, None), UNFRAMED);
    };
    other_content: assert_eq!(content(&[JSON], None), Content::Other);
    other_content_in_chunks: assert_eq!(content(&[JSON, CHUNKED], None), Content::Other);
    stated_length: assert_eq!(content(&[EVENTS], Some(6)), Content::Events(Framing::Length));
    after_an_event: {
        for content in [CHUNKS, UNFRAMED] {
            assert_eq!(end(content, &["data: a\n\n"]), Ok(String::new()));
            assert_eq!(end(content, &["data: a\r\n\r\n"]), Ok(String::new()));
        }
    };
    after_more_empty_lines: {
        for content in [CHUNKS, UNFRAMED] {
            assert_eq!(end(content, &["data: a\n\n", "\r\n"]).as_deref(), Ok("\r\n"));
        }
    };
    inside_an_event: {
        for content in [CHUNKS, UNFRAMED] {
            assert_eq!(end(content, &["data: a\n\ndat"]), Err(BrokenOff));
            assert_eq!(end(content, &["data: a\n\n", "data: b\n"]), Err(BrokenOff));
            assert_eq!(end(content, &["data: a\n\ndata: b\r\n\r"]), Err(BrokenOff));
            assert_eq!(end(content, &["dat"]), Err(BrokenOff));
        }
    };
    without_an_event: {
        assert_eq!(end(UNFRAMED, &[]), Err(BrokenOff));
        assert_eq!(end(CHUNKS, &[]), Ok(String::new()));
    };
    whole_response_without_an_event: {
        for content in [Content::Other, Content::Events(Framing::Length)] {
            assert_eq!(end(content, &["ser", "ved"]).as_deref(), Ok("served"));
            assert_eq!(end(content, &[]), Ok(String::new()));
        }
    };
    resumed_stream_starts_anew: {
        assert_eq!(end_resumed(UNFRAMED, ""), Err(BrokenOff));
        assert_eq!(end_resumed(UNFRAMED, "id: 2\ndata: b\n\n"), Ok(Vec::new()));
        assert_eq!(end_resumed(CHUNKS, ""), Ok(Vec::new()));
    };
}
