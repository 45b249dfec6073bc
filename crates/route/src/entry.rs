//! The entry's core.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{
    Hash,
    Hasher, //
};
use std::time::Duration;

use conf::{
    AccessError,
    Config,
    Method,
    Permit,
    Serves, //
};
use fault::Kind;
use ids::{
    AttemptId,
    ClassId,
    Digest,
    EndpointId,
    ModelName,
    RequestId,
    RouteId,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};
use ledger::{
    Fingerprint,
    RequestKey, //
};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::{
    SecondaryMap,
    SlotMap, //
};
use step::{
    Core,
    Outbox, //
};

use crate::budget::Budgets;
use crate::health::Health;
use crate::message::{
    EntryOptions,
    Event, //
    Input,
    Output,
};
use crate::place::{
    Candidate,
    Locality,
    Placement, //
};
use crate::request::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Claim,
    ClaimResult,
    Decision, //
    RequestTarget,
};
use crate::shares::Shares;

/// A request may wait for its start this many times its class's first-token target; later it is
/// refused as not run.
const SLACK_FACTOR: u32 = 2;
/// An endpoint that is not the last to be asked may keep a request waiting for this part of its
/// class's first-token target.
const PROBE_DIVISOR: u32 = 8;
/// After its start, the first token may take this many times its target before the endpoint
/// counts as failed.
const PATIENCE_FACTOR: u32 = 20;
/// Within an answer, a pause of this many times the target between tokens counts as a failure.
const STALL_FACTOR: u32 = 50;
/// No shorter pause within an answer counts as a failure.
const MIN_STALL: Duration = Duration::from_secs(3);
/// Tokens that an answer is taken to have when an account's share is reckoned.
const USUAL_OUTPUT: u64 = 128;
/// Attempts at one request, over all endpoints.
const MAX_ATTEMPTS: usize = 6;

#[derive(Clone, Debug)]
struct Request {
    ticket: Ticket,
    permit: Permit,
    key: Option<Digest>,
    class: ClassId,
    route: RouteId,
    input_tokens: Tokens,
    prefix_hash: Option<u64>,
    once: bool,
    claim: RequestKey,
    fingerprint: Fingerprint,
    attempt: AttemptId,
    came: Tick,
    sent: Tick,
    at: Option<EndpointId>,
    tried: Vec<EndpointId>,
    bounce: Kind,
    /// Why an earlier attempt may have run without an answer, if one may have.
    lost: Option<Kind>,
}

/// The entry.
#[derive(Clone, Debug)]
pub struct Entry<P> {
    options: EntryOptions,
    config: Config,
    fresh: Tick,
    place: P,
    rng: Pcg32,
    health: SecondaryMap<EndpointId, Health>,
    requests: SlotMap<RequestId, Request>,
    budgets: Budgets,
    shares: BTreeMap<ClassId, Shares>,
    serial: u64,
    draining: bool,
}

impl<P: Placement> Entry<P> {
    /// An entry without a configuration; it refuses everything until the first view comes.
    pub fn new(options: EntryOptions, place: P) -> Self {
        Self {
            rng: Pcg32::seed_from_u64(options.rng_seed),
            options,
            config: Config::default(),
            fresh: Tick::default(),
            place,
            health: SecondaryMap::new(),
            requests: SlotMap::with_key(),
            budgets: Budgets::default(),
            shares: BTreeMap::new(),
            serial: 0,
            draining: false,
        }
    }

