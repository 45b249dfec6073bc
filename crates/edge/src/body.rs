//! Response bodies: complete, or streamed in chunks from a traffic thread.

use std::fmt;
use std::pin::Pin;
use std::task::{
    Context,
    Poll,
    ready, //
};
use std::time::Duration;

use http_body::{
    Frame,
    SizeHint, //
};
use hyper::body::Bytes;
use smol::Timer;
use smol::channel::{
    Receiver,
    Sender, //
};
use smol::future::FutureExt;
use std::future::Future;

use crate::payload::next_slice;

/// Capacity of the buffer for a slow client, in chunks.
pub(crate) const STREAM_BUFFER_CHUNKS: usize = 64;

/// Delay between the abort of a response and the close of its connection, so that the chunks sent
/// before reach the client.
const ABORT_FLUSH: Duration = Duration::from_millis(50);

/// The client has disconnected, or reads too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client disconnected or reads too slowly")
    }
}

impl std::error::Error for Disconnected {}

/// The writer was dropped before the end of the body. The connection is closed, so that the client
/// detects an incomplete response.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted before its end")
    }
}

impl std::error::Error for Aborted {}

/// A part of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body. A body without it is aborted.
    End,
}

/// The body of a response. A streamed body holds a value of type `G` until the response ends, is
/// aborted, or the client disconnects.
#[derive(Debug)]
pub enum Body<G = ()> {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// A streamed body.
    Streamed(Pin<Box<Receiver<Chunk>>>, G),
    /// An aborted body. The connection is closed when the timer fires.
    Aborting(Timer),
}

impl<G: Unpin> http_body::Body for Body<G> {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        use smol::stream::Stream as _;
        let this = self.get_mut();
        match this {
            Self::Full(bytes) => Poll::Ready(next_slice(bytes).map(|b| Ok(Frame::data(b)))),
            Self::Streamed(chunks, _) => match ready!(chunks.as_mut().poll_next(cx)) {
                Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Chunk::End) => Poll::Ready(None),
                None => {
                    *this = Self::Aborting(Timer::after(ABORT_FLUSH));
                    Pin::new(this).poll_frame(cx)
                }
            },
            Self::Aborting(timer) => {
                ready!(Pin::new(timer).poll(cx));
                Poll::Ready(Some(Err(Aborted)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Streamed(..) | Self::Aborting(_) => SizeHint::default(),
        }
    }
}

/// Writes a streamed response. Dropping the writer without [`ResponseWriter::close`] aborts the
/// response, so that the client does not mistake an incomplete response for a complete one.
#[derive(Debug)]
pub struct ResponseWriter {
    chunks: Sender<Chunk>,
    timeout: Duration,
}

impl ResponseWriter {
    pub(crate) fn new(chunks: Sender<Chunk>, timeout: Duration) -> Self {
        Self { chunks, timeout }
    }

    /// Sends bytes of the body. Blocks while the buffer for a slow client is full.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the client has disconnected, or the buffer stays full for too long.
    pub fn write(&mut self, bytes: Vec<u8>) -> Result<(), Disconnected> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.send(Chunk::Data(bytes.into()))
    }

    /// Ends the response.
    ///
    /// # Errors
    ///
    /// As [`ResponseWriter::write`].
    pub fn close(mut self) -> Result<(), Disconnected> {
        self.send(Chunk::End)
    }

    fn send(&mut self, chunk: Chunk) -> Result<(), Disconnected> {
        let chunk = match self.chunks.try_send(chunk) {
            Ok(()) => return Ok(()),
            Err(smol::channel::TrySendError::Full(chunk)) => chunk,
            Err(smol::channel::TrySendError::Closed(_)) => return Err(Disconnected),
        };
        let send = async { self.chunks.send(chunk).await.map_err(|_| Disconnected) };
        let timeout = async {
            Timer::after(self.timeout).await;
            Err(Disconnected)
        };
        smol::block_on(send.or(timeout))
    }
}
