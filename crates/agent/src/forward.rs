//! Forwards one started request to the backend and its response to the entry, on a traffic thread.

use std::io;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::time::{
    Duration,
    Instant, //
};

use admit::{
    Input,
    Outcome, //
};
use crossbeam::channel::{
    Sender,
    bounded, //
};
use edge::{
    CallError,
    Framing,
    ResponseReader,
    ResponseWriter,
    Target, //
};
use fault::Kind;
use ids::{
    AttemptId,
    Incarnation,
    Rate,
    Ticket,
    Tier,
    Tokens, //
};
use obs::{
    Logger,
    event, //
};
use oxhttp::model::HeaderMap;
use serde_json::{
    Map,
    Value,
    json, //
};
use usage::{
    Counts,
    UsageKey, //
};
use wire::{
    EndpointRequest,
    Frame,
    LoadReport,
    TokenUsage, //
};

use crate::control::{
    AgentInbox,
    Attachment,
    Job,
    load_report, //
};
use crate::events::{
    EngineUsage,
    EventKind,
    Progress,
    Splitter,
    classify, //
};
use crate::settings;

/// How long the connection to the backend may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a backend that does not respond to a connection attempt does not count as
/// refusing it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the backend may send nothing. Entries end an attempt earlier, after timeouts derived from
/// the targets of the request's class.
const BACKEND_TIMEOUT: Duration = Duration::from_secs(120);

/// Header field of a response in which a backend states the requests per second that it accepts.
const RATE_LIMIT_HEADER: &str = "berg-rate-limit";

/// Forwards requests to the backend. Each traffic thread has a clone.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) kind: settings::BackendKind,
    pub(crate) backend: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) inbox: AgentInbox,
    pub(crate) usage: Sender<(UsageKey, Counts)>,
    pub(crate) log: Logger,
}

/// Why a response was not forwarded completely.
enum ForwardError {
    /// The backend failed. The error kind states whether the request may have been executed.
    Backend(Kind),
    /// The entry closed the connection.
    Disconnected,
}

impl From<edge::Disconnected> for ForwardError {
    fn from(_: edge::Disconnected) -> Self {
        Self::Disconnected
    }
}

impl From<CallError> for ForwardError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::TimedOut => Self::Backend(Kind::EndpointTimeout),
            CallError::NotConnected(_) | CallError::Malformed(_) | CallError::NotPermitted => {
                Self::Backend(Kind::EndpointMissing)
            }
            CallError::Failed(_) | CallError::TooLarge => Self::Backend(Kind::EndpointFailed),
        }
    }
}

impl Forwarder {
    /// Forwards the request of one job and its response, and reports the end to the core.
    pub(crate) fn run(&self, job: Job) {
        let Job {
            ticket,
            tier,
            exchange,
            attempt,
        } = job;
        if exchange.is_disconnected() && !attempt.head.once {
            self.report_end(ticket, Outcome::Cancelled, TokenUsage::default());
            return;
        }
        let key = UsageKey {
            account: attempt.head.account.clone(),
            class: attempt.head.class.clone(),
        };
        let mut forwarding = Forwarding {
            forwarder: self,
            ticket,
            attempt: attempt.head.attempt,
            stream: exchange.stream(200, HeaderMap::new()),
            offset: 0,
            served: TokenUsage::default(),
            last_token: None,
        };
        let result = forwarding.forward(&attempt.request, tier);
        let result = result.map_err(|error| self.classify(error));
        let served = forwarding.served;
        let executed = !matches!(result, Err(ForwardError::Backend(kind)) if kind.not_executed());
        if executed {
            let counts = Counts {
                runs: 1,
                input: served.input,
                output: served.output,
            };
            let _ = self.usage.send((key, counts));
        }
        let outcome = match result {
            Ok(()) => Outcome::Served,
            Err(ForwardError::Backend(_)) => Outcome::Failed,
            Err(ForwardError::Disconnected) => Outcome::Cancelled,
        };
        let load = self.report_end(ticket, outcome, served);
        forwarding.close(result, load);
    }

    /// Tells the crash of the backend from other failures: a backend that has crashed refuses new
    /// connections.
    fn classify(&self, error: ForwardError) -> ForwardError {
        let refused = || {
            let connected = TcpStream::connect_timeout(&self.backend, REFUSAL_TIMEOUT);
            connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
        };
        match error {
            ForwardError::Backend(Kind::EndpointFailed | Kind::StreamBroken) if refused() => {
                ForwardError::Backend(Kind::EndpointCrashed)
            }
            other => other,
        }
    }

