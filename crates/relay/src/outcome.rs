//! Outcomes of attempts, by side and route of a rollout.

use std::collections::BTreeMap;

use ids::Tick;
use rollout::{
    Outcomes,
    RouteTally,
    Tally, //
};

use crate::exposure::{
    ServiceVersions,
    Side, //
};
use crate::message::{
    Failure,
    Prompt, //
};
use crate::request::Request;
use crate::speed::Speed;

/// Multiple of the typical time above which a start or a completion is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Observations before a typical time is known.
const MIN_OBSERVATIONS: u32 = 5;
/// The quantiles of the times of the old side that count as typical. Starts vary more: a short prompt
/// may wait for the prefill of a long one, which is more frequent on the few engines of a new version.
const START_QUANTILE: f64 = 0.98;
const COMPLETE_QUANTILE: f64 = 0.9;
/// Smallest step of the typical time for one observation, as a share of it. Larger steps make it
/// follow a short burst.
const MIN_STEP: f64 = 0.1;

/// What happened to the current attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The response started.
    Started,
    /// The attempt failed.
    Failed(Failure),
    /// The response is complete.
    Completed,
    /// The endpoint rejected the request.
    Declined,
    /// The caller disconnected, or the response was aborted.
    Cancelled,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// The version of the endpoint, which the listing may omit by the time of the outcome.
    pub(crate) version: String,
    /// The order in whose tally the outcome counts.
    pub(crate) order: Option<u64>,
    pub(crate) side: Side,
    /// Prompt tokens that the endpoint is expected to prefill. An old endpoint's cache holds what
    /// other prompts share, also by requests of other fronts; a new one starts with an empty cache.
    tokens: u64,
    started: bool,
    /// Whether the attempt has been counted as slow.
    slow: bool,
    /// Whether the attempt resumes a stream, whose remainder takes less time than the whole.
    resumed: bool,
}

impl Flight {
    pub(crate) fn new(version: &str, side: Side, request: &Request) -> Self {
        let unique = request.prompt.as_ref().map_or(0, Prompt::unique_tokens);
        Self {
            version: version.to_owned(),
            order: None,
            side,
            tokens: match side {
                Side::Old => unique,
                Side::New => request.pending_tokens,
            },
            started: false,
            slow: false,
            resumed: request.trial.pinned.is_some(),
        }
    }
}

/// A running estimate of the upper end of the usual times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    value: f64,
    observations: u32,
}

impl Usual {
    fn record(&mut self, value: f64, quantile: f64) {
        self.observations = self.observations.saturating_add(1);
        if self.observations == 1 {
            self.value = value;
            return;
        }
        let step = MIN_STEP.max(1.0 / f64::from(self.observations));
        let direction = if value > self.value {
            quantile
        } else {
            quantile - 1.0
        };
        self.value *= (step * direction).exp();
    }

    /// Whether a time is slow compared with the usual ones.
    fn exceeded_by(&self, value: f64) -> bool {
        self.observations >= MIN_OBSERVATIONS && value > self.value * SLOW_FACTOR
    }
}

/// Typical times of the old side at one route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteTimes {
    /// Time to the start of the response, as a multiple of the expected one.
    start: Usual,
    /// Time to the end of the response, in milliseconds.
    complete: Usual,
}

/// The outcomes of one order by route: those of the old and of the new side.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tallies(BTreeMap<String, [Outcomes; 2]>);

impl Tallies {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn outcomes(&mut self, route: &str, side: Side) -> &mut Outcomes {
        if !self.0.contains_key(route) {
            self.0.insert(route.to_owned(), Default::default());
        }
        let sides = self.0.entry(route.to_owned()).or_default();
        &mut sides[usize::from(side == Side::New)]
    }

    pub(crate) fn report(&self, id: u64) -> Tally {
        let routes = self.0.iter().map(|(route, [old, new])| RouteTally {
            route: route.clone(),
            old: *old,
            new: *new,
        });
        Tally {
            id,
            routes: routes.collect(),
        }
    }
}

impl ServiceVersions {
    /// Counts what happened to a request's current attempt.
    pub(crate) fn observe(
        &mut self,
        now: Tick,
        request: &mut Request,
        route: &str,
        speed: &Speed,
        progress: Progress,
    ) {
        let elapsed_ms = request.elapsed_ms(now);
        let Some(flight) = &mut request.trial.flight else {
            return;
        };
        if !self.times.contains_key(route) {
            self.times.insert(route.to_owned(), RouteTimes::default());
        }
        let times = self.times.entry(route.to_owned()).or_default();
        let expected_ms = speed.base_ms() + speed.prefill_ms(flight.tokens);
        let ratio = elapsed_ms / expected_ms;
        let mut outcomes = Outcomes::default();
        let slow = match progress {
            Progress::Started if flight.started => return,
            Progress::Started => {
                flight.started = true;
                outcomes.started = 1;
                outcomes.start_ms = ratio;
                times.start.exceeded_by(ratio)
            }
            Progress::Completed if !flight.resumed => times.complete.exceeded_by(elapsed_ms),
            Progress::Cancelled if !flight.started => times.start.exceeded_by(ratio),
            Progress::Cancelled if !flight.resumed => times.complete.exceeded_by(elapsed_ms),
            Progress::Failed(failure) => {
                outcomes.failed = u64::from(!failure.not_executed());
                false
            }
            _ => false,
        };
        if slow && !std::mem::replace(&mut flight.slow, true) {
            outcomes.slow = 1;
        }
        if flight.side == Side::Old {
            match progress {
                Progress::Started => times.start.record(ratio, START_QUANTILE),
                Progress::Completed if !flight.resumed => {
                    times.complete.record(elapsed_ms, COMPLETE_QUANTILE)
                }
                _ => {}
            }
        }
        let rollout = self.rollout.as_mut().filter(|rollout| rollout.counts(now));
        if let Some(rollout) = rollout.filter(|r| Some(r.stage.id) == flight.order) {
            rollout.tallies.outcomes(route, flight.side).add(&outcomes);
        }
        if progress != Progress::Started {
            request.trial.flight = None;
        }
    }
}
