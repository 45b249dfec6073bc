//! Answer bodies: whole, or streamed piece by piece from a traffic thread.

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

/// Pieces that may wait for a slow caller.
pub(crate) const STREAM_BUFFER_CHUNKS: usize = 64;

/// Time to flush what was sent before a broken answer's connection is closed.
const FLUSH: Duration = Duration::from_millis(50);

/// The caller went away, or was too slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller went away")
    }
}

impl std::error::Error for Disconnected {}

/// The sender broke off; the connection is closed without a regular end of the body.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Aborted {}

/// A piece of a streamed answer.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes to pass on.
    Data(Bytes),
    /// The regular end. Without it the answer is broken off.
    End,
}

/// The body of an answer. `G` is held as long as the caller listens.
#[derive(Debug)]
pub enum Body<G = ()> {
    /// The whole body at once.
    Full(Option<Bytes>),
    /// Pieces from a sender.
    Streamed(Pin<Box<Receiver<Chunk>>>, G),
    /// The sender broke off; what it sent before is still on its way out.
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
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(pieces, _) => match ready!(pieces.as_mut().poll_next(cx)) {
                Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Chunk::End) => Poll::Ready(None),
                None => {
                    *this = Self::Aborting(Timer::after(FLUSH));
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

/// An answer being streamed. Dropping it without [`ResponseWriter::close`] breaks the answer off, so that
/// it never looks complete.
#[derive(Debug)]
pub struct ResponseWriter {
    pieces: Sender<Chunk>,
    patience: Duration,
}

impl ResponseWriter {
    pub(crate) fn new(pieces: Sender<Chunk>, patience: Duration) -> Self {
        Self { pieces, patience }
    }

    /// Sends a piece. It leaves at once if the caller keeps up.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the caller hung up or did not take a piece in time.
    pub fn write(&mut self, bytes: Vec<u8>) -> Result<(), Disconnected> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.send(Chunk::Data(bytes.into()))
    }

    /// Ends the answer regularly.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the caller hung up before.
    pub fn close(mut self) -> Result<(), Disconnected> {
        self.send(Chunk::End)
    }

    fn send(&mut self, piece: Chunk) -> Result<(), Disconnected> {
        let piece = match self.pieces.try_send(piece) {
            Ok(()) => return Ok(()),
            Err(smol::channel::TrySendError::Full(piece)) => piece,
            Err(smol::channel::TrySendError::Closed(_)) => return Err(Disconnected),
        };
        let send = async { self.pieces.send(piece).await.map_err(|_| Disconnected) };
        let late = async {
            Timer::after(self.patience).await;
            Err(Disconnected)
        };
        smol::block_on(send.or(late))
    }
}
