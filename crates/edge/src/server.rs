//! The server: accepts connections, bounds what callers may send, and hands requests over.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
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
    Executor,
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

/// Takes requests. Called on the event loop, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Takes one request, to be answered now or later from any thread.
    fn handle(&self, exchange: Exchange);

    /// Answers a request that broke a limit of the edge.
    fn refuse(&self, exchange: Exchange, kind: Kind);
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes before the body.
    pub head: usize,
    /// Most bytes of a body.
    pub body: usize,
    /// Most connections at once; more are closed at once.
    pub connections: usize,
    /// How long the head may take to arrive, also on an idle connection.
    pub idle: Duration,
    /// How long the body may take to arrive.
    pub upload: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 32 * 1024,
            body: 8 * 1024 * 1024,
            connections: 4096,
            idle: Duration::from_secs(60),
            upload: Duration::from_secs(30),
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
    address: SocketAddr,
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

struct Shared<H> {
    handler: H,
    limits: Limits,
    open: AtomicUsize,
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
        let fault = |fault| EdgeError::Listen(listen, fault);
        let listener = smol::block_on(TcpListener::bind(listen)).map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let (stop, stopped) = bounded(1);
        let shared = Arc::new(Shared {
            handler,
            limits,
            open: AtomicUsize::new(0),
            stop: stopped,
        });
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || serve(&listener, &shared))
            .map_err(EdgeError::Thread)?;
        Ok(Self {
            address,
            stop,
            thread,
        })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, answers what was received, and ends.
    pub fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

fn serve<H: Handler>(listener: &TcpListener, shared: &Arc<Shared<H>>) {
    let executor = Executor::new();
    smol::block_on(executor.run(async {
        loop {
            let next = async { Some(listener.accept().await) };
            let stop = async {
                let _ = shared.stop.recv().await;
                None
            };
            match stop.or(next).await {
                None => break,
                Some(Ok((stream, _))) => accept(&executor, shared, stream),
                // Out of descriptors, most likely; wait for some to be closed.
                Some(Err(_)) => {
                    Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
        while shared.open.load(Ordering::Acquire) > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    }));
}

fn accept<'a, H: Handler>(executor: &Executor<'a>, shared: &Arc<Shared<H>>, stream: TcpStream) {
    if shared.open.load(Ordering::Acquire) >= shared.limits.connections {
        return;
    }
    shared.open.fetch_add(1, Ordering::AcqRel);
    let shared = Arc::clone(shared);
    let task = async move {
        let _ = stream.set_nodelay(true);
        connection(&shared, stream).await;
        shared.open.fetch_sub(1, Ordering::AcqRel);
    };
    executor.spawn(task).detach();
}

async fn connection<H: Handler>(shared: &Arc<Shared<H>>, stream: TcpStream) {
    let service = service_fn(|request| answer(shared, request));
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.limits.idle)
        .max_buf_size(shared.limits.head.max(8192))
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

async fn answer<H: Handler>(
    shared: &Arc<Shared<H>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Gone> {
    let (parts, body) = request.into_parts();
    let head = Head {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
    };
    let (tx, rx) = bounded(1);
    match read(body, shared.limits).await {
        Ok(body) => shared
            .handler
            .handle(Exchange::new(head, body.to_vec(), tx)),
        Err(kind) => shared
            .handler
            .refuse(Exchange::new(head, Vec::new(), tx), kind),
    }
    rx.recv().await.map_err(|_| Gone)
}

async fn read(body: Incoming, limits: Limits) -> Result<Bytes, Kind> {
    let whole = async {
        let collected = Limited::new(body, limits.body).collect().await;
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
        Timer::after(limits.upload).await;
        Err(Kind::BodyInvalid)
    };
    whole.or(late).await
}

/// The exchange was dropped unanswered; the connection is closed.
#[derive(Debug)]
struct Gone;

impl fmt::Display for Gone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no answer")
    }
}

impl std::error::Error for Gone {}
