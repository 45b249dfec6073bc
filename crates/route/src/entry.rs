//! The decision core of the entry: authorizes requests, chooses endpoints and decides on retries.

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
    PartId,
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
use quarantine::{
    ContentDigest,
    LocalVerdicts,
    Suspect,
    Suspects, //
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

use crate::balance::{
    Balancer, //
    Candidate,
    Locality,
};
use crate::budget::Budgets;
use crate::health::Health;
use crate::message::{
    EntryOptions,
    Event,
    Input,
    Output, //
};
use crate::request::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Claim,
    ClaimResult,
    Decision,
    RequestTarget, //
};
use crate::shares::Shares;

/// Multiple of the class's first-token target within which a request must start. A request that has
/// not started by then is rejected without being executed.
const START_DEADLINE_FACTOR: u32 = 2;
/// Divisor of the first-token target that gives the time for which an endpoint may queue a request,
/// unless no other endpoint is left to try.
const QUEUE_LIMIT_DIVISOR: u32 = 8;
/// Multiple of the first-token target after which an attempt whose request has started but has no
/// first token counts as failed.
const FIRST_TIMEOUT_FACTOR: u32 = 20;
/// Multiple of the class's token gap target after which a pause within a response counts as a
/// failure.
const STALL_TIMEOUT_FACTOR: u32 = 50;
/// Minimum stall timeout; a shorter pause within a response never counts as a failure.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the start of a response in which a crash of the endpoint may be due to the request.
const RESPONSE_START_SPAN: Duration = Duration::from_secs(1);
/// Output tokens assumed for each response in the computation of fair shares.
const ASSUMED_OUTPUT_TOKENS: u64 = 128;
/// Maximum number of attempts at one request, over all endpoints.
const MAX_ATTEMPTS: usize = 6;

/// A request in flight.
#[derive(Clone, Debug)]
struct Request {
    ticket: Ticket,
    permit: Permit,
    key: Option<Digest>,
    class: ClassId,
    route: RouteId,
    input_tokens: Tokens,
    prefix_hash: Option<u64>,
    /// Whether the request is not idempotent and must be executed at most once.
    once: bool,
    claim_key: RequestKey,
    fingerprint: Fingerprint,
    /// The id of the request's claim; the ids of the request's attempts are derived from it.
    attempt: AttemptId,
    received_at: Tick,
    sent_at: Tick,
    /// When the response to the attempt in flight started; none if it has not.
    started_at: Option<Tick>,
    /// Recognizes repetitions of the request.
    identity: PartId,
    /// The endpoint of the attempt in flight.
    endpoint: Option<EndpointId>,
    tried: Vec<EndpointId>,
    /// The reason of the last rejection, reported if no endpoint is left to try.
    rejection: Kind,
    /// The error of an earlier attempt that failed and may have been executed, if there is one.
    earlier_failure: Option<Kind>,
}

/// The decision core of the entry. Generic over the balancing policy `P`.
#[derive(Clone, Debug)]
pub struct Entry<P> {
    options: EntryOptions,
    config: Config,
    /// When the configuration becomes too old to serve requests.
    valid_until: Tick,
    policy: P,
    rng: Pcg32,
    health: SecondaryMap<EndpointId, Health>,
    requests: SlotMap<RequestId, Request>,
    budgets: Budgets,
    shares: BTreeMap<ClassId, Shares>,
    suspects: Suspects,
    verdicts: LocalVerdicts,
    serial: u64,
    draining: bool,
}

impl<P: Balancer> Entry<P> {
    /// Creates an entry without a configuration, which rejects every request until it receives its
    /// first configuration view.
    pub fn new(options: EntryOptions, policy: P) -> Self {
        Self {
            rng: Pcg32::seed_from_u64(options.rng_seed),
            options,
            config: Config::default(),
            valid_until: Tick::default(),
            policy,
            health: SecondaryMap::new(),
            requests: SlotMap::with_key(),
            budgets: Budgets::default(),
            shares: BTreeMap::new(),
            suspects: Suspects::default(),
            verdicts: LocalVerdicts::default(),
            serial: 0,
            draining: false,
        }
    }

