//! Inputs and outputs of the agent's decision core.

use std::time::Duration;

use conf::Update;
use fault::Kind;
use ids::{
    AccountName,
    ClassName,
    EndpointName,
    GrantName,
    Incarnation,
    Rate,
    Revision,
    RouteName,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};

/// An attempt at a request, as received from an entry.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request in the core's inputs and outputs.
    pub ticket: Ticket,
    /// The endpoint to which the entry sent the request.
    pub endpoint: EndpointName,
    /// The client account that is billed.
    pub account: AccountName,
    /// The grant behind the request's key, if it has one.
    pub grant: Option<GrantName>,
    /// The route.
    pub route: RouteName,
    /// The class that the entry assigned.
    pub class: ClassName,
    /// How long the request may be queued at this endpoint.
    pub remaining: Duration,
    /// The time left until the request misses its class's first-token target.
    pub target_remaining: Duration,
    /// Estimated number of input tokens.
    pub input_tokens: Tokens,
}

/// How the execution of a request ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine sent its whole response.
    Served,
    /// The engine failed.
    Failed,
    /// The entry closed the connection.
    Cancelled,
}

/// The identity of the engine's caches; a change means that the caches are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of times the engine lost its caches without a restart.
    pub cache_flushes: u64,
}

/// Inputs of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration update, and the time until which the resulting view is valid.
    View(Update, Tick),
    /// A request arrived.
    Arrive(Arrival),
    /// A running request produced its first token.
    FirstToken(Ticket),
    /// A running request produced a further token, this long after the previous one.
    TokenGap(Ticket, Duration),
    /// A running request ended with this outcome, after this number of input and output tokens.
    Done(Ticket, Outcome, Tokens),
    /// The entry cancelled a queued request.
    Cancelled(Ticket),
    /// The engine reported its status.
    EngineStatus(EngineStatus),
    /// The engine stated the requests per second that it accepts, or that it has no limit.
    RateLimit(Option<Rate>),
    /// Rejects new and queued requests from now on; the core emits [`Output::Drained`] once no
    /// request runs.
    Drain,
}

/// The load of an endpoint, as its agent reports it to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running and queued requests, by tier.
    pub busy: [u32; Tier::COUNT],
    /// The current limit on concurrent requests.
    pub limit: u32,
}

/// Events that are counted as metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was queued.
    Queued,
    /// A request was started from its class's reserve.
    ReserveUsed,
    /// A request was started above the concurrency limit, so that the engine preempts one of a
    /// lower tier.
    Preempted,
    /// The engine's caches are cold, so the concurrency limit was reset.
    ColdStart,
    /// The engine states another limit on its rate than before, or none any more.
    RateLimited(Option<Rate>),
}

/// Outputs of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start the request at the engine, with its tier as priority; lower numbers go first.
    Start(Ticket, Tier),
    /// Reject the request, which was not executed, and report the load.
    Reject(Ticket, Kind, Load),
    /// A running request has ended; the load no longer includes it.
    Ended(Ticket, Load),
    /// The agent is draining and no request runs.
    Drained,
    /// The configuration revision in effect after [`Input::View`].
    ViewApplied(Revision),
    /// An event to be counted.
    Event(Event),
}
