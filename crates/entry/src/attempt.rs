//! One attempt: sends it to an agent and passes the answer on as it comes.

use std::io::{
    BufReader,
    Read, //
};
use std::time::Duration;

use edge::{
    CallError,
    Exchange,
    ResponseReader,
    ResponseWriter,
    Target, //
};
use fault::Kind;
use ids::AttemptId;
use obs::{
    Counter,
    Counters, //
};
use route::{
    AttemptOutcome,
    AttemptSpec,
    LoadReport, //
};
use wire::{
    Attempt,
    AttemptHead,
    Call,
    Frame,
    Sealer,
    paths, //
};

use crate::answer;
use crate::claim::Recorded;

/// How long a connection to an agent may take.
const CONNECT: Duration = Duration::from_millis(500);
/// Largest answer that is passed on whole, in bytes.
const MAX_WHOLE: usize = 32 * 1024 * 1024;

/// The caller's side of a request.
pub(crate) enum Caller {
    /// Nothing was answered yet.
    Waiting(Exchange),
    /// An answer is being streamed.
    Streaming(ResponseWriter),
    /// Nobody is there any more.
    Gone,
}

impl Caller {
    fn is_gone(&self) -> bool {
        match self {
            Self::Waiting(exchange) => exchange.is_disconnected(),
            Self::Streaming(_) => false,
            Self::Gone => true,
        }
    }

    /// Begins to stream an answer.
    fn begin(&mut self, status: u16, headers: &[(String, String)]) {
        if let Self::Waiting(exchange) = std::mem::replace(self, Self::Gone) {
            *self = Self::Streaming(exchange.stream(status, answer::pass_back(headers)));
        }
    }

    fn write(&mut self, bytes: Vec<u8>) -> Result<(), edge::Disconnected> {
        match self {
            Self::Streaming(stream) => stream.write(bytes),
            _ => Err(edge::Disconnected),
        }
    }
}

/// Makes attempts.
pub(crate) struct Attempter {
    pub(crate) sealer: Sealer,
    pub(crate) counters: Counters,
}

/// What an attempt left behind.
pub(crate) struct Attempted {
    pub(crate) ended: AttemptOutcome,
    /// The whole answer, unless it was streamed.
    pub(crate) whole: Option<Recorded>,
}

impl From<AttemptOutcome> for Attempted {
    fn from(ended: AttemptOutcome) -> Self {
        Self { ended, whole: None }
    }
}

impl Attempter {
    /// Makes one attempt. `first` is called when the answer's first byte comes.
    pub(crate) fn run(
        &self,
        plan: &AttemptSpec,
        call: &Call,
        stream: bool,
        caller: &mut Caller,
        first: impl FnOnce(),
    ) -> Attempted {
        self.counters.count(Counter::Attempted);
        let link = match self.open(plan, call) {
            Ok(link) => link,
            Err(fault) if fault.unsent() => return AttemptOutcome::Unreached.into(),
            Err(CallError::TimedOut) => return AttemptOutcome::Lost(Kind::EndpointTimeout).into(),
            Err(_) => return AttemptOutcome::Lost(Kind::EndpointFailed).into(),
        };
        if link.status != 200 {
            // The agent's edge refused it, so it did not get to the engine.
            return AttemptOutcome::Rejected(Kind::Overloaded, LoadReport::default()).into();
        }
        let mut answer = Answer {
            frames: BufReader::new(link),
            attempt: plan.attempt,
            offset: 0,
            // A request that must not run twice is waited for even if nobody listens.
            cancels: !plan.once,
        };
        let (status, headers) = match answer.start() {
            Ok(Start::Began(status, headers)) => (status, headers),
            Ok(Start::Ended(ended)) => return ended.into(),
            Err(fault) => return AttemptOutcome::Lost(fault.kind()).into(),
        };
        first();
        answer.frames.get_mut().set_read_timeout(plan.stall_timeout);
        let streams = stream && is_events(&headers);
        if streams {
            caller.begin(status, &headers);
            return self.pass_on(&mut answer, caller).into();
        }
        answer.collect(status, headers, caller)
    }

