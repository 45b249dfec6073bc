//! Counters and latency histograms in the text format of Prometheus.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use ids::{
    Clock,
    Monotonic,
    millis, //
};
use obs::Counters;

use crate::listing::ListingTimes;

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

/// The metrics of one front. Clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    histograms: Arc<[Histogram; STAGES.len()]>,
    listing: ListingTimes,
    clock: Monotonic,
}

impl Metrics {
    pub(crate) fn new(listing: ListingTimes, clock: Monotonic) -> Self {
        Self {
            histograms: Arc::default(),
            listing,
            clock,
        }
    }

    /// Records how long a stage took.
    pub(crate) fn observe(&self, stage: Stage, elapsed: Duration) {
        let elapsed_ms = millis(elapsed);
        let index = BOUNDS_MS.partition_point(|bound| *bound < elapsed_ms);
        let histogram = &self.histograms[stage as usize];
        histogram.buckets[index].fetch_add(1, Ordering::Relaxed);
        histogram.sum_ms.fetch_add(elapsed_ms, Ordering::Relaxed);
    }

    /// All counters, the age of the listing in use and the histograms, one value per line.
    pub(crate) fn text(&self, counters: &Counters) -> String {
        let mut text = String::new();
        for (name, count) in counters.all() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "berg_{} {count}", name.replace('.', "_"));
        }
        if let Some(age) = self.listing.age(self.clock.now()) {
            let _ = writeln!(text, "berg_listing_age_ms {}", millis(age));
        }
        for (stage, name) in STAGES {
            let histogram = &self.histograms[stage as usize];
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

#[cfg(test)]
mod tests {
    use ids::Tick;

    use super::*;

    fn age_line(listing: &ListingTimes, clock: Monotonic) -> Option<u64> {
        let text = Metrics::new(listing.clone(), clock).text(&Counters::local());
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("berg_listing_age_ms "));
        line.map(|age| age.parse().unwrap())
    }

    case::cases! {
        // A listing that stood still was visible in a log line at its beginning only.
        age_of_the_listing_is_shown_once_there_is_one: {
            let (listing, clock) = (ListingTimes::default(), Monotonic::start());
            assert_eq!(age_line(&listing, clock), None);
            listing.record_supplied(clock.now() + Duration::from_micros(1));
            assert!(age_line(&listing, clock).is_some());
        };
        older_listing_does_not_replace_the_age: {
            let listing = ListingTimes::default();
            listing.record_supplied(Tick(5_000_000));
            listing.record_supplied(Tick(2_000_000));
            assert_eq!(listing.age(Tick(7_000_000)), Some(Duration::from_secs(2)));
        };
    }
}
