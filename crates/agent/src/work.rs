//! Carries one started request to the backend and its answer back, on a traffic thread.

use std::net::SocketAddr;
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
    ResponseReader,
    ResponseWriter,
    Target, //
};
use fault::Kind;
use ids::{
    AttemptId,
    Incarnation,
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
    Advert,
    Call,
    Frame,
    Served, //
};

use crate::control::{
    AgentInbox,
    Attachment,
    Job,
    advert, //
};
use crate::events::{
    EngineUsage,
    Kind as Event,
    Splitter,
    classify, //
};
use crate::settings;

/// How long a connection to the backend may take.
const CONNECT: Duration = Duration::from_millis(500);
/// How long the backend may stay silent. Entries give up sooner, by their class's targets.
const SILENCE: Duration = Duration::from_secs(120);

/// What traffic threads share.
#[derive(Clone)]
pub(crate) struct Worker {
    pub(crate) kind: settings::Kind,
    pub(crate) backend: SocketAddr,
    pub(crate) run: Incarnation,
    pub(crate) inbox: AgentInbox,
    pub(crate) usage: Sender<(UsageKey, Counts)>,
    pub(crate) log: Logger,
}

/// Why the answer was not passed on whole.
enum Fault {
    /// The backend failed; whether anything ran is said by the kind.
    Backend(Kind),
    /// The entry hung up.
    Gone,
}

impl From<edge::Disconnected> for Fault {
    fn from(_: edge::Disconnected) -> Self {
        Self::Gone
    }
}

impl From<CallError> for Fault {
    fn from(fault: CallError) -> Self {
        match fault {
            CallError::TimedOut => Self::Backend(Kind::EndpointTimeout),
            CallError::NotConnected(_) | CallError::Malformed(_) => {
                Self::Backend(Kind::EndpointMissing)
            }
            CallError::Failed(_) | CallError::TooLarge => Self::Backend(Kind::EndpointFailed),
        }
    }
}

impl Worker {
    /// Runs one job to its end.
    pub(crate) fn run(&self, job: Job) {
        let Job {
            ticket,
            tier,
            exchange,
            attempt,
        } = job;
        if exchange.is_disconnected() && !attempt.head.once {
            self.done(ticket, Outcome::Cancelled, Served::default());
            return;
        }
        let line = UsageKey {
            account: attempt.head.account.clone(),
            class: attempt.head.class.clone(),
        };
        let mut passage = Passage {
            worker: self,
            ticket,
            attempt: attempt.head.attempt,
            stream: exchange.stream(200, HeaderMap::new()),
            offset: 0,
            served: Served::default(),
            last: None,
        };
        let result = passage.carry(&attempt.call, tier);
        let served = passage.served;
        let ran = !matches!(result, Err(Fault::Backend(kind)) if kind.not_executed());
        if ran {
            let counts = Counts {
                runs: 1,
                input: served.input,
                output: served.output,
            };
            let _ = self.usage.send((line, counts));
        }
        let outcome = match result {
            Ok(()) => Outcome::Served,
            Err(Fault::Backend(_)) => Outcome::Failed,
            Err(Fault::Gone) => Outcome::Cancelled,
        };
        let advert = self.done(ticket, outcome, served);
        passage.close(result, advert);
    }

    /// Tells the core of the end and gets the load without the request.
    fn done(&self, ticket: Ticket, outcome: Outcome, served: Served) -> Advert {
        let (tx, rx) = bounded(1);
        let tokens = Tokens(served.input.0 + served.output.0);
        let input = Input::Done(ticket, outcome, tokens);
        let _ = self.inbox.call(Attachment::Ended(ticket, tx), input);
        rx.recv()
            .map(|load| advert(self.run, load))
            .unwrap_or_default()
    }
}

/// One answer on its way back.
struct Passage<'a> {
    worker: &'a Worker,
    ticket: Ticket,
    attempt: AttemptId,
    stream: ResponseWriter,
    offset: u64,
    served: Served,
    last: Option<Instant>,
}