    /// The configuration as of the last update from the control group.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    fn arrive(&mut self, now: Tick, arrival: Arrival, out: &mut Outbox<Output>) {
        let ticket = arrival.ticket;
        match self.resolve(now, arrival) {
            Err(kind) => out.push(Output::Decision(ticket, Decision::Fail(kind))),
            Ok(request) => {
                if !self.within_share(now, &request) {
                    let decision = Decision::Fail(Kind::ShareSpent);
                    return out.push(Output::Decision(ticket, decision));
                }
                self.budgets.earn(request.permit.account);
                let once = request.once;
                let id = self.requests.insert(request);
                if self.quarantined(now, id) {
                    self.fail(id, Kind::RequestQuarantined, out);
                } else if once {
                    self.request_claim(id, out);
                } else {
                    self.next_attempt(now, id, out);
                }
            }
        }
    }

    /// Records the demand of a request. Returns whether its account is within its fair share of
    /// the class.
    fn within_share(&mut self, now: Tick, request: &Request) -> bool {
        let account = request.permit.account;
        let weight = self
            .config
            .account(account)
            .map_or(1, |account| account.spec.weight);
        let shares = self.shares.entry(request.class).or_default();
        shares.offer(
            now,
            account,
            weight,
            request.input_tokens.0 + ASSUMED_OUTPUT_TOKENS,
        )
    }

    /// Authorizes a request and resolves its route and class.
    fn resolve(&mut self, now: Tick, arrival: Arrival) -> Result<Request, Kind> {
        if now >= self.valid_until {
            return Err(Kind::ViewStale);
        }
        let route = match &arrival.target {
            RequestTarget::Model(model) => self.config.route_for_model(model),
            RequestTarget::Path(_, path) => self.config.route_for_path(path),
        };
        let route = route.ok_or(Kind::RouteUnknown)?;
        let permit = self.config.authorize(arrival.key, route).map_err(kind_of)?;
        let requested = arrival.class.as_ref();
        let class = requested.map_or(permit.class, |requested| {
            self.config.lower_class(permit.class, requested)
        });
        let account = self.config.account(permit.account);
        let account = account.map(|account| account.spec.name.as_ref());
        let identity = ContentDigest::of_bytes(arrival.fingerprint.0).identity(account);
        self.serial += 1;
        let attempt = AttemptId {
            entry: self.options.incarnation,
            serial: self.serial,
        };
        let generated_key = format!("receipt/{}/{}", attempt.entry, attempt.serial);
        let generated_key = generated_key.parse().map_err(|_| Kind::Internal)?;
        Ok(Request {
            ticket: arrival.ticket,
            permit,
            key: arrival.key,
            class,
            route,
            input_tokens: arrival.input_tokens,
            prefix_hash: arrival.prefix_hash,
            once: self.needs_claim(route, &arrival.target),
            claim_key: arrival.request_key.unwrap_or(generated_key),
            fingerprint: arrival.fingerprint,
            attempt,
            received_at: now,
            sent_at: now,
            started_at: None,
            identity,
            endpoint: None,
            tried: Vec::new(),
            rejection: Kind::EndpointMissing,
            earlier_failure: None,
        })
    }

    /// Whether earlier repetitions of a request crashed endpoints, as this entry observed.
    fn quarantined(&mut self, now: Tick, id: RequestId) -> bool {
        let identity = self.requests.get(id).map(|request| request.identity);
        let identity = identity.as_slice();
        let rejected = self.verdicts.rejected(now, &self.suspects, identity);
        rejected.is_some()
    }

    /// Records what the end of an attempt says about whether the request crashes endpoints. A
    /// response that had been in progress for a while did not cause the crash.
    fn record_evidence(&mut self, now: Tick, id: RequestId, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (sent_at, identity) = (request.sent_at, request.identity);
        let began = request
            .started_at
            .is_some_and(|at| now.since(at) > RESPONSE_START_SPAN);
        let endpoint = request.endpoint.and_then(|id| self.config.endpoint(id));
        match outcome {
            AttemptOutcome::Served(_) => {
                let served_at = request.started_at.unwrap_or(sent_at);
                self.suspects.served(served_at, identity);
            }
            AttemptOutcome::Lost(Kind::EndpointCrashed) | AttemptOutcome::Crashed if !began => {
                if let Some(endpoint) = endpoint {
                    let elapsed = now.since(sent_at);
                    let suspects = Suspect::of_request([identity], elapsed);
                    let instance = endpoint.spec.name.as_ref();
                    self.suspects.crashed(now, instance, suspects);
                }
            }
            _ => {}
        }
    }

    /// The models that a key may use.
    fn usable_models(&self, now: Tick, key: Option<Digest>) -> Result<Vec<ModelName>, Kind> {
        if now >= self.valid_until {
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

    /// Whether a request is not idempotent, so that it needs a claim before its first attempt.
    fn needs_claim(&self, route: RouteId, target: &RequestTarget) -> bool {
        let spec = self.config.route(route).map(|route| &route.spec.serves);
        match (spec, target) {
            (Some(Serves::Service { idempotent, .. }), RequestTarget::Path(method, _)) => {
                !idempotent.contains(method)
            }
            (_, RequestTarget::Path(method, _)) => *method != Method::Get,
            (_, RequestTarget::Model(_)) => false,
        }
    }

    fn request_claim(&mut self, id: RequestId, out: &mut Outbox<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(account) = self.config.account(request.permit.account) else {
            return self.fail(id, Kind::AccountForbidden, out);
        };
        let claim = Claim {
            id,
            account: account.spec.name.clone(),
            key: request.claim_key.clone(),
            fingerprint: request.fingerprint,
            attempt: request.attempt,
        };
        out.push(Output::Decision(request.ticket, Decision::Claim(claim)));
    }

    fn claim_result(
        &mut self,
        now: Tick,
        id: RequestId,
        result: ClaimResult,
        out: &mut Outbox<Output>,
    ) {
        match result {
            ClaimResult::Granted => self.next_attempt(now, id, out),
            ClaimResult::Rejected(kind) => self.fail(id, kind, out),
            ClaimResult::Completed(response) => self.finish(id, Decision::Replay(response), out),
        }
    }

    /// Decides on the next attempt, or fails the request if none can be made.
    fn next_attempt(&mut self, now: Tick, id: RequestId, out: &mut Outbox<Output>) {
        let spec = match self.plan_attempt(now, id) {
            Ok(spec) => spec,
            Err(kind) => return self.fail(id, kind, out),
        };
        let ticket = self.requests[id].ticket;
        out.push(Output::Decision(ticket, Decision::Attempt(Box::new(spec))));
    }

    /// Chooses an endpoint for the next attempt and records the attempt.
    fn plan_attempt(&mut self, now: Tick, id: RequestId) -> Result<AttemptSpec, Kind> {
        if now >= self.valid_until {
            return Err(Kind::ViewStale);
        }
        if self.quarantined(now, id) {
            return Err(Kind::RequestQuarantined);
        }
        let request = self.requests.get(id).ok_or(Kind::Internal)?;
        // Authorizes again, as the key may have been revoked since the request arrived.
        let permit = self
            .config
            .authorize(request.key, request.route)
            .map_err(kind_of)?;
        let missing = Kind::EndpointMissing;
        let class = self.config.class(request.class).ok_or(missing)?;
        let waited = now.since(request.received_at);
        let remaining = (class.spec.first_token * START_DEADLINE_FACTOR).saturating_sub(waited);
        if remaining.is_zero() {
            return Err(Kind::DeadlinePassed);
        }
        let target_remaining = class.spec.first_token.saturating_sub(waited);
        let queue_limit = class.spec.first_token / QUEUE_LIMIT_DIVISOR;
        if request.tried.len() >= MAX_ATTEMPTS {
            return Err(request.rejection);
        }
        let candidates = self.candidates(now, request);
        let rejection = request.rejection;
        let chosen = self
            .policy
            .choose(&candidates, &mut self.rng)
            .ok_or(rejection)?;
        // While other untried endpoints are left, a retry at one of them is faster than a long wait
        // in the queue of the chosen one.
        let last = candidates.len() == 1 || request.tried.len() + 1 >= MAX_ATTEMPTS;
        let remaining = if last {
            remaining
        } else {
            remaining.min(queue_limit)
        };
        let tier = self.config.tier_of(request.class);
        self.health
            .entry(chosen)
            .ok_or(missing)?
            .or_default()
            .record_dispatch(tier);
        let request = self.requests.get_mut(id).ok_or(Kind::Internal)?;
        request.endpoint = Some(chosen);
        request.tried.push(chosen);
        request.sent_at = now;
        request.started_at = None;
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
                // Each attempt at a request has its own id, so that a late response to an earlier
                // attempt cannot be taken for the response to a later one.
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
            remaining,
            target_remaining,
            first_timeout: class.spec.first_token * FIRST_TIMEOUT_FACTOR,
            stall_timeout: (class.spec.token_gap * STALL_TIMEOUT_FACTOR).max(MIN_STALL_TIMEOUT),
            input_tokens: request.input_tokens,
            once: request.once,
        })
    }

    /// The endpoints to choose from: those that serve the route, are not tried yet and are neither
    /// ejected nor paused after a rejection. Marks the preferred one for the request's prefix.
    fn candidates(&self, now: Tick, request: &Request) -> Vec<Candidate> {
        let serving = self.config.endpoints().filter(|(id, endpoint)| {
            endpoint.routes.contains(&request.route) && self.config.accepts_requests(*id)
        });
        let untried = serving.filter(|(id, _)| !request.tried.contains(id));
        let tier = self.config.tier_of(request.class);
        let all: Vec<_> = untried
            .map(|(id, e)| self.candidate(now, id, e, tier))
            .collect();
        let excluded = |c: &Candidate| {
            self.health
                .get(c.id)
                .is_some_and(|h| h.is_excluded(now, tier))
        };
        let healthy: Vec<_> = all.iter().filter(|c| !excluded(c)).copied().collect();
        // If every endpoint is excluded, all of them stay candidates, as an attempt may succeed.
        let mut candidates = if healthy.is_empty() { all } else { healthy };
        if let Some(prefix) = request.prefix_hash {
            let rank = |id: &EndpointId| {
                self.config
                    .endpoint(*id)
                    .map(|e| affinity_score(prefix, e.spec.name.as_ref()))
            };
            let preferred = candidates.iter().map(|c| c.id).max_by_key(rank);
            candidates
                .iter_mut()
                .for_each(|c| c.preferred = Some(c.id) == preferred);
        }
        candidates
    }

    fn candidate(
        &self,
        now: Tick,
        id: EndpointId,
        endpoint: &conf::Endpoint,
        tier: Tier,
    ) -> Candidate {
        let health = self.health.get(id);
        let own_zone = self.config.find_zone(&self.options.zone);
        let region = |zone| self.config.region_of(zone);
        let locality = if Some(endpoint.zone) == own_zone {
            Locality::SameZone
        } else if own_zone.is_some_and(|own| region(own) == region(endpoint.zone)) {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        };
        Candidate {
            id,
            load: health.map_or(0, |health| health.load(now, tier)),
            locality,
            first_token: health.map_or(Duration::ZERO, Health::first_token_average),
            preferred: false,
        }
    }

    fn first_byte(&mut self, now: Tick, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.started_at.get_or_insert(now);
        let cost = request.input_tokens.0 + ASSUMED_OUTPUT_TOKENS;
        let shares = self.shares.entry(request.class).or_default();
        shares.serve(request.permit.account, cost);
        let elapsed = now.since(request.sent_at);
        if let Some(health) = request.endpoint.and_then(|id| self.health.get_mut(id)) {
            health.record_first_token(elapsed);
        }
    }

    fn attempt_ended(
        &mut self,
        now: Tick,
        id: RequestId,
        outcome: AttemptOutcome,
        out: &mut Outbox<Output>,
    ) {
        self.record_evidence(now, id, outcome);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let endpoint = request.endpoint.take();
        let once = request.once;
        let tier = self.config.tier_of(request.class);
        if let Some(health) = endpoint.and_then(|id| self.health.get_mut(id)) {
            health.record_end(tier);
            if update_health(now, tier, health, outcome) {
                out.push(Output::Event(Event::Ejected));
            }
        }
        match outcome {
            AttemptOutcome::Served(_) => self.finish(id, Decision::Done, out),
            AttemptOutcome::Cancelled => self.finish(id, Decision::Fail(Kind::CallerGone), out),
            AttemptOutcome::Broken | AttemptOutcome::Crashed => {
                self.finish(id, Decision::Fail(Kind::StreamBroken), out);
            }
            AttemptOutcome::Unreached => self.retry(now, id, Event::RetriedUnreached, out),
            AttemptOutcome::Rejected(kind, _) if is_final(kind) => self.fail(id, kind, out),
            AttemptOutcome::Rejected(kind, _) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.rejection = kind;
                }
                self.retry(now, id, Event::RetriedRejected, out);
            }
            AttemptOutcome::Lost(kind) if once => self.finish(id, Decision::Fail(kind), out),
            AttemptOutcome::Lost(kind) => self.retry_lost(now, id, kind, out),
        }
    }

    /// Retries an idempotent request after an attempt that may have been executed, if the
    /// account's retry budget allows it.
    fn retry_lost(&mut self, now: Tick, id: RequestId, kind: Kind, out: &mut Outbox<Output>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.earlier_failure = Some(kind);
        if !self.budgets.spend(request.permit.account) {
            out.push(Output::Event(Event::BudgetExhausted));
            return self.fail(id, kind, out);
        }
        self.retry(now, id, Event::RetriedFailed, out);
    }

    /// Decides on a further attempt, and emits `event` if one is made.
    fn retry(&mut self, now: Tick, id: RequestId, event: Event, out: &mut Outbox<Output>) {
        let before = self.requests[id].tried.len();
        self.next_attempt(now, id, out);
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.tried.len() > before)
        {
            out.push(Output::Event(event));
        }
    }

    /// Fails a request. If an earlier attempt may have been executed, reports that attempt's error
    /// instead of one that states that the request was not executed.
    fn fail(&mut self, id: RequestId, kind: Kind, out: &mut Outbox<Output>) {
        let earlier = self
            .requests
            .get(id)
            .and_then(|request| request.earlier_failure);
        let kind = earlier.filter(|_| kind.not_executed()).unwrap_or(kind);
        self.record_overload(id, kind);
        self.finish(id, Decision::Fail(kind), out);
    }

    /// Records the demand of a request that failed because no endpoint had capacity for it.
    fn record_overload(&mut self, id: RequestId, kind: Kind) {
        let overloaded = matches!(kind, Kind::Overloaded | Kind::DeadlinePassed | Kind::Shed);
        if let Some(request) = self.requests.get(id).filter(|_| overloaded) {
            let cost = request.input_tokens.0 + ASSUMED_OUTPUT_TOKENS;
            self.shares.entry(request.class).or_default().reject(cost);
        }
    }

    fn finish(&mut self, id: RequestId, decision: Decision, out: &mut Outbox<Output>) {
        if let Some(request) = self.requests.remove(id) {
            out.push(Output::Decision(request.ticket, decision));
        }
    }
}

