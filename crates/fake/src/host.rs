//! The engine over HTTP.

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

use crate::chat::Ask;
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

/// How far the load report lags behind.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// What the front asks of the engine's thread.
#[derive(Debug)]
enum Ordered {
    Engine(Input),
    Load(u64),
    /// An order with its fencing number.
    Order(u64, u64),
}

enum Done {
    Engine(Output),
    Load(u64, EngineLoad),
    Order(u64, bool),
}

/// The engine with its lagging report and its order fence.
struct Hosted {
    engine: Engine,
    history: VecDeque<(Tick, EngineLoad)>,
    /// The highest fencing number seen; none if this engine does not check.
    fence: Option<u64>,
}

impl Core for Hosted {
    type Input = Ordered;
    type Output = Done;

    fn step(&mut self, now: Tick, input: Ordered, out: &mut Outbox<Done>) {
        match input {
            Ordered::Engine(input) => {
                let mut inner = Outbox::default();
                self.engine.step(now, input, &mut inner);
                inner
                    .drain()
                    .for_each(|output| out.push(Done::Engine(output)));
            }
            Ordered::Load(ticket) => out.push(Done::Load(ticket, self.lagging(now))),
            Ordered::Order(ticket, number) => {
                let stale = self.fence.is_some_and(|seen| number < seen);
                self.fence = self.fence.map(|seen| seen.max(number));
                out.push(Done::Order(ticket, !stale));
            }
        }
        self.note(now);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Done>) {
        let mut inner = Outbox::default();
        self.engine.wake(now, &mut inner);
        inner
            .drain()
            .for_each(|output| out.push(Done::Engine(output)));
        self.note(now);
    }

    fn deadline(&self) -> Option<Tick> {
        self.engine.deadline()
    }
}

impl Hosted {
    fn note(&mut self, now: Tick) {
        self.history.push_back((now, self.engine.load()));
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) > REPORT_LAG)
        {
            self.history.pop_front();
        }
    }

    fn lagging(&self, now: Tick) -> EngineLoad {
        let old = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= REPORT_LAG);
        old.or(self.history.front())
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }
}

enum Attachment {
    Job(JobId, Ask, Exchange),
    Plain(u64, Exchange),
}

enum Answering {
    Streaming(Ask, ResponseWriter),
    Whole(Ask, Exchange),
}

struct HostEffects {
    jobs: BTreeMap<JobId, Answering>,
    plain: BTreeMap<u64, Exchange>,
    back: crossbeam::channel::Sender<JobId>,
}

impl Effects<Done> for HostEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Job(id, ask, exchange) => {
                let answering = if ask.stream {
                    let stream = exchange.stream(200, headers("text/event-stream"));
                    Answering::Streaming(ask, stream)
                } else {
                    Answering::Whole(ask, exchange)
                };
                self.jobs.insert(id, answering);
            }
            Attachment::Plain(ticket, exchange) => {
                self.plain.insert(ticket, exchange);
            }
        }
    }

    fn perform(&mut self, done: Done) {
        match done {
            Done::Engine(Output::Token(id, token)) => self.token(id, token),
            Done::Engine(Output::Done(id)) => self.done(id),
            // Dropping the answer breaks it off.
            Done::Engine(Output::Lost(id)) => drop(self.jobs.remove(&id)),
            Done::Load(ticket, load) => {
                let report = json!({
                    "incarnation": load.run, "flushes": load.flushes,
                    "running": load.running, "waiting": load.waiting,
                });
                self.plain(ticket, 200, &report);
            }
            Done::Order(ticket, true) => self.plain(ticket, 200, &json!({"done": true})),
            Done::Order(ticket, false) => self.plain(ticket, 409, &json!({"error": "stale"})),
        }
    }
}

impl HostEffects {
    fn token(&mut self, id: JobId, token: u64) {
        let Some(answering) = self.jobs.get_mut(&id) else {
            return;
        };
        let gone = match answering {
            Answering::Streaming(ask, stream) => stream.write(ask.event(id.0, token)).is_err(),
            Answering::Whole(_, exchange) => exchange.is_disconnected(),
        };
        if gone {
            self.jobs.remove(&id);
            let _ = self.back.send(id);
        }
    }

