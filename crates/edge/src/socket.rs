//! A client's connection: its memory while it sends the head of a request, and the way it is closed.

use std::cell::{
    Cell,
    RefCell, //
};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::task::{
    Context,
    Poll,
    ready, //
};
use std::time::Duration;

use rustix::net::sockopt::{
    set_socket_linger,
    set_socket_recv_buffer_size, //
};
use smol::Timer;
use smol::future::Future;
use smol::io::{
    AsyncRead,
    AsyncWrite, //
};
use smol::net::TcpStream;

use crate::memory::{
    Memory,
    Share, //
};

/// Size of the receive buffer of a client's connection and of the buffers of a connection to an endpoint.
/// The kernel doubles it for its own overhead. The default of several megabytes would hold bytes that the
/// budget does not know.
pub const SOCKET_BUFFER_BYTES: usize = 32 * 1024;
/// The same while a large body is received or sent. With 32 KiB at both ends, a body of 4 MB took 0.2 to
/// 2.5 s over loopback; with 256 KiB, 0.13 to 0.19 s.
pub const LARGE_SOCKET_BUFFER_BYTES: usize = 256 * 1024;
/// Memory of a connection that sends nothing. 16 KB for the buffers of the HTTP library, of which an idle
/// connection uses a part, and the state of the connection.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Bytes of a head that are covered by the connection's share: as many as the HTTP library reads at first,
/// which may contain a part of the body.
const FREE_HEAD_BYTES: usize = 8192;
/// Memory for a longer head: the read buffer, and the same again while it grows.
const HEAD_BYTES: usize = 48 * 1024;
/// How long a connection is kept after a response to a request whose body was not read. Otherwise
/// the kernel would reset it, and the client might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 8192;

/// Marks a response to a request whose body was not read, by an extension of the response.
#[derive(Clone, Copy, Debug)]
pub struct Linger;

/// The client's socket of a request, by an extension of the request. It is dropped when the body has been
/// received.
#[derive(Clone)]
pub struct ClientSocket {
    stream: TcpStream,
    covered: Arc<AtomicBool>,
}

impl ClientSocket {
    /// States that the share of the request covers its head from now on.
    pub(crate) fn cover_head(&self) {
        self.covered.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is reset when it is closed. Otherwise it ends like a response whose end
    /// is that of the connection, also if the response was aborted or the process was killed.
    pub(crate) fn reset_on_close(&self, reset: bool) {
        // A connection that has failed is reset in any case.
        let _ = set_socket_linger(&self.stream, reset.then_some(Duration::ZERO));
    }

    pub(crate) fn set_receive_buffer(&self, bytes: usize) {
        // A connection that has failed is noticed when it is read.
        let _ = set_socket_recv_buffer_size(&self.stream, bytes);
    }
}

/// What a connection uses of the memory budget.
pub(crate) struct Meter {
    memory: Option<Memory>,
    /// The share of the connection; none without a budget.
    _share: Option<Share>,
    /// Bytes received since the last request.
    read: Cell<usize>,
    /// The share of a long head.
    head: RefCell<Option<Share>>,
    /// Whether the share of the request covers the head.
    covered: Arc<AtomicBool>,
    serving: Cell<bool>,
    linger: Cell<bool>,
}

impl Meter {
    /// Charges a connection; none if the budget is used up.
    pub(crate) fn open(memory: Option<&Memory>) -> Option<Rc<Self>> {
        let share = memory.map(Memory::open);
        if let Some(share) = &share {
            share.ask_connection(CONNECTION_BYTES).ok()?;
        }
        Some(Rc::new(Self {
            memory: memory.cloned(),
            _share: share,
            read: Cell::new(0),
            head: RefCell::default(),
            covered: Arc::default(),
            serving: Cell::new(false),
            linger: Cell::new(false),
        }))
    }

    /// The head of a request is complete. Its share is kept until the request has its own.
    pub(crate) fn begin(&self) {
        self.covered.store(false, Ordering::Relaxed);
        self.serving.set(true);
    }

    /// The response has started.
    pub(crate) fn end(&self, linger: bool) {
        self.linger.set(linger);
        *self.head.borrow_mut() = None;
        self.read.set(0);
        self.serving.set(false);
    }

    /// Counts received bytes.
    fn count(&self, bytes: usize) -> io::Result<()> {
        if self.serving.get() {
            if self.covered.swap(false, Ordering::Relaxed) {
                *self.head.borrow_mut() = None;
            }
            return Ok(());
        }
        self.read.set(self.read.get() + bytes);
        let mut head = self.head.borrow_mut();
        if self.read.get() > FREE_HEAD_BYTES
            && head.is_none()
            && let Some(memory) = &self.memory
        {
            let share = memory.open();
            share
                .ask_connection(HEAD_BYTES)
                .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
            *head = Some(share);
        }
        Ok(())
    }
}

/// A client's connection.
pub(crate) struct Socket {
    stream: TcpStream,
    meter: Rc<Meter>,
    closing: Option<Timer>,
}

impl Socket {
    /// The extension of the requests on this connection.
    pub(crate) fn client(&self) -> ClientSocket {
        ClientSocket {
            stream: self.stream.clone(),
            covered: Arc::clone(&self.meter.covered),
        }
    }

    pub(crate) fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        Self {
            stream,
            meter,
            closing: None,
        }
    }

    /// Discards what the client still sends; ready when it has closed the connection, or after a time.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            if let Some(timer) = &mut self.closing
                && Pin::new(timer).poll(cx).is_ready()
            {
                return Poll::Ready(());
            }
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut bytes)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.meter.count(count)?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.meter.linger.get() {
            return Pin::new(&mut self.stream).poll_close(cx);
        }
        if self.closing.is_none() {
            self.stream.shutdown(Shutdown::Write)?;
            self.closing = Some(Timer::after(LINGER_TIMEOUT));
        }
        ready!(self.poll_discard(cx));
        Poll::Ready(Ok(()))
    }
}
