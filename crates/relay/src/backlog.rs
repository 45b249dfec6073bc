//! A priority queue for long, less urgent prompts while every engine has a large prefill backlog.
//!
//! An engine prefills the prompts that it has admitted in order of arrival, whatever their
//! priority. Under overload the priority order is therefore enforced at the front: long prompts of
//! low priority wait in this queue, and more urgent prompts find short engine queues.

use std::time::Duration;

use ids::{
    EndpointId,
    RequestId,
    ServiceId,
    Tick,
    Ticket, //
};
use plan::EngineLimits;

use crate::request::Priority;

/// Backlog of the best engine above which prompts of the lowest ranks wait, as a share of the
/// latency target of their route.
const LOW_RANK_LIMIT: f64 = 1.0 / 3.0;
/// Backlog of the best engine above which prompts of rank 1 wait, as a multiple of the latency
/// target of their route.
const RANK_1_LIMIT: f64 = 3.0;
/// Share of an engine's slots that a backlog can fill; the last ones only hold requests that end.
const USED_SLOTS: f64 = 0.85;
/// Factor on the limit for a request at the end of its wait. Below the raised limit the request is
/// dispatched, above it rejected.
const FINAL_FACTOR: f64 = 1.6;
/// Interval at which queued requests are reconsidered.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Divisor of a request's remaining time that gives its maximum wait.
const WAIT_DIVISOR: u32 = 8;
/// Maximum number of queued requests.
const MAX_QUEUED: usize = 128;

/// The backlog above which a long prompt waits, in milliseconds, by the rank and the latency target
/// of its route; none if the prompt never waits. `memory_fit` is the share of an engine's slots that
/// its memory can serve with such prompts. Where memory is short, an engine with a backlog keeps its
/// memory occupied with responses that it generates slowly beside the prefill, so that they miss
/// their deadline; the limit is lower by this share.
pub(crate) fn limit_ms(rank: u8, target: Duration, memory_fit: f64) -> Option<f64> {
    let target_ms = target.as_secs_f64() * 1000.0;
    match rank {
        0 => None,
        1 => Some(target_ms * RANK_1_LIMIT * memory_fit),
        _ => Some(target_ms * LOW_RANK_LIMIT * memory_fit),
    }
}

/// The share of an engine's slots in use that its memory can serve with prompts of this length.
pub(crate) fn memory_fit(engine: EngineLimits, tokens: u64) -> f64 {
    let needed = f64::from(engine.slots) * USED_SLOTS * tokens as f64;
    if needed > 0.0 {
        (engine.kv_tokens as f64 / needed).min(1.0)
    } else {
        1.0
    }
}

/// The limit for a request at the end of its wait.
pub(crate) fn final_limit_ms(limit_ms: f64) -> f64 {
    limit_ms * FINAL_FACTOR
}

/// What a request may wait for in the queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitPolicy {
    /// The backlog of the best endpoint above which the request waits, in milliseconds; none if it
    /// does not wait because of the backlog.
    pub(crate) limit_ms: Option<f64>,
    /// Whether the request waits while the limits or pauses that endpoints state exclude all of them.
    pub(crate) for_accept: bool,
}

impl WaitPolicy {
    /// Whether the backlog of the selected endpoint is too long.
    pub(crate) fn exceeded_by(&self, selected: Option<(EndpointId, f64)>) -> bool {
        let backlog_ms = selected.map(|(_, backlog_ms)| backlog_ms);
        self.limit_ms
            .zip(backlog_ms)
            .is_some_and(|(limit_ms, backlog_ms)| backlog_ms > limit_ms)
    }
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) ticket: Ticket,
    pub(crate) request: RequestId,
    pub(crate) service: ServiceId,
    pub(crate) priority: Priority,
    /// When the request's wait ends.
    pub(crate) wait_until: Tick,
}

/// Queued requests, the most urgent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BacklogQueue {
    queued: Vec<Queued>,
    next_poll: Tick,
}

impl BacklogQueue {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether another request may be queued.
    pub(crate) fn has_room(&self) -> bool {
        self.queued.len() < MAX_QUEUED
    }

    /// When the wait of a request that arrives now ends.
    pub(crate) fn wait_end(now: Tick, deadline: Tick) -> Tick {
        now + deadline.since(now) / WAIT_DIVISOR
    }

    /// Queues a request after those of the same priority.
    pub(crate) fn enqueue(&mut self, now: Tick, queued: Queued) {
        if self.queued.is_empty() {
            self.next_poll = now + POLL_INTERVAL;
        }
        let after = self
            .queued
            .partition_point(|earlier| earlier.priority <= queued.priority);
        self.queued.insert(after, queued);
    }

    /// Removes a request. Returns whether it was queued.
    pub(crate) fn remove(&mut self, id: RequestId) -> bool {
        let before = self.queued.len();
        self.queued.retain(|queued| queued.request != id);
        self.queued.len() < before
    }

    /// Removes and returns all queued requests if the poll interval has passed.
    pub(crate) fn poll(&mut self, now: Tick) -> Vec<Queued> {
        if now < self.next_poll {
            return Vec::new();
        }
        std::mem::take(&mut self.queued)
    }

    /// When to call [`Self::poll`] next.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        (!self.queued.is_empty()).then_some(self.next_poll)
    }
}
