//! The connection of one request to the decision core.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use fault::Kind;
use ids::{
    RequestId,
    Ticket, //
};
use obs::Counters;
use relay::{
    Attempt,
    Decision,
    Failure,
    Input,
    Load,
    RequestHead, //
};
use smol::channel::bounded;

use crate::control::{
    Attachment,
    CoreUsage,
    FrontInbox, //
};

/// The next step of a request, as the core decides.
pub(crate) enum NextStep {
    /// Send an attempt.
    Attempt(Box<Attempt>),
    /// End the request: respond with an error of this kind, and state the time after which the
    /// caller may retry. `None` forwards the endpoint's last response instead.
    End(Option<(Kind, Duration)>),
}

/// What the core may keep on behalf of a client.
#[derive(Clone, Copy, Debug)]
enum Kept {
    Nothing,
    /// A new request whose decision the client has not received. The core may have made it.
    Undecided(Ticket),
    /// A request in progress, after its first attempt was dispatched.
    Dispatched(RequestId),
}

/// Communicates with the core on behalf of one request. Dropping the client ends the request in the
/// core if it is still in progress. The task that owns the client may be dropped at any await, so
/// whatever the core keeps is recorded here before the client waits.
pub(crate) struct CoreClient {
    inbox: FrontInbox,
    tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    kept: Cell<Kept>,
}

impl CoreClient {
    pub(crate) fn new(inbox: FrontInbox, tickets: Arc<AtomicU64>, counters: Counters) -> Self {
        Self {
            inbox,
            tickets,
            counters,
            kept: Cell::new(Kept::Nothing),
        }
    }

    fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Submits a request to the core and waits for its decision.
    pub(crate) async fn submit(&self, request: RequestHead) -> NextStep {
        let ticket = self.next_ticket();
        self.kept.set(Kept::Undecided(ticket));
        let next = self
            .decision(ticket, Input::Request(ticket, Box::new(request)))
            .await;
        self.kept.set(match &next {
            NextStep::Attempt(attempt) => Kept::Dispatched(attempt.request),
            NextStep::End(_) => Kept::Nothing,
        });
        next
    }

    /// Reports a failed attempt to the core and waits for its decision.
    pub(crate) async fn attempt_failed(&self, request: RequestId, failure: Failure) -> NextStep {
        let ticket = self.next_ticket();
        let next = self
            .decision(ticket, Input::AttemptFailed(ticket, request, failure))
            .await;
        if let NextStep::End(_) = &next {
            self.kept.set(Kept::Nothing);
        }
        next
    }

    /// Sends an input to the core and waits for the decision on it.
    async fn decision(&self, ticket: Ticket, input: Input) -> NextStep {
        let (tx, rx) = bounded(1);
        let sent = self.inbox.call(Attachment::Decision(ticket, tx), input);
        let decision = match sent {
            Ok(()) => rx.recv().await.ok(),
            Err(_) => None,
        };
        match decision {
            Some(Decision::Dispatch(attempt)) => NextStep::Attempt(attempt),
            Some(Decision::Reject(kind, retry_after)) => NextStep::End(Some((kind, retry_after))),
            Some(Decision::PassThrough) => NextStep::End(None),
            None => NextStep::End(Some((Kind::Draining, Duration::ZERO))),
        }
    }

    pub(crate) fn response_started(&self, request: RequestId, load: Option<Load>) {
        let _ = self.inbox.send(Input::ResponseStarted(request, load));
    }

    pub(crate) fn completed(&self, request: RequestId) {
        self.kept.set(Kept::Nothing);
        let _ = self.inbox.send(Input::Completed(request));
    }

    pub(crate) fn declined(&self, request: RequestId) {
        self.kept.set(Kept::Nothing);
        let _ = self.inbox.send(Input::Declined(request));
    }

    /// Queries the core for whether the front is ready to serve.
    pub(crate) async fn ready(&self) -> bool {
        let ticket = self.next_ticket();
        let (tx, rx) = bounded(1);
        let sent = self
            .inbox
            .call(Attachment::Ready(ticket, tx), Input::Ready(ticket));
        sent.is_ok() && rx.recv().await.unwrap_or(false)
    }

    /// Queries the core for what it keeps for requests in progress; none if the core has ended.
    pub(crate) async fn usage(&self) -> Option<CoreUsage> {
        let ticket = self.next_ticket();
        let (tx, rx) = bounded(1);
        self.inbox
            .call(Attachment::Holdings(ticket, tx), Input::Holdings(ticket))
            .ok()?;
        rx.recv().await.ok()
    }
}

impl Drop for CoreClient {
    fn drop(&mut self) {
        // If the core has ended, it keeps nothing.
        let _ = match self.kept.get() {
            Kept::Nothing => Ok(()),
            Kept::Undecided(ticket) => self.inbox.send(Input::Withdrawn(ticket)),
            Kept::Dispatched(request) => self.inbox.send(Input::Cancelled(request)),
        };
    }
}

#[cfg(test)]
mod tests;