    /// The view of the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Requests not answered yet.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    fn arrive(&mut self, now: Tick, arrival: Arrival, out: &mut Outbox<Output>) {
        let ticket = arrival.ticket;
        match self.examine(now, arrival) {
            Err(kind) => out.push(Output::Decision(ticket, Decision::Fail(kind))),
            Ok(request) => {
                if !self.in_share(now, &request) {
                    let verdict = Decision::Fail(Kind::ShareSpent);
                    return out.push(Output::Decision(ticket, verdict));
                }
                self.budgets.earn(request.permit.account);
                let once = request.once;
                let id = self.requests.insert(request);
                if once {
                    self.claim(id, out);
                } else {
                    self.attempt(now, id, out);
                }
            }
        }
    }

    /// Notes a request's demand. Returns whether its account may have more of its class now.
    fn in_share(&mut self, now: Tick, request: &Request) -> bool {
        let account = request.permit.account;
        let weight = self
            .config
            .account(account)
            .map_or(1, |account| account.spec.weight);
        let shares = self.shares.entry(request.class).or_default();
        shares.offer(now, account, weight, request.input_tokens.0 + USUAL_OUTPUT)
    }

    fn examine(&mut self, now: Tick, arrival: Arrival) -> Result<Request, Kind> {
        if now >= self.fresh {
            return Err(Kind::ViewStale);
        }
        let route = match &arrival.target {
            RequestTarget::Model(model) => self.config.route_for_model(model),
            RequestTarget::Path(_, path) => self.config.route_for_path(path),
        };
        let route = route.ok_or(Kind::RouteUnknown)?;
        let permit = self.config.authorize(arrival.key, route).map_err(kind_of)?;
        let wish = arrival.class.as_ref();
        let class = wish.map_or(permit.class, |wish| {
            self.config.lower_class(permit.class, wish)
        });
        self.serial += 1;
        let attempt = AttemptId {
            entry: self.options.incarnation,
            serial: self.serial,
        };
        let receipt = format!("receipt/{}/{}", attempt.entry, attempt.serial);
        let receipt = receipt.parse().map_err(|_| Kind::Internal)?;
        Ok(Request {
            ticket: arrival.ticket,
            permit,
            key: arrival.key,
            class,
            route,
            input_tokens: arrival.input_tokens,
            prefix_hash: arrival.prefix_hash,
            once: self.runs_once(route, &arrival.target),
            claim: arrival.request_key.unwrap_or(receipt),
            fingerprint: arrival.fingerprint,
            attempt,
            came: now,
            sent: now,
            at: None,
            tried: Vec::new(),
            bounce: Kind::EndpointMissing,
            lost: None,
        })
    }

    fn models(&self, now: Tick, key: Option<Digest>) -> Result<Vec<ModelName>, Kind> {
        if now >= self.fresh {
            return Err(Kind::ViewStale);
        }
        if let Some(key) = key {
            self.config.live_grant(key).map_err(kind_of)?;
        }
        let usable = self
            .config
            .routes()
            .filter(|(id, _)| self.config.authorize(key, *id).is_ok());
        let models = usable.filter_map(|(_, route)| match &route.spec.serves {
            Serves::Model(model) => Some(model.clone()),
            Serves::Service { .. } => None,
        });
        Ok(models.collect())
    }

    fn runs_once(&self, route: RouteId, target: &RequestTarget) -> bool {
        let spec = self.config.route(route).map(|route| &route.spec.serves);
        match (spec, target) {
            (Some(Serves::Service { idempotent, .. }), RequestTarget::Path(method, _)) => {
                !idempotent.contains(method)
            }
            (_, RequestTarget::Path(method, _)) => *method != Method::Get,
            (_, RequestTarget::Model(_)) => false,
        }
    }

    fn claim(&mut self, id: RequestId, out: &mut Outbox<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(account) = self.config.account(request.permit.account) else {
            return self.refuse(id, Kind::AccountForbidden, out);
        };
        let claim = Claim {
            id,
            account: account.spec.name.clone(),
            key: request.claim.clone(),
            fingerprint: request.fingerprint,
            attempt: request.attempt,
        };
        out.push(Output::Decision(request.ticket, Decision::Claim(claim)));
    }

    fn claimed(&mut self, now: Tick, id: RequestId, result: ClaimResult, out: &mut Outbox<Output>) {
        match result {
            ClaimResult::Granted => self.attempt(now, id, out),
            ClaimResult::Rejected(kind) => self.refuse(id, kind, out),
            ClaimResult::Completed(answer) => self.finish(id, Decision::Replay(answer), out),
        }
    }

    /// Makes the next attempt, or gives the request up as not run.
    fn attempt(&mut self, now: Tick, id: RequestId, out: &mut Outbox<Output>) {
        let plan = match self.plan(now, id) {
            Ok(plan) => plan,
            Err(kind) => return self.refuse(id, kind, out),
        };
        let ticket = self.requests[id].ticket;
        out.push(Output::Decision(ticket, Decision::Attempt(Box::new(plan))));
    }

    fn plan(&mut self, now: Tick, id: RequestId) -> Result<AttemptSpec, Kind> {
        if now >= self.fresh {
            return Err(Kind::ViewStale);
        }
        let request = self.requests.get(id).ok_or(Kind::Internal)?;
        // The key may have been withdrawn since the request came.
        let permit = self
            .config
            .authorize(request.key, request.route)
            .map_err(kind_of)?;
        let missing = Kind::EndpointMissing;
        let class = self.config.class(request.class).ok_or(missing)?;
        let waited = now.since(request.came);
        let slack = (class.spec.first * SLACK_FACTOR).saturating_sub(waited);
        if slack.is_zero() {
            return Err(Kind::DeadlinePassed);
        }
        let target = class.spec.first.saturating_sub(waited);
        let probe = class.spec.first / PROBE_DIVISOR;
        if request.tried.len() >= MAX_ATTEMPTS {
            return Err(request.bounce);
        }
        let candidates = self.candidates(now, request);
        let bounce = request.bounce;
        let chosen = self
            .place
            .choose(&candidates, &mut self.rng)
            .ok_or(bounce)?;
        // While other endpoints are left, it is better to ask them than to wait for long here.
        let last = candidates.len() == 1 || request.tried.len() + 1 >= MAX_ATTEMPTS;
        let slack = if last { slack } else { slack.min(probe) };
        let tier = self.config.tier_of(request.class);
        self.health
            .entry(chosen)
            .ok_or(missing)?
            .or_default()
            .sent(tier);
        let request = self.requests.get_mut(id).ok_or(Kind::Internal)?;
        request.at = Some(chosen);
        request.tried.push(chosen);
        request.sent = now;
        let request = &self.requests[id];
        let endpoint = self.config.endpoint(chosen).ok_or(missing)?;
        let account = self
            .config
            .account(permit.account)
            .ok_or(Kind::AccountForbidden)?;
        let route = self.config.route(request.route).ok_or(Kind::RouteUnknown)?;
        let class = self.config.class(request.class).ok_or(missing)?;
        let grant = permit.grant.and_then(|id| self.config.grant(id));
        Ok(AttemptSpec {
            id,
            attempt: AttemptId {
                // Attempts at one request differ, so that their answers cannot be mixed up.
                serial: request.attempt.serial * MAX_ATTEMPTS as u64 + request.tried.len() as u64,
                ..request.attempt
            },
            endpoint: endpoint.spec.name.clone(),
            agent: endpoint.agent(),
            account: account.spec.name.clone(),
            grant: grant.map(|grant| grant.spec.name.clone()),
            route: route.spec.name.clone(),
            class: class.spec.name.clone(),
            revision: self.config.revision(),
            remaining: slack,
            target_remaining: target,
            first_timeout: class.spec.first * PATIENCE_FACTOR,
            stall_timeout: (class.spec.gap * STALL_FACTOR).max(MIN_STALL),
            input_tokens: request.input_tokens,
            once: request.once,
        })
    }

    fn candidates(&self, now: Tick, request: &Request) -> Vec<Candidate> {
        let serves = self.config.endpoints().filter(|(id, endpoint)| {
            endpoint.routes.contains(&request.route) && self.config.takes_work(*id)
        });
        let untried = serves.filter(|(id, _)| !request.tried.contains(id));
        let tier = self.config.tier_of(request.class);
        let all: Vec<_> = untried
            .map(|(id, e)| self.candidate(now, id, e, tier))
            .collect();
        let out = |c: &Candidate| self.health.get(c.id).is_some_and(|h| h.is_out(now, tier));
        let good: Vec<_> = all.iter().filter(|c| !out(c)).copied().collect();
        // With every endpoint left out, one that may fail is better than none.
        let mut chosen = if good.is_empty() { all } else { good };
        if let Some(prefix) = request.prefix_hash {
            let rank = |id: &EndpointId| {
                self.config
                    .endpoint(*id)
                    .map(|e| affinity(prefix, e.spec.name.as_ref()))
            };
            let home = chosen.iter().map(|c| c.id).max_by_key(rank);
            chosen.iter_mut().for_each(|c| c.home = Some(c.id) == home);
        }
        chosen
    }

    fn candidate(
        &self,
        now: Tick,
        id: EndpointId,
        endpoint: &conf::Endpoint,
        tier: Tier,
    ) -> Candidate {
        let health = self.health.get(id);
        let mine = self.config.find_zone(&self.options.zone);
        let region = |zone| self.config.region_of(zone);
        let near = if Some(endpoint.zone) == mine {
            Locality::SameZone
        } else if mine.is_some_and(|mine| region(mine) == region(endpoint.zone)) {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        };
        Candidate {
            id,
            load: health.map_or(0, |health| health.load(now, tier)),
            near,
            first: health.map_or(Duration::ZERO, Health::usual_first),
            home: false,
        }
    }

    fn first(&mut self, now: Tick, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let cost = request.input_tokens.0 + USUAL_OUTPUT;
        let shares = self.shares.entry(request.class).or_default();
        shares.serve(request.permit.account, cost);
        let took = now.since(request.sent);
        if let Some(health) = request.at.and_then(|at| self.health.get_mut(at)) {
            health.first_token(took);
        }
    }

    fn ended(&mut self, now: Tick, id: RequestId, ended: AttemptOutcome, out: &mut Outbox<Output>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let at = request.at.take();
        let once = request.once;
        let tier = self.config.tier_of(request.class);
        if let Some(health) = at.and_then(|at| self.health.get_mut(at)) {
            health.ended(tier);
            if note(now, tier, health, ended) {
                out.push(Output::Event(Event::Ejected));
            }
        }
        match ended {
            AttemptOutcome::Served(_) => self.finish(id, Decision::Done, out),
            AttemptOutcome::Cancelled => self.finish(id, Decision::Fail(Kind::CallerGone), out),
            AttemptOutcome::Broken => self.finish(id, Decision::Fail(Kind::StreamBroken), out),
            AttemptOutcome::Unreached => self.retry(now, id, Event::RetriedUnreachable, out),
            AttemptOutcome::Rejected(kind, _) if final_here(kind) => self.refuse(id, kind, out),
            AttemptOutcome::Rejected(kind, _) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.bounce = kind;
                }
                self.retry(now, id, Event::RetriedRejected, out);
            }
            AttemptOutcome::Lost(kind) if once => self.finish(id, Decision::Fail(kind), out),
            AttemptOutcome::Lost(kind) => self.retry_lost(now, id, kind, out),
        }
    }

    /// Repeats an idempotent request whose attempt may have run.
    fn retry_lost(&mut self, now: Tick, id: RequestId, kind: Kind, out: &mut Outbox<Output>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.lost = Some(kind);
        if !self.budgets.spend(request.permit.account) {
            out.push(Output::Event(Event::BudgetExhausted));
            return self.refuse(id, kind, out);
        }
        self.retry(now, id, Event::RetriedFailed, out);
    }

    fn retry(&mut self, now: Tick, id: RequestId, trace: Event, out: &mut Outbox<Output>) {
        let before = self.requests[id].tried.len();
        self.attempt(now, id, out);
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.tried.len() > before)
        {
            out.push(Output::Event(trace));
        }
    }

    /// Gives a request up. If an attempt may have run, the refusal does not say otherwise.
    fn refuse(&mut self, id: RequestId, kind: Kind, out: &mut Outbox<Output>) {
        let lost = self.requests.get(id).and_then(|request| request.lost);
        let kind = lost.filter(|_| kind.not_run()).unwrap_or(kind);
        self.note_loss(id, kind);
        self.finish(id, Decision::Fail(kind), out);
    }

    /// Notes a request that found no room anywhere.
    fn note_loss(&mut self, id: RequestId, kind: Kind) {
        let full = matches!(kind, Kind::Overloaded | Kind::DeadlinePassed | Kind::Shed);
        if let Some(request) = self.requests.get(id).filter(|_| full) {
            let cost = request.input_tokens.0 + USUAL_OUTPUT;
            self.shares.entry(request.class).or_default().lose(cost);
        }
    }

    fn finish(&mut self, id: RequestId, verdict: Decision, out: &mut Outbox<Output>) {
        if let Some(request) = self.requests.remove(id) {
            out.push(Output::Decision(request.ticket, verdict));
        }
    }
}

