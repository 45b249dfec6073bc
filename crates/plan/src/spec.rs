//! A plan before validation.

use std::time::Duration;

/// How a route's requests may be retried, and whether its responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests are idempotent, and each response is forwarded as a whole.
    Idempotent,
    /// Requests are executed at most once.
    AtMostOnce,
    /// Requests are executed at most once; the response is a stream of events.
    AtMostOnceStream,
    /// The response is a stream of events. A retry resumes it after the last event received.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether a request may be retried that an endpoint may already have executed.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::AtMostOnceStream | Self::ResumableStream)
    }
}

/// A service's share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// The share's weight relative to the route's other shares.
    pub weight: u32,
}

/// A route before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// The route's name in logs.
    pub name: String,
    /// The host name in the requests.
    pub host: String,
    /// The prefix of the path.
    pub prefix: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub retry: RetryPolicy,
    /// Maximum time from the request to the end of the response.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the time between two events of a stream; zero if responses are not streams.
    pub event_gap: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u8,
    /// The services that serve the route, with their weights.
    pub shares: Vec<Share>,
    /// Maximum number of endpoints on which one request is tried.
    pub attempts: u32,
    /// Whether requests without a key are accepted.
    pub open: bool,
}

/// The request rate limit of an endpoint that started recently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The time after its start during which an endpoint is cold.
    pub duration: Duration,
    /// The request rate that a cold endpoint tolerates, in requests per second.
    pub request_rate: f64,
}

/// Limits of one model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of requests in the engine's batch.
    pub slots: u32,
    /// Capacity of the engine's key-value cache, in tokens.
    pub kv_tokens: u64,
}

/// A service before validation.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts from all fronts together.
    pub connections: u32,
    /// Request rate limit of endpoints that started recently; `None` if there is no limit.
    pub cold_start: Option<ColdStart>,
    /// Limits of the service's model engines; `None` for a service without model engines.
    pub engine: Option<EngineLimits>,
}

/// An account before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// The account's name. Requests to endpoints carry it.
    pub name: String,
    /// The account's keys.
    pub keys: Vec<String>,
    /// Priority of the account's requests; overrides the route's.
    pub rank: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the part of a request before the body.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A plan before validation.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The accounts; `None` if no route requires a key.
    pub accounts: Option<Vec<AccountSpec>>,
    /// Limits on callers' requests and connections, if the plan has any.
    pub limits: Option<ClientLimits>,
}
