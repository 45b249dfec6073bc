//! The health of endpoints as observed by an entry: the load that each agent reports, the entry's
//! own attempts in flight, and outlier ejection after failures.

use std::time::Duration;

use ids::{
    Incarnation,
    Tick,
    Tier, //
};

/// The load that an agent reports with each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// Number of running and queued requests, by tier.
    pub busy: [u32; Tier::COUNT],
    /// The agent's current limit on concurrent requests.
    pub limit: u32,
}

/// Number of consecutive failures after which an endpoint is ejected.
const EJECT_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further ejection.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long this entry sends no requests of the rejected tier or lower ones to an endpoint that
/// rejected a request for lack of capacity.
const REJECTION_PAUSE: Duration = Duration::from_millis(100);
/// Age at which a load report counts half; the weight halves again with each further half-life, so
/// that an endpoint with an old report gets requests again.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Load of a request of a lower tier, in thousandths of a request of the same tier.
const LOWER_TIER_LOAD_MILLI: u64 = 200;
/// Divisor that gives the weight of the newest time to first token in its moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// The health of one endpoint as observed by this entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    report: LoadReport,
    reported_at: Tick,
    /// This entry's attempts in flight, by tier.
    own: [u32; Tier::COUNT],
    /// This entry's attempts in flight when the last report arrived. The report includes them, so
    /// they must not be counted twice.
    own_reported: [u32; Tier::COUNT],
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last complete response.
    ejections: u32,
    ejected_until: Tick,
    /// When a pause after a rejection ends, by tier.
    rejected_until: [Tick; Tier::COUNT],
    /// Moving average of the time to the first token; zero before the first response.
    first_token: Duration,
}

impl Health {
    pub(crate) fn record_dispatch(&mut self, tier: Tier) {
        self.own[tier.index()] += 1;
    }

    pub(crate) fn record_end(&mut self, tier: Tier) {
        let own = &mut self.own[tier.index()];
        *own = own.saturating_sub(1);
        let reported = &mut self.own_reported[tier.index()];
        *reported = (*reported).min(*own);
    }

    pub(crate) fn record_load(&mut self, now: Tick, report: LoadReport) {
        self.report = report;
        self.reported_at = now;
        self.own_reported = self.own;
    }

    pub(crate) fn record_first_token(&mut self, elapsed: Duration) {
        self.first_token = if self.first_token.is_zero() {
            elapsed
        } else {
            (self.first_token * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR
        };
    }

    /// The moving average of the time to the first token; zero before the first response.
    pub(crate) fn first_token_average(&self) -> Duration {
        self.first_token
    }

    /// Resets the failure and ejection counts after a complete response.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Pauses the endpoint for this tier after a rejection, and for the lower tiers, as an endpoint
    /// without capacity for this tier has none for them either.
    pub(crate) fn record_rejection(&mut self, now: Tick, tier: Tier) {
        for until in &mut self.rejected_until[tier.index()..] {
            *until = (*until).max(now + REJECTION_PAUSE);
        }
    }

    /// Records a failure. Returns whether this ejects the endpoint.
    pub(crate) fn record_failure(&mut self, now: Tick) -> bool {
        self.failures += 1;
        if self.failures < EJECT_FAILURES {
            return false;
        }
        // After an ejection ends, a single failure ejects the endpoint again.
        self.failures = EJECT_FAILURES - 1;
        let duration = BASE_EJECTION * 2u32.saturating_pow(self.ejections.min(10));
        self.ejections += 1;
        self.ejected_until = self.ejected_until.max(now + duration.min(MAX_EJECTION));
        true
    }

    /// Whether the endpoint is ejected, or paused for this tier.
    pub(crate) fn is_excluded(&self, now: Tick, tier: Tier) -> bool {
        now < self.ejected_until || now < self.rejected_until[tier.index()]
    }

    /// Requests that compete with a request of this tier at the endpoint, in thousandths of the
    /// endpoint's concurrency limit. Lower tiers count little, as they can be shed or preempted.
    pub(crate) fn load(&self, now: Tick, tier: Tier) -> u64 {
        let age = now.since(self.reported_at);
        let halvings = (age.as_millis() / REPORT_HALF_LIFE.as_millis()).min(31) as u32;
        let attempts = |n: usize| {
            let reported = u64::from(self.report.busy[n]) >> halvings;
            let own_reported = u64::from(self.own_reported[n]);
            let sent_since = u64::from(self.own[n]).saturating_sub(own_reported);
            reported.max(own_reported) + sent_since
        };
        let same_or_higher: u64 = (0..=tier.index()).map(attempts).sum();
        let lower: u64 = (tier.index() + 1..Tier::COUNT).map(attempts).sum();
        (same_or_higher * 1000 + lower * LOWER_TIER_LOAD_MILLI)
            / u64::from(self.report.limit.max(1))
    }
}
