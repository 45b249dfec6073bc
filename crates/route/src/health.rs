//! What an entry knows of an endpoint: what its agent says, corrected by what the entry sees.

use std::time::Duration;

use ids::{
    Incarnation,
    Tick, //
};

/// An agent's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advert {
    /// The agent's run.
    pub run: Incarnation,
    /// Requests at the engine.
    pub running: u32,
    /// Requests waiting in the agent.
    pub queued: u32,
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
/// Weight of the newest first-token time in its moving average, as a divisor.
const SMOOTHING: u32 = 8;

/// One endpoint as this entry knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    advert: Advert,
    heard: Tick,
    /// Own attempts under way.
    own: u32,
    /// Own attempts under way when the advert came, so that they are not counted twice.
    own_then: u32,
    failures: u32,
    ejections: u32,
    until: Tick,
    first: Duration,
}

impl Health {
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.own_then = self.own_then.min(self.own);
    }

    pub(crate) fn heard(&mut self, now: Tick, advert: Advert) {
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

    pub(crate) fn bounced(&mut self, now: Tick) {
        self.until = self.until.max(now + BOUNCE_PAUSE);
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

    pub(crate) fn is_out(&self, now: Tick) -> bool {
        now < self.until
    }

    /// Requests at the endpoint, as a share of what it bears, in thousandths.
    pub(crate) fn load(&self, now: Tick) -> u64 {
        let age = now.since(self.heard);
        let halvings = (age.as_millis() / ADVERT_HOLDS.as_millis()).min(31) as u32;
        let said = u64::from(self.advert.running + self.advert.queued) >> halvings;
        let since = u64::from(self.own - self.own_then.min(self.own));
        let busy = said.max(u64::from(self.own_then)) + since;
        busy * 1000 / u64::from(self.advert.limit.max(1))
    }
}
