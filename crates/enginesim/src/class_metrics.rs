//! The results of the requests of one class.

use std::time::Duration;

use crate::call::{
    Call,
    Outcome, //
};
use crate::traffic::Class;

/// The results of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassMetrics {
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests completed in time, without too long a pause.
    pub on_time: usize,
    /// Requests that a front rejected.
    pub rejected: usize,
    /// Requests that reached the client's timeout or broke off.
    pub failed: usize,
    /// Requests whose response started.
    pub streams: usize,
    /// Streams with a pause above the limit of the class.
    pub paused: usize,
    /// The longest pause of each stream.
    pub longest_pauses: Vec<Duration>,
    /// Time that engines spent on the requests, in milliseconds.
    pub work_ms: f64,
    /// The part of `work_ms` spent on requests that were not served on time.
    pub wasted_ms: f64,
}

impl ClassMetrics {
    pub(crate) fn record(&mut self, class: &Class, call: &Call) {
        self.requests += 1;
        self.work_ms += call.work_ms;
        match call.outcome {
            Some(Outcome::OnTime) => self.on_time += 1,
            Some(Outcome::Rejected) => self.rejected += 1,
            Some(Outcome::Failed) => self.failed += 1,
            Some(Outcome::Late) | None => {}
        }
        if call.outcome != Some(Outcome::OnTime) {
            self.wasted_ms += call.work_ms;
        }
        if call.event_times.is_some() {
            self.streams += 1;
            self.paused += usize::from(call.longest_pause > class.event_gap);
            self.longest_pauses.push(call.longest_pause);
        }
    }

    /// Returns the share of streams that are late by a pause.
    pub fn pause_share(&self) -> f64 {
        self.paused as f64 / self.streams.max(1) as f64
    }

    /// Divides a count by the number of requests.
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.requests.max(1) as f64
    }
}
