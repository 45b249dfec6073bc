//! The core itself: requests in, attempts out.

use std::collections::{
    BTreeSet,
    HashMap, //
};
use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    AccountId,
    EndpointId,
    RequestId,
    ServiceId,
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    Route,
    Service, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use slotmap::SlotMap;
use step::{
    Core,
    Outbox, //
};

use crate::budget::Budget;
use crate::choice::{
    Choice,
    Estimate, //
};
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::gate::{
    self,
    Gate,
    Waiting, //
};
use crate::hold::Hold;
use crate::lane::{
    Lanes,
    READ_PER_MS, //
};
use crate::message::{
    Ask,
    Failure,
    Go,
    Input,
    Listing,
    Load,
    Output,
    Prompt,
    Seed,
    Trace,
    Verdict,
    View, //
};
use crate::request::{
    Request,
    Urgency, //
};
use crate::tally::Tally;

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
/// What an endpoint of another zone costs: two hops.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// What each byte to and from another zone costs, in seconds: its price, as time. A long prompt's
/// bytes weigh less than the reading of its shared parts, a short one's more.
const BYTE_S: f64 = 2.0e-6;
/// How much worse it is to read shared parts again than the time it takes: the price of tokens
/// read again, as time.
const ASTRAY: f64 = 2.5;
/// When to come back after a refusal for want of an endpoint.
const COME_BACK: Duration = Duration::from_millis(250);
/// When to come back after a refusal for want of a view: a group that was stopped as a whole
/// serves again within this time.
const STALE: Verdict = Verdict::Refuse(Kind::ViewStale, Duration::from_secs(1));
/// When to come back after a refusal under overload: by then a burst has passed or not.
const OVERLOADED: Verdict = Verdict::Refuse(Kind::Overloaded, Duration::from_secs(1));
/// Fronts assumed before the control group says how many there are.
const ASSUMED_FRONTS: usize = 12;

/// One front's requests.
pub struct Relay<C> {
    seed: Seed,
    choice: C,
    rng: Pcg32,
    plan: Option<Arc<Plan>>,
    edition: u64,
    closed: BTreeSet<String>,
    fresh: Tick,
    stale: bool,
    seen: Tick,
    fronts: usize,
    fleet: Fleet,
    requests: SlotMap<RequestId, Request>,
    budgets: HashMap<String, Budget>,
    tally: Tally,
    hold: Hold,
    gate: Gate,
    draining: bool,
}

impl<C: Choice> Relay<C> {
    /// A front that knows no plan yet.
    pub fn new(seed: Seed, choice: C) -> Self {
        Self {
            choice,
            rng: Pcg32::seed_from_u64(seed.random),
            plan: None,
            edition: 0,
            closed: BTreeSet::new(),
            fresh: Tick::default(),
            stale: true,
            seen: Tick::default(),
            fronts: ASSUMED_FRONTS,
            fleet: Fleet::default(),
            requests: SlotMap::with_key(),
            budgets: HashMap::new(),
            tally: Tally::new(seed.window),
            hold: Hold::default(),
            gate: Gate::default(),
            draining: false,
            seed,
        }
    }

