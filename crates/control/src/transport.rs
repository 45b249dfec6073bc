//! Sends consensus messages to the other control hosts, with one thread for each host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
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

/// Queues messages for the other members, by their identity and address.
pub(crate) struct Transport {
    from: MemberId,
    address: SocketAddr,
    sealer: Sealer,
    queues: BTreeMap<(MemberId, SocketAddr), Sender<Message>>,
}

impl Transport {
    pub(crate) fn new(from: MemberId, address: SocketAddr, sealer: Sealer) -> Self {
        Self {
            from,
            address,
            sealer,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message, or drops it if the queue is full or no thread can be started.
    pub(crate) fn send(&mut self, to: MemberId, address: SocketAddr, message: Message) {
        let key = (to, address);
        if !self.queues.contains_key(&key) {
            match self.start_sender(to, address) {
                Ok(sender) => self.queues.insert(key, sender),
                Err(_) => return,
            };
        }
        if let Some(sender) = self.queues.get(&key) {
            let _ = sender.try_send(message);
        }
    }

    fn start_sender(&self, to: MemberId, address: SocketAddr) -> std::io::Result<Sender<Message>> {
        let (tx, rx) = bounded(QUEUE_MESSAGES);
        let mut envelope = Envelope {
            from: self.from,
            address: self.address,
            to,
            messages: Vec::new(),
        };
        let sealer = self.sealer.clone();
        let send = move || send_queued(&mut envelope, address, &sealer, &rx);
        thread::Builder::new()
            .name(format!("control-post-{address}"))
            .spawn(send)?;
        Ok(tx)
    }
}

/// Sends the queued messages until the sender of the queue is dropped.
fn send_queued(
    envelope: &mut Envelope,
    address: SocketAddr,
    sealer: &Sealer,
    messages: &Receiver<Message>,
) {
    let client = Client::new(SEND_TIMEOUT);
    while let Ok(first) = messages.recv() {
        let more = messages.try_iter().take(MAX_ADDITIONAL_MESSAGES);
        envelope.messages = std::iter::once(first).chain(more).collect();
        if let Ok(body) = sealer.seal(paths::ENVELOPE, envelope) {
            // The result is ignored: the consensus protocol repeats lost messages.
            let _ = client.call(address, "POST", paths::ENVELOPE, &[], body);
        }
    }
}
