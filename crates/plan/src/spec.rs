//! A plan as it is written, before its rules are checked.

use std::time::Duration;

/// What may be done twice with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests are idempotent and answered whole.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Requests run at most once; the answer is a stream of events.
    AtMostOnceStream,
    /// The answer is a stream of events that another run may continue after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::AtMostOnceStream | Self::ResumableStream)
    }
}

/// A service's part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be done twice.
    pub retry: RetryPolicy,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub latency_target: Duration,
    /// The longest pause between events that is on time; zero for whole answers.
    pub event_gap: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// The services that answer, with their weights.
    pub shares: Vec<Share>,
    /// Endpoints that one request may run on.
    pub attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
}

/// How much a cold endpoint bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint stays cold after its start.
    pub duration: Duration,
    /// Requests per second that it bears while cold.
    pub requests_per_s: f64,
}

/// What is known of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests an engine works on at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_tokens: u64,
}

/// A service as written.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// What a cold endpoint bears; none if endpoints are never cold.
    pub cold_start: Option<ColdStart>,
    /// Its model engines; none for a plain service.
    pub engine: Option<EngineLimits>,
}

/// An account as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Its name, which endpoints are told.
    pub name: String,
    /// The keys that stand for it.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most bytes before the body.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A plan as written.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Its accounts; none if requests need no key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// What callers may send.
    pub limits: Option<ClientLimits>,
}
