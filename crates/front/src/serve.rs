//! One request from its head to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

use edge::{
    Chunk,
    EventLoop,
    Head,
    Limits,
    ListenerId,
    NoResponse,
    Service,
    read_body, //
};
use fault::Kind;
use hyper::body::{
    Bytes,
    Incoming, //
};
use hyper::{
    Request,
    Response, //
};
use ids::{
    Clock,
    RequestId,
    Tick,
    Ticket,
    millis, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use relay::{
    Attempt,
    Decision,
    Failure,
    Input,
    Load,
    RequestHead, //
};
use smol::channel::bounded;

use crate::adapter::ProtocolAdapter;
use crate::attempt::{
    Attempts,
    Opened,
    Outgoing,
    Whole,
    next, //
};
use crate::body::{
    Flow,
    PIECES, //
};
use crate::control::{
    Attachment,
    FrontInbox, //
};
use crate::event_buffer::EventBuffer;
use crate::metrics::{
    Metrics,
    Stage, //
};
use crate::response::{
    close_after,
    passed_on,
    refusal,
    whole,
    with_body, //
};
use crate::stream::Carrier;

/// The listener of callers.
pub(crate) const CALLERS: ListenerId = ListenerId(0);
/// The listener of the balancer's probes.
pub(crate) const PROBES: ListenerId = ListenerId(1);

/// What comes after an attempt that failed.
pub(crate) enum Next {
    /// Another attempt.
    Go(Box<Attempt>),
    /// The end: a kind and when to come back, or none to pass the endpoint's answer on.
    End(Option<(Kind, Duration)>),
}

/// The way to the core. Dropping it ends the request that it was opened for.
pub(crate) struct CoreClient {
    inbox: FrontInbox,
    tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    open: Cell<Option<RequestId>>,
}

impl CoreClient {
    fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Brings a request before the core.
    async fn arrive(&self, ask: RequestHead) -> Next {
        let decision = self
            .decision(|ticket| Input::Request(ticket, Box::new(ask)))
            .await;
        if let Next::Go(go) = &decision {
            self.open.set(Some(go.request));
        }
        decision
    }

    /// Tells that an attempt failed.
    pub(crate) async fn failed(&self, request: RequestId, failure: Failure) -> Next {
        let next = self
            .decision(|ticket| Input::AttemptFailed(ticket, request, failure))
            .await;
        if let Next::End(_) = &next {
            self.open.set(None);
        }
        next
    }

    async fn decision(&self, input: impl FnOnce(Ticket) -> Input) -> Next {
        let ticket = self.ticket();
        let (tx, rx) = bounded(1);
        let sent = self
            .inbox
            .call(Attachment::Decision(ticket, tx), input(ticket));
        let decision = match sent {
            Ok(()) => rx.recv().await.ok(),
            Err(_) => None,
        };
        match decision {
            Some(Decision::Dispatch(go)) => Next::Go(go),
            Some(Decision::Reject(kind, wait)) => Next::End(Some((kind, wait))),
            Some(Decision::PassThrough) => Next::End(None),
            None => Next::End(Some((Kind::Draining, Duration::ZERO))),
        }
    }

    fn began(&self, request: RequestId, load: Option<Load>) {
        let _ = self.inbox.send(Input::ResponseStarted(request, load));
    }

    pub(crate) fn done(&self, request: RequestId) {
        self.open.set(None);
        let _ = self.inbox.send(Input::Completed(request));
    }

    async fn ready(&self) -> bool {
        let ticket = self.ticket();
        let (tx, rx) = bounded(1);
        let sent = self
            .inbox
            .call(Attachment::Ready(ticket, tx), Input::Ready(ticket));
        sent.is_ok() && rx.recv().await.unwrap_or(false)
    }
}

impl Drop for CoreClient {
    fn drop(&mut self) {
        if let Some(request) = self.open.get() {
            let _ = self.inbox.send(Input::Cancelled(request));
        }
    }
}

/// What every request needs.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) inbox: FrontInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) limits: Limits,
    /// Most bytes of a body, as the plan says.
    pub(crate) body: Arc<AtomicUsize>,
    /// Set once the front is told to stop.
    pub(crate) leaving: Arc<AtomicBool>,
}

