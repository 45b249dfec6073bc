//! Serves one request: reads it, sends attempts until one succeeds or the core rejects the request,
//! and responds to the caller.

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
    ClientSocket,
    EventLoop,
    Head,
    Limits,
    Linger,
    ListenerId,
    Memory,
    NoResponse,
    Refusal,
    Service,
    Share,
    receive, //
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
    Tick,
    millis, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use quarantine::ContentDigest;
use relay::{
    Attempt,
    Failure,
    RequestHead, //
};
use smol::channel::bounded;

use crate::adapter::ProtocolAdapter;
use crate::attempt::{
    AttemptClient,
    CompleteResponse,
    OpenResponse,
    OutgoingRequest,
    next_chunk, //
};
use crate::body::{
    MAX_BUFFERED_CHUNKS,
    ResponseBody, //
};
use crate::control::FrontInbox;
use crate::core_client::{
    CoreClient,
    NextStep, //
};
use crate::event_buffer::{
    BrokenOff,
    EventBuffer,
    EventTooLarge, //
};
use crate::metrics::{
    Metrics,
    Stage, //
};
use crate::response::{
    close_after,
    complete_response,
    error_response,
    forwarded_headers,
    with_body, //
};
use crate::stream::StreamForwarder;

/// The listener for callers.
pub(crate) const CALLERS: ListenerId = ListenerId(0);
/// The listener for the load balancer's readiness probes. Any other listener serves metrics.
pub(crate) const PROBES: ListenerId = ListenerId(1);

/// State that all requests share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) inbox: FrontInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) limits: Limits,
    pub(crate) memory: Memory,
    /// Maximum size of a request's body in bytes, according to the plan.
    pub(crate) body_limit: Arc<AtomicUsize>,
    /// Set when the front starts to stop.
    pub(crate) draining: Arc<AtomicBool>,
}

/// Serves callers, readiness probes and metrics.
pub(crate) struct FrontService<A> {
    pub(crate) context: Context,
    pub(crate) attempts: AttemptClient<A>,
    pub(crate) tasks: EventLoop,
}

/// A request whose head and body were read.
struct ReceivedRequest {
    head: Head,
    body: Bytes,
    received_at: Tick,
    /// The request's identifier in logs.
    name: String,
    /// The request's share of the memory budget.
    share: Arc<Share>,
}

impl<A: ProtocolAdapter> Service for FrontService<A> {
    type Body = ResponseBody;

    async fn call(
        &self,
        request: Request<Incoming>,
        listener: ListenerId,
    ) -> Result<Response<ResponseBody>, NoResponse> {
        let mut response = match listener {
            CALLERS => self.serve(request).await?,
            PROBES => self.probe().await,
            _ => self.metrics().await,
        };
        if self.context.draining.load(Ordering::Relaxed) {
            close_after(&mut response);
        }
        Ok(response)
    }
}

impl<A: ProtocolAdapter> FrontService<A> {
    async fn probe(&self) -> Response<ResponseBody> {
        let status = if self.client().ready().await {
            200
        } else {
            503
        };
        complete_response(status, Default::default(), Bytes::new())
    }

    async fn metrics(&self) -> Response<ResponseBody> {
        let mut text = self.context.metrics.text(&self.context.counters);
        let (used, waiting) = self.context.memory.usage();
        text += &format!("berg_memory_bytes {used}\nberg_memory_waiting {waiting}\n");
        if let Some(usage) = self.client().usage().await {
            text += &usage.to_string();
        }
        complete_response(200, Default::default(), text.into())
    }

    fn client(&self) -> CoreClient {
        let context = &self.context;
        CoreClient::new(
            context.inbox.clone(),
            Arc::clone(&context.tickets),
            context.counters.clone(),
        )
    }

