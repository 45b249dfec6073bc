//! Reads the list of endpoints at regular times, on a thread of its own.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use edge::Client;
use obs::{
    Logger,
    event, //
};
use relay::{
    Input,
    Listing, //
};

use crate::control::FrontInbox;
use crate::dialect::Dialect;

/// How often the list is read. An endpoint that leaves must get no new work within a few seconds
/// of being listed as leaving, and calls are priced and limited in number.
const EVERY: Duration = Duration::from_millis(900);
/// How long one page may take.
const PATIENCE: Duration = Duration::from_millis(900);
/// How long the reader waits after a page that did not come.
const AGAIN: Duration = Duration::from_millis(500);
/// Pages read at most, so that a list that never ends does no harm.
const MOST_PAGES: usize = 64;

/// Reads the list.
pub(crate) struct Reader<D> {
    pub(crate) address: SocketAddr,
    pub(crate) dialect: D,
    pub(crate) inbox: FrontInbox,
    pub(crate) log: Logger,
    pub(crate) reached: bool,
    pub(crate) skipped: usize,
}

impl<D: Dialect> Reader<D> {
    /// Reads the list once and waits. None once the core has ended.
    pub(crate) fn turn(&mut self) -> Option<()> {
        match self.read() {
            Ok(list) => {
                if !std::mem::replace(&mut self.reached, true) {
                    event!(self.log, ListReached);
                }
                self.inbox.send(Input::Listed(list)).ok()?;
                thread::park_timeout(EVERY);
            }
            Err(fault) => {
                if std::mem::replace(&mut self.reached, false) {
                    event!(self.log, ListUnreachable, "fault" => fault);
                }
                thread::park_timeout(AGAIN);
            }
        }
        Some(())
    }

    fn read(&mut self) -> Result<Vec<Listing>, String> {
        let client = Client::new(PATIENCE);
        let mut list = Vec::new();
        let mut skipped = 0;
        let mut next: Option<String> = None;
        for _ in 0..MOST_PAGES {
            let target = self.dialect.list(next.as_deref());
            let reply = client
                .call(self.address, "GET", &target, &[], Vec::new())
                .map_err(|fault| fault.to_string())?;
            if reply.status != 200 {
                return Err(format!("the list answered with status {}", reply.status));
            }
            let page = self.dialect.page(&reply.body)?;
            list.extend(page.list);
            skipped += page.skipped;
            next = page.next;
            if next.is_none() {
                break;
            }
        }
        if std::mem::replace(&mut self.skipped, skipped) != skipped {
            event!(self.log, ListingSkipped, "entries" => skipped);
        }
        Ok(list)
    }
}