/// Answers callers and probes.
pub(crate) struct Front<D> {
    pub(crate) context: Context,
    pub(crate) attempts: Attempts<D>,
    pub(crate) tasks: EventLoop,
}

/// A request whose head and body are read.
struct Received {
    head: Head,
    body: Bytes,
    arrived: Tick,
    name: String,
}

impl<D: ProtocolAdapter> Service for Front<D> {
    type Body = Flow;

    async fn call(
        &self,
        request: Request<Incoming>,
        listener: ListenerId,
    ) -> Result<Response<Flow>, NoResponse> {
        let mut response = match listener {
            CALLERS => self.serve(request).await,
            PROBES => self.probe().await,
            _ => self.show(),
        };
        if self.context.leaving.load(Ordering::Relaxed) {
            close_after(&mut response);
        }
        Ok(response)
    }
}

impl<D: ProtocolAdapter> Front<D> {
    async fn probe(&self) -> Response<Flow> {
        let status = if self.client().ready().await {
            200
        } else {
            503
        };
        whole(status, Default::default(), Bytes::new())
    }

    fn show(&self) -> Response<Flow> {
        let text = self.context.metrics.text(&self.context.counters);
        whole(200, Default::default(), text.into())
    }

    fn client(&self) -> CoreClient {
        CoreClient {
            inbox: self.context.inbox.clone(),
            tickets: Arc::clone(&self.context.tickets),
            counters: self.context.counters.clone(),
            open: Cell::new(None),
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Flow> {
        let arrived = self.attempts.clock.now();
        self.context.counters.count(Counter::Received);
        let (parts, body) = request.into_parts();
        let head = Head {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
        };
        let mut ask = match self.attempts.adapter.parse_request(&head) {
            Ok(ask) => ask,
            Err(kind) => return self.refuse("", kind, Duration::ZERO, arrived),
        };
        let mut limits = self.context.limits;
        limits.body_bytes = limits
            .body_bytes
            .min(self.context.body.load(Ordering::Acquire));
        let body = match read_body(body, limits).await {
            Ok(body) => body,
            Err(kind) => return self.refuse(&ask.name, kind, Duration::ZERO, arrived),
        };
        let received = Received {
            head,
            body,
            arrived,
            name: ask.name.clone(),
        };
        ask.body_bytes = received.body.len();
        // The caller's patience runs from its first byte.
        let read = self.attempts.clock.now().since(arrived);
        ask.timeout = ask.timeout.map(|patience| patience.saturating_sub(read));
        self.dispatch(received, ask).await
    }

    async fn dispatch(&self, received: Received, ask: RequestHead) -> Response<Flow> {
        let client = self.client();
        let mut next = client.arrive(ask).await;
        let mut kept: Option<Whole> = None;
        loop {
            let go = match next {
                Next::Go(go) => go,
                Next::End(Some((kind, wait))) => {
                    return self.refuse(&received.name, kind, wait, received.arrived);
                }
                Next::End(None) => return self.pass(&received, kept),
            };
            let request = go.request;
            let failure = match self.attempt(&go, &received, &client).await {
                Ok(Attempted::Whole(answer)) if answer.status >= 500 => {
                    kept = Some(answer);
                    Failure::Errored
                }
                Ok(Attempted::Whole(answer)) => {
                    client.done(request);
                    return self.pass(&received, Some(answer));
                }
                Ok(Attempted::Stream(opened, events, first)) => {
                    return self.stream(received, *go, client, *opened, events, first);
                }
                Err(failure) => failure,
            };
            next = client.failed(request, failure).await;
        }
    }

    /// One attempt, up to the whole answer or the first event of a stream.
    async fn attempt(
        &self,
        go: &Attempt,
        received: &Received,
        client: &CoreClient,
    ) -> Result<Attempted, Failure> {
        let outgoing = Outgoing {
            head: &received.head,
            body: &received.body,
            after: None,
        };
        let mut opened = self.attempts.open(go, &outgoing).await?;
        if opened.fresh {
            self.context.counters.count(Counter::EndpointConnected);
        }
        client.began(go.request, opened.load);
        if !go.repeat.is_stream() || opened.status != 200 {
            return Ok(Attempted::Whole(self.attempts.whole(go, opened).await?));
        }
        let mut events = EventBuffer::default();
        let mut first = Vec::new();
        let end = self.attempts.end(go);
        while first.is_empty() {
            match self.attempts.by(end, next(&mut opened.body)).await? {
                Some(bytes) => first = events.push(&bytes),
                None => {
                    // A stream without a whole event is passed on as it is.
                    first = events.rest();
                    break;
                }
            }
        }
        Ok(Attempted::Stream(Box::new(opened), events, first))
    }

    /// Begins a streamed answer and leaves the rest to a task of its own.
    fn stream(
        &self,
        received: Received,
        go: Attempt,
        client: CoreClient,
        opened: Opened,
        events: EventBuffer,
        first: Vec<u8>,
    ) -> Response<Flow> {
        self.observe(Stage::First, received.arrived);
        let headers = passed_on(&opened.headers);
        let status = opened.status;
        let (tx, rx) = bounded(PIECES);
        // The channel is empty and has room for the first piece.
        let _ = tx.try_send(Chunk::Data(first.into()));
        let carrier = Carrier {
            attempts: self.attempts.clone(),
            client,
            head: received.head,
            body: received.body,
            events,
            pieces: tx,
        };
        let (metrics, clock) = (self.context.metrics.clone(), self.attempts.clock);
        let (log, arrived, name) = (self.context.log.clone(), received.arrived, received.name);
        let task = self.tasks.spawn(async move {
            let whole = carrier.carry(go, opened).await;
            let spent = clock.now().since(arrived);
            metrics.observe(Stage::Whole, spent);
            if whole {
                event!(log, StreamEnded, "request" => name, "ms" => millis(spent));
            } else {
                event!(log, StreamAborted, "request" => name, "ms" => millis(spent));
            }
        });
        self.context.counters.count(Counter::Answered);
        let body = Flow::Streamed(Box::pin(rx), task);
        with_body(status, headers, body)
    }

    /// Passes an endpoint's whole answer on.
    fn pass(&self, received: &Received, answer: Option<Whole>) -> Response<Flow> {
        let Some(answer) = answer else {
            return self.refuse(
                &received.name,
                Kind::Internal,
                Duration::ZERO,
                received.arrived,
            );
        };
        self.context.counters.count(Counter::Answered);
        self.observe(Stage::Whole, received.arrived);
        let spent = millis(self.spent(received.arrived));
        event!(self.context.log, RequestAnswered, "request" => received.name.clone(),
            "status" => answer.status, "ms" => spent);
        whole(answer.status, passed_on(&answer.headers), answer.body)
    }

    fn refuse(&self, name: &str, kind: Kind, wait: Duration, arrived: Tick) -> Response<Flow> {
        self.context.counters.count_error(kind);
        let spent = millis(self.spent(arrived));
        event!(self.context.log, RequestFailed, "request" => name.to_owned(),
            "kind" => kind.to_string(), "ms" => spent);
        refusal(kind, wait)
    }

    fn observe(&self, stage: Stage, arrived: Tick) {
        self.context.metrics.observe(stage, self.spent(arrived));
    }

    /// How long a request has been here.
    fn spent(&self, arrived: Tick) -> Duration {
        self.attempts.clock.now().since(arrived)
    }
}

/// What an attempt brought.
enum Attempted {
    /// A whole answer.
    Whole(Whole),
    /// A stream, what follows its first events, and these.
    Stream(Box<Opened>, EventBuffer, Vec<u8>),
}

/// Makes the service of a front on its event loop.
pub(crate) fn front<D: ProtocolAdapter>(
    context: Context,
    attempts: Attempts<D>,
    tasks: &EventLoop,
) -> Front<D> {
    Front {
        context,
        attempts,
        tasks: Rc::clone(tasks),
    }
}
