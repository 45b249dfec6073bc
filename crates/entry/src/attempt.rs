//! Makes one attempt: sends the request to an agent, and streams or buffers its response.

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
    EndpointRequest,
    Frame,
    Sealer,
    paths, //
};

use crate::claim::RecordedResponse;
use crate::response;

/// How long the connection to an agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response that is buffered, in bytes. An attempt with a larger one fails.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// The state of the connection to a request's caller.
pub(crate) enum Caller {
    /// No part of the response has been sent.
    Waiting(Exchange),
    /// The response is being streamed.
    Streaming(ResponseWriter),
    /// The caller has closed its connection, or its response is complete.
    Disconnected,
}

impl Caller {
    fn is_disconnected(&self) -> bool {
        match self {
            Self::Waiting(exchange) => exchange.is_disconnected(),
            Self::Streaming(_) => false,
            Self::Disconnected => true,
        }
    }

    /// Sends the head of a streamed response.
    fn start_stream(&mut self, status: u16, headers: &[(String, String)]) {
        if let Self::Waiting(exchange) = std::mem::replace(self, Self::Disconnected) {
            *self = Self::Streaming(exchange.stream(status, response::forwarded_headers(headers)));
        }
    }

    fn write(&mut self, bytes: Vec<u8>) -> Result<(), edge::Disconnected> {
        match self {
            Self::Streaming(stream) => stream.write(bytes),
            _ => Err(edge::Disconnected),
        }
    }
}

/// Makes attempts at requests.
pub(crate) struct AttemptRunner {
    pub(crate) sealer: Sealer,
    pub(crate) counters: Counters,
}

/// The result of an attempt.
pub(crate) struct AttemptResult {
    pub(crate) outcome: AttemptOutcome,
    /// The complete response, if there is one and it was not streamed.
    pub(crate) response: Option<RecordedResponse>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
        }
    }
}

impl AttemptRunner {
    /// Makes one attempt. Calls `on_first_byte` when the agent starts its response.
    pub(crate) fn run(
        &self,
        spec: &AttemptSpec,
        endpoint_request: &EndpointRequest,
        stream: bool,
        caller: &mut Caller,
        on_first_byte: impl FnOnce(),
    ) -> AttemptResult {
        self.counters.count(Counter::Attempted);
        let reader = match self.open(spec, endpoint_request) {
            Ok(reader) => reader,
            Err(error) if error.unsent() => return AttemptOutcome::Unreached.into(),
            Err(CallError::TimedOut) => return AttemptOutcome::Lost(Kind::EndpointTimeout).into(),
            Err(_) => return AttemptOutcome::Lost(Kind::EndpointFailed).into(),
        };
        if reader.status != 200 {
            // The agent's HTTP server rejected the request, so it did not reach the engine.
            return AttemptOutcome::Rejected(Kind::Overloaded, LoadReport::default()).into();
        }
        let mut response = FrameReader {
            frames: BufReader::new(reader),
            attempt: spec.attempt,
            offset: 0,
            // A request that must be executed at most once runs to its end even if the caller
            // disconnects, so that its response can be recorded for a resend.
            cancellable: !spec.once,
        };
        let (status, headers) = match response.read_start() {
            Ok(Start::Response(status, headers)) => (status, headers),
            Ok(Start::Ended(outcome)) => return outcome.into(),
            Err(error) => return AttemptOutcome::Lost(error.kind()).into(),
        };
        on_first_byte();
        response
            .frames
            .get_mut()
            .set_read_timeout(spec.stall_timeout);
        let is_streamed = stream && is_event_stream(&headers);
        if is_streamed {
            caller.start_stream(status, &headers);
            return self.forward_stream(&mut response, caller).into();
        }
        response.buffer(status, headers, caller)
    }

    fn open(
        &self,
        spec: &AttemptSpec,
        endpoint_request: &EndpointRequest,
    ) -> Result<ResponseReader, CallError> {
        let attempt = Attempt {
            head: AttemptHead {
                attempt: spec.attempt,
                endpoint: spec.endpoint.clone(),
                account: spec.account.clone(),
                grant: spec.grant.clone(),
                route: spec.route.clone(),
                class: spec.class.clone(),
                revision: spec.revision,
                remaining: spec.remaining,
                target_remaining: spec.target_remaining,
                input_tokens: spec.input_tokens,
                once: spec.once,
            },
            request: endpoint_request.clone(),
        };
        let body = self.sealer.seal(paths::ATTEMPT, &attempt);
        let body = body.map_err(|error| CallError::Malformed(error.to_string()))?;
        let request = edge::build_request(spec.agent, "POST", paths::ATTEMPT, &[], body)?;
        let target = Target {
            address: spec.agent,
            connect_timeout: CONNECT_TIMEOUT,
            head_timeout: spec.remaining + spec.first_timeout,
        };
        ResponseReader::open(target, request)
    }

