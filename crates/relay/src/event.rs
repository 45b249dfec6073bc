//! Events that report the core's decisions.

use ids::{
    RequestId,
    Tick,
    Ticket, //
};
use plan::Route;
use step::Outbox;

use crate::balance::Balancer;
use crate::exposure::Side;
use crate::message::{
    Attempt,
    Decision,
    Event,
    Output, //
};
use crate::relay::{
    Rejection,
    Relay, //
};

impl<B: Balancer> Relay<B> {
    /// Rejects a request that was not dispatched, and reports it as an event.
    pub(crate) fn reject(
        &self,
        now: Tick,
        ticket: Ticket,
        name: &str,
        rejection: Rejection,
        out: &mut Outbox<Output>,
    ) {
        let (kind, retry_after) = rejection;
        out.push(Output::Event(Event::Rejected {
            request: name.to_owned(),
            kind,
            generation: self.generation,
            view_age: now.since(self.view_requested),
        }));
        out.push(Output::Reply(ticket, Decision::Reject(kind, retry_after)));
    }

    /// Reports the first time that a request is queued.
    pub(crate) fn report_queued(
        &mut self,
        id: RequestId,
        backlog_ms: f64,
        limit_ms: f64,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut request.queued, true) {
            return;
        }
        out.push(Output::Event(Event::Queued {
            request: request.name.clone(),
            backlog_ms: backlog_ms as u64,
            limit_ms: limit_ms as u64,
        }));
    }

    /// Reports that an attempt is dispatched.
    pub(crate) fn report_sent(
        &self,
        now: Tick,
        attempt: &Attempt,
        route: &Route,
        backlog_ms: f64,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let flight = request.trial.flight.as_ref();
        if flight.is_some_and(|flight| flight.side == Side::New) {
            out.push(Output::Event(Event::Exposed));
        }
        out.push(Output::Event(Event::Sent {
            request: request.name.clone(),
            route: route.name.clone(),
            instance: attempt.instance.clone(),
            attempt: request.attempts,
            rank: request.priority.rank(),
            backlog_ms: backlog_ms as u64,
            generation: self.generation,
            view_age: now.since(self.view_requested),
        }));
    }
}
