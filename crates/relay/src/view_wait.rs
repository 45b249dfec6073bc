//! Requests that wait for a view of the deployment, for a moment after it ran out or the front started.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{
    Tick,
    Ticket, //
};

use crate::message::RequestHead;

/// Requests are held only this long after the view ran out: a group that was stopped as a whole
/// serves again within it. Later they are refused at once, since another front may serve them.
const SOON_AFTER: Duration = Duration::from_millis(1500);
/// A request is held for this part of its patience at most.
const PATIENCE_PART: u32 = 3;
/// A request that does not say how long its caller waits is held this long at most.
const MOST: Duration = Duration::from_secs(1);
/// Requests held at once; more are refused.
const MOST_HELD: usize = 256;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) ticket: Ticket,
    pub(crate) ask: Box<RequestHead>,
    arrived: Tick,
    until: Tick,
}

impl Held {
    /// The request with what is left of its patience.
    pub(crate) fn resumed(self, now: Tick) -> (Ticket, RequestHead) {
        let waited = now.since(self.arrived);
        let mut ask = *self.ask;
        ask.timeout = ask.timeout.map(|left| left.saturating_sub(waited));
        (self.ticket, ask)
    }
}

/// The requests that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    held: VecDeque<Held>,
    /// When the view ran out, or the front was first asked without one.
    since: Option<Tick>,
}

impl Hold {
    /// Notes that there is no view.
    pub(crate) fn begin(&mut self, now: Tick) {
        self.since.get_or_insert(now);
    }

    /// Holds a request, or gives it back to be refused.
    pub(crate) fn take(
        &mut self,
        now: Tick,
        ticket: Ticket,
        ask: Box<RequestHead>,
    ) -> Result<(), Box<RequestHead>> {
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= SOON_AFTER || self.held.len() >= MOST_HELD {
            return Err(ask);
        }
        let most = ask
            .timeout
            .map_or(MOST, |patience| patience / PATIENCE_PART);
        self.held.push_back(Held {
            ticket,
            ask,
            arrived: now,
            until: now + most.min(MOST),
        });
        Ok(())
    }

    /// Takes all requests, now that there is a view.
    pub(crate) fn end(&mut self) -> VecDeque<Held> {
        self.since = None;
        std::mem::take(&mut self.held)
    }

    /// Takes the requests that have waited long enough.
    pub(crate) fn expire(&mut self, now: Tick) -> Vec<(Ticket, String)> {
        let late = self.held.iter().filter(|held| held.until <= now);
        let late = late
            .map(|held| (held.ticket, held.ask.name.clone()))
            .collect();
        self.held.retain(|held| held.until > now);
        late
    }

    /// When a request will have waited long enough.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        self.held.iter().map(|held| held.until).min()
    }
}