    /// Reports the end of a request to the core. Returns the load without the request.
    fn report_end(&self, ticket: Ticket, outcome: Outcome, served: TokenUsage) -> LoadReport {
        let (tx, rx) = bounded(1);
        let tokens = Tokens(served.input.0 + served.output.0);
        let input = Input::Done(ticket, outcome, tokens);
        let _ = self.inbox.call(Attachment::Ended(ticket, tx), input);
        rx.recv()
            .map(|load| load_report(self.incarnation, load))
            .unwrap_or_default()
    }
}

/// A request that is being forwarded.
struct Forwarding<'a> {
    forwarder: &'a Forwarder,
    ticket: Ticket,
    attempt: AttemptId,
    stream: ResponseWriter,
    /// The number of body bytes sent to the entry so far.
    offset: u64,
    /// The token counts: those that the engine reported or else the number of output events.
    served: TokenUsage,
    /// When the last output token arrived.
    last_token: Option<Instant>,
}

impl Forwarding<'_> {
    fn forward(
        &mut self,
        endpoint_request: &EndpointRequest,
        tier: Tier,
    ) -> Result<(), ForwardError> {
        let is_engine = self.forwarder.kind == settings::BackendKind::Engine;
        let prepared = if is_engine {
            prepare_engine_body(endpoint_request, tier)
        } else {
            PreparedBody::unchanged(endpoint_request)
        };
        let backend = self.forwarder.backend;
        let method = endpoint_request.method.as_str();
        let request = edge::build_request(
            backend,
            method,
            &endpoint_request.target,
            &endpoint_request.headers,
            prepared.body,
        )?;
        let target = Target {
            address: backend,
            connect_timeout: CONNECT_TIMEOUT,
            head_timeout: BACKEND_TIMEOUT,
        };
        let reader = ResponseReader::open(target, request)?;
        self.report_rate_limit(&reader);
        if is_engine && reader.status >= 500 {
            return Err(ForwardError::Backend(Kind::EndpointFailed));
        }
        self.send(&Frame::Started {
            attempt: self.attempt,
            status: reader.status,
            headers: forwarded_headers(&reader.headers),
        })?;
        let is_stream = is_event_stream(&reader.headers);
        match (is_engine, is_stream) {
            (true, true) => self.forward_events(reader, prepared.hide_usage),
            (true, false) => self.forward_completion(reader),
            (false, true) => self.forward_service_events(reader),
            (false, false) => self.forward_unchanged(reader),
        }
    }

    /// Reports the limit that the backend states on its rate of requests. A response that may be a
    /// rejection does not withdraw an earlier limit.
    fn report_rate_limit(&self, reader: &ResponseReader) {
        let field = reader.headers.get(RATE_LIMIT_HEADER);
        let text = field.and_then(|value| value.to_str().ok());
        let per_second = text.and_then(|text| text.trim().parse::<f64>().ok());
        let rate = per_second.and_then(|rate| Rate::try_from(rate).ok());
        if rate.is_some() || reader.status < 500 {
            let _ = self.forwarder.inbox.send(Input::RateLimit(rate));
        }
    }

    /// Forwards an engine's event stream. The response is complete only if the engine's `[DONE]` event
    /// was received and no partial event follows.
    fn forward_events(
        &mut self,
        mut reader: ResponseReader,
        hide_usage: bool,
    ) -> Result<(), ForwardError> {
        let mut splitter = Splitter::default();
        let mut complete = false;
        while let Some(chunk) = reader.chunk()? {
            splitter
                .push(&chunk)
                .map_err(|_| ForwardError::Backend(Kind::EndpointFailed))?;
            while let Some(event) = splitter.next() {
                match classify(&event) {
                    EventKind::Output => self.record_token(),
                    EventKind::Usage(usage) => {
                        self.served = token_counts(usage);
                        if hide_usage {
                            continue;
                        }
                    }
                    EventKind::Done => complete = true,
                    EventKind::Other => {}
                }
                self.send_data(event)?;
            }
        }
        if complete && splitter.is_empty() {
            Ok(())
        } else {
            Err(ForwardError::Backend(Kind::StreamBroken))
        }
    }

    /// Forwards an engine's response that is not streamed, and reads its token counts.
    fn forward_completion(&mut self, mut reader: ResponseReader) -> Result<(), ForwardError> {
        let mut body = Vec::new();
        while let Some(chunk) = reader.chunk()? {
            body.extend_from_slice(&chunk);
        }
        let response = serde_json::from_slice::<Value>(&body);
        // Such a body also ends if the engine fails.
        if response.is_err() && reader.framing == Framing::Connection && is_json(&reader.headers) {
            return Err(ForwardError::Backend(Kind::EndpointFailed));
        }
        let response = response.unwrap_or_default();
        if let Ok(usage) = serde_json::from_value::<EngineUsage>(response["usage"].clone()) {
            self.served = token_counts(usage);
        }
        self.report_first_token();
        self.send_data(body)
    }

    fn forward_unchanged(&mut self, mut reader: ResponseReader) -> Result<(), ForwardError> {
        self.report_first_token();
        while let Some(chunk) = reader.chunk()? {
            self.send_data(chunk.to_vec())?;
        }
        Ok(())
    }

    /// Forwards a service's event stream unchanged. The end of the connection may also be the end of
    /// the service.
    fn forward_service_events(&mut self, mut reader: ResponseReader) -> Result<(), ForwardError> {
        self.report_first_token();
        let mut progress = Progress::default();
        while let Some(chunk) = reader.chunk()? {
            progress.push(&chunk);
            self.send_data(chunk.to_vec())?;
        }
        if reader
            .framing
            .ends_stream(progress.started, progress.inside_event)
        {
            Ok(())
        } else {
            Err(ForwardError::Backend(Kind::StreamBroken))
        }
    }

    /// Counts an output token, and reports its time to the core.
    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => self.report_first_token(),
            Some(previous) => {
                let _ = self
                    .forwarder
                    .inbox
                    .send(Input::TokenGap(self.ticket, now - previous));
            }
        }
        self.served.output = Tokens(self.served.output.0 + 1);
    }

    fn report_first_token(&mut self) {
        let _ = self.forwarder.inbox.send(Input::FirstToken(self.ticket));
    }

    fn send_data(&mut self, bytes: Vec<u8>) -> Result<(), ForwardError> {
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        self.send(&Frame::Data { offset, bytes })
    }

    fn send(&mut self, frame: &Frame) -> Result<(), ForwardError> {
        let bytes = wire::encode(frame).map_err(|_| ForwardError::Backend(Kind::Internal))?;
        Ok(self.stream.write(bytes)?)
    }

    /// Ends the response with a frame that states how the request ended.
    fn close(mut self, result: Result<(), ForwardError>, load: LoadReport) {
        let frame = match result {
            Ok(()) => Frame::Ended(self.served, load),
            Err(ForwardError::Disconnected) => return,
            Err(ForwardError::Backend(kind)) => {
                event!(self.forwarder.log, EngineFailed, "kind" => kind.response().code);
                if kind.not_executed() && self.offset == 0 {
                    Frame::Rejected(kind, load)
                } else {
                    Frame::Failed(kind, load)
                }
            }
        };
        if self.send(&frame).is_ok() {
            let _ = self.stream.close();
        }
    }
}

