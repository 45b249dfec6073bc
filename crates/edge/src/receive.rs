//! Receives the body of a request within the memory budget of the process.

use std::sync::Arc;

use budget::{
    Budget,
    Class, //
};
use fault::Kind;
use http_body_util::BodyExt;
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};
use smol::Timer;
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::memory::{
    Memory,
    OutOfMemory,
    Share, //
};
use crate::payload::Charged;
use crate::server::Limits;
use crate::socket::{
    ClientSocket,
    LARGE_SOCKET_BUFFER_BYTES,
    SOCKET_BUFFER_BYTES, //
};

/// Memory of a request without its body: its head, the buffers of its connections, the unread bytes in
/// their sockets, and the state of the request.
const REQUEST_BYTES: usize = 48 * 1024;
/// Largest body that is covered by the share of its request. Its copy in the write buffer is charged too.
const COVERED_BYTES: usize = 4 * 1024;
/// Largest body that is not large. Its copy in the write buffer is charged too.
const SMALL_BYTES: usize = 64 * 1024;
/// Memory of a large body in addition to its bytes: the write buffer, and the bytes in the sockets.
const SENDING_BYTES: usize = 640 * 1024;
/// Bytes after which progress is reported to the budget. One-byte chunks would otherwise cause a report each.
const REPORT_BYTES: usize = 16 * 1024;

/// Why the body of a request was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is rejected with an error of this kind.
    Rejected(Kind),
    /// The body arrives too slowly. The connection is closed without a response.
    TooSlow,
}

impl From<OutOfMemory> for Refusal {
    fn from(_: OutOfMemory) -> Self {
        Self::Rejected(Kind::MemoryShort)
    }
}

/// Receives a request's body within the limits. Memory is granted before the body is read; until then,
/// the client's bytes stay in the sockets. Returns the body, and the request's share of the budget, which
/// covers the body too.
///
/// # Errors
///
/// [`Refusal`] if the body is too large, too slow or incomplete, or the budget has no memory for it.
pub async fn receive(
    body: Incoming,
    client: Option<ClientSocket>,
    limits: Limits,
    memory: &Memory,
) -> Result<(Bytes, Arc<Share>), Refusal> {
    let length = body.size_hint().exact();
    let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(Refusal::Rejected(Kind::BodyTooLarge));
    }
    let share = memory.open();
    let covered = length.unwrap_or(COVERED_BYTES).min(COVERED_BYTES);
    let charged = REQUEST_BYTES + 2 * covered;
    share.ask(Class::Small, charged).await?;
    if let Some(client) = &client {
        client.cover_head();
    }
    let mut upload = Upload {
        bytes: Vec::new(),
        capacity: covered,
        charged,
        limit: limits.body_bytes,
        unreported: 0,
        client,
        share,
    };
    if let Some(length) = length {
        upload.reserve(length, length).await?;
    }
    if length == Some(0) {
        return Ok(upload.close());
    }
    let timeout = async {
        Timer::after(limits.upload_timeout).await;
        Err(Refusal::Rejected(Kind::BodyInvalid))
    };
    upload.read(body).or(timeout).await?;
    Ok(upload.close())
}

/// A body that is being received.
struct Upload {
    bytes: Vec<u8>,
    /// Bytes of the body that fit in the granted memory.
    capacity: usize,
    /// The granted memory.
    charged: usize,
    limit: usize,
    unreported: usize,
    client: Option<ClientSocket>,
    share: Share,
}

impl Upload {
    /// Asks for the memory of a body of `length` bytes, and of one of `most` bytes if it is large.
    async fn reserve(&mut self, length: usize, most: usize) -> Result<(), Refusal> {
        if length > self.capacity && self.capacity < SMALL_BYTES {
            let capacity = most.min(SMALL_BYTES);
            let more = 2 * (capacity - self.capacity);
            self.share.ask(Class::Upload, more).await?;
            self.charged += more;
            self.capacity = capacity;
        }
        if length > self.capacity {
            self.enlarge(most).await?;
        }
        Ok(())
    }

    /// Asks for the memory of a large body.
    async fn enlarge(&mut self, capacity: usize) -> Result<(), Refusal> {
        let more = capacity + SENDING_BYTES;
        self.share.ask(Class::Large, more).await?;
        self.charged += more;
        self.capacity = capacity;
        if let Some(client) = &self.client {
            client.set_receive_buffer(LARGE_SOCKET_BUFFER_BYTES);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    async fn read(&mut self, mut body: Incoming) -> Result<(), Refusal> {
        self.share.received(0);
        let mut wake = Timer::interval(Budget::WAKE_INTERVAL);
        loop {
            let frame = async { Some(body.frame().await) };
            let tick = async {
                wake.next().await;
                None
            };
            let Some(frame) = frame.or(tick).await else {
                self.report(1);
                if self.share.check() {
                    return Err(Refusal::TooSlow);
                }
                continue;
            };
            let Some(frame) = frame else {
                return Ok(());
            };
            let frame = frame.map_err(|_| Refusal::Rejected(Kind::BodyInvalid))?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = self.bytes.len() + data.len();
            if length > self.limit {
                return Err(Refusal::Rejected(Kind::BodyTooLarge));
            }
            // The length is unknown, so memory for the largest body is needed.
            self.reserve(length, self.limit).await?;
            // A copy, because the data keeps the whole read buffer of the connection in memory.
            self.bytes.extend_from_slice(&data);
            self.unreported += data.len();
            self.report(REPORT_BYTES);
        }
    }

    /// Reports progress to the budget if at least `least` bytes are unreported.
    fn report(&mut self, least: usize) {
        if self.unreported >= least {
            self.share.received(self.unreported);
            self.unreported = 0;
        }
    }

    /// Returns unused memory to the budget.
    fn close(mut self) -> (Bytes, Arc<Share>) {
        if let Some(client) = self.client.filter(|_| self.capacity > SMALL_BYTES) {
            client.set_receive_buffer(SOCKET_BUFFER_BYTES);
        }
        self.bytes.shrink_to_fit();
        let length = self.bytes.len();
        let needed = if length > SMALL_BYTES {
            REQUEST_BYTES + 2 * SMALL_BYTES + length + SENDING_BYTES
        } else {
            REQUEST_BYTES + 2 * length
        };
        self.share.complete(needed.min(self.charged));
        let share = Arc::new(self.share);
        (Charged::bytes(self.bytes, Arc::clone(&share)), share)
    }
}
