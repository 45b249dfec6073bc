//! Reads the list of endpoints for all fronts, on a thread of its own.

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
use peer::fetch_listing;
use serde_bytes::ByteBuf;
use step::Worker;

use crate::effects::ControlInbox;
use crate::protocol::PlatformCodec;

/// The channel to a reading thread; a reading that finds one under way is left out.
pub(crate) fn channel() -> (Sender<()>, Receiver<()>) {
    bounded(1)
}

/// What the thread reads by.
pub(crate) struct List<D> {
    pub(crate) protocol: D,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) inbox: ControlInbox,
    pub(crate) log: Logger,
}

/// Starts the reading thread; it is over when the sender is gone.
pub(crate) fn start<D: PlatformCodec>(
    list: List<D>,
    readings: Receiver<()>,
) -> std::io::Result<Worker> {
    let mut reached = true;
    Worker::start("control-list", move || {
        readings.recv().ok()?;
        match list.read() {
            Ok(pages) => {
                if !std::mem::replace(&mut reached, true) {
                    event!(list.log, ListReached);
                }
                list.inbox.send(Input::Listing(pages)).ok()?;
            }
            Err(fault) => {
                if std::mem::replace(&mut reached, false) {
                    event!(list.log, ListUnreachable, "fault" => fault);
                }
            }
        }
        Some(())
    })
}

impl<D: PlatformCodec> List<D> {
    fn read(&self) -> Result<Vec<ByteBuf>, String> {
        let platform = self.platform.ok_or("the settings name no platform")?;
        let pages = fetch_listing(&self.protocol, platform)?;
        Ok(pages.into_iter().map(ByteBuf::from).collect())
    }
}
