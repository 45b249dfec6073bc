//! The bodies of responses to callers.

use edge::Body;
use smol::Task;

/// Maximum number of chunks of a stream that are buffered for a slow caller. While the buffer is
/// full, the front reads no more of the endpoint's response.
pub(crate) const MAX_BUFFERED_CHUNKS: usize = 32;

/// The body of a response. A streamed body owns the task that copies the stream, so the task is
/// cancelled when the caller disconnects.
pub(crate) type ResponseBody = Body<Task<()>>;
