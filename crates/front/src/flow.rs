//! The bodies of answers to callers.

use std::fmt;
use std::future::Future;
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
use smol::channel::Receiver;
use smol::stream::Stream as _;
use smol::{
    Task,
    Timer, //
};

/// Pieces that may wait for a slow caller; beyond, the endpoint is read no further.
pub(crate) const PIECES: usize = 32;
/// Time to flush what was sent before a broken answer's connection is closed.
const FLUSH: Duration = Duration::from_millis(30);

/// A piece of a streamed answer.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Bytes to pass on.
    Data(Bytes),
    /// The regular end.
    End,
}

/// An answer's body.
#[derive(Debug)]
pub(crate) enum Flow {
    /// The whole body at once.
    Whole(Option<Bytes>),
    /// Pieces from the task that carries them.
    Pieces {
        /// The pieces on their way.
        pieces: Pin<Box<Receiver<Piece>>>,
        /// Ends when the caller hangs up, since the body is dropped then.
        _carrier: Task<()>,
    },
    /// The stream broke off; what came before is on its way out.
    Breaking(Timer),
}

/// The answer broke off; its connection is closed without a regular end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl http_body::Body for Flow {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let this = self.get_mut();
        match this {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces { pieces, .. } => match ready!(pieces.as_mut().poll_next(cx)) {
                Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Piece::End) => Poll::Ready(None),
                None => {
                    *this = Self::Breaking(Timer::after(FLUSH));
                    Pin::new(this).poll_frame(cx)
                }
            },
            Self::Breaking(timer) => {
                ready!(Pin::new(timer).poll(cx));
                Poll::Ready(Some(Err(BrokenOff)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Pieces { .. } | Self::Breaking(_) => SizeHint::default(),
        }
    }
}