    /// The edition followed.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    fn serves(&self, now: Tick) -> bool {
        !self.draining && self.follows(now)
    }

    fn view(&mut self, now: Tick, view: View, out: &mut Outbox<Output>) {
        if view.edition < self.edition {
            return;
        }
        self.tally.set_wall(view.wall);
        self.fronts = view.fronts.max(1);
        if let Some((plan, closed)) = view.content.filter(|_| view.edition > self.edition) {
            self.edition = view.edition;
            self.plan = plan;
            self.close_zones(now, closed);
            out.push(Output::Trace(Trace::Advanced(self.edition)));
        }
        if view.edition == self.edition {
            self.fresh = self.fresh.max(view.fresh);
            self.seen = self.seen.max(view.at);
        }
        if std::mem::replace(&mut self.stale, now >= self.fresh) && !self.stale {
            out.push(Output::Trace(Trace::Fresh(true)));
        }
        if self.follows(now) {
            for held in self.hold.end() {
                let (ticket, ask) = held.resumed(now);
                self.arrive(now, ticket, ask, out);
            }
        }
    }

    /// Whether there is a plan, by a view that has not run out.
    fn follows(&self, now: Tick) -> bool {
        self.plan.is_some() && now < self.fresh
    }

    /// Endpoints of a zone that opens again may have turned cold meanwhile.
    fn close_zones(&mut self, now: Tick, closed: Vec<String>) {
        let closed: BTreeSet<_> = closed.into_iter().collect();
        let Some(plan) = &self.plan else {
            return;
        };
        let span = |name: &str| {
            let service = plan.services().find(|service| service.name == name);
            let cold = service.and_then(|service| service.cold);
            cold.map_or(Duration::ZERO, |cold| cold.span)
        };
        for zone in self.closed.difference(&closed) {
            self.fleet.cool(now, zone, span);
        }
        self.closed = closed;
    }

    /// Takes a request, or holds it for the view that is expected in a moment.
    fn receive(&mut self, now: Tick, ticket: Ticket, ask: Box<Ask>, out: &mut Outbox<Output>) {
        if self.follows(now) {
            return self.arrive(now, ticket, *ask, out);
        }
        if let Err(ask) = self.hold.take(now, ticket, ask) {
            self.trace_refused(now, &ask.name, Kind::ViewStale, out);
            out.push(Output::Reply(ticket, STALE));
        }
    }

    fn arrive(&mut self, now: Tick, ticket: Ticket, ask: Ask, out: &mut Outbox<Output>) {
        let name = ask.name.clone();
        match self.admit(now, ask) {
            Ok(id) => self.dispatch(now, ticket, id, out),
            Err(kind) => {
                self.trace_refused(now, &name, kind, out);
                let refusal = Verdict::Refuse(kind, COME_BACK);
                out.push(Output::Reply(ticket, refusal));
            }
        }
    }

    /// Sends a request on its first attempt, or lets it wait for engines that have less to read.
    fn dispatch(&mut self, now: Tick, ticket: Ticket, id: RequestId, out: &mut Outbox<Output>) {
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
    fn limit(&self, id: RequestId) -> Option<f64> {
        let request = self.requests.get(id)?;
        gate::limit(request.prompt.as_ref()?, request.urgency.route)
    }

    /// Looks at the requests that wait for engines, in the order of their urgency.
    fn release_waiting(&mut self, now: Tick, out: &mut Outbox<Output>) {
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
                    if let Some(request) = self.requests.get(waiting.request) {
                        let name = request.name.clone();
                        self.trace_refused(now, &name, Kind::Overloaded, out);
                    }
                    self.end(waiting.request);
                    out.push(Output::Reply(waiting.ticket, OVERLOADED));
                }
                None => {
                    shut = Some(waiting.urgency);
                    self.gate.put(now, waiting);
                }
            }
        }
    }

    /// Checks a request against the plan.
    fn admit(&mut self, now: Tick, ask: Ask) -> Result<RequestId, Kind> {
        let plan = match &self.plan {
            Some(plan) if now < self.fresh => Arc::clone(plan),
            _ => return Err(Kind::ViewStale),
        };
        let id = plan.find(&ask.host, &ask.path).ok_or(Kind::RouteUnknown)?;
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
            due: now + route.target,
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
    fn draw(&mut self, route: &Route) -> Option<ServiceId> {
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

    /// Chooses an endpoint for a request's next attempt. The request ends if there is none. No
    /// verdict if the best endpoint's backlog is above the limit.
    fn assign(
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

    fn trace_refused(&self, now: Tick, name: &str, kind: Kind, out: &mut Outbox<Output>) {
        out.push(Output::Trace(Trace::Refused {
            request: name.to_owned(),
            kind,
            edition: self.edition,
            age: now.since(self.seen),
        }));
    }

    /// Traces the first time that a request has to wait.
    fn trace_waits(&mut self, id: RequestId, backlog: f64, limit: f64, out: &mut Outbox<Output>) {
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

    fn trace_sent(
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

    /// The endpoint for a request's next attempt, and what it has to read before, in milliseconds.
    fn pick(&mut self, now: Tick, id: RequestId, service: &Service) -> Option<(EndpointId, f64)> {
        let request = self.requests.get(id)?;
        let usable = |endpoint: &Endpoint| {
            let rate = service.cold.map(|cold| cold.rate);
            let bears = !endpoint.cold(now)
                || rate.is_none_or(|rate| {
                    let rate = Endpoint::cold_rate(rate, self.fronts);
                    endpoint.bucket.has(now, rate)
                });
            bears && !endpoint.listing.leaving && !self.closed.contains(&endpoint.listing.zone)
        };
        let mut candidates: Vec<_> = self
            .fleet
            .of(&service.name)
            .filter(|(id, endpoint)| usable(endpoint) && !request.tried.contains(id))
            .collect();
        if candidates.iter().any(|(_, e)| !e.health.ejected(now)) {
            candidates.retain(|(_, endpoint)| !endpoint.health.ejected(now));
        }
        let queued = self.queued(now);
        let distance = OTHER_ZONE + Duration::from_secs_f64(request.bytes() * BYTE_S);
        let lanes = Lanes::of(self.fleet.of(&service.name));
        let home = request
            .prompt
            .as_ref()
            .and_then(|prompt| home(prompt, &lanes, &candidates));
        let estimate = |(id, endpoint): &(EndpointId, &Endpoint)| {
            let near = endpoint.listing.zone == self.seed.zone;
            let queued = queued.get(id).copied().unwrap_or_default();
            let mut estimate = Estimate {
                busy: endpoint.busy(now),
                slots: f64::from(endpoint.listing.slots),
                delay: endpoint.delay(now).max(queued.delay),
                overdue: queued.overdue,
                failing: endpoint.health.failing(now),
                distance: if near { Duration::ZERO } else { distance },
                ..Estimate::default()
            };
            if let Some(prompt) = &request.prompt {
                let at_home = home == Some(*id);
                let to_read = endpoint.to_read(now, prompt, at_home);
                let astray = shared(prompt) as f64 / READ_PER_MS * ASTRAY;
                estimate.tokens = Some((to_read + endpoint.unread) as f64);
                estimate.place = lanes.cost(*id, prompt) + if at_home { 0.0 } else { astray };
            }
            estimate
        };
        let estimates: Vec<_> = candidates.iter().map(estimate).collect();
        let chosen = self.choice.choose(&estimates, &mut self.rng)?;
        let (at, endpoint) = candidates[chosen];
        let backlog = estimates[chosen].delay + endpoint.unread as f64 / READ_PER_MS;
        Some((at, backlog))
    }

    /// What the requests whose answer has not begun say of their endpoints.
    fn queued(&self, now: Tick) -> HashMap<EndpointId, Queued> {
        let mut waiting: HashMap<_, Queued> = HashMap::new();
        for request in self.requests.values().filter(|request| !request.began) {
            let Some(at) = request.at else {
                continue;
            };
            let entry = waiting.entry(at).or_default();
            entry.overdue += f64::from(u8::from(request.due < now));
            entry.delay = entry.delay.max(request.delay(now));
        }
        waiting
    }

    fn start(
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
        if let Some(cold) = service.cold.filter(|_| endpoint.cold(now)) {
            let rate = Endpoint::cold_rate(cold.rate, self.fronts);
            endpoint.bucket.take(now, rate);
        }
        request.attempts += 1;
        request.at = Some(at);
        request.due = now + route.target;
        request.sent = now;
        request.unread = 0;
        endpoint.inflight += 1;
        if let Some(prompt) = &request.prompt {
            request.unread = endpoint.to_read(now, prompt, false);
            endpoint.unread += request.unread;
            endpoint.remember(now, prompt);
        }
        let another = route.repeat.allowed() && request.runs + 1 < route.attempts;
        let span = if route.repeat.streams() {
            route.target * STREAM_PATIENCE / 2
        } else {
            route.target * WHOLE_PATIENCE
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
            repeat: route.repeat,
            until: request.until,
            patience,
            gap: another.then_some(route.pause * PAUSE_PATIENCE),
        })
    }

    /// Ends a request with a refusal or a failure.
    fn refuse(
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
    fn release(&mut self, id: RequestId) -> Option<EndpointId> {
        let request = self.requests.get_mut(id)?;
        let at = request.at.take()?;
        let unread = std::mem::take(&mut request.unread);
        if let Some(endpoint) = self.fleet.get_mut(at) {
            endpoint.inflight = endpoint.inflight.saturating_sub(1);
            endpoint.unread = endpoint.unread.saturating_sub(unread);
        }
        Some(at)
    }

    fn end(&mut self, id: RequestId) {
        self.release(id);
        self.requests.remove(id);
    }

    fn began(&mut self, now: Tick, id: RequestId, load: Option<Load>) {
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

    fn failed(
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
    fn blame(&mut self, now: Tick, at: EndpointId, failure: Failure, out: &mut Outbox<Output>) {
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

    fn may_retry(
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
            route.repeat.allowed() && request.runs < route.attempts
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

    fn relist(&mut self, now: Tick, list: Vec<Listing>, out: &mut Outbox<Output>) {
        if self.fleet.relist(now, list, &mut self.rng) {
            let (all, leaving) = self.fleet.counts();
            out.push(Output::Trace(Trace::Relisted(all, leaving)));
        }
    }
}

/// The account that a request runs for.
fn holder(plan: &Plan, route: &Route, key: Option<&str>) -> Result<Option<AccountId>, Kind> {
    if route.open || !plan.keyed() {
        return Ok(None);
    }
    let key = key.ok_or(Kind::KeyMissing)?;
    plan.holder(key).map(Some).ok_or(Kind::KeyInvalid)
}

/// The endpoint that a prompt's shared parts are read at, among those of its lane if there are any.
fn home(
    prompt: &Prompt,
    lanes: &Lanes,
    candidates: &[(EndpointId, &Endpoint)],
) -> Option<EndpointId> {
    let best = candidates
        .iter()
        .max_by_key(|(id, endpoint)| (lanes.suits(*id, prompt), affinity(prompt, endpoint)));
    best.map(|(id, _)| *id)
}

/// How strongly an endpoint is preferred for a prompt: the same on all fronts, so that the parts
/// that requests share are read in one place. It hangs on the deepest of these parts.
fn affinity(prompt: &Prompt, endpoint: &Endpoint) -> u64 {
    let deepest = prompt.parts.len().saturating_sub(2);
    let part = prompt.parts.get(deepest).map(|(part, _)| part);
    let mut hasher = DefaultHasher::new();
    (part, &endpoint.listing.instance).hash(&mut hasher);
    hasher.finish()
}

/// Tokens of the parts that a prompt shares with others: all but the last.
fn shared(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.iter().rev().skip(1);
    shared.map(|(_, tokens)| tokens).sum()
}

/// What the requests that wait at an endpoint say of it.
#[derive(Clone, Copy, Debug, Default)]
struct Queued {
    /// Requests past their target.
    overdue: f64,
    /// The longest wait beyond the reading of the prompt, in milliseconds.
    delay: f64,
}

impl<C: Choice> Core for Relay<C> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(view) => self.view(now, *view, out),
            Input::Listed(list) => self.relist(now, list, out),
            Input::Arrive(ticket, ask) => self.receive(now, ticket, ask, out),
            Input::Began(id, load) => self.began(now, id, load),
            Input::Failed(ticket, id, failure) => self.failed(now, ticket, id, failure, out),
            Input::Done(id) => {
                let at = self.requests.get(id).and_then(|request| request.at);
                if let Some(endpoint) = at.and_then(|at| self.fleet.get_mut(at)) {
                    endpoint.health.succeeded(now);
                }
                self.end(id);
            }
            Input::Gone(id) => self.end(id),
            Input::Usage(ticket, sealed) => {
                let windows = self.tally.unsealed(now, sealed);
                out.push(Output::Usage(ticket, windows));
            }
            Input::Ready(ticket) => out.push(Output::Ready(ticket, self.serves(now))),
            Input::Drain => self.draining = true,
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if !self.stale && now >= self.fresh {
            self.stale = true;
            self.hold.begin(now);
            out.push(Output::Trace(Trace::Fresh(false)));
        }
        for (ticket, name) in self.hold.expire(now) {
            self.trace_refused(now, &name, Kind::ViewStale, out);
            out.push(Output::Reply(ticket, STALE));
        }
        self.release_waiting(now, out);
    }

    fn deadline(&self) -> Option<Tick> {
        let fresh = (!self.stale).then_some(self.fresh);
        [fresh, self.hold.deadline(), self.gate.deadline()]
            .into_iter()
            .flatten()
            .min()
    }
}
