//! What goes in and out of the agent's core.

use std::time::Duration;

use conf::Update;
use fault::Kind;
use ids::{
    AccountName,
    ClassName,
    EndpointName,
    GrantName,
    Incarnation,
    Revision,
    RouteName,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};

/// A request as an entry sent it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Pairs the answer with this arrival.
    pub ticket: Ticket,
    /// The endpoint it is meant for.
    pub endpoint: EndpointName,
    /// The account billed.
    pub account: AccountName,
    /// The grant behind the caller's key, if one came.
    pub grant: Option<GrantName>,
    /// The route.
    pub route: RouteName,
    /// The class.
    pub class: ClassName,
    /// How long it may wait for its start here.
    pub remaining: Duration,
    /// How long it may wait before its class's target is missed.
    pub target_remaining: Duration,
    /// Estimate of the tokens to be read.
    pub input_tokens: Tokens,
}

/// How a request ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Served,
    /// The engine failed.
    Failed,
    /// The caller went away.
    Cancelled,
}

/// What the engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine's run.
    pub incarnation: Incarnation,
    /// How often its caches were lost without a restart.
    pub cache_flushes: u64,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A newer view of the configuration, good until a moment.
    View(Update, Tick),
    /// A request.
    Arrive(Arrival),
    /// The first token of a running request came.
    FirstToken(Ticket),
    /// More tokens came, this long after the one before.
    TokenGap(Ticket, Duration),
    /// A running request ended, with the tokens it took.
    Done(Ticket, Outcome, Tokens),
    /// The caller of a waiting request went away.
    Cancelled(Ticket),
    /// The engine reported.
    EngineStatus(EngineStatus),
    /// No new work; say when the last request has ended.
    Drain,
}

/// What an agent says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests at the engine and waiting, by tier.
    pub busy: [u32; Tier::COUNT],
    /// Requests the engine may have at once.
    pub limit: u32,
}

/// What is worth counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request had to wait.
    Queued,
    /// A request started from its class's reserve.
    ReserveUsed,
    /// A request started beyond the limit, so that the engine pauses a lower one.
    Preempted,
    /// The engine turned cold.
    ColdStart,
}

/// What the core asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Hand the request to the engine with this priority; lower numbers first.
    Start(Ticket, Tier),
    /// Answer that the request did not run.
    Reject(Ticket, Kind, Load),
    /// A running request has ended; the load without it.
    Ended(Ticket, Load),
    /// The last request has ended after [`Input::Drain`].
    Drained,
    /// The revision held after [`Input::View`].
    ViewApplied(Revision),
    /// Count something.
    Event(Event),
}
