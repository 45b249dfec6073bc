//! Keeps long prompts apart from the streams that they would hold up.
//!
//! An engine reads prompts in chunks between the tokens of everything else that runs there. So a
//! part of each zone's engines is set aside for short prompts. All fronts draw the same line from
//! the list of endpoints, without a word between them. The line is soft: a lane that is full
//! enough spills over into the other.

use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::time::Duration;

use ids::EndpointId;

use crate::endpoint::Endpoint;
use crate::message::Prompt;

/// Prompts up to this many tokens are short; an engine reads them in one chunk of some 2,000
/// tokens with room left.
pub(crate) const SHORT_TOKENS: u64 = 1500;
/// One of so many engines of a zone is for short prompts.
const SHORT_SHARE: usize = 3;
/// What a short prompt accepts of queueing in its own lane before it goes to the other.
const LEAVE_SHORT: Duration = Duration::from_millis(120);
/// What a long prompt costs in the lane of short ones, in milliseconds for each millisecond of its
/// reading, squared: a pause grows with the reading, and so does the number of streams for which
/// it becomes too long.
const LONG_HARM: f64 = 0.1;
/// Prompt tokens that an engine reads in a millisecond, as the users' pages give it.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 92.1;

/// The endpoints set aside for short prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes(HashSet<EndpointId>);

impl Lanes {
    /// Divides a service's endpoints.
    pub(crate) fn of<'a>(endpoints: impl Iterator<Item = (EndpointId, &'a Endpoint)>) -> Self {
        let mut zones: BTreeMap<&str, Vec<(&str, EndpointId)>> = BTreeMap::new();
        for (id, endpoint) in endpoints.filter(|(_, e)| !e.listing.draining) {
            let zone = zones.entry(&endpoint.listing.zone).or_default();
            zone.push((&endpoint.listing.instance, id));
        }
        let mut short = HashSet::new();
        for zone in zones.values_mut() {
            zone.sort_unstable();
            let count = (zone.len() / SHORT_SHARE).max(usize::from(zone.len() > 1));
            short.extend(zone.iter().take(count).map(|(_, id)| *id));
        }
        Self(short)
    }

    /// What the lane of an endpoint costs a prompt, in milliseconds.
    pub(crate) fn cost(&self, at: EndpointId, prompt: &Prompt) -> f64 {
        let short = prompt.input_tokens <= SHORT_TOKENS;
        match (self.0.contains(&at), short) {
            (true, true) | (false, false) => 0.0,
            (false, true) => LEAVE_SHORT.as_secs_f64() * 1000.0,
            (true, false) => {
                (prompt.input_tokens as f64 / PREFILL_TOKENS_PER_MS).powi(2) * LONG_HARM
            }
        }
    }

    /// Whether a prompt belongs where an endpoint is.
    pub(crate) fn suits(&self, at: EndpointId, prompt: &Prompt) -> bool {
        self.0.contains(&at) == (prompt.input_tokens <= SHORT_TOKENS)
    }
}
