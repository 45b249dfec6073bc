//! Serves the simulated engine over HTTP.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use edge::{
    EdgeError,
    Exchange,
    Handler,
    Limits,
    ResponseWriter,
    Server, //
};
use ids::{
    Clock,
    Monotonic,
    Tick, //
};
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{
    HeaderMap,
    HeaderValue, //
};
use serde_json::{
    Value,
    json, //
};
use step::{
    Core,
    Effects,
    Inbox,
    Outbox, //
};

use crate::chat::ModelRequest;
use crate::engine::{
    Engine,
    EngineLoad,
    Input,
    Job,
    JobId,
    Output,
    Profile, //
};
use crate::transcript::Transcript;

/// Age of the load that a load report contains.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Inputs of the engine's control thread.
#[derive(Debug)]
enum HostInput {
    Engine(Input),
    /// A request for a load report, with its ticket.
    Load(u64),
    /// An order of the control group: its ticket and its fencing token.
    Order(u64, u64),
}

enum HostOutput {
    Engine(Output),
    Load(u64, EngineLoad),
    /// Whether the order with this ticket was accepted.
    Order(u64, bool),
}

/// An engine with delayed load reports and a check of fencing tokens.
struct HostedEngine {
    engine: Engine,
    /// Loads recorded within the last [`REPORT_LAG`], and the last one before.
    history: VecDeque<(Tick, EngineLoad)>,
    /// The highest fencing token received; none if the engine does not check tokens.
    fence: Option<u64>,
}

impl Core for HostedEngine {
    type Input = HostInput;
    type Output = HostOutput;

    fn step(&mut self, now: Tick, input: HostInput, out: &mut Outbox<HostOutput>) {
        match input {
            HostInput::Engine(input) => {
                let mut inner = Outbox::default();
                self.engine.step(now, input, &mut inner);
                inner
                    .drain()
                    .for_each(|output| out.push(HostOutput::Engine(output)));
            }
            HostInput::Load(ticket) => out.push(HostOutput::Load(ticket, self.delayed_load(now))),
            HostInput::Order(ticket, token) => {
                let stale = self.fence.is_some_and(|highest| token < highest);
                self.fence = self.fence.map(|highest| highest.max(token));
                out.push(HostOutput::Order(ticket, !stale));
            }
        }
        self.record_load(now);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<HostOutput>) {
        let mut inner = Outbox::default();
        self.engine.wake(now, &mut inner);
        inner
            .drain()
            .for_each(|output| out.push(HostOutput::Engine(output)));
        self.record_load(now);
    }

    fn deadline(&self) -> Option<Tick> {
        self.engine.deadline()
    }
}

impl HostedEngine {
    fn record_load(&mut self, now: Tick) {
        self.history.push_back((now, self.engine.load()));
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) > REPORT_LAG)
        {
            self.history.pop_front();
        }
    }

    fn delayed_load(&self, now: Tick) -> EngineLoad {
        let reported = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= REPORT_LAG);
        reported
            .or(self.history.front())
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }
}

enum Attachment {
    Job(JobId, ModelRequest, Exchange),
    /// A request for a load report or an order, with its ticket.
    Plain(u64, Exchange),
}

enum PendingResponse {
    Streaming(ModelRequest, ResponseWriter),
    Buffered(ModelRequest, Exchange),
}

struct HostEffects {
    jobs: BTreeMap<JobId, PendingResponse>,
    plain: BTreeMap<u64, Exchange>,
    /// Requests whose clients have disconnected.
    cancellations: crossbeam::channel::Sender<JobId>,
}

impl Effects<HostOutput> for HostEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Job(id, request, exchange) => {
                let response = if request.stream {
                    let stream = exchange.stream(200, headers("text/event-stream"));
                    PendingResponse::Streaming(request, stream)
                } else {
                    PendingResponse::Buffered(request, exchange)
                };
                self.jobs.insert(id, response);
            }
            Attachment::Plain(ticket, exchange) => {
                self.plain.insert(ticket, exchange);
            }
        }
    }

    fn perform(&mut self, output: HostOutput) {
        match output {
            HostOutput::Engine(Output::Token(id, token)) => self.send_token(id, token),
            HostOutput::Engine(Output::Done(id)) => self.complete(id),
            // Dropping the response ends its body early, so that the client receives a truncated one.
            HostOutput::Engine(Output::Lost(id)) => drop(self.jobs.remove(&id)),
            HostOutput::Load(ticket, load) => {
                let report = json!({
                    "incarnation": load.incarnation, "flushes": load.flushes,
                    "running": load.running, "waiting": load.queued,
                });
                self.reply_plain(ticket, 200, &report);
            }
            HostOutput::Order(ticket, true) => {
                self.reply_plain(ticket, 200, &json!({"done": true}))
            }
            HostOutput::Order(ticket, false) => {
                self.reply_plain(ticket, 409, &json!({"error": "stale"}))
            }
        }
    }
}

