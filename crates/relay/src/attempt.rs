//! Attempts: begun at an endpoint, ended, and repeated where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    EndpointId,
    RequestId,
    Tick,
    Ticket, //
};
use plan::{
    Route,
    Service, //
};
use step::Outbox;

use crate::choice::Choice;
use crate::endpoint::Endpoint;
use crate::message::{
    Failure,
    Go,
    Load,
    Output,
    Trace,
    Verdict, //
};
use crate::relay::{
    COME_BACK,
    Relay, //
};

/// Attempts beyond those that may run, for endpoints that said they did not run the request.
const SPARE_ATTEMPTS: u32 = 2;
/// An attempt is not worth making with less time left than this.
const LEAST_TIME: Duration = Duration::from_millis(40);
/// A whole answer is sought elsewhere after this many times its target.
const WHOLE_PATIENCE: u32 = 3;
/// A stream's first event is sought elsewhere after this many halves of its target.
const STREAM_PATIENCE: u32 = 5;
/// The rest of a stream is sought elsewhere after this many times its longest pause.
const PAUSE_PATIENCE: u32 = 3;

impl<C: Choice> Relay<C> {
    /// Chooses an endpoint for a request's next attempt. The request ends if there is none. No
    /// verdict if the best endpoint's backlog is above the limit.
    pub(crate) fn assign(
        &mut self,
        now: Tick,
        id: RequestId,
        limit: Option<f64>,
        out: &mut Outbox<Output>,
    ) -> Option<Verdict> {
        let Some(request) = self.requests.get(id) else {
            return Some(Verdict::Refuse(Kind::Internal, COME_BACK));
        };
        let plan = Arc::clone(&request.plan);
        let found = plan.route(request.route).zip(plan.service(request.service));
        let Some((route, service)) = found else {
            return Some(self.refuse(id, Kind::Internal, None, out));
        };
        let Some((endpoint, backlog)) = self.pick(now, id, service) else {
            return Some(self.refuse(id, Kind::EndpointMissing, None, out));
        };
        if let Some(limit) = limit.filter(|limit| backlog > *limit) {
            self.trace_waits(id, backlog, limit, out);
            return None;
        }
        let Some(go) = self.start(now, id, endpoint, route, service) else {
            return Some(self.refuse(id, Kind::Internal, None, out));
        };
        self.trace_sent(now, &go, route, backlog, out);
        Some(Verdict::Go(Box::new(go)))
    }

    pub(crate) fn start(
        &mut self,
        now: Tick,
        id: RequestId,
        at: EndpointId,
        route: &Route,
        service: &Service,
    ) -> Option<Go> {
        let request = self.requests.get_mut(id)?;
        let plan = Arc::clone(&request.plan);
        let endpoint = self.fleet.get_mut(at)?;
        if let Some(cold) = service.cold_start.filter(|_| endpoint.cold(now)) {
            let rate = Endpoint::cold_rate(cold.requests_per_s, self.fronts);
            endpoint.bucket.take(now, rate);
        }
        request.attempts += 1;
        request.at = Some(at);
        request.due = now + route.latency_target;
        request.sent = now;
        request.unread = 0;
        endpoint.inflight += 1;
        if let Some(prompt) = &request.prompt {
            request.unread = endpoint.to_read(now, prompt, false);
            endpoint.unread += request.unread;
            endpoint.remember(now, prompt);
        }
        let another = route.retry.allows_retry() && request.runs + 1 < route.attempts;
        let span = if route.retry.is_stream() {
            route.latency_target * STREAM_PATIENCE / 2
        } else {
            route.latency_target * WHOLE_PATIENCE
        };
        // With less time left than for two attempts, the place in the queue is worth more.
        let another = another && request.until.since(now) >= span * 2;
        let patience = another.then_some(now + span);
        let account = request.account.and_then(|id| plan.account(id));
        Some(Go {
            request: id,
            endpoint: at,
            address: endpoint.listing.address,
            instance: endpoint.listing.instance.clone(),
            account: account.map(|account| account.name.clone()),
            rank: request.urgency.rank(),
            repeat: route.retry,
            until: request.until,
            patience,
            gap: another.then_some(route.event_gap * PAUSE_PATIENCE),
        })
    }

    /// Ends a request with a refusal or a failure.
    pub(crate) fn refuse(
        &mut self,
        id: RequestId,
        kind: Kind,
        failure: Option<Failure>,
        out: &mut Outbox<Output>,
    ) -> Verdict {
        let request = self.requests.get(id);
        let ran = request.is_some_and(|request| request.runs > 0);
        if let (Some(failure), Some(request)) = (failure, request) {
            let name = request.name.clone();
            out.push(Output::Trace(Trace::GivenUp(name, failure)));
        }
        self.end(id);
        let kind = match failure {
            Some(Failure::Silent) => Kind::EndpointTimeout,
            _ if ran => Kind::EndpointFailed,
            _ => kind,
        };
        Verdict::Refuse(kind, COME_BACK)
    }

