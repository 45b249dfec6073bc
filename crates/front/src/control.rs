//! The control thread's side: answers go back to the tasks and threads that asked.

use std::collections::HashMap;

use ids::{
    RequestId,
    Ticket,
    millis, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use relay::{
    Decision,
    Event,
    Input,
    Output, //
};
use smol::channel::Sender;
use step::{
    Effects,
    Inbox, //
};
use usage::Runs;

/// What comes with a question to the core.
pub(crate) enum Attachment {
    /// Where the decision on a request goes.
    Decision(Ticket, Sender<Decision>),
    /// Where the usage goes.
    Usage(Ticket, Sender<Vec<(u64, Runs)>>),
    /// Where the answer to a probe goes.
    Ready(Ticket, Sender<bool>),
}

/// Sends inputs to the front's core.
pub(crate) type FrontInbox = Inbox<Input, Attachment>;

/// Carries out what the core asks for.
pub(crate) struct FrontEffects {
    decisions: HashMap<Ticket, Sender<Decision>>,
    usage: HashMap<Ticket, Sender<Vec<(u64, Runs)>>>,
    ready: HashMap<Ticket, Sender<bool>>,
    gone: Sender<RequestId>,
    counters: Counters,
    log: Logger,
}

impl FrontEffects {
    /// `gone` takes the requests whose callers left before their attempt was decided.
    pub(crate) fn new(gone: Sender<RequestId>, counters: Counters, log: Logger) -> Self {
        Self {
            decisions: HashMap::new(),
            usage: HashMap::new(),
            ready: HashMap::new(),
            gone,
            counters,
            log,
        }
    }

    fn report(&self, event: Event) {
        match event {
            Event::Sent {
                request,
                route,
                instance,
                attempt,
                rank,
                backlog_ms,
                generation,
                view_age,
            } => {
                self.counters.count(Counter::Attempted);
                event!(self.log, AttemptSent, "request" => request, "route" => route,
                    "endpoint" => instance, "attempt" => attempt, "rank" => rank,
                    "backlog_ms" => backlog_ms, "edition" => generation, "view_ms" => millis(view_age));
            }
            Event::Rejected {
                request,
                kind,
                generation,
                view_age,
            } => {
                event!(self.log, RequestRejected, "request" => request, "kind" => kind.to_string(),
                    "edition" => generation, "view_ms" => millis(view_age));
            }
            Event::Queued {
                request,
                backlog_ms,
                limit_ms,
            } => {
                self.counters.count(Counter::QueuedInFront);
                event!(self.log, RequestQueued, "request" => request, "backlog_ms" => backlog_ms,
                    "limit_ms" => limit_ms);
            }
            Event::Retried(request, failure) => {
                self.counters.count(match failure {
                    relay::Failure::Full => Counter::RetriedRejected,
                    relay::Failure::Unreached => Counter::RetriedUnreached,
                    relay::Failure::Misdirected => Counter::RetriedMisdirected,
                    relay::Failure::Broken => Counter::RetriedBroken,
                    relay::Failure::Garbled => Counter::RetriedGarbled,
                    relay::Failure::Silent => Counter::RetriedSilent,
                    relay::Failure::Errored => Counter::RetriedFailed,
                });
                event!(self.log, AttemptRetried, "request" => request,
                    "failure" => format!("{failure:?}"));
            }
            Event::AttemptFailed(request, failure) => {
                event!(self.log, AttemptFailed, "request" => request,
                    "failure" => format!("{failure:?}"));
            }
            Event::BudgetExhausted(request) => {
                self.counters.count(Counter::RetryBudgetExhausted);
                event!(self.log, RetryBudgetExhausted, "request" => request);
            }
            Event::Ejected(instance) => {
                self.counters.count(Counter::Ejected);
                event!(self.log, EndpointEjected, "endpoint" => instance);
            }
            Event::Advanced(edition) => {
                self.counters.count(Counter::ViewAdvanced);
                event!(self.log, ViewAdvanced, "edition" => edition);
            }
            Event::ViewFresh(true) => event!(self.log, ViewValid),
            Event::ViewFresh(false) => event!(self.log, ViewExpired),
            Event::EndpointsChanged(all, leaving) => {
                event!(self.log, EndpointsChanged, "endpoints" => all, "leaving" => leaving);
            }
        }
    }
}

impl Effects<Output> for FrontEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Decision(ticket, to) => {
                self.decisions.insert(ticket, to);
            }
            Attachment::Usage(ticket, to) => {
                self.usage.insert(ticket, to);
            }
            Attachment::Ready(ticket, to) => {
                self.ready.insert(ticket, to);
            }
        }
    }

    fn perform(&mut self, output: Output) {
        // A task whose caller left takes no answer any more.
        match output {
            Output::Reply(ticket, decision) => {
                let Some(to) = self.decisions.remove(&ticket) else {
                    return;
                };
                if let Err(unsent) = to.try_send(decision)
                    && let Decision::Dispatch(go) = unsent.into_inner()
                {
                    let _ = self.gone.try_send(go.request);
                }
            }
            Output::Usage(ticket, windows) => {
                if let Some(to) = self.usage.remove(&ticket) {
                    let _ = to.try_send(windows);
                }
            }
            Output::Ready(ticket, ready) => {
                if let Some(to) = self.ready.remove(&ticket) {
                    let _ = to.try_send(ready);
                }
            }
            Output::Event(event) => self.report(event),
        }
    }
}
