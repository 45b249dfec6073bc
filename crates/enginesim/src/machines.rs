//! What happens at the engines' machines during a run: disturbances, other workloads, and samples of
//! the load.

use std::time::Duration;

use ids::Tick;
use rand::RngExt;
use rand_pcg::Pcg32;
use relay::{
    Balancer,
    Failure,
    Input, //
};

use crate::deployment::{
    START_TIME,
    ZONES,
    endpoint_info,
    network_delay, //
};
use crate::disturbance::Disturbance;
use crate::simulation::{
    Event,
    Simulation, //
};

/// Delay until fronts receive the endpoint list that shows a crash or a restart.
const LIST_DELAY: Duration = Duration::from_millis(1400);
/// Factor on the step duration of a slow engine.
const SLOWDOWN: f64 = 4.0;
/// Mean time between two changes of the load of a machine's other workloads.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the changes after which the other workloads of a machine are busy.
const BUSY_SHARE: f64 = 0.25;

/// Draws the slowdown that a machine's other workloads cause until their next change.
fn draw_slowdown(rng: &mut Pcg32) -> f64 {
    if rng.random_bool(BUSY_SHARE) {
        rng.random_range(1.2..2.2)
    } else {
        rng.random_range(0.8..1.2)
    }
}

impl<C: Balancer + Copy> Simulation<C> {
    /// Schedules the first changes of the machines' other workloads.
    pub(crate) fn start_neighbors(&mut self) {
        if self.options.workload.has_neighbors() {
            (0..self.engines.len()).for_each(|engine| self.change_neighbors(engine));
        }
    }

    /// Changes the load of the other workloads of an engine's machine.
    pub(crate) fn change_neighbors(&mut self, engine: usize) {
        self.engines[engine].neighbors = draw_slowdown(&mut self.rng);
        let wait = -self.rng.random_range(f64::EPSILON..1.0).ln();
        self.schedule_within_run(
            CHANGE_INTERVAL.mul_f64(wait),
            Event::NeighborsChanged(engine),
        );
    }

    /// Samples the load of all engines at each sampling time up to `until`. Samples are no events: they
    /// leave the numbers of events, and thereby the prompts, as they are.
    pub(crate) fn sample_until(&mut self, until: Tick) {
        let end = until.min(START_TIME + self.options.duration);
        while self.sampler.next_at <= end {
            let spread = self.sampler.sample(&self.engines);
            self.metrics.spread.extend(spread);
        }
    }

    /// Schedules an event unless clients have stopped sending requests by then.
    fn schedule_within_run(&mut self, after: Duration, event: Event) {
        if self.now.since(START_TIME) + after < self.options.duration {
            self.schedule(after, event);
        }
    }

    pub(crate) fn set_disturbance(&mut self, active: bool) {
        let factor = self.options.workload.burst_factor();
        match self.options.disturbance {
            Disturbance::None => {}
            Disturbance::Burst | Disturbance::ShortBurst => {
                self.burst_factor = if active { factor } else { 1.0 }
            }
            Disturbance::Slow => self.engines[0].slowdown = if active { SLOWDOWN } else { 1.0 },
            Disturbance::Crash => {
                for engine in 0..ZONES {
                    self.available[engine] = !active;
                    self.crash(engine);
                }
                self.schedule(LIST_DELAY, Event::EndpointsChanged);
            }
        }
    }

    /// Crashes an engine; its requests fail at their fronts.
    fn crash(&mut self, engine: usize) {
        for call in self.engines[engine].crash() {
            let Some((request, _)) = self.calls[call].attempt else {
                continue;
            };
            let delay = network_delay(self.calls[call].front, engine);
            self.schedule(delay, Event::AttemptFailed(call, request, Failure::Broken));
        }
    }

    /// Sends the list of available engines to all fronts.
    pub(crate) fn publish_endpoints(&mut self) {
        let endpoints: Vec<_> = (0..self.engines.len())
            .filter(|n| self.available[*n])
            .map(|n| endpoint_info(self.options.workload, n, self.now))
            .collect();
        (0..self.fronts.len())
            .for_each(|front| self.step_front(front, Input::Endpoints(endpoints.clone())));
    }
}
