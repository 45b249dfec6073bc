//! Carries out the outputs of the decision core: sends replies to the tasks and threads that made
//! the requests, and logs and counts events.

use std::collections::HashMap;
use std::fmt;

use ids::{
    Clock,
    Monotonic,
    Tick,
    Ticket,
    millis, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use quarantine::Evidence;
use relay::{
    Decision,
    Event,
    Holdings,
    Input,
    Output, //
};
use rollout::{
    Exposure,
    Tally, //
};
use smol::channel::Sender;
use step::{
    Effects,
    Inbox, //
};
use usage::Runs;

/// The reply channel of a request to the core.
pub(crate) enum Attachment {
    /// Receives the decision on a request.
    Decision(Ticket, Sender<Decision>),
    /// Receives the usage by window.
    Usage(Ticket, Sender<Vec<(u64, Runs)>>),
    /// Receives the tallies of the rollouts.
    Tallies(Ticket, Sender<Vec<Tally>>),
    /// Receives whether the front is ready.
    Ready(Ticket, Sender<bool>),
    /// Receives what is kept for requests in progress.
    Holdings(Ticket, Sender<CoreUsage>),
}

/// What the control thread keeps for requests in progress. Everything is zero once all callers have
/// left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoreUsage {
    pub(crate) holdings: Holdings,
    /// Reply channels of decisions that the core has not made yet.
    pub(crate) replies: usize,
}

impl fmt::Display for CoreUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Holdings {
            held,
            queued,
            requests,
            attempts,
            pending_tokens,
        } = self.holdings;
        writeln!(f, "berg_core_held {held}")?;
        writeln!(f, "berg_core_queued {queued}")?;
        writeln!(f, "berg_core_requests {requests}")?;
        writeln!(f, "berg_core_attempts {attempts}")?;
        writeln!(f, "berg_core_pending_tokens {pending_tokens}")?;
        writeln!(f, "berg_core_replies {}", self.replies)
    }
}

/// The input channel of the front's core.
pub(crate) type FrontInbox = Inbox<Input, Attachment>;

/// Carries out the outputs of the front's core.
pub(crate) struct FrontEffects {
    decisions: HashMap<Ticket, Sender<Decision>>,
    usage: HashMap<Ticket, Sender<Vec<(u64, Runs)>>>,
    tallies: HashMap<Ticket, Sender<Vec<Tally>>>,
    ready: HashMap<Ticket, Sender<bool>>,
    holdings: HashMap<Ticket, Sender<CoreUsage>>,
    evidence: crossbeam::channel::Sender<(Evidence, Tick)>,
    clock: Monotonic,
    counters: Counters,
    log: Logger,
}

impl FrontEffects {
    /// `evidence` receives what is to be reported to the control group.
    pub(crate) fn new(
        evidence: crossbeam::channel::Sender<(Evidence, Tick)>,
        clock: Monotonic,
        counters: Counters,
        log: Logger,
    ) -> Self {
        Self {
            decisions: HashMap::new(),
            usage: HashMap::new(),
            tallies: HashMap::new(),
            ready: HashMap::new(),
            holdings: HashMap::new(),
            evidence,
            clock,
            counters,
            log,
        }
    }

    /// Logs and counts an event of the core.
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
                    relay::Failure::Crashed => Counter::RetriedCrashed,
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
            Event::Crashed(request, instance, parts) => {
                let parts: Vec<_> = parts
                    .iter()
                    .map(|part| format!("{:016x}", part.0))
                    .collect();
                event!(self.log, EndpointCrashed, "request" => request, "endpoint" => instance,
                    "parts" => parts.join(","));
            }
            Event::QuarantineChanged(version, parts) => {
                event!(self.log, QuarantineChanged, "version" => version, "parts" => parts);
            }
            Event::RateLimited(instance, rate) => {
                event!(self.log, EndpointLimited, "endpoint" => instance,
                    "rate" => rate.map(f64::from));
            }
            Event::Paused(instance, span) => {
                event!(self.log, EndpointPaused, "endpoint" => instance, "ms" => millis(span));
            }
            Event::Leaving(instance) => {
                event!(self.log, EndpointLeaving, "endpoint" => instance);
            }
            Event::Ejected(instance) => {
                self.counters.count(Counter::Ejected);
                event!(self.log, EndpointEjected, "endpoint" => instance);
            }
            Event::Advanced(generation) => {
                self.counters.count(Counter::ViewAdvanced);
                event!(self.log, ViewAdvanced, "edition" => generation);
            }
            Event::Exposed => self.counters.count(Counter::Exposed),
            Event::StageChanged(stage) => {
                let share = match stage.exposure {
                    Exposure::None => 0.0,
                    Exposure::Share(share) => share,
                    Exposure::All => 1.0,
                };
                event!(self.log, StageChanged, "service" => stage.service,
                    "version" => stage.version, "order" => stage.id, "share" => share);
            }
            Event::VersionsReplaced(service) => {
                event!(self.log, VersionsReplaced, "service" => service);
            }
            Event::ViewFresh(true) => event!(self.log, ViewValid),
            Event::ViewFresh(false) => event!(self.log, ViewExpired),
            Event::LaneResized(share) => {
                event!(self.log, LaneResized, "share" => share);
            }
            Event::EndpointsChanged(all, draining) => {
                event!(self.log, EndpointsChanged, "endpoints" => all, "leaving" => draining);
            }
        }
    }
}

impl Effects<Output> for FrontEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Decision(ticket, reply_to) => {
                self.decisions.insert(ticket, reply_to);
            }
            Attachment::Usage(ticket, reply_to) => {
                self.usage.insert(ticket, reply_to);
            }
            Attachment::Tallies(ticket, reply_to) => {
                self.tallies.insert(ticket, reply_to);
            }
            Attachment::Ready(ticket, reply_to) => {
                self.ready.insert(ticket, reply_to);
            }
            Attachment::Holdings(ticket, reply_to) => {
                self.holdings.insert(ticket, reply_to);
            }
        }
    }

    fn perform(&mut self, output: Output) {
        // The receiver of a reply no longer exists if the caller has disconnected. The request ends
        // with its `CoreClient`.
        match output {
            Output::Reply(ticket, decision) => {
                if let Some(reply_to) = self.decisions.remove(&ticket) {
                    let _ = reply_to.try_send(decision);
                }
            }
            Output::Usage(ticket, windows) => {
                if let Some(reply_to) = self.usage.remove(&ticket) {
                    let _ = reply_to.try_send(windows);
                }
            }
            Output::Tallies(ticket, tallies) => {
                if let Some(reply_to) = self.tallies.remove(&ticket) {
                    let _ = reply_to.try_send(tallies);
                }
            }
            Output::Ready(ticket, ready) => {
                if let Some(reply_to) = self.ready.remove(&ticket) {
                    let _ = reply_to.try_send(ready);
                }
            }
            Output::Holdings(ticket, holdings) => {
                if let Some(reply_to) = self.holdings.remove(&ticket) {
                    let replies = self.decisions.len();
                    let _ = reply_to.try_send(CoreUsage { holdings, replies });
                }
            }
            Output::Evidence(evidence) => {
                // The reporter ends after the core.
                let _ = self.evidence.send((evidence, self.clock.now()));
            }
            Output::Event(event) => self.report(event),
        }
    }
}