impl<P: Balancer> Core for Entry<P> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(update, valid_until) => {
                if self.config.apply_update(&update).is_ok() {
                    self.valid_until = self.valid_until.max(valid_until);
                }
                out.push(Output::ViewApplied(self.config.revision()));
            }
            Input::Arrive(arrival) => self.arrive(now, arrival, out),
            Input::Claimed(id, result) => self.claim_result(now, id, result, out),
            Input::FirstByte(id) => self.first_byte(now, id),
            Input::Ended(id, outcome) => self.attempt_ended(now, id, outcome, out),
            Input::Models(ticket, key) => {
                let decision = self
                    .usable_models(now, key)
                    .map_or_else(Decision::Fail, Decision::Models);
                out.push(Output::Decision(ticket, decision));
            }
            Input::Ready(ticket) => {
                let decision = if self.draining {
                    Decision::Fail(Kind::Draining)
                } else if now >= self.valid_until {
                    Decision::Fail(Kind::ViewStale)
                } else {
                    Decision::Done
                };
                out.push(Output::Decision(ticket, decision));
            }
            Input::Drain => self.draining = true,
        }
    }

    fn wake(&mut self, _: Tick, _: &mut Outbox<Output>) {}

    fn deadline(&self) -> Option<Tick> {
        None
    }
}

