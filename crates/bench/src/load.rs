//! The load: seeded arrivals by class and account.

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

/// Client accounts, the first three of them large.
pub(crate) const ACCOUNTS: usize = 10;
/// Requests of the accounts, in percent.
const SHARES: [u32; ACCOUNTS] = [25, 20, 15, 10, 8, 6, 5, 4, 4, 3];
/// Prompt beginnings that an account uses.
const PREFIXES: u64 = 6;
/// How long a burst of one class lasts.
const BURST: Duration = Duration::from_secs(10);

/// One request of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    pub(crate) at: Tick,
    pub(crate) class: usize,
    pub(crate) account: usize,
    pub(crate) input: u64,
    pub(crate) output: u64,
    pub(crate) prefix: u64,
}

/// All requests of a run, in the order of their arrival.
pub(crate) fn arrivals(
    site: Site,
    disturbance: Disturbance,
    factor: f64,
    length: Duration,
    seed: u64,
) -> Vec<Ask> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let begin = length.as_secs_f64() / 3.0;
    let mut asks = Vec::new();
    for (class, (_, _, share, _, _)) in site.classes().iter().enumerate() {
        for (account, part) in SHARES.iter().enumerate() {
            let share = f64::from(*share) * f64::from(*part) / 10_000.0;
            let rate = site.capacity() * factor * share;
            let mut at = 0.0;
            loop {
                let times = boost(disturbance, class, account, at, begin);
                at += -(1.0 - rng.random::<f64>()).ln() / (rate * times);
                if at >= length.as_secs_f64() {
                    break;
                }
                asks.push(ask(&mut rng, at, class, account));
            }
        }
    }
    asks.sort_by_key(|ask| ask.at);
    asks
}

/// How many times the usual load an account sends in a class at a moment.
fn boost(disturbance: Disturbance, class: usize, account: usize, at: f64, begin: f64) -> f64 {
    match disturbance {
        Disturbance::Burst if class == 1 && at >= begin && at < begin + BURST.as_secs_f64() => 4.0,
        Disturbance::Flood if account == 3 && at >= begin => 6.0,
        _ => 1.0,
    }
}

fn ask(rng: &mut Pcg32, at: f64, class: usize, account: usize) -> Ask {
    // Exponential lengths: the output length is not known beforehand, and some are long.
    let spread = |rng: &mut Pcg32, mean: u64| {
        let draw = -(1.0 - rng.random::<f64>()).ln() * mean as f64;
        (draw as u64).clamp(mean / 10, mean * 6)
    };
    Ask {
        at: Tick::default() + Duration::from_secs_f64(at),
        class,
        account,
        input: spread(rng, MEAN_INPUT),
        output: spread(rng, MEAN_OUTPUT),
        prefix: account as u64 * PREFIXES + rng.random_range(0..PREFIXES),
    }
}
