//! The client for short calls to control hosts, the platform and engines' control interfaces.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::{
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1;
use hyper::header::{
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    HeaderName,
    HeaderValue, //
};
use hyper::{
    Method,
    Request,
    Uri, //
};
use rustix::net::sockopt::{
    set_socket_linger,
    set_tcp_user_timeout, //
};
use smol::Timer;
use smol::future::{
    self,
    FutureExt, //
};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::framing::is_final;

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
    /// The permission to send had expired when the connection was open. No byte was sent.
    NotPermitted,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "invalid HTTP request: {error}"),
            Self::NotConnected(error) => write!(f, "connecting failed: {error}"),
            Self::Failed(error) => write!(f, "connection failed during the call: {error}"),
            Self::TimedOut => f.write_str("no response within the timeout"),
            Self::TooLarge => f.write_str("response too large"),
            Self::NotPermitted => f.write_str("the permission to send has expired"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether certainly no byte of the request was sent.
    pub fn unsent(&self) -> bool {
        matches!(
            self,
            Self::Malformed(_) | Self::NotConnected(_) | Self::NotPermitted
        )
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

/// Makes short calls, each on a new connection. A call that ends early resets its connection, so that
/// bytes held up in the network do not arrive later. While the process is suspended, the kernel ends
/// the connection instead.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    timeout: Duration,
}

/// Largest response to a short call. The largest supported configuration is smaller.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

impl Client {
    /// Creates a client whose calls take at most `timeout`, from the connection to the last byte of
    /// the response.
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
        self.run(address, request, || true)
    }

    /// As [`Client::call`] with a POST request, which is sent only if `permitted` still returns true
    /// once the connection is open. The process may have been suspended while it opened.
    ///
    /// # Errors
    ///
    /// [`CallError`]; [`CallError::NotPermitted`] if the request was not sent for that reason.
    pub fn post_if(
        &self,
        address: SocketAddr,
        target: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        permitted: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let request = build(address, "POST", target, headers, body)?;
        self.run(address, request, permitted)
    }

    fn run(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        permitted: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let timeout = async {
            Timer::after(self.timeout).await;
            Err(CallError::TimedOut)
        };
        smol::block_on(exchange(address, request, permitted, self.timeout).or(timeout))
    }
}

/// Opens a connection, sends a request and reads the complete response. The kernel gives up the
/// connection if sent bytes are not acknowledged within `timeout`.
async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    permitted: impl Fn() -> bool,
    timeout: Duration,
) -> Result<Response, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::NotConnected(error),
            _ => CallError::Failed(error),
        })?;
    stream.set_nodelay(true).map_err(CallError::Failed)?;
    set_socket_linger(&stream, Some(Duration::ZERO))
        .map_err(|error| CallError::Failed(error.into()))?;
    // Zero would select the system's default, which is minutes.
    let unacked_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    set_tcp_user_timeout(&stream, unacked_ms.max(1))
        .map_err(|error| CallError::Failed(error.into()))?;
    let handshake = http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(failed)?;
    let drive = async {
        // The request on the connection reports its errors.
        let _ = driver.await;
        future::pending().await
    };
    let call = async {
        if !permitted() {
            return Err(CallError::NotPermitted);
        }
        let response = sender.send_request(request).await.map_err(failed)?;
        let status = response.status().as_u16();
        if !is_final(status) {
            return Err(CallError::Failed(io::ErrorKind::InvalidData.into()));
        }
        let body = read(response.into_body()).await?;
        Ok(Response { status, body })
    };
    call.or(drive).await
}

/// Reads a body up to [`MAX_RESPONSE_BYTES`].
async fn read(mut body: Incoming) -> Result<Vec<u8>, CallError> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(failed)?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(CallError::TooLarge);
        }
    }
    Ok(bytes)
}

fn failed(error: hyper::Error) -> CallError {
    CallError::Failed(io::Error::other(error))
}

/// Builds a request. The library sets the content length from the body.
fn build(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, CallError> {
    let malformed = |error: &dyn fmt::Display| CallError::Malformed(error.to_string());
    let uri: Uri = target.parse().map_err(|error| malformed(&error))?;
    let method: Method = method.parse().map_err(|error| malformed(&error))?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| malformed(&error))?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.uri_mut() = uri;
    *request.method_mut() = method;
    request.headers_mut().insert(HOST, host);
    request
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|error| malformed(&error))?;
        let value: HeaderValue = value.parse().map_err(|error| malformed(&error))?;
        if name != CONTENT_LENGTH {
            request.headers_mut().append(name, value);
        }
    }
    Ok(request)
}
