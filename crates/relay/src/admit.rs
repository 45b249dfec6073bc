//! Admission of requests: checks against the plan, holding without a view, and queueing.

use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    AccountId,
    RequestId,
    ServiceId,
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    Route, //
};
use rand::RngExt;
use step::Outbox;

use crate::backlog::{
    self,
    BacklogQueue,
    Queued,
    WaitPolicy, //
};
use crate::balance::Balancer;
use crate::lanes::is_long;
use crate::message::{
    Output,
    Prompt,
    RequestHead, //
};
use crate::relay::{
    RETRY_AFTER,
    Rejection,
    Relay,
    VIEW_EXPIRED, //
};
use crate::request::{
    Priority,
    Request, //
};

/// Rejection under overload. After the retry delay of 1 s a short burst has passed.
const OVERLOADED: Rejection = (Kind::Overloaded, Duration::from_secs(1));

impl<B: Balancer> Relay<B> {
    /// Handles a new request. Without a valid view, holds the request for a moment or rejects it.
    pub(crate) fn receive(
        &mut self,
        now: Tick,
        ticket: Ticket,
        head: Box<RequestHead>,
        out: &mut Outbox<Output>,
    ) {
        if self.has_valid_view(now) {
            return self.admit_and_dispatch(now, ticket, *head, out);
        }
        if let Err(head) = self.view_wait.hold(now, ticket, head) {
            self.reject(now, ticket, &head.name, VIEW_EXPIRED, out);
        }
    }

    /// Admits a request and dispatches or queues it, or rejects it.
    pub(crate) fn admit_and_dispatch(
        &mut self,
        now: Tick,
        ticket: Ticket,
        head: RequestHead,
        out: &mut Outbox<Output>,
    ) {
        let name = head.name.clone();
        match self.admit(now, ticket, head) {
            Ok(id) => self.dispatch(now, ticket, id, out),
            Err(kind) => self.reject(now, ticket, &name, (kind, RETRY_AFTER), out),
        }
    }

    /// Dispatches a request's first attempt, or queues the request until the engines' backlog is
    /// shorter and their limits allow it. If the queue is full, dispatches the attempt regardless of
    /// the backlog, or rejects the request.
    pub(crate) fn dispatch(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: RequestId,
        out: &mut Outbox<Output>,
    ) {
        let has_room = self.backlog_queue.has_room();
        let wait = WaitPolicy {
            limit_ms: self.backlog_limit_ms(id).filter(|_| has_room),
            for_accept: has_room,
        };
        if let Some(decision) = self.assign(now, id, wait, out) {
            out.push(Output::Reply(ticket, decision));
        } else if let Some(request) = self.requests.get(id) {
            let queued = Queued {
                ticket,
                request: id,
                service: request.service,
                priority: request.priority,
                wait_until: BacklogQueue::wait_end(now, request.deadline),
            };
            self.backlog_queue.enqueue(now, queued);
        }
    }

    /// The backlog above which a request is queued; none if the request is never queued.
    pub(crate) fn backlog_limit_ms(&self, id: RequestId) -> Option<f64> {
        let request = self.requests.get(id)?;
        let route = request.plan.route(request.route)?;
        let prompt = request.prompt.as_ref().filter(|prompt| is_long(prompt))?;
        let engine = request.plan.service(request.service)?.engine;
        let fit = engine.map_or(1.0, |engine| {
            backlog::memory_fit(engine, prompt.input_tokens)
        });
        backlog::limit_ms(request.priority.route, route.latency_target, fit)
    }

