//! What the users measure: attainment, goodput, wasted work, the worst-served account, cost.

use std::time::Duration;

use ids::Tick;
use serde::Serialize;

use crate::load::ACCOUNTS;
use crate::site::Site;

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fate {
    pub(crate) class: usize,
    pub(crate) account: usize,
    pub(crate) came: Tick,
    pub(crate) wanted: u64,
    pub(crate) first: Option<Tick>,
    pub(crate) last: Tick,
    pub(crate) tokens: u64,
    pub(crate) done: bool,
    pub(crate) broken: bool,
}

impl Fate {
    /// Whether the class's targets were met: first token in time, tokens close enough.
    fn meets_targets(&self, first: Duration, gap: Duration) -> bool {
        let Some(began) = self.first.filter(|_| self.done) else {
            return false;
        };
        let between = u32::try_from(self.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        began.since(self.came) <= first && self.last.since(began) <= gap * between.max(1)
    }
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Attainment of each class, highest tier first.
    pub attainment: [f64; 4],
    /// Requests of each class that were completed, as a share of those that came.
    pub served: [f64; 4],
    /// Tokens a second of requests that met their class's targets.
    pub goodput: f64,
    /// Tokens generated for requests that were not completed, as a share of all.
    pub wasted: f64,
    /// Tokens the worst-served account got, as a share of its fair share.
    pub worst: f64,
    /// Streams that broke off.
    pub broken: u64,
    /// Attempts that failed or were repeated after they had been sent.
    pub retried: u64,
    /// Engine seconds for each thousand good tokens.
    pub cost: f64,
    /// Whether a higher tier was sent away while a lower one waited in the same queue.
    pub inversions: u64,
}

/// One line of the table.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The deployment.
    pub site: String,
    /// The load, as a share of capacity.
    pub load: f64,
    /// What went wrong.
    pub disturbance: String,
    /// The policy.
    pub policy: String,
    /// Attainment by tier.
    pub tier0: f64,
    /// Attainment of the second tier.
    pub tier1: f64,
    /// Attainment of the third tier.
    pub tier2: f64,
    /// Attainment of the lowest tier.
    pub tier3: f64,
    /// Completed share of the lowest tier.
    pub served3: f64,
    /// Good tokens a second.
    pub goodput: f64,
    /// Wasted share of tokens.
    pub wasted: f64,
    /// Worst-served account against its fair share.
    pub worst: f64,
    /// Streams that broke off.
    pub broken: u64,
    /// Engine seconds for each thousand good tokens.
    pub cost: f64,
    /// Broken promises.
    pub violations: u64,
}

pub(crate) fn summarize(site: Site, fates: &[Fate], length: Duration, generated: u64) -> Metrics {
    let mut metrics = Metrics::default();
    let gap = Duration::from_millis(66);
    let mut good = 0;
    for (class, (_, _, _, first, _)) in site.classes().iter().enumerate() {
        let first = Duration::from_millis(*first);
        let of_class: Vec<_> = fates.iter().filter(|fate| fate.class == class).collect();
        let count = of_class.len().max(1) as f64;
        let met: Vec<_> = of_class
            .iter()
            .filter(|fate| fate.meets_targets(first, gap))
            .collect();
        metrics.attainment[class] = met.len() as f64 / count;
        metrics.served[class] = of_class.iter().filter(|fate| fate.done).count() as f64 / count;
        good += met.iter().map(|fate| fate.tokens).sum::<u64>();
    }
    let kept: u64 = fates
        .iter()
        .filter(|fate| fate.done)
        .map(|fate| fate.tokens)
        .sum();
    let seconds = length.as_secs_f64();
    metrics.goodput = good as f64 / seconds;
    metrics.wasted = generated.saturating_sub(kept) as f64 / generated.max(1) as f64;
    metrics.worst = worst_account(fates);
    metrics.broken = fates.iter().filter(|fate| fate.broken).count() as u64;
    metrics.cost = site.engines() as f64 * seconds / (good.max(1) as f64 / 1000.0);
    metrics
}

/// The least of what an account got over its max-min fair share, by class and then over all.
fn worst_account(fates: &[Fate]) -> f64 {
    let mut got = [0.0; ACCOUNTS];
    let mut fair = [0.0; ACCOUNTS];
    for class in 0..4 {
        let mut wanted = [0.0; ACCOUNTS];
        let mut served = [0.0; ACCOUNTS];
        for fate in fates.iter().filter(|fate| fate.class == class) {
            wanted[fate.account] += fate.wanted as f64;
            if fate.done {
                served[fate.account] += fate.tokens as f64;
            }
        }
        let shares = max_min(&wanted, served.iter().sum());
        for account in 0..ACCOUNTS {
            got[account] += served[account];
            fair[account] += shares[account];
        }
    }
    let ratios = got.iter().zip(&fair).filter(|(_, fair)| **fair > 0.0);
    ratios.map(|(got, fair)| got / fair).fold(1.0, f64::min)
}

/// Divides an amount so that nobody gets more than is wanted and the least gets the most.
fn max_min(wanted: &[f64; ACCOUNTS], amount: f64) -> [f64; ACCOUNTS] {
    let mut shares = [0.0; ACCOUNTS];
    let mut order: Vec<_> = (0..ACCOUNTS).collect();
    order.sort_by(|a, b| wanted[*a].total_cmp(&wanted[*b]));
    let mut left = amount;
    for (i, account) in order.iter().enumerate() {
        let equal = left / (ACCOUNTS - i) as f64;
        shares[*account] = wanted[*account].min(equal);
        left -= shares[*account];
    }
    shares
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        small_wishes_are_met_first: {
            let mut wanted = [100.0; ACCOUNTS];
            wanted[0] = 1.0;
            let shares = max_min(&wanted, 91.0);
            assert_eq!((shares[0], shares[1]), (1.0, 10.0));
        };
        enough_for_all: assert_eq!(max_min(&[5.0; ACCOUNTS], 50.0), [5.0; ACCOUNTS]);
    }
}