impl<P: Placement> Core for Entry<P> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(update, fresh) => {
                if self.config.follow(&update).is_ok() {
                    self.fresh = self.fresh.max(fresh);
                }
                out.push(Output::ViewApplied(self.config.revision()));
            }
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(id, result) => self.claimed(now, id, result, out),
            Input::FirstByte(id) => self.first(now, id),
            Input::Ended(id, ended) => self.ended(now, id, ended, out),
            Input::Models(ticket, key) => {
                let verdict = self
                    .models(now, key)
                    .map_or_else(Decision::Fail, Decision::Models);
                out.push(Output::Decision(ticket, verdict));
            }
            Input::Ready(ticket) => {
                let verdict = if self.draining {
                    Decision::Fail(Kind::Draining)
                } else if now >= self.fresh {
                    Decision::Fail(Kind::ViewStale)
                } else {
                    Decision::Done
                };
                out.push(Output::Decision(ticket, verdict));
            }
            Input::Drain => self.draining = true,
        }
    }

    fn wake(&mut self, _: Tick, _: &mut Outbox<Output>) {}

    fn deadline(&self) -> Option<Tick> {
        None
    }
}

/// Updates an endpoint's health. Returns whether it is left out from now on.
fn note(now: Tick, tier: Tier, health: &mut Health, ended: AttemptOutcome) -> bool {
    match ended {
        AttemptOutcome::Served(advert) => {
            health.heard(now, advert);
            health.good();
            false
        }
        AttemptOutcome::Rejected(_, advert) => {
            health.heard(now, advert);
            health.bounced(now, tier);
            false
        }
        AttemptOutcome::Unreached | AttemptOutcome::Lost(_) | AttemptOutcome::Broken => {
            health.failed(now)
        }
        AttemptOutcome::Cancelled => false,
    }
}

/// Whether a bounce means that no other endpoint may run the request either.
fn final_here(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::KeyInvalid | Kind::KeyMissing | Kind::AccountForbidden
    )
}

fn kind_of(fault: AccessError) -> Kind {
    match fault {
        AccessError::KeyMissing => Kind::KeyMissing,
        AccessError::KeyInvalid => Kind::KeyInvalid,
        AccessError::Forbidden => Kind::AccountForbidden,
        AccessError::RouteMissing => Kind::RouteUnknown,
    }
}

/// Rendezvous hashing: every entry finds the same home for a prefix.
fn affinity(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, endpoint).hash(&mut hasher);
    hasher.finish()
}
