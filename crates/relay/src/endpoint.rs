//! One endpoint as a front sees it.

use std::collections::HashMap;
use std::time::Duration;

use ids::Tick;

use crate::health::Health;
use crate::message::{
    EndpointInfo,
    Load,
    Prompt, //
};

/// How long a part of a prompt is taken to stay in an engine's memory after its last use.
const CACHED_FOR: Duration = Duration::from_secs(8);
/// Parts remembered for each endpoint.
const MAX_PARTS: usize = 512;
/// An endpoint's word on its load counts for this long, and less and less.
const LOAD_LIFE: Duration = Duration::from_millis(1500);
/// Part of the shared limit of a cold endpoint that the fronts use together.
const COLD_PART: f64 = 0.8;

/// Weight of the newest measured delay against the earlier ones.
const NEWEST_DELAY: f64 = 0.5;
/// A measured delay counts for this long, and less and less.
const DELAY_LIFE: Duration = Duration::from_millis(1500);

/// How fast a cold endpoint may get requests from this front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    tokens: f64,
    at: Tick,
}

impl Bucket {
    /// Whether there is a token, at `rate` tokens a second.
    pub(crate) fn has(&self, now: Tick, rate: f64) -> bool {
        self.level(now, rate) >= 1.0
    }

    pub(crate) fn take(&mut self, now: Tick, rate: f64) {
        self.tokens = self.level(now, rate) - 1.0;
        self.at = now;
    }

    fn level(&self, now: Tick, rate: f64) -> f64 {
        (self.tokens + now.since(self.at).as_secs_f64() * rate).min(1.0)
    }
}

/// An endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) listing: EndpointInfo,
    pub(crate) cold_until: Tick,
    pub(crate) bucket: Bucket,
    pub(crate) health: Health,
    /// This front's requests there.
    pub(crate) inflight: u32,
    /// Prompt tokens of this front's requests there whose answer has not begun.
    pub(crate) unread: u64,
    load: Option<(Load, u32, Tick)>,
    /// How long answers took to begin beyond the reading of their prompts, in milliseconds.
    delay: Option<(f64, Tick)>,
    parts: HashMap<u64, Tick>,
}

impl Endpoint {
    pub(crate) fn new(now: Tick, listing: EndpointInfo, phase: f64) -> Self {
        let cold_until = now + listing.cold_remaining;
        Self {
            listing,
            cold_until,
            bucket: Bucket {
                tokens: phase,
                at: now,
            },
            health: Health::default(),
            inflight: 0,
            unread: 0,
            load: None,
            delay: None,
            parts: HashMap::new(),
        }
    }

    /// Takes a newer listing of the same instance.
    pub(crate) fn relist(&mut self, now: Tick, listing: EndpointInfo) {
        if listing.started_at_ms != self.listing.started_at_ms {
            // It started again under its old identity and holds nothing of before.
            self.parts.clear();
            self.load = None;
            self.delay = None;
            self.health = Health::default();
        }
        self.cold_until = self.cold_until.max(now + listing.cold_remaining);
        self.listing = listing;
    }

    pub(crate) fn cold(&self, now: Tick) -> bool {
        now < self.cold_until
    }

    /// Requests a second that this front may send while the endpoint is cold.
    pub(crate) fn cold_rate(rate: f64, fronts: usize) -> f64 {
        rate * COLD_PART / fronts.max(1) as f64
    }

    pub(crate) fn note_load(&mut self, now: Tick, load: Load) {
        self.load = Some((load, self.inflight, now));
    }

    /// Notes how long an answer took to begin beyond the reading of its prompt, in milliseconds.
    pub(crate) fn note_delay(&mut self, now: Tick, delay: f64) {
        let earlier = self.delay(now);
        let next = earlier + (delay - earlier) * NEWEST_DELAY;
        self.delay = Some((next, now));
    }

    /// How long an answer takes to begin beyond the reading of its prompt, in milliseconds: what
    /// other requests there, of any front, make it wait.
    pub(crate) fn delay(&self, now: Tick) -> f64 {
        let Some((delay, at)) = self.delay else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / DELAY_LIFE.as_secs_f64();
        delay * (1.0 - age).max(0.0)
    }

    /// Requests at the endpoint, from all fronts: this front's, and what its last word on its load
    /// says of the others.
    pub(crate) fn busy(&self, now: Tick) -> f64 {
        let own = f64::from(self.inflight);
        let Some((load, then, at)) = self.load else {
            return own;
        };
        let age = now.since(at).as_secs_f64() / LOAD_LIFE.as_secs_f64();
        let others = (load.running + load.waiting).saturating_sub(then);
        own + f64::from(others) * (1.0 - age).max(0.0)
    }

    /// Prompt tokens that the endpoint would have to read: a part is cached only if all parts
    /// before it are. At the endpoint where all fronts send a prompt's shared parts, these are
    /// taken to be cached.
    pub(crate) fn to_read(&self, now: Tick, prompt: &Prompt, at_home: bool) -> u64 {
        if at_home {
            return prompt.unique_tokens();
        }
        let cached = |part: &&(u64, u64)| {
            let used = self.parts.get(&part.0);
            used.is_some_and(|at| now.since(*at) <= CACHED_FOR)
        };
        let held: u64 = prompt
            .parts
            .iter()
            .take_while(cached)
            .map(|(_, tokens)| tokens)
            .sum();
        prompt.input_tokens.saturating_sub(held)
    }

    pub(crate) fn remember(&mut self, now: Tick, prompt: &Prompt) {
        for (part, _) in &prompt.parts {
            self.parts.insert(*part, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, at| now.since(*at) <= CACHED_FOR);
        }
    }
}
