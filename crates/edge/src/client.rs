//! The client for short calls to control hosts, the platform and engines' side interfaces.

use std::fmt;
use std::io::{
    self,
    Read, //
};
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::model::header::CONTENT_LENGTH;
use oxhttp::model::{
    Body,
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Uri, //
};

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// The request is not valid HTTP; nothing was sent.
    Malformed(String),
    /// No connection; nothing was sent.
    NotConnected(io::Error),
    /// The connection failed after something may have been sent.
    Failed(io::Error),
    /// Nothing came in time.
    TimedOut,
    /// The answer has more bytes than expected.
    TooLarge,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(fault) => write!(f, "the request is malformed: {fault}"),
            Self::NotConnected(fault) => write!(f, "no connection: {fault}"),
            Self::Failed(fault) => write!(f, "the connection failed: {fault}"),
            Self::TimedOut => f.write_str("no answer came in time"),
            Self::TooLarge => f.write_str("the answer is too large"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether it is certain that no byte of the request left.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::NotConnected(_))
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Makes short calls, one connection each.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    patience: Duration,
}

/// Largest answer to a short call, in bytes; a full configuration of the largest size is below.
const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

impl Client {
    /// A client that waits at most `patience` for the connection and for each read.
    pub fn new(patience: Duration) -> Self {
        Self { patience }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether anything may have been sent.
    pub fn call(
        &self,
        address: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response, CallError> {
        let request = build(address, method, target, headers, body)?;
        let client = oxhttp::Client::new().with_global_timeout(self.patience);
        let answer = client
            .request(request)
            .map_err(|fault| match fault.kind() {
                io::ErrorKind::ConnectionRefused => CallError::NotConnected(fault),
                io::ErrorKind::WouldBlock => CallError::TimedOut,
                _ => CallError::Failed(fault),
            })?;
        let status = answer.status().as_u16();
        let mut body = answer.into_body();
        let expected = body.len();
        let mut bytes = Vec::new();
        let read = body
            .by_ref()
            .take(MAX_REPLY_BYTES + 1)
            .read_to_end(&mut bytes);
        read.map_err(CallError::Failed)?;
        if bytes.len() as u64 > MAX_REPLY_BYTES {
            return Err(CallError::TooLarge);
        }
        if expected.is_some_and(|expected| expected != bytes.len() as u64) {
            return Err(CallError::Failed(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(Response {
            status,
            body: bytes,
        })
    }
}

fn build(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Request<Body>, CallError> {
    let malformed = |fault: &dyn fmt::Display| CallError::Malformed(fault.to_string());
    let uri: Uri = format!("http://{address}{target}")
        .parse()
        .map_err(|f| malformed(&f))?;
    let method: Method = method.parse().map_err(|f| malformed(&f))?;
    let mut request = Request::new(Body::from(body));
    *request.uri_mut() = uri;
    *request.method_mut() = method;
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|f| malformed(&f))?;
        let value: HeaderValue = value.parse().map_err(|f| malformed(&f))?;
        if name != CONTENT_LENGTH {
            request.headers_mut().append(name, value);
        }
    }
    Ok(request)
}
