//! The results of a run: outcomes and latencies of its requests, recomputed tokens, network use.

use std::time::Duration;

use serde::Serialize;

use crate::class_metrics::ClassMetrics;
use crate::options::RunOptions;
use crate::spread::Spread;

/// The results of one run. Every request counts in one of `on_time`, `late`, `rejected` and
/// `failed`.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Requests that clients sent.
    pub requests: usize,
    /// Completed requests whose first event met the latency target and whose pauses between
    /// events stayed within the limit of their class.
    pub on_time: usize,
    /// Other completed requests.
    pub late: usize,
    /// Requests that a front rejected.
    pub rejected: usize,
    /// Requests whose stream broke off, for which a front passed an endpoint's failure through, or
    /// that were incomplete when the client's timeout expired.
    pub failed: usize,
    /// Times from a request to the first event of its response.
    pub first_event: Vec<Duration>,
    /// Tokens of shared prompt parts that an engine prefilled although some engine had prefilled
    /// the same part before.
    pub recomputed: u64,
    /// Bytes of request bodies sent to engines in other zones.
    pub transferred_bytes: u64,
    /// Times that an engine returned a running request to its queue because its memory was full.
    pub preempted: usize,
    /// Results by class, the least urgent one first.
    pub classes: [ClassMetrics; 3],
    /// Distribution of in-flight requests over the engines, for each second of the run.
    pub spread: Vec<Spread>,
}

impl Metrics {
    /// Returns a percentile of the times to the first event, in milliseconds; 0 without any response.
    pub fn first_event_ms(&self, percent: usize) -> f64 {
        let mut times = self.first_event.clone();
        times.sort_unstable();
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times
            .get(index)
            .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }

    /// Returns the share of the engines' time that was spent on requests not served on time.
    pub fn wasted_share(&self) -> f64 {
        let sum = |value: fn(&ClassMetrics) -> f64| self.classes.iter().map(value).sum::<f64>();
        sum(|class| class.wasted_ms) / sum(|class| class.work_ms).max(1.0)
    }

    /// Returns the mean over all seconds of a value of the distribution over the engines.
    pub fn mean_spread(&self, value: fn(&Spread) -> f64) -> f64 {
        self.spread.iter().map(value).sum::<f64>() / self.spread.len().max(1) as f64
    }

    /// Divides a count by the number of requests.
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.requests.max(1) as f64
    }
}

/// One row of the CSV file and of the printed table. Columns keep their published names.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The name of the workload.
    pub workload: String,
    /// Load as a multiple of the first users' workload.
    pub load: f64,
    /// The name of the disturbance.
    #[serde(rename = "trouble")]
    pub disturbance: String,
    /// The name of the balancing policy.
    pub policy: String,
    /// Share of requests completed on time.
    #[serde(rename = "in_aim")]
    pub on_time: f64,
    /// Share of requests completed late.
    pub late: f64,
    /// Share of requests rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Share of requests failed.
    pub failed: f64,
    /// Median time to the first event of a response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to the first event of a response, in milliseconds.
    pub p99_ms: f64,
    /// Tokens of shared prompt parts prefilled again, in thousands per second.
    #[serde(rename = "again_k_s")]
    pub recomputed_rate: f64,
    /// Request bodies sent to engines in other zones, in megabytes per second.
    #[serde(rename = "between_mb_s")]
    pub transfer_rate: f64,
    /// Share of the streams of the least urgent class that are late by a pause.
    pub pause_long: f64,
    /// The same of the middle class.
    pub pause_middle: f64,
    /// The same of the most urgent class.
    pub pause_short: f64,
    /// Share of the engines' time spent on requests not served on time.
    pub wasted: f64,
    /// In-flight requests of the busiest engine over the mean of all engines, mean of all seconds.
    pub busiest: f64,
    /// Share of engines idle while requests wait at others, mean of all seconds.
    pub idle: f64,
    /// Preempted requests per second.
    pub preempted_s: f64,
}

impl Row {
    /// The column headings of [`Row::cells`].
    pub const HEADS: [&str; 19] = [
        "workload",
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
        "gap long",
        "gap mid",
        "gap short",
        "wasted",
        "busiest",
        "idle",
        "preempt/s",
    ];

    /// Computes the row of a run.
    pub fn new(options: &RunOptions, metrics: &Metrics) -> Self {
        let seconds = options.duration.as_secs_f64();
        Self {
            workload: options.workload.name().to_owned(),
            load: options.load,
            disturbance: options.disturbance.name().to_owned(),
            policy: options.policy.name().to_owned(),
            on_time: metrics.share(metrics.on_time),
            late: metrics.share(metrics.late),
            rejected: metrics.share(metrics.rejected),
            failed: metrics.share(metrics.failed),
            p50_ms: metrics.first_event_ms(50),
            p99_ms: metrics.first_event_ms(99),
            recomputed_rate: metrics.recomputed as f64 / 1000.0 / seconds,
            transfer_rate: metrics.transferred_bytes as f64 / 1_000_000.0 / seconds,
            pause_long: metrics.classes[0].pause_share(),
            pause_middle: metrics.classes[1].pause_share(),
            pause_short: metrics.classes[2].pause_share(),
            wasted: metrics.wasted_share(),
            busiest: metrics.mean_spread(|spread| spread.busiest),
            idle: metrics.mean_spread(|spread| spread.idle),
            preempted_s: metrics.preempted as f64 / seconds,
        }
    }

    /// Formats the fields, in their order.
    pub fn cells(&self) -> [String; 19] {
        [
            self.workload.clone(),
            self.load.to_string(),
            self.disturbance.clone(),
            self.policy.clone(),
            format!("{:.3}", self.on_time),
            format!("{:.3}", self.late),
            format!("{:.3}", self.rejected),
            format!("{:.3}", self.failed),
            format!("{:.0}", self.p50_ms),
            format!("{:.0}", self.p99_ms),
            format!("{:.1}", self.recomputed_rate),
            format!("{:.2}", self.transfer_rate),
            format!("{:.3}", self.pause_long),
            format!("{:.3}", self.pause_middle),
            format!("{:.3}", self.pause_short),
            format!("{:.3}", self.wasted),
            format!("{:.2}", self.busiest),
            format!("{:.3}", self.idle),
            format!("{:.2}", self.preempted_s),
        ]
    }
}
