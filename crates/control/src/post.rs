//! Mail to the other control hosts, one thread for each.

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
    Mail,
    Sealer,
    paths, //
};

/// Messages that may wait for a slow host; more are dropped, as a network would.
const WAITING: usize = 256;
/// Messages in one mail.
const MAIL_MESSAGES: usize = 64;
/// How long one mail may take. A quarter of an election timeout, so that the mails that wait for a
/// host that is only starting reach it soon after.
const PATIENCE: Duration = Duration::from_millis(150);

/// Sends messages to other members.
pub(crate) struct Post {
    from: MemberId,
    address: SocketAddr,
    sealer: Sealer,
    boxes: BTreeMap<(MemberId, SocketAddr), Sender<Message>>,
}

impl Post {
    pub(crate) fn new(from: MemberId, address: SocketAddr, sealer: Sealer) -> Self {
        Self {
            from,
            address,
            sealer,
            boxes: BTreeMap::new(),
        }
    }

    /// Sends a message, or drops it if the receiver is too slow.
    pub(crate) fn send(&mut self, to: MemberId, address: SocketAddr, message: Message) {
        let key = (to, address);
        if !self.boxes.contains_key(&key) {
            match self.open(to, address) {
                Ok(sender) => self.boxes.insert(key, sender),
                Err(_) => return,
            };
        }
        if let Some(sender) = self.boxes.get(&key) {
            let _ = sender.try_send(message);
        }
    }

    fn open(&self, to: MemberId, address: SocketAddr) -> std::io::Result<Sender<Message>> {
        let (tx, rx) = bounded(WAITING);
        let mut mail = Mail {
            from: self.from,
            address: self.address,
            to,
            messages: Vec::new(),
        };
        let sealer = self.sealer.clone();
        let carry = move || carry(&mut mail, address, &sealer, &rx);
        thread::Builder::new()
            .name(format!("control-post-{address}"))
            .spawn(carry)?;
        Ok(tx)
    }
}

/// Sends what waits until the sender is gone.
fn carry(mail: &mut Mail, address: SocketAddr, sealer: &Sealer, messages: &Receiver<Message>) {
    let client = Client::new(PATIENCE);
    while let Ok(first) = messages.recv() {
        let more = messages.try_iter().take(MAIL_MESSAGES);
        mail.messages = std::iter::once(first).chain(more).collect();
        if let Ok(body) = sealer.seal(paths::MAIL, mail) {
            // A lost mail is repeated by the agreement itself.
            let _ = client.call(address, "POST", paths::MAIL, &[], body);
        }
    }
}
