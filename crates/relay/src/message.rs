//! What goes in and out of the front's core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    EndpointId,
    RequestId,
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    RetryPolicy, //
};
use usage::Runs;

/// What makes a front's core.
#[derive(Clone, Debug)]
pub struct Seed {
    /// The availability zone the front runs in.
    pub zone: String,
    /// Length of a usage window.
    pub window: Duration,
    /// Retries allowed for each request, over all fronts.
    pub ratio: f64,
    /// Retries allowed in a retry window besides, over all fronts.
    pub extra: f64,
    /// Length of the retry window.
    pub span: Duration,
    /// Seeds the random choices.
    pub random: u64,
}

/// A plan, if there is one, and the zones that are closed.
pub type Content = (Option<Arc<Plan>>, Vec<String>);

/// A view of the deployment.
#[derive(Clone, Debug)]
pub struct View {
    /// The edition.
    pub edition: u64,
    /// The plan in force and the zones closed; none if unchanged.
    pub content: Option<Content>,
    /// Until when the front may go by the view.
    pub fresh: Tick,
    /// How many fronts follow the deployment.
    pub fronts: usize,
    /// Unix time in milliseconds as the control group sees it, and when it was told.
    pub wall: (u64, Tick),
    /// When the view was asked for.
    pub at: Tick,
}

/// The prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// The prompt's parts in order: identity and tokens. The last is the request's own.
    pub parts: Vec<(u64, u64)>,
}

impl Prompt {
    /// Tokens of the part that the prompt shares with no other: the last.
    pub fn own(&self) -> u64 {
        let last = self.parts.last();
        last.map_or(self.input, |(_, tokens)| *tokens)
    }
}

/// A request as its head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// The request's identity, for logs.
    pub name: String,
    /// The host named.
    pub host: String,
    /// The path.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits; none if it does not say.
    pub patience: Option<Duration>,
    /// The prompt; none for plain requests.
    pub prompt: Option<Prompt>,
    /// Bytes of the body.
    pub size: usize,
}

/// An endpoint's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can be worked on at once.
    pub slots: u32,
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The endpoint's identity: one run of one engine.
    pub instance: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold: Duration,
    /// When this run began, in milliseconds of Unix time, if the list says so.
    pub born: u64,
}

/// Why an attempt brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection; nothing was sent.
    Unreached,
    /// The endpoint said that it did not run the request, for want of room.
    Full,
    /// Another instance answered at the address.
    Misdirected,
    /// The connection broke after something was sent.
    Broken,
    /// What came is no answer to this request.
    Garbled,
    /// Nothing came in time.
    Silent,
    /// The endpoint answered that it failed; the answer could be passed on.
    Errored,
}

impl Failure {
    /// Whether it is certain that the request did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::Unreached | Self::Full | Self::Misdirected)
    }
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Go {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its instance.
    pub instance: String,
    /// The account, to be told to the endpoint.
    pub account: Option<String>,
    /// Urgency; 0 is first.
    pub rank: u8,
    /// What may be repeated.
    pub repeat: RetryPolicy,
    /// When the request must have its final answer.
    pub until: Tick,
    /// When to give this attempt up for another before its answer began; none if it must not be.
    pub patience: Option<Tick>,
    /// The longest pause within the answer before the rest is sought elsewhere; none if it must
    /// not be.
    pub gap: Option<Duration>,
}

/// The core's answer to a request or to the end of an attempt.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Make this attempt.
    Go(Box<Go>),
    /// Answer with this kind; a retry makes sense after the time given.
    Refuse(Kind, Duration),
    /// Pass on what the endpoint answered.
    Pass,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A view of the deployment.
    View(Box<View>),
    /// The list of endpoints.
    Listed(Vec<Listing>),
    /// A request.
    Arrive(Ticket, Box<Ask>),
    /// The first of an answer came, with the endpoint's word on its load.
    Began(RequestId, Option<Load>),
    /// An attempt failed.
    Failed(Ticket, RequestId, Failure),
    /// A request was answered whole.
    Done(RequestId),
    /// A request ended without: its caller left, or its answer was broken off.
    Gone(RequestId),
    /// A question for the usage that is not sealed; the last window sealed.
    Usage(Ticket, Option<u64>),
    /// A question whether this front serves.
    Ready(Ticket),
    /// Say from now on that this front does not serve. Requests that still come are served.
    Drain,
}

/// What is worth counting or logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trace {
    /// An attempt is to be made.
    Sent {
        /// The request's name.
        request: String,
        /// The route's name.
        route: String,
        /// The endpoint's instance.
        instance: String,
        /// The attempt's number, from 1.
        attempt: u32,
        /// The request's rank.
        rank: u8,
        /// The endpoint's backlog, in milliseconds.
        backlog: u64,
        /// The edition that decided.
        edition: u64,
        /// The age of the view.
        age: Duration,
    },
    /// A request is not served.
    Refused {
        /// The request's name.
        request: String,
        /// Why.
        kind: Kind,
        /// The edition that decided.
        edition: u64,
        /// The age of the view.
        age: Duration,
    },
    /// A request waits, since the best endpoint's backlog is above a limit, both in milliseconds.
    Waits {
        /// The request's name.
        request: String,
        /// The backlog.
        backlog: u64,
        /// The limit.
        limit: u64,
    },
    /// Another attempt follows this failure.
    Retried(String, Failure),
    /// An attempt failed and none follows.
    GivenUp(String, Failure),
    /// A retry was not made because the budget was spent.
    BudgetSpent(String),
    /// An endpoint is left out after failures: its instance.
    Ejected(String),
    /// A newer edition is followed.
    Advanced(u64),
    /// The view ran out (false) or is good again (true).
    Fresh(bool),
    /// The list of endpoints changed: how many there are, and how many leave.
    Relisted(usize, usize),
}

/// What the core asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// The answer to [`Input::Arrive`] or [`Input::Failed`].
    Reply(Ticket, Verdict),
    /// The usage that is not sealed, by window.
    Usage(Ticket, Vec<(u64, Runs)>),
    /// Whether the front serves.
    Ready(Ticket, bool),
    /// Log or count something.
    Trace(Trace),
}