    /// Reconsiders the queued requests in order of priority. Dispatches those below the limit and
    /// rejects the others at the end of their wait.
    pub(crate) fn poll_queue(&mut self, now: Tick, out: &mut Outbox<Output>) {
        // A request that stays queued also blocks later ones of the same priority and service.
        let mut blocked = None;
        for queued in self.backlog_queue.poll(now) {
            let wait_ended = now >= queued.wait_until;
            let class = Some((queued.priority, queued.service));
            if blocked == class && !wait_ended {
                self.backlog_queue.enqueue(now, queued);
                continue;
            }
            let limit_ms = self.backlog_limit_ms(queued.request);
            let wait = WaitPolicy {
                limit_ms: if wait_ended {
                    limit_ms.map(backlog::final_limit_ms)
                } else {
                    limit_ms
                },
                for_accept: !wait_ended,
            };
            match self.assign(now, queued.request, wait, out) {
                Some(decision) => out.push(Output::Reply(queued.ticket, decision)),
                None if wait_ended => {
                    let request = self.requests.get(queued.request);
                    let name = request.map_or("", |request| request.name.as_str());
                    self.reject(now, queued.ticket, name, OVERLOADED, out);
                    self.end(queued.request);
                }
                None => {
                    blocked = class;
                    self.backlog_queue.enqueue(now, queued);
                }
            }
        }
    }

    /// Checks a request against the plan and records it as in flight.
    pub(crate) fn admit(
        &mut self,
        now: Tick,
        ticket: Ticket,
        head: RequestHead,
    ) -> Result<RequestId, Kind> {
        let plan = match &self.plan {
            Some(plan) if now < self.view_expiry => Arc::clone(plan),
            _ => return Err(Kind::ViewStale),
        };
        let id = plan
            .find_route(&head.host, &head.path)
            .ok_or(Kind::RouteUnknown)?;
        let route = plan.route(id).ok_or(Kind::RouteUnknown)?;
        let account = account_of(&plan, route, head.key.as_deref())?;
        let rank = account
            .and_then(|id| plan.account(id))
            .and_then(|account| account.rank);
        let priority = Priority {
            account: rank.unwrap_or(route.rank),
            route: route.rank,
        };
        let timeout = head
            .timeout
            .map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let service = self.draw_service(route).ok_or(Kind::EndpointMissing)?;
        if exceeds_memory(&plan, service, head.prompt.as_ref()) {
            return Err(Kind::PromptTooLarge);
        }
        let account_name = account.and_then(|id| plan.account(id));
        let identity = head
            .content
            .identity(account_name.map(|account| account.name.as_str()));
        let shared = head.prompt.iter().flat_map(Prompt::shared_parts);
        let parts = shared.chain([identity]).collect();
        let request = self.requests.insert(Request {
            ticket,
            name: head.name,
            plan: Arc::clone(&plan),
            route: id,
            service,
            account,
            prompt: head.prompt,
            parts,
            body_bytes: head.body_bytes,
            priority,
            deadline: now + timeout,
            executions: 0,
            attempts: 0,
            tried: Vec::new(),
            endpoint: None,
            due_at: now + route.latency_target,
            sent_at: now,
            pending_tokens: 0,
            started: false,
            answering_since: None,
            queued: false,
            trial: Default::default(),
        });
        if let Some(service) = plan.service(service) {
            let budget = self.retry_budgets.entry(service.name.clone()).or_default();
            budget.record_request(now, self.options.retry_window);
        }
        Ok(request)
    }

    /// Draws one of a route's services at random, by weight.
    pub(crate) fn draw_service(&mut self, route: &Route) -> Option<ServiceId> {
        let total: u32 = route.shares.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.random_range(0..total.max(1));
        for (service, weight) in &route.shares {
            if remaining < *weight {
                return Some(*service);
            }
            remaining -= weight;
        }
        route.shares.first().map(|(service, _)| *service)
    }
}

/// Whether a prompt is larger than the memory of each of a service's engines.
fn exceeds_memory(plan: &Plan, service: ServiceId, prompt: Option<&Prompt>) -> bool {
    let engine = plan.service(service).and_then(|service| service.engine);
    let tokens = prompt.map_or(0, |prompt| prompt.input_tokens);
    engine.is_some_and(|engine| tokens > engine.kv_tokens)
}

/// The account to which a request's key belongs; none if the route or plan needs no key.
fn account_of(plan: &Plan, route: &Route, key: Option<&str>) -> Result<Option<AccountId>, Kind> {
    if route.open || !plan.requires_key() {
        return Ok(None);
    }
    let key = key.ok_or(Kind::KeyMissing)?;
    plan.account_for_key(key).map(Some).ok_or(Kind::KeyInvalid)
}
