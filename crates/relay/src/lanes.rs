//! Separates long prompts from the streams that they would delay.
//!
//! An engine prefills prompts in chunks between the tokens of all other requests that it executes,
//! so a long prompt pauses their streams. Therefore part of each zone's engines is reserved for
//! short prompts. All fronts compute the same division from the endpoint listing, without
//! communication. The division is soft: when the queueing delay in a lane is long
//! enough, its prompts spill over into the other lane.

use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::time::Duration;

use ids::EndpointId;

use crate::endpoint::Endpoint;
use crate::message::Prompt;

/// Maximum number of tokens in a short prompt. Such a prompt fits, with room to spare, into one
/// prefill chunk of about 2,000 tokens.
pub(crate) const SHORT_PROMPT_TOKENS: u64 = 1500;
/// One in this many engines of a zone is reserved for short prompts.
const ENGINES_PER_SHORT_LANE: usize = 3;
/// Queueing delay in the lane for short prompts at which they spill over into the other lane.
const SPILL_DELAY: Duration = Duration::from_millis(120);
/// Cost of a long prompt in the lane for short ones, in milliseconds per square millisecond of
/// prefill. The cost is quadratic because prefill time lengthens both the pause and the number of
/// streams for which the pause is too long.
const LONG_PROMPT_PENALTY: f64 = 0.1;
/// Prompt tokens that an engine prefills per millisecond, as stated on the users' pages.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 92.1;

/// The endpoints reserved for short prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes(HashSet<EndpointId>);

impl Lanes {
    /// Divides a service's endpoints into lanes.
    pub(crate) fn new<'a>(endpoints: impl Iterator<Item = (EndpointId, &'a Endpoint)>) -> Self {
        let mut zones: BTreeMap<&str, Vec<(&str, EndpointId)>> = BTreeMap::new();
        for (id, endpoint) in endpoints.filter(|(_, e)| !e.info.draining) {
            let zone = zones.entry(&endpoint.info.zone).or_default();
            zone.push((&endpoint.info.instance, id));
        }
        let mut short = HashSet::new();
        for zone in zones.values_mut() {
            zone.sort_unstable();
            let count = (zone.len() / ENGINES_PER_SHORT_LANE).max(usize::from(zone.len() > 1));
            short.extend(zone.iter().take(count).map(|(_, id)| *id));
        }
        Self(short)
    }

    /// Cost of an endpoint's lane for a prompt, in milliseconds.
    pub(crate) fn cost(&self, endpoint: EndpointId, prompt: &Prompt) -> f64 {
        let short = prompt.input_tokens <= SHORT_PROMPT_TOKENS;
        match (self.0.contains(&endpoint), short) {
            (true, true) | (false, false) => 0.0,
            (false, true) => SPILL_DELAY.as_secs_f64() * 1000.0,
            (true, false) => {
                (prompt.input_tokens as f64 / PREFILL_TOKENS_PER_MS).powi(2) * LONG_PROMPT_PENALTY
            }
        }
    }

    /// Whether an endpoint is in the lane of a prompt.
    pub(crate) fn matches(&self, endpoint: EndpointId, prompt: &Prompt) -> bool {
        self.0.contains(&endpoint) == (prompt.input_tokens <= SHORT_PROMPT_TOKENS)
    }
}
