//! Counters and latency histograms as text.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use ids::millis;
use obs::Counters;

/// Upper bounds of the histograms' buckets, in milliseconds: from below a target to past a
/// deadline.
const BOUNDS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 300, 500, 1000, 2000, 4000, 12_000];

/// A stage of a request whose time is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// From the first byte of a request to the first event of its stream.
    First,
    /// From the first byte of a request to the end of its answer.
    Whole,
}

const STAGES: [(Stage, &str); 2] = [(Stage::First, "first"), (Stage::Whole, "whole")];

#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BOUNDS_MS.len() + 1],
    millis: AtomicU64,
}

/// The histograms of one front. Clones count together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics(Arc<[Histogram; STAGES.len()]>);

impl Metrics {
    /// Notes how long a stage took.
    pub(crate) fn observe(&self, stage: Stage, spent: Duration) {
        let millis = millis(spent);
        let at = BOUNDS_MS.partition_point(|bound| *bound < millis);
        let histogram = &self.0[stage as usize];
        histogram.buckets[at].fetch_add(1, Ordering::Relaxed);
        histogram.millis.fetch_add(millis, Ordering::Relaxed);
    }

    /// All counters and histograms, one value a line.
    pub(crate) fn text(&self, counters: &Counters) -> String {
        let mut text = String::new();
        for (name, count) in counters.all() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "berg_{} {count}", name.replace('.', "_"));
        }
        for (stage, name) in STAGES {
            let histogram = &self.0[stage as usize];
            let mut sum = 0;
            for (bound, bucket) in BOUNDS_MS.iter().zip(&histogram.buckets) {
                sum += bucket.load(Ordering::Relaxed);
                let _ = writeln!(
                    text,
                    "berg_latency_{name}_ms_bucket{{le=\"{bound}\"}} {sum}"
                );
            }
            sum += histogram.buckets[BOUNDS_MS.len()].load(Ordering::Relaxed);
            let total = histogram.millis.load(Ordering::Relaxed);
            let _ = writeln!(text, "berg_latency_{name}_ms_bucket{{le=\"+Inf\"}} {sum}");
            let _ = writeln!(text, "berg_latency_{name}_ms_sum {total}");
            let _ = writeln!(text, "berg_latency_{name}_ms_count {sum}");
        }
        text
    }
}
