//! One client's request and its state.

use std::time::Duration;

use ids::{
    RequestId,
    Tick, //
};
use relay::Prompt;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    OnTime,
    Late,
    Rejected,
    Failed,
}

/// A client's request and its state.
pub(crate) struct Call {
    pub(crate) class: usize,
    pub(crate) prompt: Prompt,
    pub(crate) front: usize,
    pub(crate) sent_at: Tick,
    /// The front's request identity and the engine of the current attempt.
    pub(crate) attempt: Option<(RequestId, usize)>,
    /// Arrival times of the first and the latest event of the response.
    pub(crate) event_times: Option<(Tick, Tick)>,
    /// The longest pause between two events.
    pub(crate) longest_pause: Duration,
    pub(crate) tokens: u64,
    /// Time that engines spent on the request, in milliseconds.
    pub(crate) work_ms: f64,
    /// The outcome; none until the request ends.
    pub(crate) outcome: Option<Outcome>,
}

impl Call {
    pub(crate) fn new(class: usize, prompt: Prompt, front: usize, sent_at: Tick) -> Self {
        Self {
            class,
            prompt,
            front,
            sent_at,
            attempt: None,
            event_times: None,
            longest_pause: Duration::ZERO,
            tokens: 0,
            work_ms: 0.0,
            outcome: None,
        }
    }

    pub(crate) fn finished(&self) -> bool {
        self.outcome.is_some()
    }

    /// Records a later event of the response, or the end of a response that has begun. A stream that
    /// ends during a pause thereby counts with this pause.
    pub(crate) fn record_event(&mut self, now: Tick) {
        if let Some((_, last_at)) = &mut self.event_times {
            self.longest_pause = self.longest_pause.max(now.since(*last_at));
            *last_at = now;
        }
    }

    pub(crate) fn end(&mut self, now: Tick, outcome: Outcome) {
        self.record_event(now);
        self.outcome = Some(outcome);
    }
}
