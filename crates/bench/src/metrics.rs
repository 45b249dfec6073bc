//! The results of a run: attainment, goodput, wasted work, fairness to accounts and cost.

use std::time::Duration;

use ids::Tick;
use serde::Serialize;

use crate::load::ACCOUNTS;
use crate::site::Site;

/// The outcome of one request. `class` and `account` are indices.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestOutcome {
    pub(crate) class: usize,
    pub(crate) account: usize,
    pub(crate) sent_at: Tick,
    /// Tokens of the complete response.
    pub(crate) output_tokens: u64,
    pub(crate) first_token: Option<Tick>,
    pub(crate) last_token: Tick,
    /// Tokens generated.
    pub(crate) tokens: u64,
    pub(crate) completed: bool,
    /// Whether the stream broke off after its first token.
    pub(crate) broken: bool,
}

impl RequestOutcome {
    /// Whether a completed request met its class's targets for the first token and for the mean gap
    /// between tokens.
    fn meets_targets(&self, first_target: Duration, gap: Duration) -> bool {
        let Some(first_token) = self.first_token.filter(|_| self.completed) else {
            return false;
        };
        let gaps = u32::try_from(self.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        first_token.since(self.sent_at) <= first_target
            && self.last_token.since(first_token) <= gap * gaps.max(1)
    }
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Share of each class's requests that met their targets, highest tier first.
    pub attainment: [f64; 4],
    /// Share of each class's requests that were completed, highest tier first.
    pub served: [f64; 4],
    /// Tokens per second of requests that met their class's targets.
    pub goodput: f64,
    /// Share of generated tokens that belong to requests which were not completed.
    pub wasted: f64,
    /// Tokens of the worst-served account, divided by its max-min fair share.
    pub worst: f64,
    /// Streams that broke off after their first token.
    pub broken: u64,
    /// Retries after an attempt that failed before its response started.
    pub retried: u64,
    /// Engine seconds per thousand tokens of goodput.
    pub cost: f64,
    /// Requests that an agent shed while its queue held a request of a lower tier.
    pub inversions: u64,
}

/// One row of the CSV file and of the printed table.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The name of the site.
    pub site: String,
    /// The load, as a multiple of capacity.
    pub load: f64,
    /// The name of the disturbance.
    pub disturbance: String,
    /// The name of the policy.
    pub policy: String,
    /// Attainment of the highest tier.
    pub tier0: f64,
    /// Attainment of the second tier.
    pub tier1: f64,
    /// Attainment of the third tier.
    pub tier2: f64,
    /// Attainment of the lowest tier.
    pub tier3: f64,
    /// Share of completed requests of the lowest tier.
    pub served3: f64,
    /// Tokens per second of requests that met their class's targets.
    pub goodput: f64,
    /// Share of generated tokens that belong to requests which were not completed.
    pub wasted: f64,
    /// Tokens of the worst-served account, divided by its max-min fair share.
    pub worst: f64,
    /// Streams that broke off after their first token.
    pub broken: u64,
    /// Engine seconds per thousand tokens of goodput.
    pub cost: f64,
    /// Violations of tier priority; see [`Metrics::inversions`].
    pub violations: u64,
}

/// Computes the results from the outcomes of all counted requests and the tokens generated in
/// `duration`.
pub(crate) fn summarize(
    site: Site,
    outcomes: &[RequestOutcome],
    duration: Duration,
    generated: u64,
) -> Metrics {
    let mut metrics = Metrics::default();
    // The token gap target of every class; see `Site::changes`.
    let gap = Duration::from_millis(66);
    let mut good_tokens = 0;
    for (class, (_, _, _, first, _)) in site.classes().iter().enumerate() {
        let first = Duration::from_millis(*first);
        let of_class: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.class == class)
            .collect();
        let count = of_class.len().max(1) as f64;
        let met: Vec<_> = of_class
            .iter()
            .filter(|outcome| outcome.meets_targets(first, gap))
            .collect();
        metrics.attainment[class] = met.len() as f64 / count;
        metrics.served[class] =
            of_class.iter().filter(|outcome| outcome.completed).count() as f64 / count;
        good_tokens += met.iter().map(|outcome| outcome.tokens).sum::<u64>();
    }
    let completed_tokens: u64 = outcomes
        .iter()
        .filter(|outcome| outcome.completed)
        .map(|outcome| outcome.tokens)
        .sum();
    let seconds = duration.as_secs_f64();
    metrics.goodput = good_tokens as f64 / seconds;
    metrics.wasted = generated.saturating_sub(completed_tokens) as f64 / generated.max(1) as f64;
    metrics.worst = worst_account(outcomes);
    metrics.broken = outcomes.iter().filter(|outcome| outcome.broken).count() as u64;
    metrics.cost = site.engines() as f64 * seconds / (good_tokens.max(1) as f64 / 1000.0);
    metrics
}

/// Returns the lowest ratio of an account's served tokens to its max-min fair share. Fair shares are
/// computed for each class and then added.
fn worst_account(outcomes: &[RequestOutcome]) -> f64 {
    let mut total_served = [0.0; ACCOUNTS];
    let mut fair_share = [0.0; ACCOUNTS];
    for class in 0..4 {
        let mut demand = [0.0; ACCOUNTS];
        let mut served = [0.0; ACCOUNTS];
        for outcome in outcomes.iter().filter(|outcome| outcome.class == class) {
            demand[outcome.account] += outcome.output_tokens as f64;
            if outcome.completed {
                served[outcome.account] += outcome.tokens as f64;
            }
        }
        let shares = max_min(&demand, served.iter().sum());
        for account in 0..ACCOUNTS {
            total_served[account] += served[account];
            fair_share[account] += shares[account];
        }
    }
    let ratios = total_served
        .iter()
        .zip(&fair_share)
        .filter(|(_, fair_share)| **fair_share > 0.0);
    ratios
        .map(|(total_served, fair_share)| total_served / fair_share)
        .fold(1.0, f64::min)
}

/// Divides an amount by max-min fairness: all shares grow evenly until the amount is used, and a
/// share stops growing when it meets the demand.
fn max_min(demand: &[f64; ACCOUNTS], amount: f64) -> [f64; ACCOUNTS] {
    let mut shares = [0.0; ACCOUNTS];
    let mut order: Vec<_> = (0..ACCOUNTS).collect();
    order.sort_by(|a, b| demand[*a].total_cmp(&demand[*b]));
    let mut remaining = amount;
    for (i, account) in order.iter().enumerate() {
        let equal = remaining / (ACCOUNTS - i) as f64;
        shares[*account] = demand[*account].min(equal);
        remaining -= shares[*account];
    }
    shares
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        small_demand_is_met_in_full: {
            let mut demand = [100.0; ACCOUNTS];
            demand[0] = 1.0;
            let shares = max_min(&demand, 91.0);
            assert_eq!((shares[0], shares[1]), (1.0, 10.0));
        };
        sufficient_amount_meets_all_demands: assert_eq!(max_min(&[5.0; ACCOUNTS], 50.0), [5.0; ACCOUNTS]);
    }
}
