//! The choice among the endpoints of a route, behind one small trait.

use std::time::Duration;

use ids::EndpointId;
use rand::RngExt;
use rand_pcg::Pcg32;

/// How far an endpoint is from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same availability zone.
    SameZone,
    /// In the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An endpoint that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// Its load as a share of what it bears, in thousandths.
    pub load: u64,
    /// How far it is.
    pub near: Locality,
    /// The usual time to its first token; zero if unknown.
    pub first: Duration,
    /// Whether the request's prefix belongs to it.
    pub home: bool,
}

/// Chooses an endpoint.
pub trait Placement {
    /// Chooses one of the candidates; none only if there is none.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg32) -> Option<EndpointId>;
}

/// The product's choice: the better of two drawn at random, by load, nearness and observed speed;
/// a request with a known prefix goes to the prefix's home unless that is much busier.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

/// What another zone of the region adds to an endpoint's load, in thousandths.
const OTHER_ZONE: u64 = 50;
/// What another region adds.
const OTHER_REGION: u64 = 400;
/// How much busier than the least busy one a prefix's home may be.
const HOME_BONUS: u64 = 300;
/// An endpoint this many times slower than the fastest is a straggler.
const STRAGGLER_FACTOR: u32 = 3;
/// What being a straggler adds.
const STRAGGLER: u64 = 1500;

impl PowerOfTwo {
    fn cost(candidate: &Candidate, fastest: Duration) -> u64 {
        let far = match candidate.near {
            Locality::SameZone => 0,
            Locality::SameRegion => OTHER_ZONE,
            Locality::OtherRegion => OTHER_REGION,
        };
        let slow = !fastest.is_zero() && candidate.first > fastest * STRAGGLER_FACTOR;
        candidate.load + far + if slow { STRAGGLER } else { 0 }
    }
}

impl Placement for PowerOfTwo {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg32) -> Option<EndpointId> {
        let known = candidates
            .iter()
            .map(|c| c.first)
            .filter(|first| !first.is_zero());
        let fastest = known.min().unwrap_or_default();
        let cost = |c: &Candidate| Self::cost(c, fastest);
        let least = candidates.iter().map(cost).min()?;
        let home = candidates
            .iter()
            .find(|c| c.home && cost(c) <= least + HOME_BONUS);
        if let Some(home) = home {
            return Some(home.id);
        }
        let n = candidates.len();
        let first = rng.random_range(0..n);
        let second = (first + rng.random_range(1..n.max(2))) % n;
        let (a, b) = (&candidates[first], &candidates[second]);
        Some(if cost(a) <= cost(b) { a.id } else { b.id })
    }
}

/// Baseline: one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

impl Placement for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: &mut Pcg32) -> Option<EndpointId> {
        self.0 = self.0.wrapping_add(1);
        let at = self.0.checked_rem(candidates.len())?;
        candidates.get(at).map(|c| c.id)
    }
}

/// Baseline: the least loaded one, as far as this entry knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate], _: &mut Pcg32) -> Option<EndpointId> {
        candidates.iter().min_by_key(|c| c.load).map(|c| c.id)
    }
}
