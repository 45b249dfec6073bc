//! What is known of the candidates for an attempt, for the choice among them.

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

use crate::choice::{
    Choice,
    Estimate, //
};
use crate::endpoint::Endpoint;
use crate::lane::{
    Lanes,
    READ_PER_MS, //
};
use crate::message::Prompt;
use crate::relay::Relay;

/// What an endpoint of another zone costs: two hops.
const OTHER_ZONE: Duration = Duration::from_millis(2);
/// What each byte to and from another zone costs, in seconds: its price, as time. A long prompt's
/// bytes weigh less than the reading of its shared parts, a short one's more.
const BYTE_S: f64 = 2.0e-6;
/// How much worse it is to read shared parts again than the time it takes, at an idle endpoint: it
/// is paid for, and parts of others are dropped for it. Below what a session that is asked very
/// often would wait for at its home (`gate`).
const MISS_COST: f64 = 4.0;
/// How much worse for each request there, as all of them wait for the reading. Without it a burst
/// of long prompts had every endpoint read the shared parts of all sessions (docs/DESIGN.md).
const MISS_HARM: f64 = 1.0;

/// What the requests that wait at an endpoint say of it.
#[derive(Clone, Copy, Debug, Default)]
struct Queued {
    /// Requests past their target.
    overdue: f64,
    /// The longest wait beyond the reading of the prompt, in milliseconds.
    delay: f64,
}

impl<C: Choice> Relay<C> {
    /// The endpoint for a request's next attempt, and what it has to read before, in milliseconds.
    pub(crate) fn pick(
        &mut self,
        now: Tick,
        id: RequestId,
        service: &Service,
    ) -> Option<(EndpointId, f64)> {
        let request = self.requests.get(id)?;
        let usable = |endpoint: &Endpoint| {
            let rate = service.cold_start.map(|cold| cold.requests_per_s);
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
        let lanes = self.fleet.lanes(&service.name)?;
        let home = request
            .prompt
            .as_ref()
            .and_then(|prompt| home(prompt, lanes, &candidates));
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
                let again = to_read.saturating_sub(prompt.own()) as f64 / READ_PER_MS;
                let weight = MISS_COST + estimate.busy * MISS_HARM;
                estimate.tokens = Some((to_read + endpoint.unread) as f64);
                estimate.place = lanes.cost(*id, prompt) + again * weight;
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
