//! One attempt: sends a request to one endpoint and reads the head of the response or the complete
//! response.

use std::sync::Arc;
use std::time::Duration;

use budget::Class;
use edge::{
    Charged,
    Head,
    Memory,
    OutOfMemory,
    Payload,
    is_final, //
};
use http_body_util::BodyExt;
use hyper::body::{
    Body as _,
    Bytes,
    Incoming, //
};
use hyper::header::{
    CONTENT_ENCODING,
    HOST,
    HeaderValue, //
};
use hyper::{
    HeaderMap,
    Request, //
};
use ids::{
    Clock,
    Monotonic,
    Tick, //
};
use relay::{
    Attempt,
    Failure,
    Input,
    Load, //
};
use smol::Timer;
use smol::future::FutureExt;

use crate::adapter::{
    Outcome,
    ProtocolAdapter,
    ResponseHead, //
};
use crate::connection::{
    Connection,
    Connections,
    Target, //
};
use crate::content::Content;
use crate::control::FrontInbox;

/// Maximum size of a response that is read completely. Responses of engines take a few kilobytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Size up to which a response is covered by the share of its request.
const FREE_BODY_BYTES: usize = 16 * 1024;

/// The head of a response whose body has not been read yet.
pub(crate) struct OpenResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) load: Option<Load>,
    pub(crate) body: Incoming,
    pub(crate) content: Content,
    pub(crate) connection: Connection,
    pub(crate) keep_alive: Option<Duration>,
    /// Whether the connection was opened for this attempt.
    pub(crate) new_connection: bool,
}

/// A complete response.
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The request to send.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) head: &'a Head,
    pub(crate) body: &'a Bytes,
    /// The identifier of the last event that the caller received, if the attempt resumes a stream.
    pub(crate) last_event: Option<&'a str>,
}

/// Sends attempts to endpoints.
#[derive(Clone)]
pub(crate) struct AttemptClient<A> {
    pub(crate) adapter: A,
    pub(crate) inbox: FrontInbox,
    pub(crate) connections: Connections,
    pub(crate) clock: Monotonic,
    pub(crate) memory: Memory,
}

impl<A: ProtocolAdapter> AttemptClient<A> {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        attempt: &Attempt,
        outgoing: &OutgoingRequest<'_>,
    ) -> Result<OpenResponse, Failure> {
        let remaining = attempt.deadline.since(self.clock.now());
        let mut request = Request::new(Payload::from(outgoing.body.clone()));
        *request.method_mut() = outgoing.head.method.clone();
        *request.uri_mut() = outgoing.head.uri.clone();
        *request.headers_mut() =
            self.adapter
                .attempt_headers(outgoing.head, attempt, remaining, outgoing.last_event);
        if let Some(host) = outgoing.head.headers.get(HOST) {
            request.headers_mut().insert(HOST, host.clone());
        } else if let Ok(host) = HeaderValue::from_str(&attempt.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let target = Target {
            address: attempt.address,
            instance: &attempt.instance,
            once: !attempt.retry.allows_retry(),
        };
        let response = self.connections.send(&target, request);
        let (response, connection, new_connection) =
            self.with_deadline(self.deadline(attempt), response).await?;
        let (parts, body) = response.into_parts();
        let head =
            self.adapter
                .parse_response_head(outgoing.head, parts.status.as_u16(), &parts.headers);
        let encoded = parts.headers.contains_key(CONTENT_ENCODING);
        if !is_final(parts.status.as_u16()) || !head.matches_request || encoded {
            return Err(Failure::Garbled);
        }
        self.report_notice(attempt, &head);
        let response = OpenResponse {
            status: parts.status.as_u16(),
            content: Content::of(&parts.headers, body.size_hint().exact()),
            headers: parts.headers,
            load: head.load,
            body,
            connection,
            keep_alive: head.keep_alive,
            new_connection,
        };
        match head.outcome {
            Outcome::Executed => Ok(response),
            Outcome::Full | Outcome::Misdirected => {
                // The body is short, so it is read and the connection is kept for reuse. The head
                // alone determines the failure, even if reading the body fails.
                let _ = self.read_complete(attempt, response).await;
                Err(match head.outcome {
                    Outcome::Misdirected => Failure::Misdirected,
                    _ => Failure::Full,
                })
            }
        }
    }

    /// Reports an endpoint's notice to the core. A response without one withdraws an earlier notice
    /// only if the endpoint executed the request.
    fn report_notice(&self, attempt: &Attempt, head: &ResponseHead) {
        let withdrawn = attempt.notice_held && head.notice.executed;
        let stated = !head.notice.is_empty() && head.outcome != Outcome::Misdirected;
        if stated || withdrawn {
            let _ = self
                .inbox
                .send(Input::Noticed(attempt.endpoint, head.notice));
        }
    }

    /// Reads the body of a response and keeps the connection for reuse.
    pub(crate) async fn read_complete(
        &self,
        attempt: &Attempt,
        response: OpenResponse,
    ) -> Result<CompleteResponse, Failure> {
        let OpenResponse {
            status,
            headers,
            mut body,
            connection,
            keep_alive,
            ..
        } = response;
        let deadline = self.deadline(attempt);
        let length = body.size_hint().exact();
        let length = length.and_then(|length| usize::try_from(length).ok());
        let share = Arc::new(self.memory.open());
        let mut bytes = Vec::new();
        while let Some(chunk) = self.with_deadline(deadline, next_chunk(&mut body)).await? {
            let charged = bytes.len() > FREE_BODY_BYTES;
            if !charged && bytes.len() + chunk.len() > FREE_BODY_BYTES {
                let needed = length.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES);
                let charge = async {
                    let granted = share.ask(Class::Response, needed).await;
                    granted.map_err(|OutOfMemory| Failure::Silent)
                };
                self.with_deadline(deadline, charge).await?;
                bytes.reserve_exact(needed.saturating_sub(bytes.len()));
            }
            bytes.extend_from_slice(&chunk);
            if bytes.len() > MAX_BODY_BYTES {
                return Err(Failure::Garbled);
            }
        }
        self.connections.keep(connection, keep_alive);
        bytes.shrink_to_fit();
        share.complete(bytes.len());
        Ok(CompleteResponse {
            status,
            headers,
            body: Charged::bytes(bytes, share),
        })
    }

    /// Tells the crash of an endpoint from the loss of one connection: an endpoint that has crashed
    /// refuses new connections.
    pub(crate) async fn classify(&self, attempt: &Attempt, failure: Failure) -> Failure {
        if failure == Failure::Broken && self.connections.refused(attempt.address).await {
            Failure::Crashed
        } else {
            failure
        }
    }

    /// When an attempt times out: at its start deadline, if it has one, and at the latest at the
    /// deadline of the complete response.
    pub(crate) fn deadline(&self, attempt: &Attempt) -> Tick {
        attempt
            .start_deadline
            .unwrap_or(attempt.deadline)
            .min(attempt.deadline)
    }

    /// Runs `work` and fails with [`Failure::Silent`] if it does not finish before the deadline.
    pub(crate) async fn with_deadline<T>(
        &self,
        deadline: Tick,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let timeout = async {
            Timer::after(deadline.since(self.clock.now())).await;
            Err(Failure::Silent)
        };
        work.or(timeout).await
    }
}

/// Reads the next bytes of a body; `None` after its end.
pub(crate) async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        if body.is_end_stream() {
            return Ok(None);
        }
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) if error.is_parse() => return Err(Failure::Garbled),
            Some(Err(_)) => return Err(Failure::Broken),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if !data.is_empty() => return Ok(Some(data)),
                _ => {}
            },
        }
    }
}
