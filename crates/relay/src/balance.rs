//! Load balancing: the choice among candidate endpoints.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

/// Cost of each concurrent request beyond an engine's slots, as a share of the base time.
const OVER_SLOTS_SHARE: f64 = 0.25;
/// Cost of a fully used plain endpoint, as a share of the base time.
const PLAIN_WORK_SHARE: f64 = 0.7;
/// Cost of a failure rate of 1, in milliseconds.
const FAILURE_RATE_MS: f64 = 1500.0;
/// Cost of each request that is past its latency target, in milliseconds.
const OVERDUE_MS: f64 = 150.0;
/// Upper limit of the random cost that spreads fronts over equally good candidates, in
/// milliseconds.
const JITTER_MS: f64 = 0.5;

/// A front's estimate of the load and the costs at one candidate endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// In-flight requests at the endpoint, from all fronts.
    pub inflight: f64,
    /// Requests that the endpoint executes concurrently.
    pub slots: f64,
    /// Time to prefill the prompts that are due before this request's response starts, in
    /// milliseconds; none for plain requests.
    pub prefill_ms: Option<f64>,
    /// Time to the start of a response at an idle endpoint without prefill, in milliseconds.
    pub base_ms: f64,
    /// Time by which each concurrent request delays the start of a response, in milliseconds.
    pub request_ms: f64,
    /// Cost of ignoring prefix-cache affinity and prompt lanes, in milliseconds.
    pub affinity_cost: f64,
    /// Delay that other requests at the endpoint cause, in milliseconds.
    pub queue_delay: f64,
    /// Requests of this front at the endpoint that are past their latency target.
    pub overdue: f64,
    /// Recent share of failed attempts.
    pub failure_rate: f64,
    /// Cost of forwarding the request to an endpoint in another zone.
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
    fn cost(estimate: &Estimate) -> f64 {
        let slots = estimate.slots.max(1.0);
        let over = (estimate.inflight + 1.0 - slots).max(0.0);
        let work = match estimate.prefill_ms {
            Some(prefill_ms) => {
                prefill_ms
                    + estimate.inflight * estimate.request_ms
                    + over * estimate.base_ms * OVER_SLOTS_SHARE
            }
            None => (estimate.inflight + over * 2.0) / slots * estimate.base_ms * PLAIN_WORK_SHARE,
        };
        work + estimate.affinity_cost
            + estimate.queue_delay
            + estimate.overdue * OVERDUE_MS
            + estimate.failure_rate * FAILURE_RATE_MS
            + estimate.zone_cost.as_secs_f64() * 1000.0
    }
}

impl Balancer for PredictedLatency {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let cost = |estimate: &Estimate, rng: &mut Pcg32| {
            Self::cost(estimate) + rng.random_range(0.0..JITTER_MS)
        };
        let costs = candidates.iter().map(|estimate| cost(estimate, rng));
        let best = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(index, _)| index)
    }
}