    /// Reads a caller's request and responds to it.
    async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, NoResponse> {
        let received_at = self.attempts.clock.now();
        self.context.counters.count(Counter::Received);
        let (mut parts, body) = request.into_parts();
        let client = parts.extensions.remove::<ClientSocket>();
        let head = Head {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
        };
        let mut request = match self.attempts.adapter.parse_request(&head) {
            Ok(request) => request,
            Err(kind) => return Ok(self.refuse("", kind, received_at)),
        };
        let mut limits = self.context.limits;
        limits.body_bytes = limits
            .body_bytes
            .min(self.context.body_limit.load(Ordering::Acquire));
        let (body, share) = match receive(body, client, limits, &self.context.memory).await {
            Ok(received) => received,
            Err(Refusal::Rejected(kind)) => {
                return Ok(self.refuse(&request.name, kind, received_at));
            }
            Err(Refusal::TooSlow) => {
                self.context.counters.count(Counter::UploadsStalled);
                event!(self.context.log, UploadStalled, "request" => request.name,
                    "ms" => millis(self.elapsed(received_at)));
                return Err(NoResponse);
            }
        };
        let received = ReceivedRequest {
            head,
            body,
            received_at,
            name: request.name.clone(),
            share,
        };
        request.body_bytes = received.body.len();
        let (method, uri) = (&received.head.method, &received.head.uri);
        let target = uri.path_and_query().map_or("", |target| target.as_str());
        request.content = ContentDigest::new(method.as_str(), target, &received.body);
        // The caller's timeout starts with the first byte of the request, so the time spent reading
        // the request is subtracted.
        let read_time = self.attempts.clock.now().since(received_at);
        request.timeout = request.timeout.map(|time| time.saturating_sub(read_time));
        Ok(self.dispatch(received, request).await)
    }

    /// Sends attempts until one succeeds or the core ends the request.
    async fn dispatch(
        &self,
        received: ReceivedRequest,
        head: RequestHead,
    ) -> Response<ResponseBody> {
        let client = self.client();
        let mut next = client.submit(head).await;
        let mut last_error: Option<CompleteResponse> = None;
        loop {
            let attempt = match next {
                NextStep::Attempt(attempt) => attempt,
                NextStep::End(Some((kind, retry_after))) => {
                    return self.fail(&received.name, kind, retry_after, received.received_at);
                }
                NextStep::End(None) => return self.forward_response(&received, last_error),
            };
            let request = attempt.request;
            let failure = match self.send_attempt(&attempt, &received, &client).await {
                Ok(AttemptResult::Complete(response)) if response.status >= 500 => {
                    last_error = Some(response);
                    Failure::Errored
                }
                Ok(AttemptResult::Complete(response)) => {
                    if response.status < 300 {
                        client.completed(request);
                    } else {
                        client.declined(request);
                    }
                    return self.forward_response(&received, Some(response));
                }
                Ok(AttemptResult::Stream(response, events, first)) => {
                    return self.start_stream(received, *attempt, client, *response, events, first);
                }
                Err(failure) => self.attempts.classify(&attempt, failure).await,
            };
            next = client.attempt_failed(request, failure).await;
        }
    }

    /// Sends one attempt and reads the complete response, or a stream up to its first event.
    async fn send_attempt(
        &self,
        attempt: &Attempt,
        received: &ReceivedRequest,
        client: &CoreClient,
    ) -> Result<AttemptResult, Failure> {
        let outgoing = OutgoingRequest {
            head: &received.head,
            body: &received.body,
            last_event: None,
        };
        let mut response = self.attempts.send(attempt, &outgoing).await?;
        if response.new_connection {
            self.context.counters.count(Counter::EndpointConnected);
        }
        client.response_started(attempt.request, response.load);
        if !attempt.retry.is_stream() || response.status != 200 {
            return Ok(AttemptResult::Complete(
                self.attempts.read_complete(attempt, response).await?,
            ));
        }
        let mut events = EventBuffer::default();
        let mut first = Vec::new();
        let deadline = self.attempts.deadline(attempt);
        while first.is_empty() {
            match self
                .attempts
                .with_deadline(deadline, next_chunk(&mut response.body))
                .await?
            {
                Some(bytes) => {
                    let complete = events.push(&bytes);
                    first = complete.map_err(|EventTooLarge| Failure::Garbled)?;
                }
                None => {
                    let rest = events.end(response.content);
                    first = rest.map_err(|BrokenOff| Failure::Broken)?;
                    break;
                }
            }
        }
        Ok(AttemptResult::Stream(Box::new(response), events, first))
    }

