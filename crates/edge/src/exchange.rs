//! One request and the means to answer it, from any thread.

use std::time::Duration;

use hyper::body::Bytes;
use hyper::http::response::Parts;
use hyper::{
    HeaderMap,
    Method,
    Response,
    StatusCode,
    Uri, //
};
use smol::channel::{
    Sender,
    bounded, //
};

use crate::body::{
    Body,
    ResponseWriter,
    STREAM_BUFFER_CHUNKS, //
};

/// How long a streamed answer waits for a slow caller before it is broken off.
const SLOW_CALLER: Duration = Duration::from_secs(20);

/// What came before a request's body.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// A header field's value, if it is there once and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request that waits for its answer. Dropping it closes the connection without one.
#[derive(Debug)]
pub struct Exchange {
    /// What came before the body.
    pub head: Box<Head>,
    /// The body.
    pub body: Vec<u8>,
    answer: Sender<Response<Body>>,
}

impl Exchange {
    pub(crate) fn new(head: Head, body: Vec<u8>, answer: Sender<Response<Body>>) -> Self {
        Self {
            head: Box::new(head),
            body,
            answer,
        }
    }

    /// Whether the caller hung up.
    pub fn is_disconnected(&self) -> bool {
        self.answer.is_closed()
    }

    /// Answers with a whole body. An answer to a caller that hung up is dropped.
    pub fn reply(self, status: u16, headers: HeaderMap, body: Vec<u8>) {
        let whole = Body::Full(Some(Bytes::from(body)));
        let _ = self.answer.try_send(response(status, headers, whole));
    }

    /// Answers with a body that is streamed.
    pub fn stream(self, status: u16, headers: HeaderMap) -> ResponseWriter {
        let (tx, rx) = bounded(STREAM_BUFFER_CHUNKS);
        let _ = self
            .answer
            .try_send(response(status, headers, Body::Streamed(Box::pin(rx), ())));
        ResponseWriter::new(tx, SLOW_CALLER)
    }
}

fn response(status: u16, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut parts: Parts = Response::new(()).into_parts().0;
    parts.status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    parts.headers = headers;
    Response::from_parts(parts, body)
}