/// Updates an endpoint's health with the outcome of an attempt. Returns whether this ejects the
/// endpoint.
fn update_health(now: Tick, tier: Tier, health: &mut Health, outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Served(report) => {
            health.record_load(now, report);
            health.record_success();
            false
        }
        AttemptOutcome::Rejected(_, report) => {
            health.record_load(now, report);
            health.record_rejection(now, tier);
            false
        }
        AttemptOutcome::Unreached
        | AttemptOutcome::Lost(_)
        | AttemptOutcome::Broken
        | AttemptOutcome::Crashed => health.record_failure(now),
        AttemptOutcome::Cancelled => false,
    }
}

/// Whether every endpoint would reject the request for this reason, so that a retry is useless.
fn is_final(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::KeyInvalid | Kind::KeyMissing | Kind::AccountForbidden
    )
}

fn kind_of(error: AccessError) -> Kind {
    match error {
        AccessError::KeyMissing => Kind::KeyMissing,
        AccessError::KeyInvalid => Kind::KeyInvalid,
        AccessError::Forbidden => Kind::AccountForbidden,
        AccessError::RouteMissing => Kind::RouteUnknown,
    }
}

/// The score of an endpoint for a prefix in rendezvous hashing. All entries compute the same
/// scores, so they prefer the same endpoint for a prefix.
fn affinity_score(prefix: u64, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, endpoint).hash(&mut hasher);
    hasher.finish()
}