    fn forward_stream(&self, response: &mut FrameReader, caller: &mut Caller) -> AttemptOutcome {
        loop {
            match response.next() {
                Ok(BodyFrame::Data(bytes)) => {
                    self.counters.add(Counter::StreamBytes, bytes.len() as u64);
                    if caller.write(bytes).is_err() {
                        return AttemptOutcome::Cancelled;
                    }
                }
                Ok(BodyFrame::Ended(load)) => return AttemptOutcome::Served(load),
                Ok(BodyFrame::Failed(Kind::EndpointCrashed)) => return AttemptOutcome::Crashed,
                Ok(BodyFrame::Failed(_)) | Err(_) => return AttemptOutcome::Broken,
            }
        }
    }
}

fn is_event_stream(headers: &[(String, String)]) -> bool {
    headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    })
}

/// The first frame of a response.
enum Start {
    /// The endpoint responds with this status and these header fields.
    Response(u16, Vec<(String, String)>),
    /// The attempt ended without a response.
    Ended(AttemptOutcome),
}

/// A frame after the first one.
enum BodyFrame {
    /// A part of the body.
    Data(Vec<u8>),
    /// The body is complete.
    Ended(LoadReport),
    /// The endpoint failed, with this error kind.
    Failed(Kind),
}

/// Why the next frame of a response could not be read.
enum ReadError {
    /// The frame did not arrive in time.
    Timeout,
    /// The connection failed, or the frame is invalid or out of order.
    Invalid,
}

impl ReadError {
    fn kind(&self) -> Kind {
        match self {
            Self::Timeout => Kind::EndpointTimeout,
            Self::Invalid => Kind::EndpointFailed,
        }
    }
}

/// Reads the frames of one response. Checks that the response belongs to the attempt and that no
/// part of its body is missing.
struct FrameReader {
    frames: BufReader<ResponseReader>,
    attempt: AttemptId,
    /// The number of body bytes read so far.
    offset: u64,
    /// Whether the attempt ends when the caller disconnects.
    cancellable: bool,
}

impl FrameReader {
    fn read_frame(&mut self) -> Result<Frame, ReadError> {
        wire::read_frame(self.frames.by_ref()).map_err(|error| {
            if error.is_timeout() {
                ReadError::Timeout
            } else {
                ReadError::Invalid
            }
        })
    }

    fn read_start(&mut self) -> Result<Start, ReadError> {
        match self.read_frame()? {
            Frame::Started {
                attempt,
                status,
                headers,
            } if attempt == self.attempt => Ok(Start::Response(status, headers)),
            Frame::Rejected(kind, report) if kind.not_executed() => Ok(Start::Ended(
                AttemptOutcome::Rejected(kind, load_report(report)),
            )),
            Frame::Failed(kind, _) => Ok(Start::Ended(AttemptOutcome::Lost(kind))),
            _ => Err(ReadError::Invalid),
        }
    }

    fn next(&mut self) -> Result<BodyFrame, ReadError> {
        match self.read_frame()? {
            Frame::Data { offset, bytes } if offset == self.offset => {
                self.offset += bytes.len() as u64;
                Ok(BodyFrame::Data(bytes))
            }
            Frame::Ended(_, report) => Ok(BodyFrame::Ended(load_report(report))),
            Frame::Failed(kind, _) => Ok(BodyFrame::Failed(kind)),
            _ => Err(ReadError::Invalid),
        }
    }

    /// Reads the complete response. The caller receives nothing before the response is complete, so
    /// that the request can still be retried if the response breaks off.
    fn buffer(
        &mut self,
        status: u16,
        headers: Vec<(String, String)>,
        caller: &Caller,
    ) -> AttemptResult {
        let mut body = Vec::new();
        loop {
            if self.cancellable && caller.is_disconnected() {
                return AttemptOutcome::Cancelled.into();
            }
            match self.next() {
                Ok(BodyFrame::Data(bytes)) => body.extend_from_slice(&bytes),
                Ok(BodyFrame::Ended(load)) => {
                    return AttemptResult {
                        outcome: AttemptOutcome::Served(load),
                        response: Some(RecordedResponse {
                            status,
                            headers,
                            body,
                        }),
                    };
                }
                Ok(BodyFrame::Failed(kind)) => return AttemptOutcome::Lost(kind).into(),
                Err(error) => return AttemptOutcome::Lost(error.kind()).into(),
            }
            if body.len() > MAX_BUFFERED_BYTES {
                return AttemptOutcome::Lost(Kind::EndpointFailed).into();
            }
        }
    }
}

fn load_report(report: wire::LoadReport) -> LoadReport {
    LoadReport {
        incarnation: report.incarnation,
        busy: report.busy,
        limit: report.limit,
    }
}
