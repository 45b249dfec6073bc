//! The workload: Poisson arrivals for each class and account, drawn from a seed.

use std::time::Duration;

use ids::Tick;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::disturbance::Disturbance;
use crate::site::{
    MEAN_INPUT,
    MEAN_OUTPUT,
    Site, //
};

/// Client accounts.
pub(crate) const ACCOUNTS: usize = 10;
/// Share of the requests that each account sends, in percent.
const ACCOUNT_SHARES: [u32; ACCOUNTS] = [25, 20, 15, 10, 8, 6, 5, 4, 4, 3];
/// Different prompt prefixes that each account uses.
const PREFIXES_PER_ACCOUNT: u64 = 6;
/// Duration of a burst of one class.
const BURST_DURATION: Duration = Duration::from_secs(10);

/// One request of the workload. `class` and `account` are indices.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) sent_at: Tick,
    pub(crate) class: usize,
    pub(crate) account: usize,
    pub(crate) input_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prefix_hash: u64,
}

/// Draws all requests of a run, in order of arrival. `load` is a multiple of the site's capacity.
pub(crate) fn arrivals(
    site: Site,
    disturbance: Disturbance,
    load: f64,
    duration: Duration,
    seed: u64,
) -> Vec<Request> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let disturbed_from = duration.as_secs_f64() / 3.0;
    let mut requests = Vec::new();
    for (class, (_, _, share, _, _)) in site.classes().iter().enumerate() {
        for (account, account_share) in ACCOUNT_SHARES.iter().enumerate() {
            let share = f64::from(*share) * f64::from(*account_share) / 10_000.0;
            let rate = site.capacity() * load * share;
            let mut at = 0.0;
            loop {
                let factor = rate_factor(disturbance, class, account, at, disturbed_from);
                at += -(1.0 - rng.random::<f64>()).ln() / (rate * factor);
                if at >= duration.as_secs_f64() {
                    break;
                }
                requests.push(draw_request(&mut rng, at, class, account));
            }
        }
    }
    requests.sort_by_key(|request| request.sent_at);
    requests
}

/// Returns the factor that a disturbance applies to the request rate of an account in a class, `at`
/// seconds after the start of the run.
fn rate_factor(
    disturbance: Disturbance,
    class: usize,
    account: usize,
    at: f64,
    disturbed_from: f64,
) -> f64 {
    match disturbance {
        Disturbance::Burst
            if class == 1
                && at >= disturbed_from
                && at < disturbed_from + BURST_DURATION.as_secs_f64() =>
        {
            4.0
        }
        Disturbance::Flood if account == 3 && at >= disturbed_from => 6.0,
        _ => 1.0,
    }
}

fn draw_request(rng: &mut Pcg32, at: f64, class: usize, account: usize) -> Request {
    // Token counts follow a clamped exponential distribution: many are short, some are long, as for
    // outputs whose length is not known in advance.
    let exponential = |rng: &mut Pcg32, mean: u64| {
        let draw = -(1.0 - rng.random::<f64>()).ln() * mean as f64;
        (draw as u64).clamp(mean / 10, mean * 6)
    };
    Request {
        sent_at: Tick::default() + Duration::from_secs_f64(at),
        class,
        account,
        input_tokens: exponential(rng, MEAN_INPUT),
        output_tokens: exponential(rng, MEAN_OUTPUT),
        prefix_hash: account as u64 * PREFIXES_PER_ACCOUNT
            + rng.random_range(0..PREFIXES_PER_ACCOUNT),
    }
}
