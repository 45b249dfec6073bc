//! Requests held briefly while the front has no valid view: after the view expired or the front
//! started.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{
    Tick,
    Ticket, //
};

use crate::message::RequestHead;

/// Time after the view expired, or the first request arrived without one, in which requests are
/// held. A control group that was restarted as a whole serves again within this time. Later
/// requests are rejected at once, since another front may be able to serve them.
const HOLD_PERIOD: Duration = Duration::from_millis(1500);
/// Divisor of a request's timeout that gives its maximum hold time.
const TIMEOUT_DIVISOR: u32 = 3;
/// Maximum hold time of a request, and the hold time of one without a timeout.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Maximum number of held requests; more are rejected.
const MAX_HELD: usize = 256;

/// A held request.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) ticket: Ticket,
    pub(crate) head: Box<RequestHead>,
    arrived_at: Tick,
    hold_until: Tick,
}

impl Held {
    /// Returns the request with its timeout reduced by the hold time.
    pub(crate) fn release(self, now: Tick) -> (Ticket, RequestHead) {
        let waited = now.since(self.arrived_at);
        let mut head = *self.head;
        head.timeout = head.timeout.map(|timeout| timeout.saturating_sub(waited));
        (self.ticket, head)
    }
}

/// All held requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewWait {
    held: VecDeque<Held>,
    /// When the view expired, or the first request arrived without a view; none while there is a
    /// valid view.
    started_at: Option<Tick>,
}

impl ViewWait {
    /// Starts the hold period, unless it has already started.
    pub(crate) fn start(&mut self, now: Tick) {
        self.started_at.get_or_insert(now);
    }

    /// Holds a request, or returns it if it must be rejected.
    pub(crate) fn hold(
        &mut self,
        now: Tick,
        ticket: Ticket,
        head: Box<RequestHead>,
    ) -> Result<(), Box<RequestHead>> {
        let started_at = *self.started_at.get_or_insert(now);
        if now.since(started_at) >= HOLD_PERIOD || self.held.len() >= MAX_HELD {
            return Err(head);
        }
        let limit = head
            .timeout
            .map_or(MAX_HOLD, |timeout| timeout / TIMEOUT_DIVISOR);
        self.held.push_back(Held {
            ticket,
            head,
            arrived_at: now,
            hold_until: now + limit.min(MAX_HOLD),
        });
        Ok(())
    }

    /// Number of held requests.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Removes a held request. Returns whether there was one with this ticket.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.held.len();
        self.held.retain(|held| held.ticket != ticket);
        self.held.len() < before
    }

    /// Ends the hold period and returns all held requests.
    pub(crate) fn end(&mut self) -> VecDeque<Held> {
        self.started_at = None;
        std::mem::take(&mut self.held)
    }

    /// Removes the requests whose hold time is over and returns their tickets and names.
    pub(crate) fn expire(&mut self, now: Tick) -> Vec<(Ticket, String)> {
        let expired = self.held.iter().filter(|held| held.hold_until <= now);
        let expired = expired
            .map(|held| (held.ticket, held.head.name.clone()))
            .collect();
        self.held.retain(|held| held.hold_until > now);
        expired
    }

    /// When the next held request expires.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        self.held.iter().map(|held| held.hold_until).min()
    }
}
