//! Baseline balancing policies.

use rand::RngExt;
use rand_pcg::Pcg32;
use relay::{
    Balancer,
    Estimate,
    PredictedLatency, //
};

/// Chooses the candidate with the fewest in-flight requests. A random part below one request breaks
/// ties.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInflight;

impl Balancer for LeastInflight {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let keys = candidates
            .iter()
            .map(|estimate| estimate.inflight + rng.random_range(0.0..0.5));
        let best = keys.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(index, _)| index)
    }
}

/// Chooses the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &[Estimate], _: &mut Pcg32) -> Option<usize> {
        self.0 += 1;
        self.0.checked_rem(candidates.len())
    }
}

/// The product's balancer without prefix-cache affinity and prompt lanes: the lowest predicted time
/// to the start of the response.
#[derive(Clone, Copy, Debug, Default)]
pub struct IgnoreAffinity(PredictedLatency);

impl Balancer for IgnoreAffinity {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let without_affinity = |estimate: &Estimate| Estimate {
            affinity_cost: 0.0,
            ..*estimate
        };
        let candidates: Vec<_> = candidates.iter().map(without_affinity).collect();
        self.0.choose(&candidates, rng)
    }
}
