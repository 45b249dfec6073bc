//! What the core says of its decisions.

use ids::{
    RequestId,
    Tick,
    Ticket, //
};
use plan::Route;
use step::Outbox;

use crate::balance::Balancer;
use crate::message::{
    Attempt,
    Output,
    Trace,
    Verdict, //
};
use crate::relay::{
    Refusal,
    Relay, //
};

impl<B: Balancer> Relay<B> {
    /// Refuses a request that was not sent, and says so.
    pub(crate) fn turn_away(
        &self,
        now: Tick,
        ticket: Ticket,
        name: &str,
        refusal: Refusal,
        out: &mut Outbox<Output>,
    ) {
        let (kind, wait) = refusal;
        out.push(Output::Trace(Trace::Rejected {
            request: name.to_owned(),
            kind,
            generation: self.generation,
            view_age: now.since(self.seen),
        }));
        out.push(Output::Reply(ticket, Verdict::Reject(kind, wait)));
    }

    /// Traces the first time that a request has to wait.
    pub(crate) fn trace_waits(
        &mut self,
        id: RequestId,
        backlog: f64,
        limit: f64,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut request.waited, true) {
            return;
        }
        out.push(Output::Trace(Trace::Queued {
            request: request.name.clone(),
            backlog_ms: backlog as u64,
            limit_ms: limit as u64,
        }));
    }

    pub(crate) fn trace_sent(
        &self,
        now: Tick,
        go: &Attempt,
        route: &Route,
        backlog: f64,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self.requests.get(go.request) else {
            return;
        };
        out.push(Output::Trace(Trace::Sent {
            request: request.name.clone(),
            route: route.name.clone(),
            instance: go.instance.clone(),
            attempt: request.attempts,
            rank: request.urgency.rank(),
            backlog_ms: backlog as u64,
            generation: self.generation,
            view_age: now.since(self.seen),
        }));
    }
}
