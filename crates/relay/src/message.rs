//! Inputs and outputs of the front's decision core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    EndpointId,
    PartId,
    Rate,
    RequestId,
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    RetryPolicy, //
};
use quarantine::{
    ContentDigest,
    Evidence,
    Quarantine, //
};
use rollout::{
    Stage,
    Stages,
    Tally, //
};
use usage::Runs;

use crate::holdings::Holdings;

/// Options of a front's decision core.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The availability zone in which the front runs.
    pub zone: String,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Retries allowed per request, over all fronts.
    pub retry_ratio: f64,
    /// Retries allowed in a retry window in addition to the ratio, over all fronts.
    pub retry_extra: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Seed of the random generator.
    pub rng_seed: u64,
}

/// The plan, if one is installed, and the closed zones.
pub type Deployment = (Option<Arc<Plan>>, Vec<String>);

/// A control host's response that states the deployment in effect.
#[derive(Clone, Debug)]
pub struct View {
    /// The generation of the deployment.
    pub generation: u64,
    /// The deployment; none if it is unchanged.
    pub deployment: Option<Deployment>,
    /// When the view expires.
    pub valid_until: Tick,
    /// Number of fronts that subscribe to the deployment.
    pub fronts: usize,
    /// The control group's Unix time in milliseconds, and when the front received it.
    pub wall_clock: (u64, Tick),
    /// When the front requested the view.
    pub requested_at: Tick,
    /// The prompt parts in quarantine; none if they are unchanged.
    pub quarantine: Option<Arc<Quarantine>>,
}

/// The prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output: u64,
    /// The prompt's parts in order, each with its identity and tokens. Engines cache the prefix
    /// that prompts share by these parts. The last part belongs to this request alone.
    pub parts: Vec<(u64, u64)>,
}

impl Prompt {
    /// Tokens of the last part, which no other prompt shares.
    pub fn unique_tokens(&self) -> u64 {
        let last = self.parts.last();
        last.map_or(self.input_tokens, |(_, tokens)| *tokens)
    }

    /// The parts that other prompts may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        let shared = self.parts.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default().iter();
        shared.map(|(part, _)| PartId::of_prompt(*part))
    }
}

/// The fields of a request's head that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The request's identifier in logs.
    pub name: String,
    /// The requested host name.
    pub host: String,
    /// The path of the requested URI, without the query.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// The caller's timeout; none if the request states no timeout.
    pub timeout: Option<Duration>,
    /// The prompt; none for plain requests.
    pub prompt: Option<Prompt>,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// The digest by which repetitions of the request are recognized.
    pub content: ContentDigest,
}

/// The load that an endpoint reports in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in execution.
    pub running: u32,
    /// Requests in the endpoint's queue.
    pub waiting: u32,
    /// Requests that the endpoint executes concurrently.
    pub slots: u32,
    /// Current duration of work on the endpoint's machine, relative to the usual one; 1 is usual.
    /// It varies with the other workloads of the machine.
    pub slowdown: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            running: 0,
            waiting: 0,
            slots: 0,
            slowdown: 1.0,
        }
    }
}

impl Load {
    /// Requests at the endpoint. An endpoint may state any numbers.
    pub(crate) fn in_flight(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// What an endpoint states about itself in the head of a response, beyond its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The requests per second that the endpoint accepts from all fronts together; none if it
    /// states no limit.
    pub rate_limit: Option<Rate>,
    /// Whether the endpoint is about to leave and wants no new requests.
    pub leaving: bool,
    /// How long the endpoint wants no requests from this front.
    pub retry_after: Option<Duration>,
    /// Whether the endpoint executed the request. Otherwise, a missing limit does not withdraw an
    /// earlier one.
    pub executed: bool,
}

impl Notice {
    /// Whether the endpoint states nothing.
    pub fn is_empty(&self) -> bool {
        self.rate_limit.is_none() && !self.leaving && self.retry_after.is_none()
    }
}

/// One entry of the endpoint listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The endpoint's identity: one incarnation of one engine.
    pub instance: String,
    /// The service to which the endpoint belongs.
    pub service: String,
    /// The endpoint's network address.
    pub address: SocketAddr,
    /// The endpoint's availability zone.
    pub zone: String,
    /// Requests that the endpoint executes concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and must get no new requests.
    pub draining: bool,
    /// How much longer the endpoint is cold, that is, limited in its rate of requests after a
    /// start.
    pub cold_remaining: Duration,
    /// When this incarnation started, in milliseconds of Unix time; 0 if the listing omits it.
    pub started_ms: u64,
    /// The version of the service that the endpoint runs; empty if the listing omits it.
    pub version: String,
}

/// Why an attempt produced no response to pass through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    Unreached,
    /// The endpoint reported that it did not execute the request, for lack of capacity.
    Full,
    /// Another instance responded at the address.
    Misdirected,
    /// The connection broke after part of the request was sent.
    Broken,
    /// As [`Failure::Broken`], and the endpoint refuses new connections.
    Crashed,
    /// The received bytes are not a response to this request.
    Garbled,
    /// No response within the timeout.
    Silent,
    /// The endpoint responded with an error, which can be passed through to the caller.
    Errored,
}

impl Failure {
    /// Whether the endpoint is certain not to have executed the request.
    pub fn not_executed(self) -> bool {
        matches!(self, Self::Unreached | Self::Full | Self::Misdirected)
    }
}

