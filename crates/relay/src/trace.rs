//! What the core says of its decisions.

use ids::{
    RequestId,
    Tick,
    Ticket, //
};
use plan::Route;
use step::Outbox;

use crate::choice::Choice;
use crate::message::{
    Go,
    Output,
    Trace,
    Verdict, //
};
use crate::relay::{
    Refusal,
    Relay, //
};

impl<C: Choice> Relay<C> {
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
        out.push(Output::Trace(Trace::Refused {
            request: name.to_owned(),
            kind,
            edition: self.edition,
            age: now.since(self.seen),
        }));
        out.push(Output::Reply(ticket, Verdict::Refuse(kind, wait)));
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
        out.push(Output::Trace(Trace::Waits {
            request: request.name.clone(),
            backlog: backlog as u64,
            limit: limit as u64,
        }));
    }

    pub(crate) fn trace_sent(
        &self,
        now: Tick,
        go: &Go,
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
            backlog: backlog as u64,
            edition: self.edition,
            age: now.since(self.seen),
        }));
    }
}
