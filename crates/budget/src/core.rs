//! The decision core.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Tick;
use slotmap::{
    SlotMap,
    new_key_type, //
};
use step::{
    Core,
    Outbox, //
};

use crate::Limits;

new_key_type! {
    /// A share of the budget.
    pub struct ShareKey;
}

/// What a share is used for. Waiting shares are granted in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A response that is buffered. It waits until it is granted or closed.
    Response,
    /// A request, with a body of a few kilobytes at most.
    Small,
    /// A body that is larger but not large, while it arrives. Bodies that stop short do not take the
    /// memory of other requests.
    Upload,
    /// A large body.
    Large,
    /// An open connection. It never waits. The ceiling applies to connections alone.
    Connection,
}

/// Classes whose shares may wait.
const WAITING: [Class; 4] = [Class::Response, Class::Small, Class::Upload, Class::Large];

/// An event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A share needs this much more memory, from now on as one of this class.
    Ask(ShareKey, Class, usize),
    /// Bytes of the body to which a share belongs have arrived. The first event of this kind, which may
    /// state 0 bytes, starts the time limits on the body.
    Received(ShareKey, usize),
    /// The body has arrived completely. The share needs only this much of the memory it was granted.
    Complete(ShareKey, usize),
    /// The memory of a share is free again.
    Close(ShareKey),
}

/// A decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A share has the memory that it asked for.
    Granted(ShareKey),
    /// A share does not get the memory that it asked for. It keeps what it had before.
    Rejected(ShareKey),
    /// The body arrives too slowly. Its connection is to be closed.
    Evicted(ShareKey),
}

/// The part of a body that has arrived.
#[derive(Clone, Copy, Debug)]
struct Progress {
    since: Tick,
    last: Tick,
    bytes: u64,
}

#[derive(Debug)]
struct Share {
    bytes: usize,
    class: Class,
    /// Memory that the share waits for, and since when.
    asked: Option<(usize, Tick)>,
    progress: Option<Progress>,
    evicted: bool,
}

