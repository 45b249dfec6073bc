//! Inputs and outputs of the entry's decision core.

use conf::Update;
use ids::{
    Digest,
    Incarnation,
    RequestId,
    Revision,
    Tick,
    Ticket,
    ZoneName, //
};

use crate::request::{
    Arrival,
    AttemptOutcome,
    ClaimResult,
    Decision, //
};

/// Options of an entry's decision core.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// The incarnation of this process; part of every attempt's id.
    pub incarnation: Incarnation,
    /// The availability zone in which the entry runs.
    pub zone: ZoneName,
    /// Seeds the random number generator of the balancing policy.
    pub rng_seed: u64,
}

/// Inputs of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A configuration update, and the time until which the resulting view is valid.
    View(Update, Tick),
    /// A request arrived.
    Arrive(Arrival),
    /// The control group's result for a claim.
    Claimed(RequestId, ClaimResult),
    /// The first byte of an attempt's response arrived.
    FirstByte(RequestId),
    /// An attempt ended with this outcome.
    Ended(RequestId, AttemptOutcome),
    /// Requests the list of models that a key may use.
    Models(Ticket, Option<Digest>),
    /// A readiness check; the core replies [`Decision::Done`] if the entry is ready.
    Ready(Ticket),
    /// Fails readiness checks from now on. Requests that still arrive are served.
    Drain,
}

/// Events that are counted as metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was retried after an agent rejected it.
    RetriedRejected,
    /// A request was retried after an attempt for which no connection to the agent was made.
    RetriedUnreached,
    /// A request was retried after an attempt that failed before its response started.
    RetriedFailed,
    /// A request was not retried because its account's retry budget is exhausted.
    BudgetExhausted,
    /// An endpoint was ejected after failures.
    Ejected,
}

/// Outputs of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The next step for the request with this ticket, for its traffic thread.
    Decision(Ticket, Decision),
    /// The configuration revision in effect after [`Input::View`].
    ViewApplied(Revision),
    /// An event to be counted.
    Event(Event),
}
