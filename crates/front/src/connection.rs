//! Connections to endpoints, kept between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use edge::{
    EventLoop,
    LARGE_SOCKET_BUFFER_BYTES,
    Payload,
    SOCKET_BUFFER_BYTES, //
};
use hyper::body::Incoming;
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper::{
    Request,
    Response, //
};
use ids::{
    Clock,
    Monotonic,
    Tick, //
};
use relay::Failure;
use rustix::net::sockopt::{
    set_socket_linger,
    set_socket_recv_buffer_size,
    set_socket_send_buffer_size, //
};
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::{
    Task,
    Timer, //
};
use smol_hyper::rt::FuturesIo;

/// Maximum time that a connection is kept idle, even if the endpoint allows more. The front notices
/// that an endpoint no longer exists only when it uses the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The same limit for requests that must be executed at most once. If such a request is lost on a
/// reused connection, the endpoint may have executed it, so it cannot be retried.
const IDLE_TIMEOUT_AT_MOST_ONCE: Duration = Duration::from_millis(700);
/// Divides the keep-alive time that an endpoint states, so that the front stops using an idle
/// connection before the endpoint closes it.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Timeout of opening a connection. Endpoints are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which an endpoint that does not respond to a connection attempt does not count as
/// refusing it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a connection may take to be ready for its next request after the end of a response. A
/// connection that takes longer is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of a body above which the connection gets a larger send buffer.
const LARGE_BODY_BYTES: usize = 64 * 1024;
/// Limit on the buffers of a connection, and so on the head of a response. Heads of engines take less
/// than a kilobyte.
const BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections for each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// A connection to an endpoint. Dropping it resets the TCP connection, so the endpoint cancels the
/// request immediately and delayed bytes of the request never reach it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Payload>,
    _driver: Task<()>,
    stream: TcpStream,
    address: SocketAddr,
    instance: String,
}

impl Connection {
    /// Enlarges the send buffer for a large body, whose share of the memory budget covers it.
    fn prepare(&self, large: bool) {
        if large {
            // A connection that has failed is noticed when it is used.
            let _ = set_socket_send_buffer_size(&self.stream, LARGE_SOCKET_BUFFER_BYTES);
        }
    }
}

struct Idle {
    connection: Connection,
    expires_at: Tick,
    /// When the connection expires for requests that must be executed at most once.
    fresh_until: Tick,
}

/// Idle connections by address and instance.
type IdleByEndpoint = HashMap<(SocketAddr, String), Vec<Idle>>;

/// Opens connections to endpoints and reuses idle ones.
#[derive(Clone)]
pub(crate) struct Connections {
    tasks: EventLoop,
    idle: Rc<RefCell<IdleByEndpoint>>,
    clock: Monotonic,
}

/// The endpoint that an attempt is sent to.
pub(crate) struct Target<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) instance: &'a str,
    /// Whether the request must be executed at most once.
    pub(crate) once: bool,
}

impl Connections {
    pub(crate) fn new(tasks: EventLoop, clock: Monotonic) -> Self {
        Self {
            tasks,
            idle: Rc::default(),
            clock,
        }
    }

    /// Sends a request on an idle connection, or on a new one if none is idle. Returns the
    /// response, the connection, and whether the connection is new.
    pub(crate) async fn send(
        &self,
        target: &Target<'_>,
        request: Request<Payload>,
    ) -> Result<(Response<Incoming>, Connection, bool), Failure> {
        let mut request = request;
        let large = request.body().len() > LARGE_BODY_BYTES;
        while let Some(mut connection) = self.take(target) {
            connection.prepare(large);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection, false)),
                Err(mut error) => match error.take_message() {
                    // The endpoint closed the idle connection before any part of the request was
                    // sent.
                    Some(unsent) => request = unsent,
                    None => return Err(connection_failure(&error.into_error())),
                },
            }
        }
        let mut connection = self.connect(target).await.map_err(|_| Failure::Unreached)?;
        connection.prepare(large);
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection, true)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Unreached),
                None => Err(connection_failure(&error.into_error())),
            },
        }
    }

    /// Keeps a connection for reuse after its response was read completely.
    pub(crate) fn keep(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let connections = self.clone();
        let task = async move {
            let timeout = async {
                Timer::after(REUSE_TIMEOUT).await;
                false
            };
            let ready = async { connection.sender.ready().await.is_ok() };
            if ready.or(timeout).await {
                connections.put(connection, keep_alive);
            }
        };
        self.tasks.spawn(task).detach();
    }

    fn put(&self, connection: Connection, keep_alive: Option<Duration>) {
        let now = self.clock.now();
        let timeout = keep_alive.map_or(IDLE_TIMEOUT, |time| {
            (time / KEEP_ALIVE_DIVISOR).min(IDLE_TIMEOUT)
        });
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
        let connections = idle
            .entry((connection.address, connection.instance.clone()))
            .or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(Idle {
                connection,
                expires_at: now + timeout,
                fresh_until: now + timeout.min(IDLE_TIMEOUT_AT_MOST_ONCE),
            });
        }
    }

    /// Takes the most recently used idle connection that has not expired.
    fn take(&self, target: &Target<'_>) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&(target.address, target.instance.to_owned()))?;
        while let Some(idle) = connections.pop() {
            let expires_at = if target.once {
                idle.fresh_until
            } else {
                idle.expires_at
            };
            if now < expires_at && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Whether an endpoint refuses a new connection.
    pub(crate) async fn refused(&self, address: SocketAddr) -> bool {
        let timeout = async {
            Timer::after(REFUSAL_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = TcpStream::connect(address).or(timeout).await;
        connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    async fn connect(&self, target: &Target<'_>) -> io::Result<Connection> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(target.address).or(timeout).await?;
        stream.set_nodelay(true)?;
        set_socket_linger(&stream, Some(Duration::ZERO))?;
        // By default, the kernel would buffer megabytes for an endpoint or a caller that reads slowly.
        set_socket_recv_buffer_size(&stream, SOCKET_BUFFER_BYTES)?;
        set_socket_send_buffer_size(&stream, SOCKET_BUFFER_BYTES)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream.clone())).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let driver = self.tasks.spawn(async move {
            // Requests on the connection report its errors, so the result is not needed here.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            _driver: driver,
            stream,
            address: target.address,
            instance: target.instance.to_owned(),
        })
    }
}

fn connection_failure(error: &hyper::Error) -> Failure {
    if error.is_parse() {
        Failure::Garbled
    } else {
        Failure::Broken
    }
}
