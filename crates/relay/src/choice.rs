//! The choice among endpoints.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::lane::READ_PER_MS;

/// What each running request adds to an engine's step, in milliseconds, as the users' site files
/// give it.
const STEP_MS: f64 = 0.121;
/// Steps that a request is delayed by its neighbours before its first token.
const STEPS: f64 = 20.0;
/// What a place that is taken costs a plain request, in milliseconds of work.
const WORK_MS: f64 = 20.0;
/// A failing endpoint counts as this much slower, in milliseconds at a share of 1.
const FAILING_MS: f64 = 1500.0;
/// A request that waits for more than its target counts as this much, in milliseconds.
const OVERDUE_MS: f64 = 150.0;

/// What is known of one candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Requests there, from all fronts.
    pub busy: f64,
    /// Requests it works on at once.
    pub slots: f64,
    /// Prompt tokens to be read before this request's answer begins; none for plain requests.
    pub tokens: Option<f64>,
    /// What it costs that another endpoint is the better place for the prompt, in milliseconds.
    pub place: f64,
    /// What other requests there make this one wait, in milliseconds.
    pub delay: f64,
    /// Requests of this front there that are past their target.
    pub overdue: f64,
    /// The share of attempts that failed lately.
    pub failing: f64,
    /// What reaching it costs beyond the own zone.
    pub distance: Duration,
}

/// Chooses among candidates.
pub trait Choice {
    /// The index of the chosen candidate; none if there is none.
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize>;
}

/// Takes the least predicted time to the first of the answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted;

impl Predicted {
    fn cost(of: &Estimate) -> f64 {
        let slots = of.slots.max(1.0);
        let over = (of.busy + 1.0 - slots).max(0.0);
        let work = match of.tokens {
            Some(tokens) => tokens / READ_PER_MS + of.busy * STEP_MS * STEPS + over * 20.0,
            None => of.busy / slots * WORK_MS + over / slots * WORK_MS * 2.0,
        };
        work + of.place
            + of.delay
            + of.overdue * OVERDUE_MS
            + of.failing * FAILING_MS
            + of.distance.as_secs_f64() * 1000.0
    }
}

impl Choice for Predicted {
    fn choose(&mut self, candidates: &[Estimate], rng: &mut Pcg32) -> Option<usize> {
        // Half a millisecond of noise spreads fronts that see equal candidates.
        let cost = |of: &Estimate, rng: &mut Pcg32| Self::cost(of) + rng.random_range(0.0..0.5);
        let costs = candidates.iter().map(|of| cost(of, rng));
        let best = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(at, _)| at)
    }
}
