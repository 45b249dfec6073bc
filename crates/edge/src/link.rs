//! The client of the data path: one connection for one call, answers read as they come.
//!
//! A connection is never used twice, so a late answer cannot meet another request. Dropping a
//! [`ResponseReader`] closes the connection, which cancels the call at the other side.

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
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::client::CallError;

type Wire = http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// Where and how long to try.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The server.
    pub address: SocketAddr,
    /// How long a connection may take.
    pub connect_timeout: Duration,
    /// How long the beginning of the answer may take.
    pub head_timeout: Duration,
}

/// An answer whose body is read piece by piece.
pub struct ResponseReader {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    wire: Driver,
    body: Incoming,
    rest: Bytes,
    patience: Duration,
}

/// Polls the connection beside whatever waits for it.
struct Driver {
    wire: Pin<Box<Wire>>,
    done: bool,
}

impl Driver {
    async fn run<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        smol::future::poll_fn(|cx| {
            if let Poll::Ready(done) = work.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
            if !self.done && self.wire.as_mut().poll(cx).is_ready() {
                self.done = true;
            }
            work.as_mut().poll(cx)
        })
        .await
    }
}

async fn within<T>(
    span: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let late = async {
        Timer::after(span).await;
        Err(CallError::TimedOut)
    };
    work.or(late).await
}

impl ResponseReader {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether anything may have been sent.
    pub fn open(target: Target, request: Request<Vec<u8>>) -> Result<Self, CallError> {
        smol::block_on(async {
            let connect = async {
                TcpStream::connect(target.address)
                    .await
                    .map_err(CallError::NotConnected)
            };
            let stream = match within(target.connect_timeout, connect).await {
                Err(CallError::TimedOut) => {
                    Err(CallError::NotConnected(io::ErrorKind::TimedOut.into()))
                }
                other => other,
            }?;
            let _ = stream.set_nodelay(true);
            let shake = http1::handshake(FuturesIo::new(stream)).await;
            let (mut sender, wire) =
                shake.map_err(|f| CallError::NotConnected(io::Error::other(f)))?;
            let mut wire = Driver {
                wire: Box::pin(wire),
                done: false,
            };
            let request = request.map(|body| Full::new(Bytes::from(body)));
            let head = async { sender.send_request(request).await.map_err(broken) };
            let response = within(target.head_timeout, wire.run(head)).await?;
            Ok(Self::new(response, wire, target.head_timeout))
        })
    }

    fn new(response: Response<Incoming>, wire: Driver, patience: Duration) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            wire,
            body,
            rest: Bytes::new(),
            patience,
        }
    }

    /// Sets how long each further piece may take.
    pub fn set_read_timeout(&mut self, patience: Duration) {
        self.patience = patience;
    }

    /// The next piece of the body; none after its regular end.
    ///
    /// # Errors
    ///
    /// [`CallError::TimedOut`] if none came in time, [`CallError::Failed`] if the answer broke off.
    pub fn chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        if !self.rest.is_empty() {
            return Ok(Some(std::mem::take(&mut self.rest)));
        }
        smol::block_on(async {
            loop {
                let frame = async { self.body.frame().await.transpose().map_err(broken) };
                match within(self.patience, self.wire.run(frame)).await? {
                    None => return Ok(None),
                    Some(frame) => match frame.into_data() {
                        Ok(data) if !data.is_empty() => return Ok(Some(data)),
                        _ => {}
                    },
                }
            }
        })
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`ResponseReader::chunk`], and [`CallError::TooLarge`] beyond `limit` bytes.
    pub fn read_all(mut self, limit: usize) -> Result<Vec<u8>, CallError> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.chunk()? {
            bytes.extend_from_slice(&piece);
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
        let piece = self.chunk().map_err(|fault| match fault {
            CallError::TimedOut => io::ErrorKind::TimedOut.into(),
            other => io::Error::other(other),
        })?;
        let Some(mut piece) = piece else {
            return Ok(0);
        };
        let take = piece.len().min(buf.len());
        buf[..take].copy_from_slice(&piece.split_to(take));
        self.rest = piece;
        Ok(take)
    }
}

fn broken(fault: hyper::Error) -> CallError {
    CallError::Failed(io::Error::other(fault))
}

/// Builds a request for [`ResponseReader::open`]; hop-by-hop fields and lengths are left to the library.
///
/// # Errors
///
/// [`CallError::Malformed`].
pub fn build_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: Vec<u8>,
) -> Result<Request<Vec<u8>>, CallError> {
    let malformed = |fault: &dyn std::fmt::Display| CallError::Malformed(fault.to_string());
    let uri: Uri = target.parse().map_err(|f| malformed(&f))?;
    let mut request = Request::new(body);
    *request.uri_mut() = uri;
    *request.method_mut() = method.parse::<Method>().map_err(|f| malformed(&f))?;
    let fields = request.headers_mut();
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|f| malformed(&f))?;
        let value: HeaderValue = value.parse().map_err(|f| malformed(&f))?;
        fields.append(name, value);
    }
    for name in HOP_BY_HOP_HEADERS {
        fields.remove(name);
    }
    let host = HeaderValue::from_str(&address.to_string()).map_err(|f| malformed(&f))?;
    fields.insert(HOST, host);
    Ok(request)
}

/// Header fields that belong to one connection and are never passed on.
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
