//! One attempt: a request to one endpoint, up to the head of the answer or its whole body.

use std::time::Duration;

use edge::Head;
use http_body_util::{
    BodyExt,
    Full, //
};
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
    Load, //
};
use smol::Timer;
use smol::future::FutureExt;

use crate::adapter::{
    Outcome,
    ProtocolAdapter, //
};
use crate::connection::{
    Link,
    Links,
    Target, //
};

/// Most bytes of a whole answer; engines' answers are some kilobytes.
const MOST_BODY: usize = 16 * 1024 * 1024;

/// The head of an answer, and its body on the way.
pub(crate) struct Opened {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) load: Option<Load>,
    pub(crate) body: Incoming,
    pub(crate) link: Link,
    pub(crate) kept: Option<Duration>,
    /// Whether the connection was new.
    pub(crate) fresh: bool,
}

/// A whole answer.
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A request as it is sent.
pub(crate) struct Outgoing<'a> {
    pub(crate) head: &'a Head,
    pub(crate) body: &'a Bytes,
    /// The last event that the caller has.
    pub(crate) after: Option<&'a str>,
}

/// Runs attempts.
#[derive(Clone)]
pub(crate) struct Attempts<D> {
    pub(crate) adapter: D,
    pub(crate) links: Links,
    pub(crate) clock: Monotonic,
}

impl<D: ProtocolAdapter> Attempts<D> {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn open(
        &self,
        go: &Attempt,
        outgoing: &Outgoing<'_>,
    ) -> Result<Opened, Failure> {
        let left = go.deadline.since(self.clock.now());
        let mut request = Request::new(Full::new(outgoing.body.clone()));
        *request.method_mut() = outgoing.head.method.clone();
        *request.uri_mut() = outgoing.head.uri.clone();
        *request.headers_mut() =
            self.adapter
                .attempt_headers(outgoing.head, go, left, outgoing.after);
        if let Some(host) = outgoing.head.headers.get(HOST) {
            request.headers_mut().insert(HOST, host.clone());
        } else if let Ok(host) = HeaderValue::from_str(&go.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let target = Target {
            address: go.address,
            instance: &go.instance,
            once: !go.repeat.allows_retry(),
        };
        let sent = self.links.send(&target, request);
        let (response, link, fresh) = self.by(self.end(go), sent).await?;
        let (parts, body) = response.into_parts();
        let answered =
            self.adapter
                .parse_response_head(outgoing.head, parts.status.as_u16(), &parts.headers);
        if !answered.matches_request || parts.headers.contains_key(CONTENT_ENCODING) {
            return Err(Failure::Garbled);
        }
        let opened = Opened {
            status: parts.status.as_u16(),
            headers: parts.headers,
            load: answered.load,
            body,
            link,
            kept: answered.keep_alive,
            fresh,
        };
        match answered.outcome {
            Outcome::Executed => Ok(opened),
            Outcome::Full | Outcome::Misdirected => {
                // The connection is as good as before and its answer short. What the head says
                // holds, whatever becomes of the body.
                let _ = self.whole(go, opened).await;
                Err(match answered.outcome {
                    Outcome::Misdirected => Failure::Misdirected,
                    _ => Failure::Full,
                })
            }
        }
    }

    /// Reads the rest of an answer and keeps the connection.
    pub(crate) async fn whole(&self, go: &Attempt, opened: Opened) -> Result<Whole, Failure> {
        let Opened {
            status,
            headers,
            mut body,
            link,
            kept,
            ..
        } = opened;
        let end = self.end(go);
        let mut bytes = Vec::new();
        while let Some(frame) = self.by(end, next(&mut body)).await? {
            bytes.extend_from_slice(&frame);
            if bytes.len() > MOST_BODY {
                return Err(Failure::Garbled);
            }
        }
        self.links.keep(link, kept);
        Ok(Whole {
            status,
            headers,
            body: bytes.into(),
        })
    }

    /// When an attempt is given up.
    pub(crate) fn end(&self, go: &Attempt) -> Tick {
        go.start_deadline.unwrap_or(go.deadline).min(go.deadline)
    }

    /// Runs something until a moment at most.
    pub(crate) async fn by<T>(
        &self,
        end: Tick,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let late = async {
            Timer::after(end.since(self.clock.now())).await;
            Err(Failure::Silent)
        };
        work.or(late).await
    }
}

/// The next bytes of a body; none after its regular end.
pub(crate) async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        if body.is_end_stream() {
            return Ok(None);
        }
        match body.frame().await {
            None => return Ok(None),
            Some(Err(fault)) if fault.is_parse() => return Err(Failure::Garbled),
            Some(Err(_)) => return Err(Failure::Broken),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if !data.is_empty() => return Ok(Some(data)),
                _ => {}
            },
        }
    }
}
