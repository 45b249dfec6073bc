//! What is typical of the endpoints in one lane of a service. A front that shares many endpoints
//! with many other fronts sends too few requests to each endpoint to know its load. It expects of an
//! endpoint that it has not used recently what it has observed at the others.

use std::time::Duration;

use ids::Tick;

/// Weight of one observation against the average of the earlier ones.
const WEIGHT: f64 = 0.15;
/// Age of the latest observation at which the average no longer counts; its weight falls linearly
/// until then.
const LIFETIME: Duration = Duration::from_millis(1500);

/// A moving average whose weight falls with the age of its latest observation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FadingAverage {
    average: f64,
    updated_at: Option<Tick>,
}

impl FadingAverage {
    pub(crate) fn record(&mut self, now: Tick, value: f64) {
        let previous = self.value(now);
        self.average = previous + (value - previous) * WEIGHT;
        self.updated_at = Some(now);
    }

    pub(crate) fn value(&self, now: Tick) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.since(updated_at).as_secs_f64() / LIFETIME.as_secs_f64();
        self.average * (1.0 - age).max(0.0)
    }
}

/// The averages of one lane.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Typical {
    /// Time to the start of a response beyond prefill, in milliseconds.
    delay: FadingAverage,
    /// Requests of other fronts in flight at one endpoint.
    others: FadingAverage,
}

/// The values of a [`Typical`] at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TypicalValues {
    /// Time to the start of a response beyond prefill, in milliseconds.
    pub(crate) delay: f64,
    /// Requests of other fronts in flight at one endpoint.
    pub(crate) others: f64,
}

impl Typical {
    /// Records the delay of a response, and how many requests of other fronts its endpoint reported.
    pub(crate) fn record(&mut self, now: Tick, delay: f64, others: Option<f64>) {
        self.delay.record(now, delay);
        if let Some(others) = others {
            self.others.record(now, others);
        }
    }

    pub(crate) fn values(&self, now: Tick) -> TypicalValues {
        TypicalValues {
            delay: self.delay.value(now),
            others: self.others.value(now),
        }
    }
}