impl HostEffects {
    fn send_token(&mut self, id: JobId, token: u64) {
        let Some(response) = self.jobs.get_mut(&id) else {
            return;
        };
        let disconnected = match response {
            PendingResponse::Streaming(request, stream) => {
                stream.write(request.event(id.0, token)).is_err()
            }
            PendingResponse::Buffered(_, exchange) => exchange.is_disconnected(),
        };
        if disconnected {
            self.jobs.remove(&id);
            let _ = self.cancellations.send(id);
        }
    }

    fn complete(&mut self, id: JobId) {
        match self.jobs.remove(&id) {
            Some(PendingResponse::Streaming(request, mut stream)) => {
                let _ = stream
                    .write(request.end(id.0))
                    .and_then(|()| stream.close());
            }
            Some(PendingResponse::Buffered(request, exchange)) => {
                exchange.reply(200, headers("application/json"), request.response(id.0));
            }
            None => {}
        }
    }

    fn reply_plain(&mut self, ticket: u64, status: u16, value: &Value) {
        if let Some(exchange) = self.plain.remove(&ticket) {
            let body = value.to_string().into_bytes();
            exchange.reply(status, headers("application/json"), body);
        }
    }
}

/// Converts HTTP requests into inputs of the control thread.
struct EngineApi {
    inbox: Inbox<HostInput, Attachment>,
    next_id: AtomicU64,
    transcript: Transcript,
}

impl Handler for EngineApi {
    fn handle(&self, exchange: Exchange) {
        self.transcript.record(&exchange);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let path = exchange.head.uri.path().to_owned();
        let (attachment, input) = match path.as_str() {
            "/load" => (Attachment::Plain(id, exchange), HostInput::Load(id)),
            "/order" => {
                let body: Value = serde_json::from_slice(&exchange.body).unwrap_or_default();
                let token = body["fence"].as_u64().unwrap_or(0);
                (Attachment::Plain(id, exchange), HostInput::Order(id, token))
            }
            path => {
                let Some(request) = ModelRequest::parse(path, &exchange.body) else {
                    return exchange.reply(400, HeaderMap::new(), Vec::new());
                };
                let resume = exchange.head.header("x-resume-from");
                let job = Job {
                    id: JobId(id),
                    input_tokens: request.input_tokens,
                    prefix_hash: request.prefix_hash,
                    output_tokens: request.output_tokens,
                    priority: request.priority,
                    resume_from: resume.and_then(|n| n.parse().ok()).unwrap_or(0),
                };
                let attachment = Attachment::Job(job.id, request, exchange);
                (attachment, HostInput::Engine(Input::Submit(job)))
            }
        };
        let _ = self.inbox.call(attachment, input);
    }

    fn reject(&self, exchange: Exchange, kind: fault::Kind) {
        exchange.reply(kind.response().status, HeaderMap::new(), Vec::new());
    }
}

/// A running engine stand-in.
pub struct EngineHost {
    server: Server,
    control: step::ControlThread<HostInput, Attachment>,
    inbox: Inbox<HostInput, Attachment>,
    transcript: Transcript,
    cancel_thread: std::thread::JoinHandle<()>,
}

impl EngineHost {
    /// Starts an engine. `fenced` states whether the engine rejects orders with an outdated fencing
    /// token.
    ///
    /// # Errors
    ///
    /// [`EdgeError`] if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr, profile: Profile, fenced: bool) -> Result<Self, EdgeError> {
        let clock = Monotonic::start();
        let core = HostedEngine {
            engine: Engine::new(profile, 1),
            history: VecDeque::from([(
                clock.now(),
                EngineLoad {
                    incarnation: 1,
                    ..EngineLoad::default()
                },
            )]),
            fence: fenced.then_some(0),
        };
        let (cancellations, cancelled) = crossbeam::channel::unbounded();
        let effects = HostEffects {
            jobs: BTreeMap::new(),
            plain: BTreeMap::new(),
            cancellations,
        };
        let control = step::ControlThread::start("engine-control", core, effects, clock);
        let control = control.map_err(EdgeError::Thread)?;
        let inbox = control.inbox();
        let cancel_inbox = inbox.clone();
        let cancel = move || {
            for id in cancelled {
                let _ = cancel_inbox.send(HostInput::Engine(Input::Cancel(id)));
            }
        };
        let cancel_thread = std::thread::Builder::new()
            .name("engine-cancel".to_owned())
            .spawn(cancel);
        let cancel_thread = cancel_thread.map_err(EdgeError::Thread)?;
        let transcript = Transcript::default();
        let api = EngineApi {
            inbox: inbox.clone(),
            next_id: AtomicU64::new(1),
            transcript: transcript.clone(),
        };
        let server = Server::start("engine-edge", listen, Limits::default(), api)?;
        Ok(Self {
            server,
            control,
            inbox,
            transcript,
            cancel_thread,
        })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The transcript of all received requests.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Injects a fault, such as a crash, a slowdown or a flush of the cache.
    pub fn inject(&self, input: Input) {
        let _ = self.inbox.send(HostInput::Engine(input));
    }

    /// Stops the engine after its open requests have completed.
    pub fn close(self) {
        self.server.close();
        let _ = self.control.close();
        let _ = self.cancel_thread.join();
    }
}

fn headers(kind: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers
}
