//! Fetches the platform's endpoint listing for all fronts, on a dedicated thread.

use std::net::SocketAddr;

use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use govern::Input;
use obs::{
    Logger,
    event, //
};
use peer::{
    Listing,
    fetch_listing, //
};
use serde_bytes::ByteBuf;
use step::Worker;

use crate::effects::ControlInbox;
use crate::platform::PlatformCodec;

/// The channel to the listing thread. It holds one request; further requests are dropped until the
/// thread has received that one.
pub(crate) fn channel() -> (Sender<()>, Receiver<()>) {
    bounded(1)
}

/// Fetches the listing and sends it to the core.
pub(crate) struct ListingFetcher<C> {
    pub(crate) codec: C,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) inbox: ControlInbox,
    pub(crate) log: Logger,
}

/// Starts the listing thread. It ends when all senders are dropped.
pub(crate) fn start<C: PlatformCodec>(
    fetcher: ListingFetcher<C>,
    requests: Receiver<()>,
) -> std::io::Result<Worker> {
    let (mut reachable, mut incomplete) = (true, false);
    Worker::start("control-list", move || {
        requests.recv().ok()?;
        match fetcher.fetch() {
            Ok(listing) => {
                if !std::mem::replace(&mut reachable, true) {
                    event!(fetcher.log, ListingAvailable);
                }
                let before = std::mem::replace(&mut incomplete, listing.incomplete);
                if listing.incomplete && !before {
                    event!(fetcher.log, ListingIncomplete, "pages" => listing.pages.len());
                }
                let pages = listing.pages.into_iter().map(ByteBuf::from).collect();
                fetcher.inbox.send(Input::Listing(pages)).ok()?;
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    event!(fetcher.log, ListingUnavailable, "fault" => error);
                }
            }
        }
        Some(())
    })
}

impl<C: PlatformCodec> ListingFetcher<C> {
    fn fetch(&self) -> Result<Listing, String> {
        let platform = self.platform.ok_or("the settings name no platform")?;
        fetch_listing(&self.codec, platform)
    }
}
