//! What an entry knows of an endpoint: what its agent says, corrected by what the entry sees.

use std::time::Duration;

use ids::{
    Incarnation,
    Tick,
    Tier, //
};

/// An agent's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The agent's run.
    pub incarnation: Incarnation,
    /// Requests at the engine and waiting, by tier.
    pub busy: [u32; Tier::COUNT],
    /// Requests the engine may have at once now.
    pub limit: u32,
}

/// Failures in a row after which an endpoint is left out.
const EJECT_AFTER: u32 = 3;
/// How long an endpoint is left out at first; doubles with each time.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest time an endpoint is left out.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// How long a bounced endpoint is passed over by this entry.
const BOUNCE_PAUSE: Duration = Duration::from_millis(100);
/// How long an agent's word holds; after that it fades to half with each further span.
const ADVERT_HOLDS: Duration = Duration::from_secs(2);
/// What a request of a lower tier adds to the load, in thousandths of a rival.
const LOWER_TIERS: u64 = 200;
/// Weight of the newest first-token time in its moving average, as a divisor.
const SMOOTHING: u32 = 8;

/// One endpoint as this entry knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    advert: LoadReport,
    heard: Tick,
    /// Own attempts under way, by tier.
    own: [u32; Tier::COUNT],
    /// Own attempts under way when the advert came, so that they are not counted twice.
    own_then: [u32; Tier::COUNT],
    failures: u32,
    ejections: u32,
    until: Tick,
    /// Until when each tier passes the endpoint over after a bounce.
    full: [Tick; Tier::COUNT],
    first: Duration,
}

impl Health {
    pub(crate) fn sent(&mut self, tier: Tier) {
        self.own[tier.index()] += 1;
    }

    pub(crate) fn ended(&mut self, tier: Tier) {
        let own = &mut self.own[tier.index()];
        *own = own.saturating_sub(1);
        let then = &mut self.own_then[tier.index()];
        *then = (*then).min(*own);
    }

    pub(crate) fn heard(&mut self, now: Tick, advert: LoadReport) {
        self.advert = advert;
        self.heard = now;
        self.own_then = self.own;
    }

    pub(crate) fn first_token(&mut self, took: Duration) {
        self.first = if self.first.is_zero() {
            took
        } else {
            (self.first * (SMOOTHING - 1) + took) / SMOOTHING
        };
    }

    /// The usual time to the first token; zero if none was seen.
    pub(crate) fn usual_first(&self) -> Duration {
        self.first
    }

    pub(crate) fn good(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Notes a bounce: there was no room for this tier, so there is none for lower ones.
    pub(crate) fn bounced(&mut self, now: Tick, tier: Tier) {
        for full in &mut self.full[tier.index()..] {
            *full = (*full).max(now + BOUNCE_PAUSE);
        }
    }

    /// Notes a failure. Returns whether the endpoint is left out because of it.
    pub(crate) fn failed(&mut self, now: Tick) -> bool {
        self.failures += 1;
        if self.failures < EJECT_AFTER {
            return false;
        }
        // One more failure is enough to leave it out again after its return.
        self.failures = EJECT_AFTER - 1;
        let span = EJECT_FIRST * 2u32.saturating_pow(self.ejections.min(10));
        self.ejections += 1;
        self.until = self.until.max(now + span.min(EJECT_MAX));
        true
    }

    pub(crate) fn is_out(&self, now: Tick, tier: Tier) -> bool {
        now < self.until || now < self.full[tier.index()]
    }

    /// Requests at the endpoint that a request of this tier would compete with, as a share of what
    /// the endpoint bears, in thousandths. Lower tiers count little: they give way.
    pub(crate) fn load(&self, now: Tick, tier: Tier) -> u64 {
        let age = now.since(self.heard);
        let halvings = (age.as_millis() / ADVERT_HOLDS.as_millis()).min(31) as u32;
        let busy = |n: usize| {
            let said = u64::from(self.advert.busy[n]) >> halvings;
            let then = u64::from(self.own_then[n]);
            let since = u64::from(self.own[n]).saturating_sub(then);
            said.max(then) + since
        };
        let rivals: u64 = (0..=tier.index()).map(busy).sum();
        let others: u64 = (tier.index() + 1..Tier::COUNT).map(busy).sum();
        (rivals * 1000 + others * LOWER_TIERS) / u64::from(self.advert.limit.max(1))
    }
}