impl Passage<'_> {
    fn carry(&mut self, call: &Call, tier: Tier) -> Result<(), Fault> {
        let is_engine = self.worker.kind == settings::Kind::Engine;
        let prepared = if is_engine {
            prepare(call, tier)
        } else {
            Prepared::plain(call)
        };
        let backend = self.worker.backend;
        let method = call.method.as_str();
        let request =
            edge::build_request(backend, method, &call.target, &call.headers, prepared.body)?;
        let target = Target {
            address: backend,
            connect_timeout: CONNECT,
            head_timeout: SILENCE,
        };
        let link = ResponseReader::open(target, request)?;
        if is_engine && link.status >= 500 {
            return Err(Fault::Backend(Kind::EndpointFailed));
        }
        self.send(&Frame::Started {
            attempt: self.attempt,
            status: link.status,
            headers: fields(&link.headers),
        })?;
        let events = is_events(&link.headers);
        match (is_engine, events) {
            (true, true) => self.pass_events(link, prepared.hide_usage),
            (true, false) => self.pass_whole(link),
            (false, _) => self.pass_plain(link),
        }
    }

    /// Passes an event stream on. It is complete only with the engine's own end mark.
    fn pass_events(&mut self, mut link: ResponseReader, hide_usage: bool) -> Result<(), Fault> {
        let mut splitter = Splitter::default();
        let mut complete = false;
        while let Some(piece) = link.chunk()? {
            splitter
                .push(&piece)
                .map_err(|_| Fault::Backend(Kind::EndpointFailed))?;
            while let Some(event) = splitter.next() {
                match classify(&event) {
                    Event::Output => self.token(),
                    Event::Usage(usage) => {
                        self.served = served(usage);
                        if hide_usage {
                            continue;
                        }
                    }
                    Event::Done => complete = true,
                    Event::Other => {}
                }
                self.data(event)?;
            }
        }
        if complete && splitter.is_empty() {
            Ok(())
        } else {
            Err(Fault::Backend(Kind::StreamBroken))
        }
    }

    /// Passes a whole model answer on.
    fn pass_whole(&mut self, mut link: ResponseReader) -> Result<(), Fault> {
        let mut body = Vec::new();
        while let Some(piece) = link.chunk()? {
            body.extend_from_slice(&piece);
        }
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        if let Ok(usage) = serde_json::from_value::<EngineUsage>(answer["usage"].clone()) {
            self.served = served(usage);
        }
        self.first();
        self.data(body)
    }

    fn pass_plain(&mut self, mut link: ResponseReader) -> Result<(), Fault> {
        self.first();
        while let Some(piece) = link.chunk()? {
            self.data(piece.to_vec())?;
        }
        Ok(())
    }

    fn token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first(),
            Some(last) => {
                let _ = self
                    .worker
                    .inbox
                    .send(Input::TokenGap(self.ticket, now - last));
            }
        }
        self.served.output = Tokens(self.served.output.0 + 1);
    }

    fn first(&mut self) {
        let _ = self.worker.inbox.send(Input::FirstToken(self.ticket));
    }

    fn data(&mut self, bytes: Vec<u8>) -> Result<(), Fault> {
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        self.send(&Frame::Data { offset, bytes })
    }

    fn send(&mut self, frame: &Frame) -> Result<(), Fault> {
        let bytes = wire::encode(frame).map_err(|_| Fault::Backend(Kind::Internal))?;
        Ok(self.stream.write(bytes)?)
    }

    /// Ends the answer with a frame that says how it ended.
    fn close(mut self, result: Result<(), Fault>, advert: Advert) {
        let frame = match result {
            Ok(()) => Frame::Ended(self.served, advert),
            Err(Fault::Gone) => return,
            Err(Fault::Backend(kind)) => {
                event!(self.worker.log, EngineFailed, "kind" => kind.response().code);
                if kind.not_executed() && self.offset == 0 {
                    Frame::Bounced(kind, advert)
                } else {
                    Frame::Failed(kind, advert)
                }
            }
        };
        if self.send(&frame).is_ok() {
            let _ = self.stream.close();
        }
    }
}

/// A body as the backend gets it.
struct Prepared {
    body: Vec<u8>,
    /// Whether the engine's usage event was asked for by the agent alone.
    hide_usage: bool,
}

impl Prepared {
    fn plain(call: &Call) -> Self {
        Self {
            body: call.body.clone(),
            hide_usage: false,
        }
    }
}

/// Adds the priority, and asks for the engine's own token count.
fn prepare(call: &Call, tier: Tier) -> Prepared {
    let Ok(mut body) = serde_json::from_slice::<Map<String, Value>>(&call.body) else {
        return Prepared::plain(call);
    };
    body.insert("priority".to_owned(), json!(u8::from(tier)));
    let stream = body.get("stream") == Some(&Value::Bool(true));
    let asked = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"));
    let hide_usage = stream && asked != Some(&Value::Bool(true));
    if hide_usage {
        body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    }
    match serde_json::to_vec(&body) {
        Ok(body) => Prepared { body, hide_usage },
        Err(_) => Prepared::plain(call),
    }
}

fn served(usage: EngineUsage) -> Served {
    Served {
        input: Tokens(usage.prompt_tokens),
        output: Tokens(usage.completion_tokens),
    }
}

fn fields(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = headers
        .iter()
        .filter_map(|(name, value)| Some((name, value.to_str().ok()?)));
    let kept = text.filter(|(name, _)| !edge::HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| (name.as_str().to_owned(), value.to_owned()))
        .collect()
}

fn is_events(headers: &HeaderMap) -> bool {
    let kind = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
