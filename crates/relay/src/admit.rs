//! Requests that come in: checked against the plan, held, or let wait.

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

use crate::choice::Choice;
use crate::gate::{
    self,
    Gate,
    Waiting, //
};
use crate::message::{
    Ask,
    Output, //
};
use crate::relay::{
    COME_BACK,
    Refusal,
    Relay,
    STALE, //
};
use crate::request::{
    Request,
    Urgency, //
};

/// When to come back after a refusal under overload: by then a burst has passed or not.
const OVERLOADED: Refusal = (Kind::Overloaded, Duration::from_secs(1));

impl<C: Choice> Relay<C> {
    /// Takes a request, or holds it for the view that is expected in a moment.
    pub(crate) fn receive(
        &mut self,
        now: Tick,
        ticket: Ticket,
        ask: Box<Ask>,
        out: &mut Outbox<Output>,
    ) {
        if self.follows(now) {
            return self.arrive(now, ticket, *ask, out);
        }
        if let Err(ask) = self.hold.take(now, ticket, ask) {
            self.turn_away(now, ticket, &ask.name, STALE, out);
        }
    }

    pub(crate) fn arrive(&mut self, now: Tick, ticket: Ticket, ask: Ask, out: &mut Outbox<Output>) {
        let name = ask.name.clone();
        match self.admit(now, ask) {
            Ok(id) => self.dispatch(now, ticket, id, out),
            Err(kind) => self.turn_away(now, ticket, &name, (kind, COME_BACK), out),
        }
    }

    /// Sends a request on its first attempt, or lets it wait for engines that have less to read.
    pub(crate) fn dispatch(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: RequestId,
        out: &mut Outbox<Output>,
    ) {
        let limit = self.limit(id).filter(|_| self.gate.has_room());
        if let Some(verdict) = self.assign(now, id, limit, out) {
            out.push(Output::Reply(ticket, verdict));
        } else if let Some(request) = self.requests.get(id) {
            let waiting = Waiting {
                ticket,
                request: id,
                urgency: request.urgency,
                until: Gate::until(now, request.until),
            };
            self.gate.put(now, waiting);
        }
    }

    /// The backlog above which a request waits.
    pub(crate) fn limit(&self, id: RequestId) -> Option<f64> {
        let request = self.requests.get(id)?;
        gate::limit(request.prompt.as_ref()?, request.urgency.route)
    }

    /// Looks at the requests that wait for engines, in the order of their urgency.
    pub(crate) fn release_waiting(&mut self, now: Tick, out: &mut Outbox<Output>) {
        // Once one of a rank has to wait, those after it do too.
        let mut shut = None;
        for waiting in self.gate.take(now) {
            let due = now >= waiting.until;
            if shut == Some(waiting.urgency) && !due {
                self.gate.put(now, waiting);
                continue;
            }
            let limit = self.limit(waiting.request);
            let limit = if due { limit.map(gate::last) } else { limit };
            match self.assign(now, waiting.request, limit, out) {
                Some(verdict) => out.push(Output::Reply(waiting.ticket, verdict)),
                None if due => {
                    let request = self.requests.get(waiting.request);
                    let name = request.map_or("", |request| request.name.as_str());
                    self.turn_away(now, waiting.ticket, name, OVERLOADED, out);
                    self.end(waiting.request);
                }
                None => {
                    shut = Some(waiting.urgency);
                    self.gate.put(now, waiting);
                }
            }
        }
    }

    /// Checks a request against the plan.
    pub(crate) fn admit(&mut self, now: Tick, ask: Ask) -> Result<RequestId, Kind> {
        let plan = match &self.plan {
            Some(plan) if now < self.fresh => Arc::clone(plan),
            _ => return Err(Kind::ViewStale),
        };
        let id = plan
            .find_route(&ask.host, &ask.path)
            .ok_or(Kind::RouteUnknown)?;
        let route = plan.route(id).ok_or(Kind::RouteUnknown)?;
        let account = holder(&plan, route, ask.key.as_deref())?;
        let rank = account
            .and_then(|id| plan.account(id))
            .and_then(|account| account.rank);
        let urgency = Urgency {
            account: rank.unwrap_or(route.rank),
            route: route.rank,
        };
        let patience = ask.patience.map_or(route.timeout, |p| p.min(route.timeout));
        let service = self.draw(route).ok_or(Kind::EndpointMissing)?;
        let request = self.requests.insert(Request {
            name: ask.name,
            plan: Arc::clone(&plan),
            route: id,
            service,
            account,
            prompt: ask.prompt,
            size: ask.size,
            urgency,
            until: now + patience,
            runs: 0,
            attempts: 0,
            tried: Vec::new(),
            at: None,
            due: now + route.latency_target,
            sent: now,
            unread: 0,
            began: false,
            waited: false,
        });
        if let Some(service) = plan.service(service) {
            let budget = self.budgets.entry(service.name.clone()).or_default();
            budget.request(now, self.seed.span);
        }
        Ok(request)
    }

    /// Draws one of a route's services by weight.
    pub(crate) fn draw(&mut self, route: &Route) -> Option<ServiceId> {
        let total: u32 = route.shares.iter().map(|(_, weight)| weight).sum();
        let mut left = self.rng.random_range(0..total.max(1));
        for (service, weight) in &route.shares {
            if left < *weight {
                return Some(*service);
            }
            left -= weight;
        }
        route.shares.first().map(|(service, _)| *service)
    }
}

/// The account that a request runs for.
fn holder(plan: &Plan, route: &Route, key: Option<&str>) -> Result<Option<AccountId>, Kind> {
    if route.open || !plan.requires_key() {
        return Ok(None);
    }
    let key = key.ok_or(Kind::KeyMissing)?;
    plan.account_for_key(key).map(Some).ok_or(Kind::KeyInvalid)
}
