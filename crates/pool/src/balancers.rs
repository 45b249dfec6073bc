//! Baselines for the choice of endpoint.

use rand::RngExt;
use rand_pcg::Pcg32;
use relay::{
    Balancer,
    Estimate,
    PredictedLatency, //
};

/// Takes the candidate with the fewest requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInflight;

impl Balancer for LeastInflight {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let keys = candidates
            .iter()
            .map(|of| of.inflight + rng.random_range(0.0..0.5));
        let best = keys.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(at, _)| at)
    }
}

/// Takes one candidate after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &[Estimate], _: &mut Pcg32) -> Option<usize> {
        self.0 += 1;
        self.0.checked_rem(candidates.len())
    }
}

/// The product's choice before it had lanes and homes: the least predicted time to the first of
/// the answer, wherever the prompt's shared parts are best read.
#[derive(Clone, Copy, Debug, Default)]
pub struct IgnoreAffinity(PredictedLatency);

impl Balancer for IgnoreAffinity {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        let anywhere = |of: &Estimate| Estimate {
            affinity_cost: 0.0,
            ..*of
        };
        let candidates: Vec<_> = candidates.iter().map(anywhere).collect();
        self.0.choose(&candidates, rng)
    }
}
