//! The server: accepts connections, bounds what callers may send, and hands requests over.

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
    Bytes,
    Incoming, //
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Request,
    Response, //
};
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

/// How often a server that is being closed is looked at.
const CLOSE_POLL: Duration = Duration::from_millis(20);

/// Takes requests. Called on the event loop, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Takes one request, to be answered now or later from any thread.
    fn handle(&self, exchange: Exchange);

    /// Answers a request that broke a limit of the edge.
    fn reject(&self, exchange: Exchange, kind: Kind);
}

/// Answers requests on the event loop itself.
pub trait Service: 'static {
    /// The body of its answers.
    type Body: http_body::Body<Data = Bytes, Error: Into<BoxedError>> + 'static;

    /// Answers one request. Dropped when the caller hangs up.
    fn call(
        &self,
        request: Request<Incoming>,
        id: ListenerId,
    ) -> impl Future<Output = Result<Response<Self::Body>, NoResponse>>;
}

/// The event loop of a server.
pub type EventLoop = Rc<LocalExecutor<'static>>;

/// The one of a server's listening addresses that a request came in by, in the order given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerId(pub usize);

/// A body's error as the HTTP library wants it.
type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes before the body.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Most connections at once; more are closed at once.
    pub max_connections: usize,
    /// How long the head may take to arrive, also on an idle connection.
    pub idle_timeout: Duration,
    /// How long the body may take to arrive.
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
    /// The address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// A thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for EdgeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, fault) => write!(f, "cannot listen on {address}: {fault}"),
            Self::Thread(fault) => write!(f, "cannot start a thread: {fault}"),
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

struct Shared<S> {
    service: S,
    limits: Limits,
    open: Cell<usize>,
    stop: Receiver<()>,
}

impl Server {
    /// Listens on an address and serves on an event loop of its own. Port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// [`EdgeError`], if the address or a thread is not to be had.
    pub fn start<H: Handler>(
        name: &str,
        listen: SocketAddr,
        limits: Limits,
        handler: H,
    ) -> Result<Self, EdgeError> {
        Self::start_service(name, &[listen], limits, move |_| Handled {
            handler,
            limits,
        })
    }

    /// Listens on several addresses and answers on an event loop of its own, by a service that is
    /// made on it.
    ///
    /// # Errors
    ///
    /// [`EdgeError`], if an address or a thread is not to be had.
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
        let mut listeners = Vec::with_capacity(listen.len());
        let mut addresses = Vec::with_capacity(listen.len());
        for at in listen {
            let fault = |fault| EdgeError::Listen(*at, fault);
            let listener = smol::block_on(TcpListener::bind(at)).map_err(fault)?;
            addresses.push(listener.local_addr().map_err(fault)?);
            listeners.push(listener);
        }
        let (stop, stopped) = bounded(1);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || serve(listeners, limits, stopped, make))
            .map_err(EdgeError::Thread)?;
        Ok(Self {
            addresses,
            stop,
            thread,
        })
    }

    /// Where the server listens; the first address if there are several.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Stops listening, answers what was received, and ends.
    pub fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }

    /// Stops listening, answers what was received within a span, and breaks off the rest.
    pub fn close_within(self, span: Duration) {
        let Self { stop, thread, .. } = self;
        drop(stop);
        // Counted in steps, since the time of day may jump meanwhile.
        for _ in 0..span.as_millis() / CLOSE_POLL.as_millis() {
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
    stop: Receiver<()>,
    make: impl FnOnce(&EventLoop) -> S,
) {
    let executor: EventLoop = Rc::new(LocalExecutor::new());
    let shared = Rc::new(Shared {
        service: make(&executor),
        limits,
        open: Cell::new(0),
        stop,
    });
    let accepting = listeners.into_iter().enumerate().map(|(at, listener)| {
        let shared = Rc::clone(&shared);
        let tasks = Rc::clone(&executor);
        executor.spawn(async move { listen(&tasks, &shared, &listener, ListenerId(at)).await })
    });
    let accepting: Vec<_> = accepting.collect();
    smol::block_on(executor.run(async {
        for task in accepting {
            task.await;
        }
        while shared.open.get() > 0 {
            Timer::after(Duration::from_millis(5)).await;
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
            // Out of descriptors, most likely; wait for some to be closed.
            Some(Err(_)) => {
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

fn accept<S: Service>(
    executor: &EventLoop,
    shared: &Rc<Shared<S>>,
    stream: TcpStream,
    id: ListenerId,
) {
    if shared.open.get() >= shared.limits.max_connections {
        return;
    }
    shared.open.set(shared.open.get() + 1);
    let shared = Rc::clone(shared);
    let task = async move {
        let _ = stream.set_nodelay(true);
        connection(&shared, stream, id).await;
        shared.open.set(shared.open.get() - 1);
    };
    executor.spawn(task).detach();
}

async fn connection<S: Service>(shared: &Rc<Shared<S>>, stream: TcpStream, id: ListenerId) {
    let service = service_fn(|request| shared.service.call(request, id));
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.limits.idle_timeout)
        .max_buf_size(shared.limits.head_bytes.max(8192))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let stop = async {
        let _ = shared.stop.recv().await;
        false
    };
    let run = async {
        let _ = connection.as_mut().await;
        true
    };
    if run.or(stop).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Hands whole requests to a handler, which may answer from any thread.
struct Handled<H> {
    handler: H,
    limits: Limits,
}

impl<H: Handler> Service for Handled<H> {
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
/// The kind to be answered with, if it is too large, too slow or broken off.
pub async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, Kind> {
    let whole = async {
        let collected = Limited::new(body, limits.body_bytes).collect().await;
        collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|fault| {
                if fault.is::<LengthLimitError>() {
                    Kind::BodyTooLarge
                } else {
                    Kind::BodyInvalid
                }
            })
    };
    let late = async {
        Timer::after(limits.upload_timeout).await;
        Err(Kind::BodyInvalid)
    };
    whole.or(late).await
}

/// The request is not answered; its connection is closed.
#[derive(Debug)]
pub struct NoResponse;

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no answer")
    }
}

impl std::error::Error for NoResponse {}
