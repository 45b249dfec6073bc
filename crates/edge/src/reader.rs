//! The client of the request path: reads a response while it arrives.
//!
//! Each call has a connection of its own, so that a late response cannot be taken for the response
//! to another request. Dropping a [`ResponseReader`] resets the connection, which cancels the call
//! at the server, also if the request has not arrived there yet.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};
use hyper::client::conn::http1;
use hyper::header::{
    HOST,
    HeaderName,
    HeaderValue, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    Uri, //
};
use rustix::net::sockopt::set_socket_linger;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::client::CallError;
use crate::framing::{
    Framing,
    is_final, //
};

type HttpConnection = http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// The server of a call, and the timeouts of its first steps.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The server.
    pub address: SocketAddr,
    /// Timeout for the connection.
    pub connect_timeout: Duration,
    /// Timeout for the head of the response, from the time when the connection is established.
    pub head_timeout: Duration,
}

/// A response whose body is read in chunks.
pub struct ResponseReader {
    /// The HTTP status.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// What marks the end of the body.
    pub framing: Framing,
    driver: Driver,
    body: Incoming,
    /// The part of the last chunk that [`io::Read`] has not returned yet.
    unread: Bytes,
    read_timeout: Duration,
}

/// Polls the connection while a future that depends on it is pending.
struct Driver {
    connection: Pin<Box<HttpConnection>>,
    done: bool,
}

impl Driver {
    async fn run<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        smol::future::poll_fn(|cx| {
            if let Poll::Ready(output) = work.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            if !self.done && self.connection.as_mut().poll(cx).is_ready() {
                self.done = true;
            }
            work.as_mut().poll(cx)
        })
        .await
    }
}

/// Runs a future with a timeout.
async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let expired = async {
        Timer::after(timeout).await;
        Err(CallError::TimedOut)
    };
    work.or(expired).await
}

impl ResponseReader {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`CallError`]. See [`CallError::unsent`] for whether the request may have been sent.
    pub fn open(target: Target, request: Request<Vec<u8>>) -> Result<Self, CallError> {
        smol::block_on(async {
            let connect = async {
                TcpStream::connect(target.address)
                    .await
                    .map_err(CallError::NotConnected)
            };
            let stream = match with_timeout(target.connect_timeout, connect).await {
                Err(CallError::TimedOut) => {
                    Err(CallError::NotConnected(io::ErrorKind::TimedOut.into()))
                }
                result => result,
            }?;
            let _ = stream.set_nodelay(true);
            set_socket_linger(&stream, Some(Duration::ZERO))
                .map_err(|error| CallError::NotConnected(error.into()))?;
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            let (mut sender, connection) =
                handshake.map_err(|error| CallError::NotConnected(io::Error::other(error)))?;
            let mut driver = Driver {
                connection: Box::pin(connection),
                done: false,
            };
            let request = request.map(|body| Full::new(Bytes::from(body)));
            let head = async { sender.send_request(request).await.map_err(failed) };
            let response = with_timeout(target.head_timeout, driver.run(head)).await?;
            if !is_final(response.status().as_u16()) {
                return Err(CallError::Failed(io::ErrorKind::InvalidData.into()));
            }
            Ok(Self::new(response, driver, target.head_timeout))
        })
    }

    fn new(response: Response<Incoming>, driver: Driver, read_timeout: Duration) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status.as_u16(),
            framing: Framing::of(&parts.headers, body.size_hint().exact()),
            headers: parts.headers,
            driver,
            body,
            unread: Bytes::new(),
            read_timeout,
        }
    }

    /// Sets the timeout for each further chunk. Until then it is [`Target::head_timeout`].
    pub fn set_read_timeout(&mut self, timeout: Duration) {
        self.read_timeout = timeout;
    }

    /// The next chunk of the body; `None` after its end.
    ///
    /// # Errors
    ///
    /// [`CallError::TimedOut`] if no chunk arrives in time; [`CallError::Failed`] if the connection
    /// fails before the end of the body.
    pub fn chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        if !self.unread.is_empty() {
            return Ok(Some(std::mem::take(&mut self.unread)));
        }
        smol::block_on(async {
            loop {
                let frame = async { self.body.frame().await.transpose().map_err(failed) };
                match with_timeout(self.read_timeout, self.driver.run(frame)).await? {
                    None => return Ok(None),
                    Some(frame) => match frame.into_data() {
                        Ok(data) if !data.is_empty() => return Ok(Some(data)),
                        _ => {}
                    },
                }
            }
        })
    }

    /// Reads the remaining body.
    ///
    /// # Errors
    ///
    /// As [`ResponseReader::chunk`]; [`CallError::TooLarge`] if more than `limit` bytes arrive.
    pub fn read_all(mut self, limit: usize) -> Result<Vec<u8>, CallError> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.chunk()? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > limit {
                return Err(CallError::TooLarge);
            }
        }
        Ok(bytes)
    }
}

impl io::Read for ResponseReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if buf.is_empty() {
            return Ok(0);
        }
        let chunk = self.chunk().map_err(|error| match error {
            CallError::TimedOut => io::ErrorKind::TimedOut.into(),
            error => io::Error::other(error),
        })?;
        let Some(mut chunk) = chunk else {
            return Ok(0);
        };
        let count = chunk.len().min(buf.len());
        buf[..count].copy_from_slice(&chunk.split_to(count));
        self.unread = chunk;
        Ok(count)
    }
}

fn failed(error: hyper::Error) -> CallError {
    CallError::Failed(io::Error::other(error))
}

/// Builds a request for [`ResponseReader::open`]. Removes the hop-by-hop fields, which the library
/// sets.
///
/// # Errors
///
/// [`CallError::Malformed`] if a part of the request is not valid HTTP.
pub fn build_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: Vec<u8>,
) -> Result<Request<Vec<u8>>, CallError> {
    let malformed = |error: &dyn std::fmt::Display| CallError::Malformed(error.to_string());
    let uri: Uri = target.parse().map_err(|error| malformed(&error))?;
    let mut request = Request::new(body);
    *request.uri_mut() = uri;
    *request.method_mut() = method
        .parse::<Method>()
        .map_err(|error| malformed(&error))?;
    let fields = request.headers_mut();
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|error| malformed(&error))?;
        let value: HeaderValue = value.parse().map_err(|error| malformed(&error))?;
        fields.append(name, value);
    }
    for name in HOP_BY_HOP_HEADERS {
        fields.remove(name);
    }
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| malformed(&error))?;
    fields.insert(HOST, host);
    Ok(request)
}

/// Header fields that apply to one connection only and are never forwarded, in lower case.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
];
