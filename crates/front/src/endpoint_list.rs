//! Reads the list of endpoints while the control group does not tell it, on a thread of its own.

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

/// How often the list is read by this front, while the control group does not tell it.
const EVERY: Duration = Duration::from_millis(900);
/// The control group's list is good while it was read within this time; its leader reads it more
/// than once a second, and an endpoint that leaves must get no new work within a few seconds.
const TOLD_FOR: Duration = Duration::from_millis(1800);
/// How often the age of the control group's list is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// How long the reader waits after a page that did not come.
const AGAIN: Duration = Duration::from_millis(500);

/// Decodes pages of the list, and says how many entries it could not read when that changes.
pub(crate) struct Decoder<D> {
    pub(crate) adapter: D,
    pub(crate) log: Logger,
    pub(crate) skipped: usize,
}

impl<D: ProtocolAdapter> Decoder<D> {
    /// The entries of all pages.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault, if any page cannot be read.
    pub(crate) fn decode(
        &mut self,
        pages: &[impl AsRef<[u8]>],
    ) -> Result<Vec<EndpointInfo>, String> {
        let mut list = Vec::new();
        let mut skipped = 0;
        for page in pages {
            let page = self.adapter.parse_page(page.as_ref())?;
            list.extend(page.endpoints);
            skipped += page.skipped;
        }
        if std::mem::replace(&mut self.skipped, skipped) != skipped {
            event!(self.log, ListEntriesSkipped, "entries" => skipped);
        }
        Ok(list)
    }
}

/// Reads the list.
pub(crate) struct Reader<D> {
    pub(crate) address: SocketAddr,
    pub(crate) decoder: Decoder<D>,
    pub(crate) inbox: FrontInbox,
    pub(crate) log: Logger,
    pub(crate) clock: Monotonic,
    /// When the list that the control group last told of was read, in microseconds of the clock.
    pub(crate) listed: Arc<AtomicU64>,
    pub(crate) reached: bool,
}

impl<D: ProtocolAdapter> Reader<D> {
    /// Reads the list once and waits. None once the core has ended.
    pub(crate) fn turn(&mut self) -> Option<()> {
        let told = Tick(self.listed.load(Ordering::Acquire));
        if told > Tick::default() && self.clock.now().since(told) < TOLD_FOR {
            thread::park_timeout(LOOK_EVERY);
            return Some(());
        }
        match self.read() {
            Ok(list) => {
                if !std::mem::replace(&mut self.reached, true) {
                    event!(self.log, ListAvailable);
                }
                self.inbox.send(Input::Endpoints(list)).ok()?;
                thread::park_timeout(EVERY);
            }
            Err(fault) => {
                if std::mem::replace(&mut self.reached, false) {
                    event!(self.log, ListUnavailable, "fault" => fault);
                }
                thread::park_timeout(AGAIN);
            }
        }
        Some(())
    }

    fn read(&mut self) -> Result<Vec<EndpointInfo>, String> {
        let pages = fetch_listing(&self.decoder.adapter, self.address)?;
        self.decoder.decode(&pages)
    }
}