/// An attempt to dispatch.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's network address.
    pub address: SocketAddr,
    /// The endpoint's instance.
    pub instance: String,
    /// The account, which is forwarded to the endpoint.
    pub account: Option<String>,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Whether and how the request may be retried.
    pub retry: RetryPolicy,
    /// Deadline of the complete response.
    pub deadline: Tick,
    /// When to retry on another endpoint if the response has not started; none if the attempt
    /// has no such limit.
    pub start_deadline: Option<Tick>,
    /// The longest pause within a stream before its remainder is requested from another
    /// endpoint; none if the attempt has no such limit.
    pub max_gap: Option<Duration>,
    /// Whether a response without a notice is to be reported too, since it withdraws an earlier
    /// notice of the endpoint.
    pub notice_held: bool,
}

/// The core's decision on a new request, or on one whose attempt failed.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Dispatch this attempt.
    Dispatch(Box<Attempt>),
    /// Reject the request with this error kind; the caller may retry after the duration.
    Reject(Kind, Duration),
    /// Pass the endpoint's response through.
    PassThrough,
}

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A view of the deployment arrived.
    View(Box<View>),
    /// The stages of rollouts arrived. They precede the listing and the view of the same response.
    Stages(Stages),
    /// An endpoint listing arrived.
    Endpoints(Vec<EndpointInfo>),
    /// A request arrived.
    Request(Ticket, Box<RequestHead>),
    /// A response started; its head may report the endpoint's load.
    ResponseStarted(RequestId, Option<Load>),
    /// The first events of a stream are on their way to the caller.
    StreamStarted(RequestId),
    /// A response of an endpoint contained a notice, or withdrew the endpoint's last one.
    Noticed(EndpointId, Notice),
    /// An attempt failed.
    AttemptFailed(Ticket, RequestId, Failure),
    /// A request received its complete response.
    Completed(RequestId),
    /// The endpoint rejected a request with a response that was passed through.
    Declined(RequestId),
    /// The caller of a new request disconnected before it received the decision with this ticket,
    /// which may have been made. The core still replies once to the ticket.
    Withdrawn(Ticket),
    /// A request ended without a complete response: the caller disconnected, or the response was
    /// aborted.
    Cancelled(RequestId),
    /// Requests the usage of unsealed windows; carries the last sealed window.
    Usage(Ticket, Option<u64>),
    /// Requests the tallies of the rollouts.
    Tallies(Ticket),
    /// A readiness check; the core replies with [`Output::Ready`].
    Ready(Ticket),
    /// Requests what the core keeps for requests in progress.
    Holdings(Ticket),
    /// Marks the front as not ready from now on. Requests that still arrive are served.
    Drain,
}

/// An event to count or log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt is dispatched.
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
        backlog_ms: u64,
        /// The generation of the deployment that the decision used.
        generation: u64,
        /// The age of the view.
        view_age: Duration,
    },
    /// A request is rejected.
    Rejected {
        /// The request's name.
        request: String,
        /// The error kind.
        kind: Kind,
        /// The generation of the deployment that the decision used.
        generation: u64,
        /// The age of the view.
        view_age: Duration,
    },
    /// A request is queued because the backlog of the best endpoint exceeds a limit.
    Queued {
        /// The request's name.
        request: String,
        /// The backlog, in milliseconds.
        backlog_ms: u64,
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// An attempt failed and is retried.
    Retried(String, Failure),
    /// An attempt failed and is not retried.
    AttemptFailed(String, Failure),
    /// A retry was not made because the retry budget is exhausted.
    BudgetExhausted(String),
    /// The endpoint with this instance crashed while the request was in progress there; the shared
    /// parts of the request's prompt and the request's identity.
    Crashed(String, String, Vec<PartId>),
    /// The endpoint with this instance is ejected after failures.
    Ejected(String),
    /// The endpoint with this instance states another rate limit than before, or none any more.
    RateLimited(String, Option<Rate>),
    /// The endpoint with this instance wants no requests from this front for this time.
    Paused(String, Duration),
    /// The endpoint with this instance states that it is about to leave.
    Leaving(String),
    /// The front applied a newer generation of the deployment.
    Advanced(u64),
    /// The view expired (false) or is valid again (true).
    ViewFresh(bool),
    /// The front applied this version of the quarantine with this many parts.
    QuarantineChanged(u64, usize),
    /// The lane for short prompts has another share of its service's engines.
    LaneResized(f64),
    /// An attempt is dispatched to the new version of a rollout.
    Exposed,
    /// The stage of a service's newest rollout changed.
    StageChanged(Stage),
    /// Other versions of this service count as in use, since those before are not listed any more.
    VersionsReplaced(String),
    /// The set of endpoints changed: their number, and how many of them are draining.
    EndpointsChanged(usize, usize),
}

/// An output of the core.
#[derive(Clone, Debug)]
pub enum Output {
    /// The decision on [`Input::Request`] or [`Input::AttemptFailed`].
    Reply(Ticket, Decision),
    /// The usage of unsealed windows, by window.
    Usage(Ticket, Vec<(u64, Runs)>),
    /// The tallies of the rollouts.
    Tallies(Ticket, Vec<Tally>),
    /// Whether the front is ready to serve.
    Ready(Ticket, bool),
    /// What the core keeps for requests in progress.
    Holdings(Ticket, Holdings),
    /// Report evidence on prompt parts to the control group.
    Evidence(Evidence),
    /// Log or count an event.
    Event(Event),
}
