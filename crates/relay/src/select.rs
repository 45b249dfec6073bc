//! Selects the endpoint for an attempt: filters candidates and estimates their costs.

use std::collections::HashMap;
use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};
use std::time::Duration;

use ids::{
    EndpointId,
    RequestId,
    Tick, //
};
use plan::Service;

use crate::balance::{
    Balancer,
    Estimate, //
};
use crate::endpoint::Endpoint;
use crate::lanes::Lanes;
use crate::message::Prompt;
use crate::relay::Relay;
use crate::request::Request;

/// Latency cost of an endpoint in another zone: two network hops.
const CROSS_ZONE_COST: Duration = Duration::from_millis(2);
/// Cost of each byte transferred between zones, in seconds: its price, expressed as time. With this
/// value, a long prompt's transfer costs less than the prefill of its shared parts, and a short
/// prompt's more.
const CROSS_ZONE_S_PER_BYTE: f64 = 2.0e-6;
/// Factor on the time of a redundant prefill of shared parts at an idle endpoint. It exceeds 1
/// because the prefill is billed and evicts parts of other prompts from the prefix cache. It is low
/// enough that a frequently used session spills over to another endpoint before its requests are
/// queued because of the backlog at its preferred endpoint (module `backlog`).
const CACHE_MISS_FACTOR: f64 = 4.0;
/// Increase of that factor for each in-flight request at the endpoint, since all of them wait for
/// the prefill. Without it, a burst of long prompts makes every endpoint prefill the shared parts
/// of all sessions (docs/DESIGN.md).
const CACHE_MISS_FACTOR_PER_REQUEST: f64 = 1.0;

/// Congestion at an endpoint, derived from this front's requests that wait there.
#[derive(Clone, Copy, Debug, Default)]
struct Congestion {
    /// Requests past their latency target.
    overdue: f64,
    /// The longest wait beyond prefill, in milliseconds.
    delay: f64,
}

impl<B: Balancer> Relay<B> {
    /// Returns the endpoint for a request's next attempt, and the endpoint's backlog in
    /// milliseconds.
    pub(crate) fn select(
        &mut self,
        now: Tick,
        id: RequestId,
        service: &Service,
    ) -> Option<(EndpointId, f64)> {
        let request = self.requests.get(id)?;
        let fronts = self.fronts.get();
        let mut candidates: Vec<_> = self
            .usable_endpoints(now, request, service)
            .filter(|(_, endpoint)| endpoint.stated.accepts(now, fronts))
            .collect();
        // Ejected endpoints remain candidates if there are no others.
        if candidates.iter().any(|(_, e)| !e.health.ejected(now)) {
            candidates.retain(|(_, endpoint)| !endpoint.health.ejected(now));
        }
        let filter = self.versions.filter(&service.name, request, fronts);
        filter.prefer(&mut candidates);
        let congestion = self.congestion(now);
        let typical = self
            .endpoints
            .typical(now, &service.name, request.prompt.as_ref());
        let cross_zone_cost = CROSS_ZONE_COST
            + Duration::from_secs_f64(request.transfer_bytes() * CROSS_ZONE_S_PER_BYTE);
        let target = request.plan.route(request.route)?.latency_target;
        let lanes = self.endpoints.lanes(&service.name)?;
        let speed = self.endpoints.speed(&service.name);
        let preferred = request
            .prompt
            .as_ref()
            .and_then(|prompt| preferred_endpoint(prompt, lanes, &candidates));
        let estimate = |(id, endpoint): &(EndpointId, &Endpoint)| {
            let same_zone = endpoint.info.zone == self.options.zone;
            let congestion = congestion.get(id).copied().unwrap_or_default();
            let mut estimate = Estimate {
                inflight: endpoint.total_inflight(now, typical.others),
                slots: f64::from(endpoint.info.slots),
                queue_delay: endpoint.delay(now, typical.delay).max(congestion.delay),
                overdue: congestion.overdue,
                failure_rate: endpoint.health.failure_rate(now),
                zone_cost: if same_zone {
                    Duration::ZERO
                } else {
                    cross_zone_cost
                },
                base_ms: speed.base_ms(),
                request_ms: speed.request_ms(),
                ..Estimate::default()
            };
            if let Some(prompt) = &request.prompt {
                let prefill = endpoint.prefill_tokens(now, prompt, preferred == Some(*id));
                let missed = prefill.saturating_sub(prompt.unique_tokens());
                let missed_ms = speed.prefill_ms(missed);
                let factor = CACHE_MISS_FACTOR + estimate.inflight * CACHE_MISS_FACTOR_PER_REQUEST;
                estimate.prefill_ms = Some(speed.prefill_ms(prefill + endpoint.pending_tokens));
                estimate.affinity_cost =
                    lanes.cost(*id, prompt, &speed, target) + missed_ms * factor;
            }
            estimate
        };
        let estimates: Vec<_> = candidates.iter().map(estimate).collect();
        let prefill_ms: Vec<_> = candidates
            .iter()
            .map(|(id, endpoint)| (*id, speed.prefill_ms(endpoint.pending_tokens)))
            .collect();
        let chosen = self.balancer.choose(&estimates, &mut self.rng)?;
        let (id, prefill_ms) = prefill_ms[chosen];
        Some((id, estimates[chosen].queue_delay + prefill_ms))
    }

