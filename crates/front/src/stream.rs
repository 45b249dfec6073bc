//! Forwards a stream of events to a caller. If the endpoint fails and the route allows it, another
//! endpoint resumes the stream.

use std::sync::Arc;
use std::time::Duration;

use budget::Class;
use edge::{
    Charged,
    Chunk,
    Head,
    OutOfMemory,
    Share, //
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
    Failure,
    Input, //
};
use smol::channel::Sender;

use crate::adapter::ProtocolAdapter;
use crate::attempt::{
    AttemptClient,
    OpenResponse,
    OutgoingRequest,
    next_chunk, //
};
use crate::core_client::{
    CoreClient,
    NextStep, //
};
use crate::event_buffer::{
    BrokenOff,
    EventBuffer,
    EventTooLarge, //
};

/// How long the front waits for space in the buffer of a slow caller before it aborts the stream.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Size up to which buffered events are covered by the share of their request, for each chunk that is
/// buffered.
const FREE_EVENT_BYTES: usize = 1024;

/// Forwards the remainder of one stream, after its first events.
pub(crate) struct StreamForwarder<A> {
    pub(crate) attempts: AttemptClient<A>,
    pub(crate) client: CoreClient,
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    pub(crate) events: EventBuffer,
    pub(crate) chunks: Sender<Chunk>,
    /// The request's share of the memory budget, which covers `body` and small events.
    pub(crate) _share: Arc<Share>,
}

impl<A: ProtocolAdapter> StreamForwarder<A> {
    /// Forwards the stream until its end. Returns whether the caller received the complete stream.
    pub(crate) async fn forward(mut self, attempt: Attempt, response: OpenResponse) -> bool {
        let request = attempt.request;
        let _ = self.attempts.inbox.send(Input::StreamStarted(request));
        let (mut attempt, mut response) = (attempt, response);
        loop {
            match self.forward_from(&attempt, response).await {
                Ok(()) => {
                    self.client.completed(request);
                    return self.send(attempt.deadline, Chunk::End).await.is_ok();
                }
                Err(None) => return false,
                Err(Some(failure)) => {
                    let failure = self.attempts.classify(&attempt, failure).await;
                    match self.resume(request, failure).await {
                        Some(next) => (attempt, response) = next,
                        None => {
                            self.client.counters.count(Counter::StreamAborted);
                            return false;
                        }
                    }
                }
            }
        }
    }

    /// Forwards the events of one endpoint. Fails with a [`Failure`] if the endpoint failed, and
    /// with `None` if the caller did not read in time or disconnected.
    async fn forward_from(
        &mut self,
        attempt: &Attempt,
        mut response: OpenResponse,
    ) -> Result<(), Option<Failure>> {
        // Only a complete event is progress: an endpoint that sends a byte now and then has stalled.
        let mut deadline = self.gap_deadline(attempt);
        while let Some(bytes) = self
            .attempts
            .with_deadline(deadline, next_chunk(&mut response.body))
            .await?
        {
            let events = self.events.push(&bytes);
            let events = events.map_err(|EventTooLarge| Failure::Garbled)?;
            if !events.is_empty() {
                let events = self.charge(attempt.deadline, events).await?;
                self.send(attempt.deadline, Chunk::Data(events)).await?;
                deadline = self.gap_deadline(attempt);
            }
        }
        let rest = self.events.end(response.content);
        let rest = rest.map_err(|BrokenOff| Failure::Broken)?;
        if !rest.is_empty() {
            self.send(attempt.deadline, Chunk::Data(rest.into()))
                .await?;
        }
        self.attempts
            .connections
            .keep(response.connection, response.keep_alive);
        Ok(())
    }

    /// When the next complete event must have arrived.
    fn gap_deadline(&self, attempt: &Attempt) -> Tick {
        let now = self.attempts.clock.now();
        let gap_end = attempt.max_gap.map(|gap| now + gap);
        gap_end.map_or(attempt.deadline, |end| end.min(attempt.deadline))
    }

    /// Sends further attempts until an endpoint resumes the stream after the last complete event.
    /// Returns `None` if the core allows no further attempt.
    async fn resume(
        &mut self,
        request: RequestId,
        failure: Failure,
    ) -> Option<(Attempt, OpenResponse)> {
        let mut failure = failure;
        self.events.restart();
        loop {
            let attempt = match self.client.attempt_failed(request, failure).await {
                NextStep::Attempt(attempt) => attempt,
                NextStep::End(_) => return None,
            };
            let outgoing = OutgoingRequest {
                head: &self.head,
                body: &self.body,
                last_event: self.events.last_id(),
            };
            match self.attempts.send(&attempt, &outgoing).await {
                Ok(response) if response.status == 200 => {
                    self.client.response_started(request, response.load);
                    return Some((*attempt, response));
                }
                Ok(_) => failure = Failure::Errored,
                Err(error) => failure = self.attempts.classify(&attempt, error).await,
            }
        }
    }

    /// Attaches memory of the budget to events that are buffered for the caller. Until it is granted,
    /// no more of the response is read.
    async fn charge(&self, deadline: Tick, events: Vec<u8>) -> Result<Bytes, Option<Failure>> {
        if events.len() <= FREE_EVENT_BYTES {
            return Ok(events.into());
        }
        let share = Arc::new(self.attempts.memory.open());
        let granted = async {
            let granted = share.ask(Class::Response, events.len()).await;
            granted.map_err(|OutOfMemory| Failure::Silent)
        };
        let granted = self.attempts.with_deadline(deadline, granted).await;
        granted.map_err(|_| None)?;
        Ok(Charged::bytes(events, share))
    }

    /// Queues a chunk for the caller until the deadline at most.
    async fn send(&self, deadline: Tick, chunk: Chunk) -> Result<(), Option<Failure>> {
        let deadline = deadline.min(self.attempts.clock.now() + SLOW_CALLER_TIMEOUT);
        let send = async { self.chunks.send(chunk).await.map_err(|_| Failure::Broken) };
        self.attempts
            .with_deadline(deadline, send)
            .await
            .map_err(|_| None)
    }
}
