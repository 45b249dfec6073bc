//! Attempts of requests: dispatch, completion, failure and retry.

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
use slotmap::Key;
use step::Outbox;

use crate::backlog::WaitPolicy;
use crate::balance::Balancer;
use crate::endpoint::Endpoint;
use crate::endpoints::Observed;
use crate::message::{
    Attempt,
    Decision,
    Event,
    Failure,
    Load,
    Output, //
};
use crate::relay::{
    RETRY_AFTER,
    Rejection,
    Relay, //
};

/// Attempts allowed beyond the route's limit if endpoints reported that they did not execute the
/// request.
const EXTRA_ATTEMPTS: u32 = 2;
/// Minimum time before the deadline at which a retry is still made.
const MIN_RETRY_TIME: Duration = Duration::from_millis(40);
/// Multiple of the route's latency target after which a response that is not streamed times out.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Timeout of a stream's first event, in halves of the route's latency target.
const FIRST_EVENT_TIMEOUT_HALF_TARGETS: u32 = 5;
/// Time from the start of a response in which a crash of the endpoint may be due to the prompt.
const RESPONSE_START_SPAN: Duration = Duration::from_secs(1);
/// Multiple of the route's target for the gap between events after which a pause within a stream
/// counts as a failure.
const GAP_TIMEOUT_FACTOR: u32 = 3;

