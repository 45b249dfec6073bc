//! A plan as it is written, before its rules are checked.

use std::time::Duration;

/// What may be done twice with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Requests are idempotent and answered whole.
    Whole,
    /// Requests run at most once.
    Never,
    /// Requests run at most once; the answer is a stream of events.
    NeverStream,
    /// The answer is a stream of events that another run may continue after the last event.
    Resume,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub fn allowed(self) -> bool {
        matches!(self, Self::Whole | Self::Resume)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::NeverStream | Self::Resume)
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
    pub repeat: Repeat,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target: Duration,
    /// The longest pause between events that is on time; zero for whole answers.
    pub pause: Duration,
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
pub struct Cold {
    /// How long an endpoint stays cold after its start.
    pub span: Duration,
    /// Requests per second that it bears while cold.
    pub rate: f64,
}

/// What is known of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Requests an engine works on at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub capacity: u64,
}

/// A service as written.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// What a cold endpoint bears; none if endpoints are never cold.
    pub cold: Option<Cold>,
    /// Its model engines; none for a plain service.
    pub model: Option<Model>,
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
pub struct Bounds {
    /// Most bytes before the body.
    pub head: usize,
    /// Most bytes of a body.
    pub body: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
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
    pub bounds: Option<Bounds>,
}
