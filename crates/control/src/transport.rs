//! Sends consensus messages to the other control hosts, with one thread for each host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::thread;
use std::time::Duration;

use agree::{
    MemberId,
    Message, //
};
use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use edge::Client;
use obs::{
    Logger,
    event, //
};
use wire::{
    Envelope,
    Sealer,
    paths, //
};

/// Capacity of the queue for one host, in messages. Further messages are dropped; the consensus
/// protocol tolerates loss.
const QUEUE_MESSAGES: usize = 256;
/// Maximum number of queued messages that are added to the first message of an envelope.
const MAX_ADDITIONAL_MESSAGES: usize = 64;
/// Timeout for sending one envelope. It is a quarter of an election timeout, so that the messages
/// queued for a host that is still starting reach it soon after its start.
const SEND_TIMEOUT: Duration = Duration::from_millis(150);

/// The queue of messages for one member.
struct Queue {
    messages: Sender<Message>,
    /// The size of the queued messages in bytes.
    bytes: Arc<AtomicUsize>,
    /// Whether the last message was dropped because the queue was full.
    full: bool,
}

/// Queues messages for the other members, by their identity and address.
pub(crate) struct Transport {
    from: MemberId,
    address: SocketAddr,
    sealer: Sealer,
    /// Most bytes in one queue. A single larger message is still queued.
    capacity: usize,
    queues: BTreeMap<(MemberId, SocketAddr), Queue>,
    log: Logger,
}

impl Transport {
    pub(crate) fn new(
        from: MemberId,
        address: SocketAddr,
        sealer: Sealer,
        capacity: usize,
        log: Logger,
    ) -> Self {
        Self {
            from,
            address,
            sealer,
            capacity,
            queues: BTreeMap::new(),
            log,
        }
    }

    /// Queues a message, or drops it if the queue is full or no thread can be started.
    pub(crate) fn send(&mut self, to: MemberId, address: SocketAddr, message: Message) {
        let key = (to, address);
        if !self.queues.contains_key(&key) {
            match self.start_sender(to, address) {
                Ok(queue) => {
                    // The host at this address has another identity now.
                    self.queues.retain(|(_, at), _| *at != address);
                    self.queues.insert(key, queue);
                }
                Err(error) => {
                    event!(self.log, PeerQueueFull, "peer" => address.to_string(),
                        "fault" => error.to_string());
                    return;
                }
            };
        }
        let Some(queue) = self.queues.get_mut(&key) else {
            return;
        };
        let size = message.size();
        let queued = queue.bytes.load(Ordering::Relaxed);
        let fits = queued == 0 || queued + size <= self.capacity;
        let full = if fits {
            queue.bytes.fetch_add(size, Ordering::Relaxed);
            let sent = queue.messages.try_send(message).is_ok();
            if !sent {
                queue.bytes.fetch_sub(size, Ordering::Relaxed);
            }
            !sent
        } else {
            true
        };
        if full && !std::mem::replace(&mut queue.full, full) {
            event!(self.log, PeerQueueFull, "peer" => address.to_string(), "bytes" => queued);
        }
        queue.full = full;
    }

    fn start_sender(&self, to: MemberId, address: SocketAddr) -> std::io::Result<Queue> {
        let (tx, rx) = bounded(QUEUE_MESSAGES);
        let bytes = Arc::new(AtomicUsize::new(0));
        let queued = Arc::clone(&bytes);
        let mut envelope = Envelope {
            from: self.from,
            address: self.address,
            to,
            messages: Vec::new(),
        };
        let sealer = self.sealer.clone();
        let send = move || send_queued(&mut envelope, address, &sealer, &rx, &queued);
        thread::Builder::new()
            .name(format!("control-post-{address}"))
            .spawn(send)?;
        Ok(Queue {
            messages: tx,
            bytes,
            full: false,
        })
    }
}

/// Sends the queued messages until the sender of the queue is dropped.
fn send_queued(
    envelope: &mut Envelope,
    address: SocketAddr,
    sealer: &Sealer,
    messages: &Receiver<Message>,
    queued: &AtomicUsize,
) {
    let client = Client::new(SEND_TIMEOUT);
    while let Ok(first) = messages.recv() {
        let more = messages.try_iter().take(MAX_ADDITIONAL_MESSAGES);
        envelope.messages = std::iter::once(first).chain(more).collect();
        let sizes = envelope.messages.iter().map(Message::size);
        queued.fetch_sub(sizes.sum(), Ordering::Relaxed);
        if let Ok(body) = sealer.seal(paths::ENVELOPE, envelope) {
            // The result is ignored: the consensus protocol repeats lost messages.
            let _ = client.call(address, "POST", paths::ENVELOPE, &[], body);
        }
        envelope.messages.clear();
    }
}