    /// Time until an endpoint accepts a request, if only what endpoints state about themselves delays
    /// it; none if other reasons exclude all endpoints.
    pub(crate) fn next_accept(
        &self,
        now: Tick,
        id: RequestId,
        service: &Service,
    ) -> Option<Duration> {
        let request = self.requests.get(id)?;
        let fronts = self.fronts.get();
        let endpoints = self.usable_endpoints(now, request, service);
        let waits = endpoints.filter_map(|(_, endpoint)| endpoint.stated.next_accept(now, fronts));
        waits.min()
    }

    /// The endpoints that may get a request, apart from the limits and pauses that they state.
    fn usable_endpoints<'a>(
        &'a self,
        now: Tick,
        request: &'a Request,
        service: &'a Service,
    ) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        let cold_rate = service
            .cold_start
            .map(|cold| Endpoint::cold_rate(cold.request_rate, self.fronts.get()));
        let usable = move |endpoint: &Endpoint| {
            let within_rate = !endpoint.cold(now)
                || cold_rate.is_none_or(|rate| endpoint.bucket.has_token(now, rate));
            within_rate && !endpoint.leaves() && !self.closed.contains(&endpoint.info.zone)
        };
        let fronts = self.fronts.get();
        let filter = self.versions.filter(&service.name, request, fronts);
        self.endpoints
            .of_service(&service.name)
            .filter(move |(id, endpoint)| usable(endpoint) && !request.tried.contains(id))
            .filter(move |(id, endpoint)| filter.admits(*id, endpoint))
    }

    /// How long a request's current attempt has waited beyond what an idle endpoint needs, in
    /// milliseconds.
    pub(crate) fn request_delay(&self, now: Tick, request: &Request) -> f64 {
        let service = request.plan.service(request.service);
        let speed = service.map(|service| self.endpoints.speed(&service.name));
        request.delay(now, &speed.unwrap_or_default())
    }

    /// Congestion by endpoint, derived from requests whose response has not started.
    fn congestion(&self, now: Tick) -> HashMap<EndpointId, Congestion> {
        let mut congestion: HashMap<_, Congestion> = HashMap::new();
        for request in self.requests.values().filter(|request| !request.started) {
            let Some(endpoint) = request.endpoint else {
                continue;
            };
            let entry = congestion.entry(endpoint).or_default();
            entry.overdue += f64::from(u8::from(request.due_at < now));
            entry.delay = entry.delay.max(self.request_delay(now, request));
        }
        congestion
    }
}

/// The endpoint that should hold a prompt's shared parts in its prefix cache: one in the prompt's
/// lane if that has any.
fn preferred_endpoint(
    prompt: &Prompt,
    lanes: &Lanes,
    candidates: &[(EndpointId, &Endpoint)],
) -> Option<EndpointId> {
    let best = candidates
        .iter()
        .max_by_key(|(id, endpoint)| (lanes.matches(*id, prompt), affinity(prompt, endpoint)));
    best.map(|(id, _)| *id)
}

/// Rendezvous-hash weight of an endpoint for a prompt. It is the same on all fronts, so that
/// requests with the same shared parts go to one endpoint. The hash covers the last shared part.
fn affinity(prompt: &Prompt, endpoint: &Endpoint) -> u64 {
    let last_shared = prompt.parts.len().saturating_sub(2);
    let part = prompt.parts.get(last_shared).map(|(part, _)| part);
    let mut hasher = DefaultHasher::new();
    (part, &endpoint.info.instance).hash(&mut hasher);
    hasher.finish()
}