/// The memory budget of a process.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    shares: SlotMap<ShareKey, Share>,
    /// Total of the granted shares.
    used: usize,
    /// Total of the connections' shares.
    connections: usize,
    /// Totals that the shares in each queue hold.
    waiting: [usize; WAITING.len()],
    queues: [VecDeque<ShareKey>; WAITING.len()],
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            shares: SlotMap::default(),
            used: 0,
            connections: 0,
            waiting: [0; WAITING.len()],
            queues: Default::default(),
        }
    }

    /// Adds a share without memory.
    pub fn open(&mut self) -> ShareKey {
        self.shares.insert(Share {
            bytes: 0,
            class: Class::Small,
            asked: None,
            progress: None,
            evicted: false,
        })
    }

    /// Total of the granted shares in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of shares that wait for memory.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    fn ask(
        &mut self,
        now: Tick,
        key: ShareKey,
        class: Class,
        more: usize,
        out: &mut Outbox<Output>,
    ) {
        let Some(share) = self.shares.get_mut(key) else {
            return;
        };
        let (held, ceiling) = (share.bytes, self.limits.ceiling(class));
        share.class = class;
        if class == Class::Connection {
            if self.connections + more > ceiling || self.used + more > self.limits.bytes {
                out.push(Output::Rejected(key));
                return;
            }
            self.connections += more;
            self.grant(now, key, more, out);
            return;
        }
        let waiting = &mut self.waiting[class as usize];
        let crowded = *waiting + held > self.limits.waiting(class);
        let queued = !self.queues[class as usize].is_empty();
        if !queued && self.used + more <= ceiling {
            self.grant(now, key, more, out);
        } else if crowded || held + more > ceiling {
            out.push(Output::Rejected(key));
        } else {
            share.asked = Some((more, now));
            *waiting += held;
            self.queues[class as usize].push_back(key);
        }
    }

    fn grant(&mut self, now: Tick, key: ShareKey, more: usize, out: &mut Outbox<Output>) {
        if let Some(share) = self.shares.get_mut(key) {
            // A body was not read while its share waited.
            if let Some(progress) = &mut share.progress {
                progress.last = now;
            }
            share.bytes += more;
            self.used += more;
            out.push(Output::Granted(key));
        }
    }

    /// Removes a share from its queue, and returns what it asked for.
    fn dequeue(&mut self, key: ShareKey) -> Option<usize> {
        let share = self.shares.get_mut(key)?;
        let (more, _) = share.asked.take()?;
        self.waiting[share.class as usize] -= share.bytes;
        self.queues[share.class as usize].retain(|queued| *queued != key);
        Some(more)
    }

    /// Grants memory to waiting shares in the order of their classes and arrival.
    fn grant_waiting(&mut self, now: Tick, out: &mut Outbox<Output>) {
        for class in WAITING {
            while let Some(key) = self.queues[class as usize].front().copied() {
                let asked = self.shares.get(key).and_then(|share| share.asked);
                let more = asked.map_or(0, |(more, _)| more);
                if self.used + more > self.limits.ceiling(class) {
                    break;
                }
                self.dequeue(key);
                self.grant(now, key, more, out);
            }
        }
    }

    fn complete(&mut self, key: ShareKey, bytes: usize) {
        if let Some(share) = self.shares.get_mut(key) {
            share.progress = None;
            let unused = share.bytes.saturating_sub(bytes);
            share.bytes -= unused;
            self.used -= unused;
        }
    }

    fn close(&mut self, key: ShareKey) {
        self.dequeue(key);
        if let Some(share) = self.shares.remove(key) {
            self.used -= share.bytes;
            if share.class == Class::Connection {
                self.connections -= share.bytes;
            }
        }
    }

    /// Evicts the bodies that arrive too slowly.
    fn evict(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let short_of_memory = self.queued() > 0;
        let limits = self.limits;
        for (key, share) in &mut self.shares {
            // A body that waits for memory is not read, so it cannot make progress.
            let Some(progress) = share.progress.filter(|_| share.asked.is_none()) else {
                continue;
            };
            let stall = if short_of_memory {
                limits.short_stall
            } else {
                limits.stall
            };
            let rated = now.since(progress.since).saturating_sub(limits.grace);
            let least = u128::from(limits.rate) * rated.as_micros() / 1_000_000;
            let slow = u128::from(progress.bytes) < least;
            if !share.evicted && (slow || now.since(progress.last) >= stall) {
                share.evicted = true;
                out.push(Output::Evicted(key));
            }
        }
    }
}

impl Core for Budget {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::Ask(key, class, more) => self.ask(now, key, class, more, out),
            Input::Received(key, bytes) => {
                if let Some(share) = self.shares.get_mut(key) {
                    let progress = share.progress.get_or_insert(Progress {
                        since: now,
                        last: now,
                        bytes: 0,
                    });
                    progress.last = now;
                    progress.bytes += bytes as u64;
                }
            }
            Input::Complete(key, bytes) => {
                self.complete(key, bytes);
                self.grant_waiting(now, out);
            }
            Input::Close(key) => {
                self.close(key);
                self.grant_waiting(now, out);
            }
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        for class in [Class::Small, Class::Upload, Class::Large] {
            // The queues are in the order of the times.
            while let Some(key) = self.queues[class as usize].front().copied() {
                let asked = self.shares.get(key).and_then(|share| share.asked);
                if asked.is_some_and(|(_, since)| now.since(since) < self.limits.wait) {
                    break;
                }
                self.dequeue(key);
                out.push(Output::Rejected(key));
            }
        }
        self.evict(now, out);
        self.grant_waiting(now, out);
    }

    /// The caller wakes the budget at a fixed interval while a share waits or receives.
    fn deadline(&self) -> Option<Tick> {
        None
    }
}

impl Budget {
    /// The interval at which the budget is to be woken while a share waits or receives a body.
    pub const WAKE_INTERVAL: Duration = Duration::from_millis(100);
}
