//! What became of the requests of a run.

use std::time::Duration;

use serde::Serialize;

use crate::options::RunOptions;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Requests.
    pub requests: usize,
    /// Answered whole, begun within the target and without a longer pause than allowed.
    pub in_aim: usize,
    /// Answered whole otherwise.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Broken off, or not whole when the caller left.
    pub failed: usize,
    /// Times to the first of the answer.
    pub first: Vec<Duration>,
    /// Tokens of shared parts that were read again.
    pub again: u64,
    /// Bytes to and from other zones.
    pub bytes: u64,
}

impl Metrics {
    /// A percentile of the times to the first of the answer, in milliseconds.
    pub fn first_ms(&self, percent: usize) -> f64 {
        let mut first = self.first.clone();
        first.sort_unstable();
        let at = (first.len() * percent / 100).min(first.len().saturating_sub(1));
        first
            .get(at)
            .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }

    /// A count as a share of the requests.
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.requests.max(1) as f64
    }
}

/// One line of the table.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Load as a multiple of the sheet's.
    pub load: f64,
    /// The disturbance.
    #[serde(rename = "trouble")]
    pub disturbance: String,
    /// The choice of endpoint.
    pub policy: String,
    /// Share answered in aim.
    pub in_aim: f64,
    /// Share answered late.
    pub late: f64,
    /// Share refused.
    pub refused: f64,
    /// Share failed.
    pub failed: f64,
    /// Median time to the first of the answer, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of it, in milliseconds.
    pub p99_ms: f64,
    /// Thousands of tokens of shared parts read again, each second.
    pub again_k_s: f64,
    /// Megabytes to and from other zones, each second.
    pub between_mb_s: f64,
}

impl Row {
    /// The heads of [`Row::cells`].
    pub const HEADS: [&str; 11] = [
        "load",
        "trouble",
        "policy",
        "in aim",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "again k/s",
        "zones MB/s",
    ];

    /// The figures of a run.
    pub fn new(options: &RunOptions, metrics: &Metrics) -> Self {
        let seconds = options.duration.as_secs_f64();
        Self {
            load: options.load,
            disturbance: options.disturbance.name().to_owned(),
            policy: options.policy.name().to_owned(),
            in_aim: metrics.share(metrics.in_aim),
            late: metrics.share(metrics.late),
            refused: metrics.share(metrics.refused),
            failed: metrics.share(metrics.failed),
            p50_ms: metrics.first_ms(50),
            p99_ms: metrics.first_ms(99),
            again_k_s: metrics.again as f64 / 1000.0 / seconds,
            between_mb_s: metrics.bytes as f64 / 1_000_000.0 / seconds,
        }
    }

    /// The figures as text, in the order of the fields.
    pub fn cells(&self) -> [String; 11] {
        [
            self.load.to_string(),
            self.disturbance.clone(),
            self.policy.clone(),
            format!("{:.3}", self.in_aim),
            format!("{:.3}", self.late),
            format!("{:.3}", self.refused),
            format!("{:.3}", self.failed),
            format!("{:.0}", self.p50_ms),
            format!("{:.0}", self.p99_ms),
            format!("{:.1}", self.again_k_s),
            format!("{:.2}", self.between_mb_s),
        ]
    }
}