    fn open(&self, plan: &AttemptSpec, call: &Call) -> Result<ResponseReader, CallError> {
        let attempt = Attempt {
            head: AttemptHead {
                attempt: plan.attempt,
                endpoint: plan.endpoint.clone(),
                account: plan.account.clone(),
                grant: plan.grant.clone(),
                route: plan.route.clone(),
                class: plan.class.clone(),
                revision: plan.revision,
                slack: plan.remaining,
                target: plan.target_remaining,
                input: plan.input_tokens,
                once: plan.once,
            },
            call: call.clone(),
        };
        let body = self.sealer.seal(paths::ATTEMPT, &attempt);
        let body = body.map_err(|fault| CallError::Malformed(fault.to_string()))?;
        let request = edge::build_request(plan.agent, "POST", paths::ATTEMPT, &[], body)?;
        let target = Target {
            address: plan.agent,
            connect_timeout: CONNECT,
            head_timeout: plan.remaining + plan.first_timeout,
        };
        ResponseReader::open(target, request)
    }

    fn pass_on(&self, answer: &mut Answer, caller: &mut Caller) -> AttemptOutcome {
        loop {
            match answer.next() {
                Ok(Piece::Data(bytes)) => {
                    self.counters.add(Counter::StreamBytes, bytes.len() as u64);
                    if caller.write(bytes).is_err() {
                        return AttemptOutcome::Cancelled;
                    }
                }
                Ok(Piece::Ended(advert)) => return AttemptOutcome::Served(advert),
                Ok(Piece::Failed) | Err(_) => return AttemptOutcome::Broken,
            }
        }
    }
}

fn is_events(headers: &[(String, String)]) -> bool {
    headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    })
}

enum Start {
    Began(u16, Vec<(String, String)>),
    Ended(AttemptOutcome),
}

enum Piece {
    Data(Vec<u8>),
    Ended(LoadReport),
    Failed,
}

/// The answer stopped making sense, or stopped.
enum Fault {
    Late,
    Broken,
}

impl Fault {
    fn kind(&self) -> Kind {
        match self {
            Self::Late => Kind::EndpointTimeout,
            Self::Broken => Kind::EndpointFailed,
        }
    }
}

/// The frames of one answer, checked for order and owner.
struct Answer {
    frames: BufReader<ResponseReader>,
    attempt: AttemptId,
    offset: u64,
    cancels: bool,
}

impl Answer {
    fn frame(&mut self) -> Result<Frame, Fault> {
        wire::read_frame(self.frames.by_ref()).map_err(|fault| {
            if fault.is_late() {
                Fault::Late
            } else {
                Fault::Broken
            }
        })
    }

    fn start(&mut self) -> Result<Start, Fault> {
        match self.frame()? {
            Frame::Started {
                attempt,
                status,
                headers,
            } if attempt == self.attempt => Ok(Start::Began(status, headers)),
            Frame::Bounced(kind, advert) if kind.not_executed() => Ok(Start::Ended(
                AttemptOutcome::Rejected(kind, advert_of(advert)),
            )),
            Frame::Failed(kind, _) => Ok(Start::Ended(AttemptOutcome::Lost(kind))),
            _ => Err(Fault::Broken),
        }
    }

    fn next(&mut self) -> Result<Piece, Fault> {
        match self.frame()? {
            Frame::Data { offset, bytes } if offset == self.offset => {
                self.offset += bytes.len() as u64;
                Ok(Piece::Data(bytes))
            }
            Frame::Ended(_, advert) => Ok(Piece::Ended(advert_of(advert))),
            Frame::Failed(..) => Ok(Piece::Failed),
            _ => Err(Fault::Broken),
        }
    }

    /// Reads the whole answer; nothing of it is passed on before it is complete.
    fn collect(
        &mut self,
        status: u16,
        headers: Vec<(String, String)>,
        caller: &Caller,
    ) -> Attempted {
        let mut body = Vec::new();
        loop {
            if self.cancels && caller.is_gone() {
                return AttemptOutcome::Cancelled.into();
            }
            match self.next() {
                Ok(Piece::Data(bytes)) => body.extend_from_slice(&bytes),
                Ok(Piece::Ended(advert)) => {
                    return Attempted {
                        ended: AttemptOutcome::Served(advert),
                        whole: Some(Recorded {
                            status,
                            headers,
                            body,
                        }),
                    };
                }
                Ok(Piece::Failed) => return AttemptOutcome::Lost(Kind::EndpointFailed).into(),
                Err(fault) => return AttemptOutcome::Lost(fault.kind()).into(),
            }
            if body.len() > MAX_WHOLE {
                return AttemptOutcome::Lost(Kind::EndpointFailed).into();
            }
        }
    }
}

fn advert_of(advert: wire::Advert) -> LoadReport {
    LoadReport {
        incarnation: advert.run,
        busy: advert.busy,
        limit: advert.limit,
    }
}
