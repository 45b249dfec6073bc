//! Fetches the platform's endpoint listing, on a dedicated thread, while the control group does not
//! supply a recent one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::thread;
use std::time::Duration;

use ids::{
    Clock,
    Monotonic,
    Tick, //
};
use obs::{
    Logger,
    event, //
};
use peer::fetch_listing;
use relay::{
    EndpointInfo,
    Input, //
};

use crate::adapter::ProtocolAdapter;
use crate::control::FrontInbox;

/// Interval between fetches of the listing.
const FETCH_INTERVAL: Duration = Duration::from_millis(900);
/// Interval between checks of the age of the control group's listing.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// How long a front that has just started waits for the control group's listing. The group supplies
/// it with the first deployment, without which the front serves nothing.
const START_GRACE: Duration = Duration::from_secs(1);
/// Delay before a retry after a fetch failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// When the listings that this front has were read. Clones share the times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListingTimes(Arc<Times>);

/// Microseconds of the front's clock; 0 before the first listing.
#[derive(Debug, Default)]
struct Times {
    /// When the control group read the listing that it last supplied.
    supplied: AtomicU64,
    /// When the listing in use was read.
    used: AtomicU64,
}

impl ListingTimes {
    /// Records that the listing that the control group read at `at` is in use.
    pub(crate) fn record_supplied(&self, at: Tick) {
        self.0.supplied.fetch_max(at.0, Ordering::AcqRel);
        self.record_used(at);
    }

    /// Records that a listing that was read at `at` is in use.
    fn record_used(&self, at: Tick) {
        self.0.used.fetch_max(at.0, Ordering::AcqRel);
    }

    /// When the control group read the listing that it last supplied; none if it supplied none.
    fn supplied_at(&self) -> Option<Tick> {
        let at = Tick(self.0.supplied.load(Ordering::Acquire));
        (at > Tick::default()).then_some(at)
    }

    /// The age of the listing in use; none if there is none.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        let at = Tick(self.0.used.load(Ordering::Acquire));
        (at > Tick::default()).then(|| now.since(at))
    }
}

/// Decodes the pages of the listing. Logs the number of invalid entries when it changes.
pub(crate) struct ListingDecoder<A> {
    pub(crate) adapter: A,
    pub(crate) log: Logger,
    /// Number of invalid entries in the last listing.
    pub(crate) skipped: usize,
}

impl<A: ProtocolAdapter> ListingDecoder<A> {
    /// Returns the valid entries of all pages.
    ///
    /// # Errors
    ///
    /// A sentence that states why a page is invalid.
    pub(crate) fn decode(
        &mut self,
        pages: &[impl AsRef<[u8]>],
    ) -> Result<Vec<EndpointInfo>, String> {
        let mut endpoints = Vec::new();
        let mut skipped = 0;
        for page in pages {
            let page = self.adapter.parse_page(page.as_ref())?;
            endpoints.extend(page.endpoints);
            skipped += page.skipped;
        }
        if std::mem::replace(&mut self.skipped, skipped) != skipped {
            event!(self.log, ListingEntriesSkipped, "entries" => skipped);
        }
        Ok(endpoints)
    }
}

/// Fetches the listing and sends it to the core.
pub(crate) struct ListingFetcher<A> {
    pub(crate) address: SocketAddr,
    pub(crate) decoder: ListingDecoder<A>,
    pub(crate) inbox: FrontInbox,
    pub(crate) log: Logger,
    pub(crate) clock: Monotonic,
    pub(crate) times: ListingTimes,
    /// Maximum age of the control group's listing.
    pub(crate) max_age: Duration,
    /// Whether the last fetch succeeded.
    pub(crate) reachable: bool,
    /// Whether the last listing was incomplete.
    pub(crate) incomplete: bool,
}

impl<A: ProtocolAdapter> ListingFetcher<A> {
    /// Fetches the listing once, unless the control group supplies a recent one, and waits. Returns
    /// `None` once the core has ended.
    pub(crate) fn step(&mut self) -> Option<()> {
        if self.awaits_control_group() {
            thread::park_timeout(AGE_CHECK_INTERVAL);
            return Some(());
        }
        let requested_at = self.clock.now();
        match self.fetch() {
            Ok(endpoints) => {
                self.times.record_used(requested_at);
                if !std::mem::replace(&mut self.reachable, true) {
                    event!(self.log, ListingAvailable);
                }
                self.inbox.send(Input::Endpoints(endpoints)).ok()?;
                thread::park_timeout(FETCH_INTERVAL);
            }
            Err(error) => {
                if std::mem::replace(&mut self.reachable, false) {
                    event!(self.log, ListingUnavailable, "fault" => error);
                }
                thread::park_timeout(RETRY_DELAY);
            }
        }
        Some(())
    }

    /// Whether the control group has supplied a recent listing or may still supply the first one.
    fn awaits_control_group(&self) -> bool {
        let now = self.clock.now();
        match self.times.supplied_at() {
            Some(read_at) => now.since(read_at) < self.max_age,
            None => now.since(Tick::default()) < START_GRACE,
        }
    }

    fn fetch(&mut self) -> Result<Vec<EndpointInfo>, String> {
        let listing = fetch_listing(&self.decoder.adapter, self.address)?;
        let before = std::mem::replace(&mut self.incomplete, listing.incomplete);
        if listing.incomplete && !before {
            event!(self.log, ListingIncomplete, "pages" => listing.pages.len());
        }
        self.decoder.decode(&listing.pages)
    }
}
