//! The client for short calls to control hosts, the platform and engines' control interfaces.

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
    /// The request is not valid HTTP. No byte was sent.
    Malformed(String),
    /// The connection could not be established. No byte was sent.
    NotConnected(io::Error),
    /// The connection failed. The request may have been sent, in part or completely.
    Failed(io::Error),
    /// The response, or the next chunk of its body, did not arrive in time.
    TimedOut,
    /// The response is larger than the limit.
    TooLarge,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "invalid HTTP request: {error}"),
            Self::NotConnected(error) => write!(f, "connecting failed: {error}"),
            Self::Failed(error) => write!(f, "connection failed during the call: {error}"),
            Self::TimedOut => f.write_str("no response within the timeout"),
            Self::TooLarge => f.write_str("response too large"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether certainly no byte of the request was sent.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::NotConnected(_))
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Makes short calls, each on a new connection.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    timeout: Duration,
}

/// Largest response to a short call. The largest supported configuration is smaller.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

impl Client {
    /// Creates a client that waits at most `timeout` for the connection and for each read.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`CallError`]. See [`CallError::unsent`] for whether the request may have been sent.
    pub fn call(
        &self,
        address: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response, CallError> {
        let request = build(address, method, target, headers, body)?;
        let client = oxhttp::Client::new().with_global_timeout(self.timeout);
        let response = client
            .request(request)
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => CallError::NotConnected(error),
                io::ErrorKind::WouldBlock => CallError::TimedOut,
                _ => CallError::Failed(error),
            })?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let expected = body.len();
        let mut bytes = Vec::new();
        let read = body
            .by_ref()
            .take(MAX_RESPONSE_BYTES + 1)
            .read_to_end(&mut bytes);
        read.map_err(CallError::Failed)?;
        if bytes.len() as u64 > MAX_RESPONSE_BYTES {
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

/// Builds a request. The library sets the content length from the body.
fn build(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Request<Body>, CallError> {
    let malformed = |error: &dyn fmt::Display| CallError::Malformed(error.to_string());
    let uri: Uri = format!("http://{address}{target}")
        .parse()
        .map_err(|error| malformed(&error))?;
    let method: Method = method.parse().map_err(|error| malformed(&error))?;
    let mut request = Request::new(Body::from(body));
    *request.uri_mut() = uri;
    *request.method_mut() = method;
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|error| malformed(&error))?;
        let value: HeaderValue = value.parse().map_err(|error| malformed(&error))?;
        if name != CONTENT_LENGTH {
            request.headers_mut().append(name, value);
        }
    }
    Ok(request)
}
