//! Requests whose caller disconnects before their end.

use std::time::Duration;

use fault::Kind;
use ids::{
    RequestId,
    Tick,
    Ticket, //
};
use step::Outbox;

use crate::balance::Balancer;
use crate::message::{
    Decision,
    Output, //
};
use crate::outcome::Progress;
use crate::relay::Relay;

impl<B: Balancer> Relay<B> {
    /// Ends the request whose decision has this ticket, wherever it is: held, queued or dispatched. A
    /// request that was rejected has ended already.
    pub(crate) fn withdraw(&mut self, now: Tick, ticket: Ticket, out: &mut Outbox<Output>) {
        let held = self.view_wait.remove(ticket);
        let mut requests = self.requests.iter();
        let admitted = requests.find(|(_, request)| request.ticket == ticket);
        let admitted = admitted.map(|(id, _)| id);
        let queued = admitted.is_some_and(|id| self.backlog_queue.remove(id));
        if let Some(id) = admitted {
            self.cancel(now, id);
        }
        if held || queued {
            // The decision that is still due, so that its reply channel is released.
            let decision = Decision::Reject(Kind::CallerGone, Duration::ZERO);
            out.push(Output::Reply(ticket, decision));
        }
    }

    /// Ends a request without a complete response.
    pub(crate) fn cancel(&mut self, now: Tick, id: RequestId) {
        self.observe(now, id, Progress::Cancelled);
        self.end(id);
    }
}
