//! The server: accepts connections, enforces limits on requests, and passes requests to a service.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::Duration;

use fault::Kind;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Request,
    Response,
    Version, //
};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::channel::{
    Receiver,
    Sender,
    bounded, //
};
use smol::future::FutureExt;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use smol::{
    LocalExecutor,
    Timer, //
};
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};

use crate::body::Body;
use crate::exchange::{
    Exchange,
    Head, //
};
use crate::memory::Memory;
use crate::socket::{
    Linger,
    Meter,
    SOCKET_BUFFER_BYTES,
    Socket, //
};

/// Interval at which [`Server::close_within`] checks whether the server has ended.
const CLOSE_POLL: Duration = Duration::from_millis(20);
/// Interval at which a stopping server checks whether its connections are closed.
const DRAIN_POLL: Duration = Duration::from_millis(5);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Receives complete requests. Called on the event loop, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Receives a request. The response may be sent now, or later from any thread.
    fn handle(&self, exchange: Exchange);

    /// Responds to a request that the server rejects, such as one with a body that is too large.
    fn reject(&self, exchange: Exchange, kind: Kind);
}

/// Responds to requests on the event loop.
pub trait Service: 'static {
    /// The body of the responses.
    type Body: http_body::Body<Data = Bytes, Error: Into<BoxedError>> + 'static;

    /// Responds to a request. The future is dropped when the client disconnects.
    fn call(
        &self,
        request: Request<Incoming>,
        id: ListenerId,
    ) -> impl Future<Output = Result<Response<Self::Body>, NoResponse>>;
}

/// The event loop of a server.
pub type EventLoop = Rc<LocalExecutor<'static>>;

/// The listening address on which a request was received: its index in the list given to
/// [`Server::start_service`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerId(pub usize);

/// The type of body errors that the HTTP library requires.
type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Limits on clients' requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Most open connections. Further connections are closed immediately.
    pub max_connections: usize,
    /// Time within which a request head must arrive. This is also how long a connection may be
    /// idle.
    pub idle_timeout: Duration,
    /// Time within which a request body must arrive.
    pub upload_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 8 * 1024 * 1024,
            max_connections: 4096,
            idle_timeout: Duration::from_secs(60),
            upload_timeout: Duration::from_secs(30),
        }
    }
}

/// Why a server cannot start.
#[derive(Debug)]
pub enum EdgeError {
    /// The server cannot listen on the address.
    Listen(SocketAddr, io::Error),
    /// A thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for EdgeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Thread(error) => write!(f, "cannot start a thread: {error}"),
        }
    }
}

impl std::error::Error for EdgeError {}

/// A running server.
pub struct Server {
    addresses: Vec<SocketAddr>,
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

/// The state that the connections of a server share.
struct Shared<S> {
    service: S,
    limits: Limits,
    memory: Option<Memory>,
    connections: Cell<usize>,
    stop: Receiver<()>,
}

impl Server {
    /// Listens on an address, and passes complete requests to `handler` on a dedicated event loop.
    /// Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`EdgeError`] if the server cannot listen on the address or start its thread.
    pub fn start<H: Handler>(
        name: &str,
        listen: SocketAddr,
        limits: Limits,
        handler: H,
    ) -> Result<Self, EdgeError> {
        Self::start_service(name, &[listen], limits, move |_| HandlerService {
            handler,
            limits,
        })
    }

    /// Listens on several addresses, and serves on a dedicated event loop. `make` creates the
    /// service on the thread of the event loop.
    ///
    /// # Errors
    ///
    /// [`EdgeError`] if the server cannot listen on an address or start its thread.
    pub fn start_service<S, F>(
        name: &str,
        listen: &[SocketAddr],
        limits: Limits,
        make: F,
    ) -> Result<Self, EdgeError>
    where
        S: Service,
        F: FnOnce(&EventLoop) -> S + Send + 'static,
    {
        Self::start_bounded(name, listen, limits, None, make)
    }

    /// As [`Server::start_service`], with a memory budget to which connections are charged. The service
    /// charges requests by [`receive`](crate::receive). Connections on the first address only are charged,
    /// so that probes and metrics are served when the budget is used up.
    ///
    /// # Errors
    ///
    /// As [`Server::start_service`].
    pub fn start_bounded<S, F>(
        name: &str,
        listen: &[SocketAddr],
        limits: Limits,
        memory: Option<Memory>,
        make: F,
    ) -> Result<Self, EdgeError>
    where
        S: Service,
        F: FnOnce(&EventLoop) -> S + Send + 'static,
    {
        let mut listeners = Vec::with_capacity(listen.len());
        let mut addresses = Vec::with_capacity(listen.len());
        for address in listen {
            let listen_error = |error| EdgeError::Listen(*address, error);
            let listener = smol::block_on(TcpListener::bind(address)).map_err(listen_error)?;
            if memory.is_some() {
                // Accepted connections inherit the size.
                set_socket_recv_buffer_size(&listener, SOCKET_BUFFER_BYTES)
                    .map_err(|error| listen_error(error.into()))?;
            }
            addresses.push(listener.local_addr().map_err(listen_error)?);
            listeners.push(listener);
        }
        let (stop, stopped) = bounded(1);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || serve(listeners, limits, memory, stopped, make))
            .map_err(EdgeError::Thread)?;
        Ok(Self {
            addresses,
            stop,
            thread,
        })
    }

