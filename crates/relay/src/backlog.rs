//! Holds long, less urgent prompts back while every engine has much to read.
//!
//! An engine reads the prompts that it has admitted one after the other, whatever their urgency.
//! So under overload the order of urgency is kept here: long prompts of low rank wait at the
//! front, and more urgent ones find short queues.

use std::time::Duration;

use ids::{
    RequestId,
    Tick,
    Ticket, //
};

use crate::lanes::SHORT_TOKENS;
use crate::message::Prompt;
use crate::request::Urgency;

/// Backlog of the best engine above which prompts of the lowest ranks wait, in milliseconds: a
/// third of what their routes count as on time.
const LOW_LIMIT: f64 = 400.0;
/// The same for prompts of the second rank.
const SECOND_LIMIT: f64 = 1500.0;
/// How many times the limit a backlog may be for a request that has waited its time to be sent all
/// the same.
const LAST_FACTOR: f64 = 2.5;
/// How often waiting requests are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// A request waits for this part of its patience at most.
const PATIENCE_PART: u32 = 4;
/// Requests that may wait at once.
const MOST_WAITING: usize = 128;

/// The backlog above which a prompt waits, by the rank of its route; none if it never does.
pub(crate) fn limit(prompt: &Prompt, rank: u8) -> Option<f64> {
    if prompt.input_tokens <= SHORT_TOKENS {
        return None;
    }
    match rank {
        0 => None,
        1 => Some(SECOND_LIMIT),
        _ => Some(LOW_LIMIT),
    }
}

/// The limit for a request that has waited its time.
pub(crate) fn last(limit: f64) -> f64 {
    limit * LAST_FACTOR
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) request: RequestId,
    pub(crate) urgency: Urgency,
    /// When it has waited its time.
    pub(crate) until: Tick,
}

/// The requests that wait, the most urgent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    waiting: Vec<Waiting>,
    next: Tick,
}

impl Gate {
    /// Whether another request may wait.
    pub(crate) fn has_room(&self) -> bool {
        self.waiting.len() < MOST_WAITING
    }

    /// When a request that arrives now has waited its time.
    pub(crate) fn until(now: Tick, end: Tick) -> Tick {
        now + end.since(now) / PATIENCE_PART
    }

    /// Lets a request wait.
    pub(crate) fn put(&mut self, now: Tick, waiting: Waiting) {
        if self.waiting.is_empty() {
            self.next = now + LOOK_EVERY;
        }
        let after = self
            .waiting
            .partition_point(|other| other.urgency <= waiting.urgency);
        self.waiting.insert(after, waiting);
    }

    /// Takes all waiting requests, if it is time to look at them.
    pub(crate) fn take(&mut self, now: Tick) -> Vec<Waiting> {
        if now < self.next {
            return Vec::new();
        }
        std::mem::take(&mut self.waiting)
    }

    /// When to look at the waiting requests.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        (!self.waiting.is_empty()).then_some(self.next)
    }
}