/// A number that no other request of any front has: fronts have different seeds.
fn request_number(rng_seed: u64, id: RequestId) -> u64 {
    // An odd factor keeps the numbers of one front different.
    rng_seed ^ id.data().as_ffi().wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl<B: Balancer> Relay<B> {
    /// Selects an endpoint for a request's next attempt. Rejects and ends the request if there is
    /// none. Returns no decision if the request is to wait.
    pub(crate) fn assign(
        &mut self,
        now: Tick,
        id: RequestId,
        wait: WaitPolicy,
        out: &mut Outbox<Output>,
    ) -> Option<Decision> {
        let Some(request) = self.requests.get(id) else {
            return Some(Decision::Reject(Kind::Internal, RETRY_AFTER));
        };
        let plan = Arc::clone(&request.plan);
        let resolved = plan.route(request.route).zip(plan.service(request.service));
        let Some((route, service)) = resolved else {
            return Some(self.end_unserved(id, Kind::Internal, None, out));
        };
        if let Some(rejection) = self.quarantined(now, id) {
            return Some(self.reject_unserved(id, rejection, out));
        }
        self.draw_side(id, &service.name);
        let mut selected = self.select(now, id, service);
        if wait.exceeded_by(selected) && self.redraw_old(id) {
            selected = self.select(now, id, service);
        }
        let Some((endpoint, backlog_ms)) = selected else {
            return match self.next_accept(now, id, service) {
                Some(_) if wait.for_accept => None,
                Some(delay) => Some(self.reject_unserved(id, (Kind::Overloaded, delay), out)),
                None => Some(self.end_unserved(id, Kind::EndpointMissing, None, out)),
            };
        };
        if let Some(limit_ms) = wait.limit_ms.filter(|limit_ms| backlog_ms > *limit_ms) {
            self.report_queued(id, backlog_ms, limit_ms, out);
            return None;
        }
        let Some(attempt) = self.start(now, id, endpoint, route, service) else {
            return Some(self.end_unserved(id, Kind::Internal, None, out));
        };
        self.report_sent(now, &attempt, route, backlog_ms, out);
        Some(Decision::Dispatch(Box::new(attempt)))
    }

    /// The rejection of a request if it or a part of its prompt is in quarantine, with the time until
    /// the end of the quarantine.
    fn quarantined(&mut self, now: Tick, id: RequestId) -> Option<Rejection> {
        let parts = &self.requests.get(id)?.parts;
        let (part, remaining) = self.part_filter.quarantined(now, parts)?;
        let kind = if part.is_request() {
            Kind::RequestQuarantined
        } else {
            Kind::PromptQuarantined
        };
        Some((kind, remaining))
    }

    /// Starts an attempt at an endpoint and adds it to the endpoint's in-flight requests.
    pub(crate) fn start(
        &mut self,
        now: Tick,
        id: RequestId,
        endpoint_id: EndpointId,
        route: &Route,
        service: &Service,
    ) -> Option<Attempt> {
        let request = self.requests.get_mut(id)?;
        let plan = Arc::clone(&request.plan);
        let endpoint = self.endpoints.get_mut(endpoint_id)?;
        let fronts = self.fronts.get();
        if let Some(cold) = service.cold_start.filter(|_| endpoint.cold(now)) {
            let rate = Endpoint::cold_rate(cold.request_rate, fronts);
            endpoint.bucket.take(now, rate);
        }
        if let Some(limit) = &mut endpoint.stated.limit {
            limit.take_permit(now, fronts);
        }
        request.attempts += 1;
        request.endpoint = Some(endpoint_id);
        request.due_at = now + route.latency_target;
        request.sent_at = now;
        request.answering_since = None;
        request.pending_tokens = 0;
        endpoint.inflight += 1;
        if let Some(prompt) = &request.prompt {
            request.pending_tokens = endpoint.prefill_tokens(now, prompt, false);
            endpoint.pending_tokens += request.pending_tokens;
            endpoint.record_prompt(now, prompt);
        }
        self.versions
            .dispatched(now, request, endpoint, &route.name);
        let retry_allowed = route.retry.allows_retry() && request.executions + 1 < route.attempts;
        let timeout = if route.retry.is_stream() {
            route.latency_target * FIRST_EVENT_TIMEOUT_HALF_TARGETS / 2
        } else {
            route.latency_target * RESPONSE_TIMEOUT_FACTOR
        };
        // If the remaining time is too short for two attempts, a timeout would only cost the
        // request its place in the endpoint's queue.
        let retry_start = retry_allowed && request.deadline.since(now) >= timeout * 2;
        let account = request.account.and_then(|id| plan.account(id));
        Some(Attempt {
            request: id,
            endpoint: endpoint_id,
            address: endpoint.info.address,
            instance: endpoint.info.instance.clone(),
            account: account.map(|account| account.name.clone()),
            rank: request.priority.rank(),
            retry: route.retry,
            deadline: request.deadline,
            start_deadline: retry_start.then_some(now + timeout),
            max_gap: retry_allowed.then_some(route.event_gap * GAP_TIMEOUT_FACTOR),
            notice_held: endpoint.stated.limit.is_some(),
        })
    }

    /// Ends a request without a response. The error kind depends on the last failure and on
    /// whether an endpoint may have executed the request.
    pub(crate) fn end_unserved(
        &mut self,
        id: RequestId,
        kind: Kind,
        failure: Option<Failure>,
        out: &mut Outbox<Output>,
    ) -> Decision {
        let request = self.requests.get(id);
        let executed = request.is_some_and(|request| request.executions > 0);
        if let (Some(failure), Some(request)) = (failure, request) {
            let name = request.name.clone();
            out.push(Output::Event(Event::AttemptFailed(name, failure)));
        }
        self.end(id);
        let kind = match failure {
            Some(Failure::Silent) => Kind::EndpointTimeout,
            _ if executed => Kind::EndpointFailed,
            _ => kind,
        };
        Decision::Reject(kind, RETRY_AFTER)
    }

    /// Ends a request as [`Self::end_unserved`]. If no endpoint has executed the request, the caller
    /// is told the delay of the rejection.
    fn reject_unserved(
        &mut self,
        id: RequestId,
        (kind, retry_after): Rejection,
        out: &mut Outbox<Output>,
    ) -> Decision {
        match self.end_unserved(id, kind, None, out) {
            Decision::Reject(ended, _) if ended == kind => Decision::Reject(kind, retry_after),
            executed => executed,
        }
    }

    /// Removes a request from the accounting of its endpoint, and returns the endpoint.
    pub(crate) fn detach(&mut self, id: RequestId) -> Option<EndpointId> {
        let request = self.requests.get_mut(id)?;
        let endpoint_id = request.endpoint.take()?;
        let pending_tokens = std::mem::take(&mut request.pending_tokens);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint_id) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(pending_tokens);
        }
        Some(endpoint_id)
    }

    pub(crate) fn end(&mut self, id: RequestId) {
        self.detach(id);
        self.requests.remove(id);
    }

    /// Records the start of a response: counts usage once per request, and updates the endpoint's
    /// delay and load.
    pub(crate) fn response_started(
        &mut self,
        now: Tick,
        id: RequestId,
        load: Option<Load>,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.answering_since.get_or_insert(now);
        if std::mem::replace(&mut request.started, true) {
            return;
        }
        let service = request.plan.service(request.service);
        let speed = service.map(|service| self.endpoints.speed(&service.name));
        let delay = request.delay(now, &speed.unwrap_or_default());
        let pending_tokens = std::mem::take(&mut request.pending_tokens);
        let endpoint = request.endpoint;
        let account = request.account.and_then(|id| request.plan.account(id));
        if let Some(account) = account {
            self.usage.count(now, &account.name);
        }
        let Some(id) = endpoint else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(pending_tokens);
        }
        let observed = Observed {
            prompt: request.prompt.as_ref(),
            elapsed_ms: request.elapsed_ms(now),
            delay,
            load,
        };
        if let Some(share) = self.endpoints.record_response(now, id, &observed) {
            out.push(Output::Event(Event::LaneResized(share)));
        }
    }

    pub(crate) fn attempt_failed(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: RequestId,
        failure: Failure,
        out: &mut Outbox<Output>,
    ) {
        if let Some(endpoint) = self.detach(id) {
            if failure == Failure::Crashed {
                self.record_crash(now, id, endpoint, out);
            }
            self.record_failure(now, endpoint, failure, out);
            if matches!(
                failure,
                Failure::Broken | Failure::Crashed | Failure::Garbled
            ) {
                // The endpoint probably executed the request although its response is unusable, so
                // the request counts as usage.
                self.response_started(now, id, None, out);
            }
            if let Some(request) = self.requests.get_mut(id) {
                request.tried.push(endpoint);
                request.executions += u32::from(!failure.not_executed());
            }
        }
        let decision = if self.may_retry(now, id, failure, out) {
            if let Some(request) = self.requests.get(id) {
                let name = request.name.clone();
                out.push(Output::Event(Event::Retried(name, failure)));
            }
            // Without a wait, `assign` always returns a decision.
            self.assign(now, id, WaitPolicy::default(), out)
                .unwrap_or(Decision::Reject(Kind::Internal, RETRY_AFTER))
        } else if failure == Failure::Errored {
            self.end(id);
            Decision::PassThrough
        } else {
            let kind = match failure {
                Failure::Full => Kind::Overloaded,
                _ => Kind::EndpointMissing,
            };
            self.end_unserved(id, kind, Some(failure), out)
        };
        out.push(Output::Reply(ticket, decision));
    }

    /// Records an endpoint's crash as evidence against a request and the parts of its prompt, if the
    /// endpoint had not begun its response or only just.
    fn record_crash(
        &mut self,
        now: Tick,
        id: RequestId,
        endpoint: EndpointId,
        out: &mut Outbox<Output>,
    ) {
        let endpoint = self.endpoints.get_mut(endpoint);
        let Some((request, endpoint)) = self.requests.get(id).zip(endpoint) else {
            return;
        };
        let began = request
            .answering_since
            .is_some_and(|since| now.since(since) > RESPONSE_START_SPAN);
        if began {
            return;
        }
        let instance = endpoint.info.instance.clone();
        let attempt = quarantine::Attempt {
            request: request_number(self.options.rng_seed, id),
            number: request.attempts,
            elapsed: now.since(request.sent_at),
        };
        self.part_filter
            .crashed(now, &instance, &request.parts, attempt);
        let event = Event::Crashed(request.name.clone(), instance, request.parts.clone());
        out.push(Output::Event(event));
    }

    /// Updates an endpoint's state after a failed attempt. A misdirected attempt removes the
    /// endpoint, a rejection for lack of capacity sets its load, and any other failure counts
    /// towards ejection.
    pub(crate) fn record_failure(
        &mut self,
        now: Tick,
        id: EndpointId,
        failure: Failure,
        out: &mut Outbox<Output>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match failure {
            Failure::Misdirected => self.endpoints.remove(now, id),
            Failure::Full => {
                let slots = endpoint.info.slots;
                let full = Load {
                    running: slots,
                    waiting: slots,
                    slots,
                    slowdown: 1.0,
                };
                endpoint.record_load(now, full);
            }
            _ => {
                if endpoint.health.record_failure(now) {
                    let instance = endpoint.info.instance.clone();
                    out.push(Output::Event(Event::Ejected(instance)));
                }
            }
        }
    }

    /// Whether a request may be retried after a failure. If so, takes the retry from the budget,
    /// unless the attempt reached no endpoint.
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
        let allowed = if failure.not_executed() {
            request.executions < route.attempts
                && request.attempts < route.attempts + EXTRA_ATTEMPTS
        } else {
            route.retry.allows_retry() && request.executions < route.attempts
        };
        if !allowed || request.deadline.since(now) < MIN_RETRY_TIME {
            return false;
        }
        if failure == Failure::Unreached {
            // No endpoint received the attempt, so the next one is no additional load.
            return true;
        }
        let budget = self.retry_budgets.entry(service.name.clone()).or_default();
        let window = self.options.retry_window;
        let extra = self.options.retry_extra / self.fronts.get() as f64;
        let within_budget = budget.try_take(now, window, self.options.retry_ratio, extra);
        if !within_budget {
            let name = request.name.clone();
            out.push(Output::Event(Event::BudgetExhausted(name)));
        }
        within_budget
    }
}