    /// The address on which the server listens; the first one if there are several.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Stops listening, responds to the requests received so far, and waits for the event loop to
    /// end.
    pub fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }

    /// As [`Server::close`], but waits at most `timeout`. Later responses are lost if the process
    /// ends before them.
    pub fn close_within(self, timeout: Duration) {
        let Self { stop, thread, .. } = self;
        drop(stop);
        // Counts intervals instead of reading the time of day, which may jump.
        for _ in 0..timeout.as_millis() / CLOSE_POLL.as_millis() {
            if thread.is_finished() {
                return;
            }
            thread::sleep(CLOSE_POLL);
        }
    }
}

fn serve<S: Service>(
    listeners: Vec<TcpListener>,
    limits: Limits,
    memory: Option<Memory>,
    stop: Receiver<()>,
    make: impl FnOnce(&EventLoop) -> S,
) {
    let executor: EventLoop = Rc::new(LocalExecutor::new());
    let shared = Rc::new(Shared {
        service: make(&executor),
        limits,
        memory,
        connections: Cell::new(0),
        stop,
    });
    let accepting = listeners.into_iter().enumerate().map(|(index, listener)| {
        let shared = Rc::clone(&shared);
        let tasks = Rc::clone(&executor);
        executor.spawn(async move { listen(&tasks, &shared, &listener, ListenerId(index)).await })
    });
    let accepting: Vec<_> = accepting.collect();
    smol::block_on(executor.run(async {
        for task in accepting {
            task.await;
        }
        while shared.connections.get() > 0 {
            Timer::after(DRAIN_POLL).await;
        }
    }));
}

/// Accepts connections until the server is stopped.
async fn listen<S: Service>(
    executor: &EventLoop,
    shared: &Rc<Shared<S>>,
    listener: &TcpListener,
    id: ListenerId,
) {
    loop {
        let next = async { Some(listener.accept().await) };
        let stop = async {
            let _ = shared.stop.recv().await;
            None
        };
        match stop.or(next).await {
            None => return,
            Some(Ok((stream, _))) => accept(executor, shared, stream, id),
            // Most likely, the process has no free file descriptor. Connections may close during
            // the pause.
            Some(Err(_)) => {
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves an accepted connection, or closes it if the limit is reached.
fn accept<S: Service>(
    executor: &EventLoop,
    shared: &Rc<Shared<S>>,
    stream: TcpStream,
    id: ListenerId,
) {
    if shared.connections.get() >= shared.limits.max_connections {
        return;
    }
    let memory = shared.memory.as_ref().filter(|_| id == ListenerId(0));
    let Some(meter) = Meter::open(memory) else {
        return;
    };
    shared.connections.set(shared.connections.get() + 1);
    let shared = Rc::clone(shared);
    let task = async move {
        let _ = stream.set_nodelay(true);
        connection(&shared, Socket::new(stream, Rc::clone(&meter)), &meter, id).await;
        shared.connections.set(shared.connections.get() - 1);
    };
    executor.spawn(task).detach();
}

/// Serves a connection until it is closed, or the server stops.
async fn connection<S: Service>(
    shared: &Rc<Shared<S>>,
    socket: Socket,
    meter: &Meter,
    id: ListenerId,
) {
    let client = socket.client();
    let bounded = shared.memory.is_some();
    let unframed = Cell::new(false);
    let service = service_fn(|mut request: Request<Incoming>| async {
        meter.begin();
        let version = request.version();
        if bounded {
            request.extensions_mut().insert(client.clone());
        }
        let result = shared.service.call(request, id).await;
        let linger = result
            .as_ref()
            .is_ok_and(|response| response.extensions().get::<Linger>().is_some());
        meter.end(linger);
        if let Ok(response) = &result
            && version == Version::HTTP_10
            && response.body().size_hint().exact().is_none()
        {
            unframed.set(true);
            client.reset_on_close(true);
        }
        result
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.limits.idle_timeout)
        .max_buf_size(shared.limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(FuturesIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let stop = async {
        let _ = shared.stop.recv().await;
        None
    };
    let run = async { Some(connection.as_mut().await) };
    let result = match run.or(stop).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if result.is_ok() && unframed.get() {
        client.reset_on_close(false);
    }
}

/// Passes complete requests to a handler, which may respond from any thread.
struct HandlerService<H> {
    handler: H,
    limits: Limits,
}

impl<H: Handler> Service for HandlerService<H> {
    type Body = Body;

    async fn call(
        &self,
        request: Request<Incoming>,
        _: ListenerId,
    ) -> Result<Response<Body>, NoResponse> {
        let (parts, body) = request.into_parts();
        let head = Head {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
        };
        let (tx, rx) = bounded(1);
        match read_body(body, self.limits).await {
            Ok(body) => self.handler.handle(Exchange::new(head, body.to_vec(), tx)),
            Err(kind) => self
                .handler
                .reject(Exchange::new(head, Vec::new(), tx), kind),
        }
        rx.recv().await.map_err(|_| NoResponse)
    }
}

/// Reads a request's body within the limits.
///
/// # Errors
///
/// The error kind for the response, if the body is too large, too slow or incomplete.
pub async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, Kind> {
    let collect = async {
        let collected = Limited::new(body, limits.body_bytes).collect().await;
        collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    Kind::BodyTooLarge
                } else {
                    Kind::BodyInvalid
                }
            })
    };
    let timeout = async {
        Timer::after(limits.upload_timeout).await;
        Err(Kind::BodyInvalid)
    };
    collect.or(timeout).await
}

/// A request that gets no response. Its connection is closed.
#[derive(Debug)]
pub struct NoResponse;

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no response")
    }
}

impl std::error::Error for NoResponse {}
