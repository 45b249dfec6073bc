//! Load balancing: the choice among candidate endpoints.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::lanes::PREFILL_TOKENS_PER_MS;

/// Milliseconds that each running request adds to an engine's step, as stated in the users' site
/// files.
const STEP_MS_PER_REQUEST: f64 = 0.121;
/// Engine steps by which concurrent requests delay the first token.
const STEPS_TO_FIRST_TOKEN: f64 = 20.0;
/// Cost of each concurrent request beyond an engine's slots, in milliseconds.
const OVER_SLOTS_MS: f64 = 20.0;
/// Cost of a fully used plain endpoint, in milliseconds.
const PLAIN_WORK_MS: f64 = 20.0;
/// Cost of a failure rate of 1, in milliseconds.
const FAILURE_RATE_MS: f64 = 1500.0;
/// Cost of each request that is past its latency target, in milliseconds.
const OVERDUE_MS: f64 = 150.0;
/// Upper limit of the random cost that spreads fronts over equally good candidates, in
/// milliseconds.
const JITTER_MS: f64 = 0.5;

/// What a front knows about one candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// In-flight requests at the endpoint, from all fronts.
    pub inflight: f64,
    /// Requests that the endpoint executes concurrently.
    pub slots: f64,
    /// Prompt tokens to prefill before this request's response starts; none for plain requests.
    pub prefill_tokens: Option<f64>,
    /// Cost of ignoring prefix-cache affinity and prompt lanes, in milliseconds.
    pub affinity_cost: f64,
    /// Delay that other requests at the endpoint cause, in milliseconds.
    pub queue_delay: f64,
    /// Requests of this front at the endpoint that are past their latency target.
    pub overdue: f64,
    /// Recent share of failed attempts.
    pub failure_rate: f64,
    /// Cost of reaching an endpoint in another zone.
    pub zone_cost: Duration,
}

/// Chooses among candidates.
pub trait Balancer {
    /// Returns the index of the chosen candidate; none if there are no candidates.
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize>;
}

/// Chooses the candidate with the lowest predicted time to the start of the response.
#[derive(Clone, Copy, Debug, Default)]
pub struct PredictedLatency;

impl PredictedLatency {
    /// The predicted time to the start of the response plus all penalties, in milliseconds.
    fn cost(of: &Estimate) -> f64 {
        let slots = of.slots.max(1.0);
        let over = (of.inflight + 1.0 - slots).max(0.0);
        let work = match of.prefill_tokens {
            Some(tokens) => {
                tokens / PREFILL_TOKENS_PER_MS
                    + of.inflight * STEP_MS_PER_REQUEST * STEPS_TO_FIRST_TOKEN
                    + over * OVER_SLOTS_MS
            }
            None => of.inflight / slots * PLAIN_WORK_MS + over / slots * PLAIN_WORK_MS * 2.0,
        };
        work + of.affinity_cost
            + of.queue_delay
            + of.overdue * OVERDUE_MS
            + of.failure_rate * FAILURE_RATE_MS
            + of.zone_cost.as_secs_f64() * 1000.0
    }
}

impl Balancer for PredictedLatency {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let cost =
            |of: &Estimate, rng: &mut Pcg32| Self::cost(of) + rng.random_range(0.0..JITTER_MS);
        let costs = candidates.iter().map(|of| cost(of, rng));
        let best = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(at, _)| at)
    }
}
