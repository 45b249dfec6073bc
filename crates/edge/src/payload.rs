//! Bodies that are stored once, and sent without a further complete copy.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{
    Context,
    Poll, //
};

use http_body::{
    Frame,
    SizeHint, //
};
use hyper::body::Bytes;

use crate::memory::Share;

/// Bytes that are passed to the HTTP library at once. It copies them into its write buffer, so this limits
/// the copies of a body that is being sent.
const SLICE_BYTES: usize = 16 * 1024;

/// Bytes together with their share of the memory budget. The share is closed when the last reference
/// to the bytes is dropped.
pub struct Charged {
    bytes: Vec<u8>,
    _share: Arc<Share>,
}

impl Charged {
    /// Attaches a share to bytes.
    pub fn bytes(bytes: Vec<u8>, share: Arc<Share>) -> Bytes {
        Bytes::from_owner(Self {
            bytes,
            _share: share,
        })
    }
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Removes the next slice from bytes that are being sent. The first slice of an empty body is empty.
pub(crate) fn next_slice(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let rest = bytes.as_mut()?;
    if rest.len() <= SLICE_BYTES {
        bytes.take()
    } else {
        Some(rest.split_to(SLICE_BYTES))
    }
}

/// The body of a request to another process.
#[derive(Clone, Debug)]
pub struct Payload(Option<Bytes>);

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Self(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Payload {
    /// The number of bytes that are still to be sent.
    pub fn len(&self) -> usize {
        self.0.as_ref().map_or(0, Bytes::len)
    }

    /// Whether nothing is still to be sent.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl http_body::Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(next_slice(&mut self.get_mut().0).map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
