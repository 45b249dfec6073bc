//! A received request together with the means to respond to it, from any thread.

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

/// How long a full buffer may block a streamed response before the response is aborted.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The part of a request before the body.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The request target: path and query.
    pub uri: Uri,
    /// The header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// The first value of a header field, if the field is present and the value is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request that has no response yet. Dropping it closes the connection without a response.
#[derive(Debug)]
pub struct Exchange {
    /// The part before the body.
    pub head: Box<Head>,
    /// The body.
    pub body: Vec<u8>,
    response: Sender<Response<Body>>,
}

impl Exchange {
    pub(crate) fn new(head: Head, body: Vec<u8>, response: Sender<Response<Body>>) -> Self {
        Self {
            head: Box::new(head),
            body,
            response,
        }
    }

    /// Whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.response.is_closed()
    }

    /// Sends a response with a complete body. If the client has disconnected, the response is
    /// dropped.
    pub fn reply(self, status: u16, headers: HeaderMap, body: Vec<u8>) {
        let body = Body::Full(Some(Bytes::from(body)));
        let _ = self
            .response
            .try_send(build_response(status, headers, body));
    }

    /// Starts a response with a streamed body.
    pub fn stream(self, status: u16, headers: HeaderMap) -> ResponseWriter {
        let (tx, rx) = bounded(STREAM_BUFFER_CHUNKS);
        let _ = self.response.try_send(build_response(
            status,
            headers,
            Body::Streamed(Box::pin(rx), ()),
        ));
        ResponseWriter::new(tx, WRITE_TIMEOUT)
    }
}

fn build_response(status: u16, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut parts: Parts = Response::new(()).into_parts().0;
    parts.status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    parts.headers = headers;
    Response::from_parts(parts, body)
}