    /// Takes a request off its endpoint.
    pub(crate) fn release(&mut self, id: RequestId) -> Option<EndpointId> {
        let request = self.requests.get_mut(id)?;
        let at = request.at.take()?;
        let unread = std::mem::take(&mut request.unread);
        if let Some(endpoint) = self.fleet.get_mut(at) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            endpoint.unread = endpoint.unread.saturating_sub(unread);
        }
        Some(at)
    }

    pub(crate) fn end(&mut self, id: RequestId) {
        self.release(id);
        self.requests.remove(id);
    }

    pub(crate) fn began(&mut self, now: Tick, id: RequestId, load: Option<Load>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut request.began, true) {
            return;
        }
        let delay = request.delay(now);
        let unread = std::mem::take(&mut request.unread);
        let at = request.at;
        let account = request.account.and_then(|id| request.plan.account(id));
        if let Some(account) = account {
            self.tally.count(now, &account.name);
        }
        if let Some(endpoint) = at.and_then(|at| self.fleet.get_mut(at)) {
            endpoint.unread = endpoint.unread.saturating_sub(unread);
            endpoint.note_delay(now, delay);
            if let Some(load) = load {
                endpoint.note_load(now, load);
            }
        }
    }

    pub(crate) fn failed(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: RequestId,
        failure: Failure,
        out: &mut Outbox<Output>,
    ) {
        if let Some(at) = self.release(id) {
            self.blame(now, at, failure, out);
            if matches!(failure, Failure::Broken | Failure::Garbled) {
                // It ran, as far as anybody can tell, and its answer was lost.
                self.began(now, id, None);
            }
            if let Some(request) = self.requests.get_mut(id) {
                request.tried.push(at);
                request.runs += u32::from(!failure.not_run());
            }
        }
        let verdict = if self.may_retry(now, id, failure, out) {
            if let Some(request) = self.requests.get(id) {
                let name = request.name.clone();
                out.push(Output::Trace(Trace::Retried(name, failure)));
            }
            // Without a limit there always is a verdict.
            self.assign(now, id, None, out)
                .unwrap_or(Verdict::Refuse(Kind::Internal, COME_BACK))
        } else if failure == Failure::Errored {
            self.end(id);
            Verdict::Pass
        } else {
            let kind = match failure {
                Failure::Full => Kind::Overloaded,
                _ => Kind::EndpointMissing,
            };
            self.refuse(id, kind, Some(failure), out)
        };
        out.push(Output::Reply(ticket, verdict));
    }

    /// Notes a failure against the endpoint.
    pub(crate) fn blame(
        &mut self,
        now: Tick,
        at: EndpointId,
        failure: Failure,
        out: &mut Outbox<Output>,
    ) {
        let Some(endpoint) = self.fleet.get_mut(at) else {
            return;
        };
        match failure {
            Failure::Misdirected => self.fleet.forget(at),
            Failure::Full => {
                let slots = endpoint.listing.slots;
                let full = Load {
                    running: slots,
                    waiting: slots,
                    slots,
                };
                endpoint.note_load(now, full);
            }
            _ => {
                if endpoint.health.failed(now) {
                    let instance = endpoint.listing.instance.clone();
                    out.push(Output::Trace(Trace::Ejected(instance)));
                }
            }
        }
    }

    pub(crate) fn may_retry(
        &mut self,
        now: Tick,
        id: RequestId,
        failure: Failure,
        out: &mut Outbox<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let plan = &request.plan;
        let Some(route) = plan.route(request.route) else {
            return false;
        };
        let Some(service) = plan.service(request.service) else {
            return false;
        };
        let allowed = if failure.not_run() {
            request.runs < route.attempts && request.attempts < route.attempts + SPARE_ATTEMPTS
        } else {
            route.retry.allows_retry() && request.runs < route.attempts
        };
        if !allowed || request.until.since(now) < LEAST_TIME {
            return false;
        }
        let budget = self.budgets.entry(service.name.clone()).or_default();
        let extra = self.seed.extra / self.fronts as f64;
        let taken = budget.take(now, self.seed.span, self.seed.ratio, extra);
        if !taken {
            let name = request.name.clone();
            out.push(Output::Trace(Trace::BudgetSpent(name)));
        }
        taken
    }
}
