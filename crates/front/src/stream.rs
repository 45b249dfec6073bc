//! Carries a stream of events to a caller, from one endpoint after the other if it may be
//! resumed.

use std::time::Duration;

use edge::{
    Chunk,
    Head, //
};
use hyper::body::Bytes;
use ids::{
    Clock,
    RequestId,
    Tick, //
};
use obs::Counter;
use relay::{
    Attempt,
    Failure, //
};
use smol::channel::Sender;

use crate::adapter::ProtocolAdapter;
use crate::attempt::{
    Attempts,
    Opened,
    Outgoing,
    next, //
};
use crate::event_buffer::EventBuffer;
use crate::serve::{
    CoreClient,
    Next, //
};

/// How long a caller may take to read what is sent before the stream is broken off.
const SLOW_CALLER: Duration = Duration::from_secs(4);

/// A stream under way.
pub(crate) struct Carrier<D> {
    pub(crate) attempts: Attempts<D>,
    pub(crate) client: CoreClient,
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    pub(crate) events: EventBuffer,
    pub(crate) pieces: Sender<Chunk>,
}

impl<D: ProtocolAdapter> Carrier<D> {
    /// Carries the rest of a stream, after its first events were taken. Returns whether it ended
    /// whole.
    pub(crate) async fn carry(mut self, go: Attempt, opened: Opened) -> bool {
        let request = go.request;
        let (mut go, mut opened) = (go, opened);
        loop {
            match self.run(&go, opened).await {
                Ok(()) => {
                    self.client.done(request);
                    return self.send(go.deadline, Chunk::End).await.is_ok();
                }
                Err(None) => return false,
                Err(Some(failure)) => match self.resume(request, failure).await {
                    Some(next) => (go, opened) = next,
                    None => {
                        self.client.counters.count(Counter::StreamAborted);
                        return false;
                    }
                },
            }
        }
    }

    /// Carries one endpoint's part. Fails without a reason if the caller is too slow.
    async fn run(&mut self, go: &Attempt, mut opened: Opened) -> Result<(), Option<Failure>> {
        loop {
            let clock = &self.attempts.clock;
            let end = go
                .max_gap
                .map_or(go.deadline, |gap| (clock.now() + gap).min(go.deadline));
            let bytes = self.attempts.by(end, next(&mut opened.body)).await?;
            let Some(bytes) = bytes else {
                break;
            };
            let whole = self.events.push(&bytes);
            if !whole.is_empty() {
                self.send(go.deadline, Chunk::Data(whole.into())).await?;
            }
        }
        let rest = self.events.rest();
        if !rest.is_empty() {
            self.send(go.deadline, Chunk::Data(rest.into())).await?;
        }
        self.attempts.links.keep(opened.link, opened.kept);
        Ok(())
    }

    /// Finds another endpoint that goes on after the last whole event.
    async fn resume(&mut self, request: RequestId, failure: Failure) -> Option<(Attempt, Opened)> {
        let mut failure = failure;
        // What came of an event that was not finished is sent again by the next endpoint.
        drop(self.events.rest());
        loop {
            let go = match self.client.failed(request, failure).await {
                Next::Go(go) => go,
                Next::End(_) => return None,
            };
            let outgoing = Outgoing {
                head: &self.head,
                body: &self.body,
                after: self.events.last(),
            };
            match self.attempts.open(&go, &outgoing).await {
                Ok(opened) if opened.status == 200 => return Some((*go, opened)),
                Ok(_) => failure = Failure::Errored,
                Err(fault) => failure = fault,
            }
        }
    }

    async fn send(&self, until: Tick, piece: Chunk) -> Result<(), Option<Failure>> {
        let end = until.min(self.attempts.clock.now() + SLOW_CALLER);
        let send = async { self.pieces.send(piece).await.map_err(|_| Failure::Broken) };
        self.attempts.by(end, send).await.map_err(|_| None)
    }
}