    /// Starts a streamed response with its first events. A separate task forwards the remainder.
    fn start_stream(
        &self,
        received: ReceivedRequest,
        attempt: Attempt,
        client: CoreClient,
        response: OpenResponse,
        events: EventBuffer,
        first: Vec<u8>,
    ) -> Response<ResponseBody> {
        self.observe(Stage::FirstEvent, received.received_at);
        let headers = forwarded_headers(&response.headers);
        let status = response.status;
        let (tx, rx) = bounded(MAX_BUFFERED_CHUNKS);
        // The channel is empty and has room for the first chunk.
        let _ = tx.try_send(Chunk::Data(first.into()));
        let forwarder = StreamForwarder {
            attempts: self.attempts.clone(),
            client,
            head: received.head,
            body: received.body,
            events,
            chunks: tx,
            _share: received.share,
        };
        let (metrics, clock) = (self.context.metrics.clone(), self.attempts.clock);
        let (log, received_at, name) = (
            self.context.log.clone(),
            received.received_at,
            received.name,
        );
        let task = self.tasks.spawn(async move {
            let complete = forwarder.forward(attempt, response).await;
            let elapsed = clock.now().since(received_at);
            metrics.observe(Stage::Complete, elapsed);
            if complete {
                event!(log, StreamEnded, "request" => name, "ms" => millis(elapsed));
            } else {
                event!(log, StreamAborted, "request" => name, "ms" => millis(elapsed));
            }
        });
        self.context.counters.count(Counter::Answered);
        let body = ResponseBody::Streamed(Box::pin(rx), task);
        with_body(status, headers, body)
    }

    /// Forwards an endpoint's complete response to the caller.
    fn forward_response(
        &self,
        received: &ReceivedRequest,
        response: Option<CompleteResponse>,
    ) -> Response<ResponseBody> {
        let Some(response) = response else {
            return self.fail(
                &received.name,
                Kind::Internal,
                Duration::ZERO,
                received.received_at,
            );
        };
        self.context.counters.count(Counter::Answered);
        self.observe(Stage::Complete, received.received_at);
        let elapsed_ms = millis(self.elapsed(received.received_at));
        event!(self.context.log, RequestAnswered, "request" => received.name.clone(),
            "status" => response.status, "ms" => elapsed_ms);
        complete_response(
            response.status,
            forwarded_headers(&response.headers),
            response.body,
        )
    }

    /// Rejects a request whose body has not been read, and closes its connection.
    fn refuse(&self, name: &str, kind: Kind, received_at: Tick) -> Response<ResponseBody> {
        let retry_after = Duration::from_secs(kind.response().retry_after.into());
        let mut response = self.fail(name, kind, retry_after, received_at);
        close_after(&mut response);
        response.extensions_mut().insert(Linger);
        response
    }

    /// Logs and counts an error of the front's own and responds with it.
    fn fail(
        &self,
        name: &str,
        kind: Kind,
        retry_after: Duration,
        received_at: Tick,
    ) -> Response<ResponseBody> {
        self.context.counters.count_error(kind);
        let elapsed_ms = millis(self.elapsed(received_at));
        event!(self.context.log, RequestFailed, "request" => name.to_owned(),
            "kind" => kind.to_string(), "ms" => elapsed_ms);
        error_response(kind, retry_after)
    }

    fn observe(&self, stage: Stage, received_at: Tick) {
        self.context
            .metrics
            .observe(stage, self.elapsed(received_at));
    }

    /// The time since the first byte of a request.
    fn elapsed(&self, received_at: Tick) -> Duration {
        self.attempts.clock.now().since(received_at)
    }
}

/// The result of an attempt that received a response.
enum AttemptResult {
    /// A complete response.
    Complete(CompleteResponse),
    /// A stream: the open response, the buffer for its further events, and its first events.
    Stream(Box<OpenResponse>, EventBuffer, Vec<u8>),
}

/// Creates the service of a front on its event loop.
pub(crate) fn service<A: ProtocolAdapter>(
    context: Context,
    attempts: AttemptClient<A>,
    tasks: &EventLoop,
) -> FrontService<A> {
    FrontService {
        context,
        attempts,
        tasks: Rc::clone(tasks),
    }
}
