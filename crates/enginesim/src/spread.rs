//! The distribution of in-flight requests over the engines, sampled during a run.

use std::time::Duration;

use ids::Tick;

use crate::engine::Engine;

/// Samples in one second.
const SAMPLES_PER_SECOND: usize = 10;
/// Time between two samples.
const INTERVAL: Duration = Duration::from_millis(100);

/// The distribution of in-flight requests over the engines in one second.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// In-flight requests of the busiest engine, divided by the mean of all engines.
    pub busiest: f64,
    /// Share of engines without any request while a request waits at another engine.
    pub idle: f64,
}

/// The samples of the current second.
#[derive(Clone, Debug)]
pub(crate) struct Sampler {
    /// The time of the next sample.
    pub(crate) next_at: Tick,
    samples: usize,
    inflight: Vec<u64>,
    idle: usize,
}

impl Sampler {
    pub(crate) fn new(start: Tick) -> Self {
        Self {
            next_at: start + INTERVAL,
            samples: 0,
            inflight: Vec::new(),
            idle: 0,
        }
    }

    /// Adds a sample. Returns the distribution after the last sample of each second.
    pub(crate) fn sample(&mut self, engines: &[Engine]) -> Option<Spread> {
        self.inflight.resize(engines.len(), 0);
        let loads = engines.iter().map(Engine::load);
        for (sum, load) in self.inflight.iter_mut().zip(loads) {
            *sum += u64::from(load.running + load.waiting);
        }
        if engines.iter().any(|engine| engine.load().waiting > 0) {
            self.idle += engines.iter().filter(|engine| !engine.has_work()).count();
        }
        self.samples += 1;
        self.next_at = self.next_at + INTERVAL;
        if self.samples < SAMPLES_PER_SECOND {
            return None;
        }
        let (inflight, idle) = (
            std::mem::take(&mut self.inflight),
            std::mem::take(&mut self.idle),
        );
        self.samples = 0;
        let mean = inflight.iter().sum::<u64>() as f64 / engines.len() as f64;
        let busiest = inflight.into_iter().max().unwrap_or_default() as f64;
        Some(Spread {
            busiest: if mean > 0.0 { busiest / mean } else { 1.0 },
            idle: idle as f64 / (SAMPLES_PER_SECOND * engines.len()) as f64,
        })
    }
}
