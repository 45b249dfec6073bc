//! What goes in and out of the entry's core.

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

/// What makes an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// The zone the entry runs in.
    pub zone: ZoneName,
    /// Seeds the random choices.
    pub rng_seed: u64,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A newer view of the configuration, good until a moment.
    View(Update, Tick),
    /// A request.
    Arrive(Arrival),
    /// What the control group said to a claim.
    Claimed(RequestId, ClaimResult),
    /// The first byte of an attempt's answer came.
    FirstByte(RequestId),
    /// An attempt ended.
    Ended(RequestId, AttemptOutcome),
    /// A question for the models that a key may use.
    Models(Ticket, Option<Digest>),
    /// A question whether this entry serves; [`Decision::Done`] says that it does.
    Ready(Ticket),
    /// Say from now on that this entry does not serve. Requests that still come are served.
    Drain,
}

/// What is worth counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another attempt follows a bounce.
    RetriedRejected,
    /// Another attempt follows one that was never sent.
    RetriedUnreachable,
    /// Another attempt follows a failure before the answer began.
    RetriedFailed,
    /// The account's retry budget is spent.
    BudgetExhausted,
    /// An endpoint is left out for a while.
    Ejected,
}

/// What the core asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tells the traffic thread of a request what to do next.
    Decision(Ticket, Decision),
    /// The revision held after [`Input::View`].
    ViewApplied(Revision),
    /// Count something.
    Event(Event),
}
