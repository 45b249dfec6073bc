//! The bodies of answers to callers.

use edge::Body;
use smol::Task;

/// Pieces that may wait for a slow caller; beyond, the endpoint is read no further.
pub(crate) const PIECES: usize = 32;

/// An answer's body. A streamed one holds the task that carries it, so that the task ends when the
/// caller hangs up.
pub(crate) type Flow = Body<Task<()>>;
