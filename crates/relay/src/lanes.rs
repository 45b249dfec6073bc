//! Separates long prompts from the streams that they would delay.
//!
//! An engine prefills prompts in chunks between the tokens of all other requests that it executes,
//! so a long prompt pauses their streams. Therefore part of each zone's engines is reserved for
//! short prompts (module `lane_size`). All fronts divide the endpoint listing in the same order,
//! without communication. The division is soft: when the queueing delay in a lane is long
//! enough, its prompts spill over into the other lane.

use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::time::Duration;

use ids::EndpointId;

use crate::endpoint::Endpoint;
use crate::lane_size::LaneSize;
use crate::message::Prompt;
use crate::speed::Speed;

/// Maximum number of tokens in a short prompt. Such a prompt fits, with room to spare, into one
/// prefill chunk, which engines commonly limit to 2,048 tokens.
const SHORT_PROMPT_TOKENS: u64 = 1500;
/// Queueing delay in the lane for short prompts at which they spill over into the other lane, as a
/// share of the latency target of their route. Up to there the response still starts in time, and in
/// the other lane its stream would pause.
const SPILL_SHARE: f64 = 0.5;
/// Cost of a long prompt in the lane for short ones, in milliseconds per square millisecond of
/// prefill. The cost is quadratic because prefill time lengthens both the pause and the number of
/// streams for which the pause is too long.
const LONG_PROMPT_PENALTY: f64 = 0.2;

/// The part of a service's endpoints that a request prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Lane {
    /// The endpoints for short prompts; also all endpoints of a plain service.
    Short,
    /// The endpoints for long prompts.
    Long,
}

impl Lane {
    /// The lane of a request with a prompt, or of a plain request.
    pub(crate) fn of(prompt: Option<&Prompt>) -> Self {
        if prompt.is_some_and(is_long) {
            Self::Long
        } else {
            Self::Short
        }
    }
}

/// The endpoints reserved for short prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes(HashSet<EndpointId>);

impl Lanes {
    /// Divides a service's endpoints into lanes.
    pub(crate) fn new<'a>(
        size: LaneSize,
        endpoints: impl Iterator<Item = (EndpointId, &'a Endpoint)>,
    ) -> Self {
        // Each version has its own lanes, since a rollout splits requests by version first.
        let mut zones: BTreeMap<_, Vec<(&str, EndpointId)>> = BTreeMap::new();
        for (id, endpoint) in endpoints.filter(|(_, e)| !e.leaves()) {
            let key = (&endpoint.info.zone, &endpoint.info.version);
            let zone = zones.entry(key).or_default();
            zone.push((&endpoint.info.instance, id));
        }
        let mut short = HashSet::new();
        for zone in zones.values_mut() {
            zone.sort_unstable();
            let count = size.engines(zone.len());
            short.extend(zone.iter().take(count).map(|(_, id)| *id));
        }
        Self(short)
    }

    /// Cost of an endpoint's lane for a prompt, in milliseconds, by the latency target of its route.
    pub(crate) fn cost(
        &self,
        endpoint: EndpointId,
        prompt: &Prompt,
        speed: &Speed,
        target: Duration,
    ) -> f64 {
        match (self.0.contains(&endpoint), is_long(prompt)) {
            (true, false) | (false, true) => 0.0,
            (false, false) => target.as_secs_f64() * 1000.0 * SPILL_SHARE,
            (true, true) => speed.prefill_ms(prompt.input_tokens).powi(2) * LONG_PROMPT_PENALTY,
        }
    }

    /// Whether an endpoint is in the lane for short prompts.
    pub(crate) fn contains(&self, endpoint: EndpointId) -> bool {
        self.0.contains(&endpoint)
    }

    /// Whether an endpoint is in the lane of a prompt.
    pub(crate) fn matches(&self, endpoint: EndpointId, prompt: &Prompt) -> bool {
        self.0.contains(&endpoint) != is_long(prompt)
    }
}

/// Whether a prompt belongs to the lane of long prompts.
pub(crate) fn is_long(prompt: &Prompt) -> bool {
    prompt.input_tokens > SHORT_PROMPT_TOKENS
}
