//! Counters and latency histograms in the text format of Prometheus.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use ids::millis;
use obs::Counters;

/// Upper bounds of the histograms' buckets, in milliseconds. They range from below the usual
/// latency targets to above the usual deadlines.
const BOUNDS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 300, 500, 1000, 2000, 4000, 12_000];

/// A stage of a request whose latency is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// From the first byte of a request to the first event of its stream.
    FirstEvent,
    /// From the first byte of a request to the end of its response.
    Complete,
}

const STAGES: [(Stage, &str); 2] = [(Stage::FirstEvent, "first"), (Stage::Complete, "whole")];

/// A latency histogram. The last bucket counts values above all bounds.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

/// The histograms of one front. Clones share their values.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics(Arc<[Histogram; STAGES.len()]>);

impl Metrics {
    /// Records how long a stage took.
    pub(crate) fn observe(&self, stage: Stage, elapsed: Duration) {
        let elapsed_ms = millis(elapsed);
        let index = BOUNDS_MS.partition_point(|bound| *bound < elapsed_ms);
        let histogram = &self.0[stage as usize];
        histogram.buckets[index].fetch_add(1, Ordering::Relaxed);
        histogram.sum_ms.fetch_add(elapsed_ms, Ordering::Relaxed);
    }

    /// All counters and histograms, one value per line.
    pub(crate) fn text(&self, counters: &Counters) -> String {
        let mut text = String::new();
        for (name, count) in counters.all() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "berg_{} {count}", name.replace('.', "_"));
        }
        for (stage, name) in STAGES {
            let histogram = &self.0[stage as usize];
            let mut count = 0;
            for (bound, bucket) in BOUNDS_MS.iter().zip(&histogram.buckets) {
                count += bucket.load(Ordering::Relaxed);
                let _ = writeln!(
                    text,
                    "berg_latency_{name}_ms_bucket{{le=\"{bound}\"}} {count}"
                );
            }
            count += histogram.buckets[BOUNDS_MS.len()].load(Ordering::Relaxed);
            let sum_ms = histogram.sum_ms.load(Ordering::Relaxed);
            let _ = writeln!(text, "berg_latency_{name}_ms_bucket{{le=\"+Inf\"}} {count}");
            let _ = writeln!(text, "berg_latency_{name}_ms_sum {sum_ms}");
            let _ = writeln!(text, "berg_latency_{name}_ms_count {count}");
        }
        text
    }
}