    fn done(&mut self, id: JobId) {
        match self.jobs.remove(&id) {
            Some(Answering::Streaming(ask, mut stream)) => {
                let _ = stream.write(ask.end(id.0)).and_then(|()| stream.close());
            }
            Some(Answering::Whole(ask, exchange)) => {
                exchange.reply(200, headers("application/json"), ask.whole(id.0));
            }
            None => {}
        }
    }

    fn plain(&mut self, ticket: u64, status: u16, value: &Value) {
        if let Some(exchange) = self.plain.remove(&ticket) {
            let body = value.to_string().into_bytes();
            exchange.reply(status, headers("application/json"), body);
        }
    }
}

struct Front {
    inbox: Inbox<Ordered, Attachment>,
    serial: AtomicU64,
    transcript: Transcript,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        self.transcript.note(&exchange);
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let path = exchange.head.uri.path().to_owned();
        let (attachment, input) = match path.as_str() {
            "/load" => (Attachment::Plain(serial, exchange), Ordered::Load(serial)),
            "/order" => {
                let body: Value = serde_json::from_slice(&exchange.body).unwrap_or_default();
                let fence = body["fence"].as_u64().unwrap_or(0);
                (
                    Attachment::Plain(serial, exchange),
                    Ordered::Order(serial, fence),
                )
            }
            path => {
                let Some(ask) = Ask::read(path, &exchange.body) else {
                    return exchange.reply(400, HeaderMap::new(), Vec::new());
                };
                let resume = exchange.head.header("x-resume-from");
                let job = Job {
                    id: JobId(serial),
                    input: ask.input,
                    prefix: ask.prefix,
                    output: ask.output,
                    priority: ask.priority,
                    resume: resume.and_then(|n| n.parse().ok()).unwrap_or(0),
                };
                let attachment = Attachment::Job(job.id, ask, exchange);
                (attachment, Ordered::Engine(Input::Submit(job)))
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
    control: step::ControlThread<Ordered, Attachment>,
    inbox: Inbox<Ordered, Attachment>,
    transcript: Transcript,
    cancels: std::thread::JoinHandle<()>,
}

impl EngineHost {
    /// Starts an engine. `fenced` says whether it refuses orders with an old fencing number.
    ///
    /// # Errors
    ///
    /// [`EdgeError`].
    pub fn start(listen: SocketAddr, profile: Profile, fenced: bool) -> Result<Self, EdgeError> {
        let clock = Monotonic::start();
        let core = Hosted {
            engine: Engine::new(profile, 1),
            history: VecDeque::from([(
                clock.now(),
                EngineLoad {
                    run: 1,
                    ..EngineLoad::default()
                },
            )]),
            fence: fenced.then_some(0),
        };
        let (back, cancelled) = crossbeam::channel::unbounded();
        let effects = HostEffects {
            jobs: BTreeMap::new(),
            plain: BTreeMap::new(),
            back,
        };
        let control = step::ControlThread::start("engine-control", core, effects, clock);
        let control = control.map_err(EdgeError::Thread)?;
        let inbox = control.inbox();
        let canceller = inbox.clone();
        let cancel = move || {
            for id in cancelled {
                let _ = canceller.send(Ordered::Engine(Input::Cancel(id)));
            }
        };
        let cancels = std::thread::Builder::new()
            .name("engine-cancel".to_owned())
            .spawn(cancel);
        let cancels = cancels.map_err(EdgeError::Thread)?;
        let transcript = Transcript::default();
        let front = Front {
            inbox: inbox.clone(),
            serial: AtomicU64::new(1),
            transcript: transcript.clone(),
        };
        let server = Server::start("engine-edge", listen, Limits::default(), front)?;
        Ok(Self {
            server,
            control,
            inbox,
            transcript,
            cancels,
        })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Everything the engine saw.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Makes the engine crash, slow down or lose its caches.
    pub fn disturb(&self, input: Input) {
        let _ = self.inbox.send(Ordered::Engine(input));
    }

    /// Ends the engine after its open requests.
    pub fn close(self) {
        self.server.close();
        let _ = self.control.close();
        let _ = self.cancels.join();
    }
}

fn headers(kind: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers
}