/// The body that is sent to the backend.
struct PreparedBody {
    body: Vec<u8>,
    /// Whether only the agent requested the engine's usage event, which is then not forwarded.
    hide_usage: bool,
}

impl PreparedBody {
    fn unchanged(endpoint_request: &EndpointRequest) -> Self {
        Self {
            body: endpoint_request.body.clone(),
            hide_usage: false,
        }
    }
}

/// Adds the tier as the request's priority, and requests the engine's token counts for a stream. A
/// body that is not a JSON object stays unchanged.
fn prepare_engine_body(endpoint_request: &EndpointRequest, tier: Tier) -> PreparedBody {
    let Ok(mut body) = serde_json::from_slice::<Map<String, Value>>(&endpoint_request.body) else {
        return PreparedBody::unchanged(endpoint_request);
    };
    body.insert("priority".to_owned(), json!(u8::from(tier)));
    let stream = body.get("stream") == Some(&Value::Bool(true));
    let usage_requested = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"));
    let hide_usage = stream && usage_requested != Some(&Value::Bool(true));
    if hide_usage {
        body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    }
    match serde_json::to_vec(&body) {
        Ok(body) => PreparedBody { body, hide_usage },
        Err(_) => PreparedBody::unchanged(endpoint_request),
    }
}

fn token_counts(usage: EngineUsage) -> TokenUsage {
    TokenUsage {
        input: Tokens(usage.prompt_tokens),
        output: Tokens(usage.completion_tokens),
    }
}

/// Returns the header fields that are forwarded: all with text values except hop-by-hop fields.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = headers
        .iter()
        .filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    let kept = text.filter(|(name, _)| !edge::HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| (name.as_str().to_owned(), value.to_owned()))
        .collect()
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    has_content_type(headers, "text/event-stream")
}

fn is_json(headers: &HeaderMap) -> bool {
    has_content_type(headers, "application/json")
}

fn has_content_type(headers: &HeaderMap, name: &str) -> bool {
    let content_type = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with(name))
}
