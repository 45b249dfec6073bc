//! One endpoint as observed by a front.

use std::collections::HashMap;
use std::time::Duration;

use ids::Tick;

use crate::health::Health;
use crate::message::{
    EndpointInfo,
    Load,
    Prompt, //
};
use crate::stated::Stated;

/// How long an engine is assumed to keep a prompt part in its prefix cache after the last use.
const CACHE_LIFETIME: Duration = Duration::from_secs(8);
/// Prompt parts per endpoint above which expired ones are removed.
const MAX_PARTS: usize = 512;
/// Age at which a reported load no longer counts; its weight falls linearly until then.
const LOAD_LIFETIME: Duration = Duration::from_millis(1500);
/// Share of a cold endpoint's request rate that all fronts together use.
const COLD_RATE_SHARE: f64 = 0.8;

/// Weight of the newest measured delay against the average of earlier ones.
const NEWEST_WEIGHT: f64 = 0.5;
/// Age at which a measured delay no longer counts; its weight falls linearly until then.
const DELAY_LIFETIME: Duration = Duration::from_millis(1500);

/// A token bucket of one token that limits this front's requests to a cold endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Tick,
}

impl TokenBucket {
    /// Whether a token is available, at `rate` tokens per second.
    pub(crate) fn has_token(&self, now: Tick, rate: f64) -> bool {
        self.level(now, rate) >= 1.0
    }

    pub(crate) fn take(&mut self, now: Tick, rate: f64) {
        self.tokens = self.level(now, rate) - 1.0;
        self.updated_at = now;
    }

    fn level(&self, now: Tick, rate: f64) -> f64 {
        (self.tokens + now.since(self.updated_at).as_secs_f64() * rate).min(1.0)
    }
}

/// An endpoint and the state that this front keeps about it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    pub(crate) cold_until: Tick,
    pub(crate) bucket: TokenBucket,
    pub(crate) health: Health,
    /// This front's in-flight requests at the endpoint.
    pub(crate) inflight: u32,
    /// Prompt tokens of this front's requests whose response has not started.
    pub(crate) pending_tokens: u64,
    /// The reported load, this front's in-flight requests when it arrived, and the time of arrival.
    load: Option<(Load, u32, Tick)>,
    /// Average time to the start of a response beyond prefill, in milliseconds, and when the latest
    /// value was measured.
    delay: Option<(f64, Tick)>,
    /// Last use of each prompt part.
    parts: HashMap<u64, Tick>,
    pub(crate) stated: Stated,
}

impl Endpoint {
    /// `tokens` is the initial level of the token bucket.
    pub(crate) fn new(now: Tick, info: EndpointInfo, tokens: f64) -> Self {
        let cold_until = now + info.cold_remaining;
        Self {
            info,
            cold_until,
            bucket: TokenBucket {
                tokens,
                updated_at: now,
            },
            health: Health::default(),
            inflight: 0,
            pending_tokens: 0,
            load: None,
            delay: None,
            parts: HashMap::new(),
            stated: Stated::default(),
        }
    }

    /// Applies a newer listing entry of the same instance.
    pub(crate) fn update(&mut self, now: Tick, info: EndpointInfo) {
        if info.started_ms != self.info.started_ms {
            // The engine restarted under the same identity with an empty prefix cache.
            self.parts.clear();
            self.load = None;
            self.delay = None;
            self.health = Health::default();
            self.stated = Stated::default();
        }
        self.cold_until = self.cold_until.max(now + info.cold_remaining);
        self.info = info;
    }

    pub(crate) fn cold(&self, now: Tick) -> bool {
        now < self.cold_until
    }

    /// Whether the endpoint must get no new requests, because the listing or the endpoint says that
    /// it leaves.
    pub(crate) fn leaves(&self) -> bool {
        self.info.draining || self.stated.leaving
    }

    /// Requests per second that this front may send to a cold endpoint.
    pub(crate) fn cold_rate(rate: f64, fronts: usize) -> f64 {
        rate * COLD_RATE_SHARE / fronts.max(1) as f64
    }

    pub(crate) fn record_load(&mut self, now: Tick, load: Load) {
        self.load = Some((load, self.inflight, now));
    }

    /// Records the time to the start of a response beyond prefill, in milliseconds.
    pub(crate) fn record_delay(&mut self, now: Tick, delay: f64) {
        let previous = self.delay(now, 0.0);
        let average = previous + (delay - previous) * NEWEST_WEIGHT;
        self.delay = Some((average, now));
    }

    /// The expected time to the start of a response beyond prefill, in milliseconds. It reflects
    /// queueing behind requests of all fronts. The older the last measurement, the more the typical
    /// delay counts.
    pub(crate) fn delay(&self, now: Tick, typical: f64) -> f64 {
        let (delay, weight) = self.delay.map_or((0.0, 0.0), |(delay, measured_at)| {
            (delay, weight(now, measured_at, DELAY_LIFETIME))
        });
        delay * weight + typical * (1.0 - weight)
    }

    /// In-flight requests of all fronts: this front's own, plus those of other fronts by the last
    /// reported load. The older the report, the more the typical number counts.
    pub(crate) fn total_inflight(&self, now: Tick, typical: f64) -> f64 {
        let weight = self
            .load
            .map_or(0.0, |(.., at)| weight(now, at, LOAD_LIFETIME));
        let others = self.reported_others().unwrap_or_default();
        f64::from(self.inflight) + others * weight + typical * (1.0 - weight)
    }

    /// In-flight requests of other fronts when the endpoint last reported its load.
    pub(crate) fn reported_others(&self) -> Option<f64> {
        let (load, own, _) = self.load?;
        Some(f64::from(load.in_flight().saturating_sub(own)))
    }

    /// Prompt tokens that the endpoint must prefill. A cached part saves its prefill only if all
    /// parts before it are cached. The preferred endpoint, to which all fronts send the prompt's
    /// shared parts, is assumed to hold these parts in its cache.
    pub(crate) fn prefill_tokens(&self, now: Tick, prompt: &Prompt, preferred: bool) -> u64 {
        if preferred {
            return prompt.unique_tokens();
        }
        let cached = |part: &&(u64, u64)| {
            let used_at = self.parts.get(&part.0);
            used_at.is_some_and(|used_at| now.since(*used_at) <= CACHE_LIFETIME)
        };
        let cached_tokens: u64 = prompt
            .parts
            .iter()
            .take_while(cached)
            .map(|(_, tokens)| tokens)
            .sum();
        prompt.input_tokens.saturating_sub(cached_tokens)
    }

    /// Records that a prompt's parts are in the endpoint's prefix cache.
    pub(crate) fn record_prompt(&mut self, now: Tick, prompt: &Prompt) {
        for (part, _) in &prompt.parts {
            self.parts.insert(*part, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts
                .retain(|_, used_at| now.since(*used_at) <= CACHE_LIFETIME);
        }
    }
}

/// The weight of an observation of a given time, which falls linearly over its lifetime.
fn weight(now: Tick, observed_at: Tick, lifetime: Duration) -> f64 {
    let age = now.since(observed_at).as_secs_f64() / lifetime.as_secs_f64();
    (1.0 - age).max(0.0)
}
