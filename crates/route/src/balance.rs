//! Load-balancing policies, which choose among the endpoints of a route.

use std::time::Duration;

use ids::EndpointId;
use rand::RngExt;
use rand_pcg::Pcg32;

/// The location of an endpoint relative to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same availability zone.
    SameZone,
    /// In the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An endpoint that may be chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// The endpoint's load, in thousandths of its concurrency limit.
    pub load: u64,
    /// The endpoint's location relative to the entry.
    pub locality: Locality,
    /// Moving average of the endpoint's time to the first token; zero if unknown.
    pub first_token: Duration,
    /// Whether the endpoint is the preferred endpoint for the request's prompt prefix.
    pub preferred: bool,
}

/// A load-balancing policy.
pub trait Balancer {
    /// Chooses one of the candidates. Returns `None` only if there are none.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg32) -> Option<EndpointId>;
}

/// The policy used in production: chooses the better of two random candidates by load, locality
/// and observed time to the first token. A request with a prompt prefix goes to its preferred
/// endpoint, for prefix cache affinity, unless that endpoint is much more loaded than the best one.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

/// Load penalty for an endpoint in another availability zone of the region, in thousandths.
const OTHER_ZONE_MILLI: u64 = 50;
/// Load penalty for an endpoint in another region, in thousandths.
const OTHER_REGION_MILLI: u64 = 400;
/// How much the cost of the preferred endpoint may exceed the least cost, in thousandths.
const AFFINITY_TOLERANCE_MILLI: u64 = 300;
/// An endpoint is a straggler if its time to the first token exceeds this multiple of the fastest
/// endpoint's.
const STRAGGLER_FACTOR: u32 = 3;
/// Load penalty for a straggler, in thousandths.
const STRAGGLER_MILLI: u64 = 1500;

impl PowerOfTwo {
    fn cost(candidate: &Candidate, fastest: Duration) -> u64 {
        let locality = match candidate.locality {
            Locality::SameZone => 0,
            Locality::SameRegion => OTHER_ZONE_MILLI,
            Locality::OtherRegion => OTHER_REGION_MILLI,
        };
        let straggler = !fastest.is_zero() && candidate.first_token > fastest * STRAGGLER_FACTOR;
        candidate.load + locality + if straggler { STRAGGLER_MILLI } else { 0 }
    }
}

impl Balancer for PowerOfTwo {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg32) -> Option<EndpointId> {
        let known = candidates
            .iter()
            .map(|c| c.first_token)
            .filter(|time| !time.is_zero());
        let fastest = known.min().unwrap_or_default();
        let cost = |c: &Candidate| Self::cost(c, fastest);
        let least = candidates.iter().map(cost).min()?;
        let preferred = candidates
            .iter()
            .find(|c| c.preferred && cost(c) <= least + AFFINITY_TOLERANCE_MILLI);
        if let Some(preferred) = preferred {
            return Some(preferred.id);
        }
        let n = candidates.len();
        let first = rng.random_range(0..n);
        let second = (first + rng.random_range(1..n.max(2))) % n;
        let (a, b) = (&candidates[first], &candidates[second]);
        Some(if cost(a) <= cost(b) { a.id } else { b.id })
    }
}

/// Chooses the candidates in rotation; a baseline for benchmarks.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

impl Balancer for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut Pcg32) -> Option<EndpointId> {
        self.0 = self.0.wrapping_add(1);
        let index = self.0.checked_rem(candidates.len())?;
        candidates.get(index).map(|c| c.id)
    }
}

/// Chooses the candidate with the least load in this entry's records; a baseline for benchmarks.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Balancer for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate], _: &mut Pcg32) -> Option<EndpointId> {
        candidates.iter().min_by_key(|c| c.load).map(|c| c.id)
    }
}
